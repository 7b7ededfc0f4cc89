#include "jobs/checkpoint_table.h"

namespace stoathold {

bool CheckpointTable::is_newer(const ItemProgress& progress, const ProgressPosition& position) {
  // A text that was started again replaces the one that cannot be continued.
  const bool restarted = progress.last_event > 0 && progress.origin != position.origin;
  return restarted || progress.last_event > position.last_event ||
         progress.failures > position.failures;
}

bool CheckpointTable::is_newer_than_durable(const ItemProgress& progress,
                                            const ItemProgress* read) const {
  if (read != nullptr && !is_newer(progress, {read->last_event, read->failures, read->origin}))
    return false;
  const auto found = durable_positions_.find({progress.job, progress.item});
  return found == durable_positions_.end() || is_newer(progress, found->second);
}

void CheckpointTable::mark_durable(const ItemProgress& progress) {
  durable_positions_[{progress.job, progress.item}] = {progress.last_event, progress.failures,
                                                       progress.origin};
}

void CheckpointTable::remove_job(const JobKey& job) {
  const auto first = durable_positions_.lower_bound({job, 0});
  auto last = first;
  while (last != durable_positions_.end() && last->first.first == job) ++last;
  durable_positions_.erase(first, last);
}

}  // namespace stoathold
