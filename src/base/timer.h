/// @file
/// Timers that count the time for which the machine is suspended.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "base/time.h"

namespace stoathold {

/// The clock of `monotonic_now`, in the form that timers want.
struct BootClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() { return time_point(monotonic_now().time_since_epoch()); }
};

/// A timer. After a suspension it fires when it is due by this clock, as soon as any timer of the
/// loop fires by the steady one: nodes have one that comes up every 250 ms.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace stoathold
