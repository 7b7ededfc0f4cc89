#include "jobs/checkpoint_table.h"

namespace stoathold {

bool CheckpointTable::is_newer(const ItemProgress& progress, const Mark& than) {
  return progress.last_event > than.last_event || progress.failures > than.failures;
}

bool CheckpointTable::is_news(const ItemProgress& progress, const ItemProgress* read) const {
  if (read != nullptr && !is_newer(progress, {read->last_event, read->failures})) return false;
  const auto found = rows_.find({progress.job, progress.item});
  return found == rows_.end() || is_newer(progress, found->second);
}

void CheckpointTable::written(const ItemProgress& progress) {
  rows_[{progress.job, progress.item}] = {progress.last_event, progress.failures};
}

void CheckpointTable::forget(const JobKey& job) {
  const auto first = rows_.lower_bound({job, 0});
  auto last = first;
  while (last != rows_.end() && last->first.first == job) ++last;
  rows_.erase(first, last);
}

}  // namespace stoathold
