#include "jobs/item_stages.h"

#include <algorithm>

#include "base/log_fields.h"

namespace stoathold {
namespace {

/// Adds items that have been in a stage for a given time to the summary.
void count(StageSummary& summary, ItemStage stage, std::size_t items, Duration time_in_stage) {
  StageCount& stage_count = summary.stages[static_cast<std::size_t>(stage)];
  stage_count.items += items;
  stage_count.oldest = std::max(stage_count.oldest, time_in_stage);
  summary.open_items += items;
}

void update_oldest(std::optional<OldestItem>& oldest, const OldestItem& item) {
  const auto age = [](const OldestItem& of) {
    return std::pair(of.time_on_node, of.time_in_stage);
  };
  if (!oldest || age(item) > age(*oldest)) oldest = item;
}

}  // namespace

std::string_view to_string(ItemStage stage) {
  switch (stage) {
    case ItemStage::kJobQueued:
      return "job_queued";
    case ItemStage::kReadingRequest:
      return "reading_request";
    case ItemStage::kWaitingForTurn:
      return "waiting_for_turn";
    case ItemStage::kWaitingForSlot:
      return "waiting_for_slot";
    case ItemStage::kQuarantined:
      return "quarantined";
    case ItemStage::kRunning:
      return "running";
    case ItemStage::kBackingOff:
      return "backing_off";
    case ItemStage::kWritingResult:
      break;
  }
  return "writing_result";
}

std::string stages_text(const StageSummary& summary) {
  std::string text;
  for (std::size_t i = 0; i < kItemStageCount; ++i) {
    const StageCount& stage_count = summary.stages[i];
    if (stage_count.items == 0) continue;
    if (!text.empty()) text += ",";
    text += std::string(to_string(static_cast<ItemStage>(i))) + "=" +
            std::to_string(stage_count.items) + "/" + decimal_text(to_seconds(stage_count.oldest));
  }
  return text;
}

void ItemStages::add_job(const JobKey& job, std::size_t items, TimePoint now) {
  jobs_[job] = {.since = now, .unread_items = items, .read = false, .items = {}};
}

void ItemStages::mark_job_read(const JobKey& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  found->second.read = true;
  found->second.unread_items = 0;
}

void ItemStages::enter(const JobKey& job, std::uint32_t index, ItemStage stage, TimePoint now) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const auto [row, added] = found->second.items.try_emplace(index, Row{stage, now});
  if (!added && row->second.stage != stage) row->second = {stage, now};
}

void ItemStages::remove_item(const JobKey& job, std::uint32_t index) {
  const auto found = jobs_.find(job);
  if (found != jobs_.end()) found->second.items.erase(index);
}

void ItemStages::remove_job(const JobKey& job) {
  jobs_.erase(job);
}

StageSummary ItemStages::summary(TimePoint now) const {
  StageSummary summary;
  for (const auto& [key, job] : jobs_) {
    const Duration time_on_node = now - job.since;
    if (!job.read) {
      ++summary.jobs_queued;
      count(summary, ItemStage::kJobQueued, job.unread_items, time_on_node);
      update_oldest(summary.oldest,
                    {key, std::nullopt, ItemStage::kJobQueued, time_on_node, time_on_node});
    }
    for (const auto& [index, row] : job.items) {
      const Duration time_in_stage = now - row.since;
      count(summary, row.stage, 1, time_in_stage);
      update_oldest(summary.oldest, {key, index, row.stage, time_in_stage, time_on_node});
    }
  }
  return summary;
}

}  // namespace stoathold
