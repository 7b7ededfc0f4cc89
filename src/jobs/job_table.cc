#include "jobs/job_table.h"

#include "base/event_log.h"

namespace stoathold {

void JobTable::notify(const JobKey& key, const JobEntry& job) const {
  if (listener_ && !replaying_) listener_(key, job);
}

void JobTable::remove(const JobKey& key) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return;
  found->second.finished = true;
  notify(key, found->second);
  jobs_.erase(found);
}

void JobTable::apply_submission(const JobKey& key, const StoredRecord& record) {
  JobEntry entry;
  if (!decode(record.value, entry.submission)) {
    log_event(Event::kRecordMalformed,
              {{"key", record.key}, {"offset", std::to_string(record.offset)}});
    return;
  }
  const auto [position, added] = jobs_.emplace(key, std::move(entry));
  if (added) notify(key, position->second);
}

void JobTable::apply(const StoredRecord& record) {
  const auto parsed = parse_jobs_record_key(record.key);
  if (!parsed) return;
  const auto& [kind, key] = *parsed;
  if (record.value.empty()) {
    if (kind == JobRecordKind::kSubmitted) remove(key);
    return;
  }
  if (kind == JobRecordKind::kSubmitted) {
    apply_submission(key, record);
    return;
  }
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return;
  JobEntry& job = found->second;
  std::uint64_t tokens = 0;
  switch (kind) {
    case JobRecordKind::kCancelled:
      job.cancelled = true;
      notify(key, job);
      break;
    case JobRecordKind::kFinished:
      job.finished = true;
      notify(key, job);
      break;
    case JobRecordKind::kProgress:
      if (decode_tokens(record.value, tokens)) {
        job.finished_tokens = std::max(job.finished_tokens, tokens);
      }
      break;
    case JobRecordKind::kSubmitted:
      break;
  }
}

void JobTable::reset(const std::vector<StoredRecord>& newest, RecordOffset /*end*/) {
  std::map<JobKey, JobEntry> previous = std::move(jobs_);
  jobs_.clear();
  // In log order a job's submission precedes its finished mark. Defer listener calls until all
  // records are applied, so that a finished job is never reported as open.
  replaying_ = true;
  for (const auto& record : newest) apply(record);
  replaying_ = false;
  // A progress count that was written late may be lower than the count already known.
  for (auto& [key, job] : jobs_) {
    const auto known = previous.find(key);
    if (known == previous.end()) continue;
    job.finished_tokens = std::max(job.finished_tokens, known->second.finished_tokens);
  }
  for (auto& [key, job] : previous) {
    if (jobs_.contains(key)) continue;
    job.finished = true;
    notify(key, job);
  }
  for (const auto& [key, job] : jobs_) notify(key, job);
}

const JobEntry* JobTable::find(const JobKey& key) const {
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::uint64_t JobTable::queued_tokens(const std::string& route, const std::string& tenant) const {
  std::uint64_t sum = 0;
  for (const auto& [key, job] : jobs_) {
    if (!job.open() || job.submission.route != route) continue;
    if (job.submission.tenant != tenant) continue;
    const std::uint64_t all = job.submission.tokens();
    sum += all - std::min(all, job.finished_tokens);
  }
  return sum;
}

}  // namespace stoathold
