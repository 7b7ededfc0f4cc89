/// @file
/// Tracks which progress of running items is durable, to avoid writing it again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "jobs/job_records.h"

namespace stoathold {

/// Records the last durable progress of each item that this process has checkpointed. An item that
/// waits for a slot or whose runner stalls makes no progress for seconds, and rewriting its long
/// text each round would waste bandwidth. Not thread-safe.
class CheckpointTable {
 public:
  /// Returns whether the progress is ahead of what is durable.
  /// @param read progress that this process has read from the log, or null.
  [[nodiscard]] bool is_newer_than_durable(const ItemProgress& progress,
                                           const ItemProgress* read) const;
  /// Records that the progress has been written to the log.
  void mark_durable(const ItemProgress& progress);
  /// Removes all items of a job that this node no longer runs. Another node may run the job and
  /// write less progress before it returns.
  void remove_job(const JobKey& job);

 private:
  /// Fields by which progress records are ordered.
  struct ProgressPosition {
    std::uint64_t last_event = 0;
    std::uint32_t failures = 0;
    std::optional<StreamOrigin> origin;
  };
  [[nodiscard]] static bool is_newer(const ItemProgress& progress,
                                     const ProgressPosition& position);

  std::map<std::pair<JobKey, std::uint32_t>, ProgressPosition> durable_positions_;
};

}  // namespace stoathold
