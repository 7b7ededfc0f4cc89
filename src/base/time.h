/// @file
/// Time types. The core gets the time as a parameter and never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace stoathold {

/// All durations in the system are whole microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag for the time points passed to the core. It has no `now()`, so the core cannot read it.
struct CoreClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A point in time on the driver's monotonic clock; comparable only within one process.
using TimePoint = CoreClock::time_point;

/// Returns the monotonic time; for drivers (`server`, `bench`) only, never for the core.
///
/// Includes the time during which the machine is suspended, unlike the steady clock of C++: a
/// node's information has aged by that time, and clients have waited that long.
inline TimePoint monotonic_now() {
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec))};
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; for drivers only. It may jump
/// and differs between machines.
inline std::int64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Multiplies a duration by a factor.
constexpr Duration scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Converts a duration to seconds, for reports.
constexpr double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace stoathold
