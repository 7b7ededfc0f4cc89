#include "jobs/stage_metrics.h"

namespace stoathold {

void add_stage_gauges(const StageSummary& summary, std::vector<MetricValue>& gauges) {
  gauges.push_back({"stoathold_jobs_queued",
                    "Jobs that wait to be read.",
                    static_cast<double>(summary.jobs_queued),
                    {}});
  for (std::size_t i = 0; i < kItemStageCount; ++i) {
    gauges.push_back({"stoathold_open_items",
                      "Open batch items of this node by stage.",
                      static_cast<double>(summary.stages[i].items),
                      {"stage", std::string(to_string(static_cast<ItemStage>(i)))}});
  }
  for (std::size_t i = 0; i < kItemStageCount; ++i) {
    gauges.push_back({"stoathold_open_item_oldest_seconds",
                      "Longest time that an open item has been in its stage.",
                      to_seconds(summary.stages[i].oldest),
                      {"stage", std::string(to_string(static_cast<ItemStage>(i)))}});
  }
}

void add_result_gauges(const ResultBytes& read, std::vector<MetricValue>& gauges) {
  const auto add = [&](const char* part, std::uint64_t bytes) {
    gauges.push_back({"stoathold_result_bytes_read",
                      "Bytes of jobs' results read from the store since the start.",
                      static_cast<double>(bytes),
                      {"part", part}});
  };
  add("listings", read.listings);
  add("texts", read.texts);
}

}  // namespace stoathold
