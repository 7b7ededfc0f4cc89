/// @file
/// Which progress of running items is durable, so that none is written twice.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "jobs/job_records.h"

namespace stoathold {

/// One row for each item of which this process has written progress. An item that waits for a place
/// or whose runner is silent stands still for seconds, and its text is long. Used on one thread.
class CheckpointTable {
 public:
  /// Whether the progress holds more than what is durable.
  /// @param read what this process has read from the log; null: nothing.
  [[nodiscard]] bool is_newer_than_durable(const ItemProgress& progress,
                                           const ItemProgress* read) const;
  /// The progress has been written.
  void mark_durable(const ItemProgress& progress);
  /// The job is no longer run here.
  void remove_job(const JobKey& job);

 private:
  /// What makes one progress newer than another.
  struct ProgressPosition {
    std::uint64_t last_event = 0;
    std::uint32_t failures = 0;
  };
  [[nodiscard]] static bool is_newer(const ItemProgress& progress,
                                     const ProgressPosition& position);

  std::map<std::pair<JobKey, std::uint32_t>, ProgressPosition> durable_positions_;
};

}  // namespace stoathold
