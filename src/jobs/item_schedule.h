/// @file
/// Urgency of a batch item: the time until it is due compared with its remaining work.
#pragma once

#include "base/time.h"

namespace stoathold {

/// Schedule of one item at one point in time. All items of a job are due at the same time, but a
/// long item must start earlier than a short one to be in time.
struct ItemSchedule {
  Duration objective{0};  ///< From the submission of the job until the item is due; 0: no due time.
  Duration age{0};        ///< Time since the submission of the job.
  Duration remaining{0};  ///< Expected time on a runner for the remaining work.

  /// Delay that the item can absorb and still be in time; negative if it will be late.
  [[nodiscard]] Duration slack() const { return objective - age - remaining; }
  /// Returns whether the item can no longer be completed in time.
  [[nodiscard]] bool late() const { return objective.count() > 0 && slack() < Duration{0}; }
};

}  // namespace stoathold
