/// @file
/// Numbers for messages, whose fields are small.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "base/time.h"

namespace stoathold {

/// Returns the value, or the nearest that the type holds.
template <typename Number>
constexpr Number saturated(std::int64_t value) {
  constexpr std::int64_t kLargest = std::numeric_limits<Number>::max();
  return static_cast<Number>(std::clamp<std::int64_t>(value, 0, kLargest));
}

/// Returns a duration in whole milliseconds, at most 65.5 s; 0 if it is negative.
constexpr std::uint16_t saturated_milliseconds(Duration duration) {
  return saturated<std::uint16_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace stoathold
