#include "jobs/result_table.h"

#include "base/event_log.h"

namespace stoathold {
namespace {

void log_malformed(const StoredRecord& record) {
  log_event(Event::kRecordMalformed,
            {{"key", record.key}, {"offset", std::to_string(record.offset)}});
}

}  // namespace

void ResultTable::apply_result(const StoredRecord& record) {
  ItemResult result;
  if (!decode(record.value, result)) {
    log_malformed(record);
    return;
  }
  JobResults& job = jobs_[result.job];
  if (!job.listed_items.insert(result.item).second) return;
  job.listed.push_back({result.item, result.state, std::move(result.text)});
  job.progress.erase(result.item);
}

void ResultTable::apply_progress(const StoredRecord& record) {
  ItemProgress progress;
  if (!decode(record.value, progress)) {
    log_malformed(record);
    return;
  }
  JobResults& job = jobs_[progress.job];
  if (job.listed_items.contains(progress.item)) return;
  job.progress[progress.item] = std::move(progress);
}

void ResultTable::apply(const StoredRecord& record) {
  if (record.value.empty()) {
    // Only a whole job is deleted; results go together.
    if (!is_progress_key(record.key)) jobs_.erase(job_of_record_key(record.key));
  } else if (is_progress_key(record.key)) {
    apply_progress(record);
  } else {
    apply_result(record);
  }
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

}  // namespace stoathold
