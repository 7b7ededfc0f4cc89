/// @file
/// How urgent a batch item is: the time left until it is due against the work left.
#pragma once

#include "base/time.h"

namespace stoathold {

/// One item at one moment. All items of a job are due at the same time, but a long one must begin
/// earlier than a short one to be in time.
struct ItemSchedule {
  Duration objective{0};  ///< From the job's submission until the item is due; 0: never due.
  Duration age{0};        ///< Of the job.
  Duration remaining{0};  ///< What the rest of the item is expected to take at a runner.

  /// Time that the item can still lose and be in time; negative if it will be late.
  [[nodiscard]] Duration slack() const { return objective - age - remaining; }
  /// Whether it cannot be in time any more.
  [[nodiscard]] bool late() const { return objective.count() > 0 && slack() < Duration{0}; }
};

}  // namespace stoathold
