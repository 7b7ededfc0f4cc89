#include "tests/gateway/suspended_clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace {

std::atomic<std::int64_t> suspended_microseconds{0};

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (clock != CLOCK_BOOTTIME && clock != CLOCK_REALTIME) return result;
  const std::int64_t suspended = suspended_microseconds.load();
  time->tv_sec += suspended / kMicrosecondsPerSecond;
  time->tv_nsec += suspended % kMicrosecondsPerSecond * kNanosecondsPerMicrosecond;
  if (time->tv_nsec >= kNanosecondsPerSecond) {
    time->tv_nsec -= kNanosecondsPerSecond;
    ++time->tv_sec;
  }
  return result;
}

namespace stoathold {

void suspend_machine(Duration length) {
  suspended_microseconds += length.count();
}

}  // namespace stoathold
