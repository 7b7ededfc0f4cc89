/// @file
/// How far a process has come since its start, told once for each step.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Steps from the start to the first work. Items and requests come in any order.
enum class StartStep : std::uint8_t {
  kConfigurationKnown,
  kRunnerListKnown,
  kFirstSlotsHeld,
  kJobsRead,            ///< All partitions of jobs that are followed, to their ends.
  kFirstItemPlaced,     ///< At a runner.
  kFirstRequestServed,  ///< An online one, whole.
};

/// Steps that there are.
inline constexpr std::size_t kStartSteps = 6;

/// Returns the step's name for logs.
std::string_view to_string(StartStep step);

/// Notes the steps of one process. Made at its start; used on one thread.
class StartProgress {
 public:
  explicit StartProgress(TimePoint start) : start_(start) {}

  /// Writes a line if the step is reached for the first time.
  /// @return whether it is.
  bool reached(StartStep step, TimePoint now);
  /// Seconds from the start to each step that was reached, by the step's name.
  [[nodiscard]] const std::map<std::string, double>& seconds() const { return seconds_; }

 private:
  TimePoint start_;
  std::array<bool, kStartSteps> reached_{};
  std::map<std::string, double> seconds_;
};

}  // namespace stoathold
