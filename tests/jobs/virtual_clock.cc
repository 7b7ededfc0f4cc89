#include "tests/jobs/virtual_clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
/// The virtual time at the start, since boot and as time of day.
constexpr std::int64_t kStartSeconds = 1'000'000;

std::int64_t elapsed_microseconds = 0;

}  // namespace

// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const bool is_virtual = clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
  if (!is_virtual) return static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  time->tv_sec = kStartSeconds + elapsed_microseconds / kMicrosecondsPerSecond;
  time->tv_nsec = elapsed_microseconds % kMicrosecondsPerSecond * kNanosecondsPerMicrosecond;
  return 0;
}

namespace stoathold {

void advance_clock(Duration length) {
  elapsed_microseconds += length.count();
}

}  // namespace stoathold
