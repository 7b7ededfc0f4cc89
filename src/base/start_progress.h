/// @file
/// How far a process has come since its start, told once for each step.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Steps from the start to the first work, in their usual order.
enum class StartStep : std::uint8_t {
  kConfigurationKnown,
  kRunnerListKnown,
  kFirstSlotsHeld,
  kJobsRead,         ///< All partitions of jobs that are followed, to their ends.
  kFirstItemPlaced,  ///< At a runner.
};

/// Steps that there are.
inline constexpr std::size_t kStartSteps = 5;

/// Returns the step's name for logs.
std::string_view to_string(StartStep step);

/// Notes the steps of one process. Made at its start; used on one thread.
class StartProgress {
 public:
  explicit StartProgress(TimePoint start) : start_(start) {}

  /// Writes a line if the step is reached for the first time.
  /// @return whether it is.
  bool reached(StartStep step, TimePoint now);

 private:
  TimePoint start_;
  std::array<bool, kStartSteps> reached_{};
};

}  // namespace stoathold
