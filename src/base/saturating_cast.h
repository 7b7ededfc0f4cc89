/// @file
/// Saturating conversions for the small integer fields of messages.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "base/time.h"

namespace stoathold {

/// Converts a value, clamped to the range from 0 to the maximum of the target type.
template <typename Number>
constexpr Number saturating_cast(std::int64_t value) {
  constexpr std::int64_t kLargest = std::numeric_limits<Number>::max();
  return static_cast<Number>(std::clamp<std::int64_t>(value, 0, kLargest));
}

/// Converts a duration to whole milliseconds, clamped to the range from 0 to 65.5 s.
constexpr std::uint16_t saturating_milliseconds(Duration duration) {
  return saturating_cast<std::uint16_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace stoathold
