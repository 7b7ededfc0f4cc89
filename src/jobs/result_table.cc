#include "jobs/result_table.h"

#include "base/event_log.h"

namespace stoathold {
namespace {

void log_malformed(const StoredRecord& record) {
  log_event(Event::kRecordMalformed,
            {{"key", record.key}, {"offset", std::to_string(record.offset)}});
}

}  // namespace

void ResultTable::apply(const StoredRecord& record) {
  if (record.value.empty()) {
    // Only a whole job is deleted; its results go together.
    jobs_.erase(job_of_record_key(record.key));
    return;
  }
  ItemResult result;
  if (!decode(record.value, result)) {
    log_malformed(record);
    return;
  }
  JobResults& job = jobs_[result.job];
  if (!job.listed_items.insert(result.item).second) return;
  job.listed.push_back({result.item, result.state, std::move(result.text)});
}

void ResultTable::reset(const std::vector<StoredRecord>& newest) {
  jobs_.clear();
  for (const auto& record : newest) apply(record);
}

const JobResults& ResultTable::of_job(const JobKey& key) const {
  static const JobResults kNone;
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? kNone : found->second;
}

void ProgressTable::apply(const StoredRecord& record) {
  if (record.value.empty()) {
    const JobKey job = job_of_record_key(record.key);
    std::erase_if(items_, [&](const auto& entry) { return entry.first.first == job; });
    return;
  }
  ItemProgress progress;
  if (!decode(record.value, progress)) {
    log_malformed(record);
    return;
  }
  ItemProgress& known = items_[{progress.job, progress.item}];
  // A record that was written late may lie behind what is known.
  if (progress.last_event < known.last_event && progress.failures <= known.failures) return;
  known = std::move(progress);
}

void ProgressTable::reset(const std::vector<StoredRecord>& newest) {
  items_.clear();
  for (const auto& record : newest) apply(record);
}

const ItemProgress* ProgressTable::find(const JobKey& job, std::uint32_t item) const {
  const auto found = items_.find({job, item});
  return found == items_.end() ? nullptr : &found->second;
}

}  // namespace stoathold
