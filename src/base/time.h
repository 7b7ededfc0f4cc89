/// @file
/// Time as the core sees it: passed in by the driver, never read from a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace stoathold {

/// All durations inside the system are whole microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag for time points handed to the core. It has no `now()`, so the core cannot read it.
struct CoreClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A moment on the driver's monotonic clock; comparable only within one process.
using TimePoint = CoreClock::time_point;

/// Returns the real monotonic time; for drivers (`server`, `bench`) only, never for the core.
inline TimePoint monotonic_now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{std::chrono::duration_cast<Duration>(since_start)};
}

/// Returns the time of day in milliseconds since the epoch; for drivers only. It may jump, and
/// differs from machine to machine.
inline std::int64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Returns a multiple of a duration.
constexpr Duration scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Converts a duration to seconds as a floating point number, for reports.
constexpr double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace stoathold
