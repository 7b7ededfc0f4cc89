// Memory accounting and eviction of the results cached by a job store.
#include "jobs/job_store.h"

namespace stoathold {

void JobStore::charge_to(MemoryBudget& budget) {
  budget_ = &budget;
  result_memory_ = budget.charge(MemoryAccount::kCachedResults, 0);
  update_result_memory();
}

void JobStore::update_result_memory() {
  std::uint64_t bytes = 0;
  for (const auto& [key, results] : results_) bytes += results.bytes();
  result_memory_.resize(bytes);
}

/// Skips jobs with a read in flight: the read shares ownership of its `ResultReads` and continues
/// from the results already listed.
void JobStore::drop_finished_results() {
  if (budget_ == nullptr) return;
  update_result_memory();
  for (auto entry = results_.begin(); entry != results_.end();) {
    if (budget_->fits(MemoryAccount::kCachedResults, 0)) return;
    const JobEntry* job = find_entry(entry->first);
    const auto reads = result_reads_.find(entry->first);
    const bool in_use = reads != result_reads_.end() && reads->second.use_count() > 1;
    if (in_use || job == nullptr || job->open()) {
      ++entry;
      continue;
    }
    if (reads != result_reads_.end()) result_reads_.erase(reads);
    result_memory_.resize(result_memory_.bytes() - entry->second.bytes());
    entry = results_.erase(entry);
  }
}

void JobStore::drop_erased_jobs() {
  std::erase_if(results_, [&](const auto& entry) { return find_entry(entry.first) == nullptr; });
  std::erase_if(progress_, [&](const auto& entry) { return find_entry(entry.first) == nullptr; });
  std::erase_if(result_reads_,
                [&](const auto& entry) { return find_entry(entry.first) == nullptr; });
  drop_finished_results();
}

}  // namespace stoathold
