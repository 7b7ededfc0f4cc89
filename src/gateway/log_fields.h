/// @file
/// Small helpers to write values into log events.
#pragma once

#include <string>

#include "base/time.h"

namespace stoathold {

/// Returns a duration in whole milliseconds.
inline std::string milliseconds_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace stoathold
