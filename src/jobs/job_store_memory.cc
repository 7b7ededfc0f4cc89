// What a job store keeps in memory of the log, and when it lets go of it.
#include "jobs/job_store.h"

namespace stoathold {

void JobStore::count_in(MemoryBudget& budget) {
  budget_ = &budget;
  kept_results_ = budget.charge(MemoryAccount::kListedResults, 0);
  count_results();
}

void JobStore::count_results() {
  std::uint64_t bytes = 0;
  for (const auto& [key, results] : results_) bytes += results.bytes();
  kept_results_.resize(bytes);
}

/// A read that is under way holds its `ResultReads`, and goes on from what is listed: its job
/// stays.
void JobStore::drop_finished_results() {
  if (budget_ == nullptr) return;
  count_results();
  for (auto entry = results_.begin(); entry != results_.end();) {
    if (budget_->has_room(MemoryAccount::kListedResults, 0)) return;
    const JobEntry* job = entry_of(entry->first);
    const auto reads = result_reads_.find(entry->first);
    const bool read_now = reads != result_reads_.end() && reads->second.use_count() > 1;
    if (read_now || job == nullptr || job->open()) {
      ++entry;
      continue;
    }
    if (reads != result_reads_.end()) result_reads_.erase(reads);
    kept_results_.resize(kept_results_.bytes() - entry->second.bytes());
    entry = results_.erase(entry);
  }
}

void JobStore::forget_erased() {
  std::erase_if(results_, [&](const auto& entry) { return entry_of(entry.first) == nullptr; });
  std::erase_if(progress_, [&](const auto& entry) { return entry_of(entry.first) == nullptr; });
  std::erase_if(result_reads_, [&](const auto& entry) { return entry_of(entry.first) == nullptr; });
  drop_finished_results();
}

}  // namespace stoathold
