/// @file
/// Time as the core sees it: passed in by the driver, never read from a clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

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
///
/// It counts the time for which the machine is suspended, which the steady clock of C++ does not:
/// whatever a node believes has grown that much older meanwhile, and callers have waited that long.
inline TimePoint monotonic_now() {
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec))};
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
