/// @file
/// The time for which an item of a batch job is run before it may be given up.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"
#include "routing/configuration.h"

namespace stoathold {

/// Returns the time since a job was submitted.
/// @param submitted_ms wall clock of the node that accepted the job, since the epoch; it may be
///   ahead of this node's clock.
inline Duration job_age(std::int64_t submitted_ms) {
  return std::chrono::milliseconds(std::max<std::int64_t>(0, wall_clock_ms() - submitted_ms));
}

/// Returns whether the retention of a job's items has ended by the clocks of all nodes. Items of a
/// route without a retention are never past it.
/// @param clock_skew maximum difference between the clocks of two nodes.
inline bool is_past_retention(const Route& route, std::int64_t submitted_ms, Duration clock_skew) {
  if (route.item_retention.count() == 0) return false;
  return job_age(submitted_ms) > route.item_retention + 2 * clock_skew;
}

}  // namespace stoathold
