/// @file
/// Identifies the software version of a runner.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/ids.h"

namespace stoathold {

/// Version of a runner's software, as a hash of the text that the directory lists. Versions have no
/// order. Runners that list none have the version of the empty text.
enum class SoftwareVersion : std::uint64_t {};

/// Returns the version with this text.
inline SoftwareVersion software_version(std::string_view text) {
  return SoftwareVersion{stable_hash(text)};
}

}  // namespace stoathold
