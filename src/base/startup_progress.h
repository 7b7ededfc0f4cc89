/// @file
/// Tracks the startup steps of a process and logs each one once.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Steps from process start to the first work. Items and requests occur in any order.
enum class StartupStep : std::uint8_t {
  kConfigurationKnown,
  kRunnerListKnown,
  kFirstSlotsHeld,
  kJobsRead,            ///< All followed job partitions have been read to their ends.
  kFirstItemPlaced,     ///< A batch item was dispatched to a runner.
  kFirstRequestServed,  ///< An online request was served completely.
};

/// Number of steps.
inline constexpr std::size_t kStartupStepCount = 6;

/// Returns the name of the step for logs.
std::string_view to_string(StartupStep step);

/// Records the startup steps of one process. Created at its start; not thread safe.
class StartupProgress {
 public:
  explicit StartupProgress(TimePoint start) : start_(start) {}

  /// Logs the step if it is reached for the first time.
  /// @return whether it is the first time.
  bool mark_reached(StartupStep step, TimePoint now);
  /// Seconds from process start to each step reached so far, by step name.
  [[nodiscard]] const std::map<std::string, double>& seconds() const { return seconds_; }

 private:
  TimePoint start_;
  std::array<bool, kStartupStepCount> reached_{};
  std::map<std::string, double> seconds_;
};

}  // namespace stoathold
