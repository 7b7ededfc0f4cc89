/// @file
/// Timers that include the time during which the machine is suspended.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "base/time.h"

namespace stoathold {

/// The clock of `monotonic_now`, with the interface that Asio timers require.
struct BootClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() { return time_point(monotonic_now().time_since_epoch()); }
};

/// A timer on `BootClock`. After a suspension, an expired timer fires as soon as any timer of the
/// event loop wakes it by the steady clock; nodes have one that does so every 250 ms.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace stoathold
