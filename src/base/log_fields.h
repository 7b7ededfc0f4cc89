/// @file
/// Formats values for log events.
#pragma once

#include <string>

#include "base/time.h"

namespace stoathold {

/// Formats a duration in whole milliseconds.
inline std::string milliseconds_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// Formats a number with two decimal places.
inline std::string decimal_text(double number) {
  constexpr int kHundred = 100;
  const int hundredths = static_cast<int>(number * kHundred);
  const int rest = hundredths % kHundred;
  constexpr int kTen = 10;
  return std::to_string(hundredths / kHundred) + (rest < kTen ? ".0" : ".") + std::to_string(rest);
}

}  // namespace stoathold
