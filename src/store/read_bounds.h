/// @file
/// What one read of the log may cost.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"
#include "store/record_log.h"

namespace stoathold {

/// Bounds of the next read. One that was not answered in time is begun again with more time and for
/// less: what is given up was carried in vain and made other reads late.
struct ReadBounds {
  /// The log answers no more than 1 MB at a time.
  static constexpr std::uint64_t kMaxBytes = 1024UL * 1024;
  /// Four items' requests of a usual 15 kB.
  static constexpr std::uint64_t kMinBytes = 64UL * 1024;
  /// 1 MB takes 0.4 s on 30 Mbit/s by itself, and as long again to decode with 0.12 of a core; ten
  /// such reads may be on the link.
  static constexpr Duration kMaxPatience = std::chrono::seconds(8);

  Duration patience = kPagePatience;  ///< For each page of newest records.
  std::uint64_t bytes = kMaxBytes;    ///< Asked for by a read from an offset on.

  /// Twice the time and half of the bytes.
  void ask_for_less() {
    patience = std::min(patience * 2, kMaxPatience);
    bytes = std::max(bytes / 2, kMinBytes);
  }
  /// The usual time and twice the bytes.
  void ask_for_more() {
    patience = kPagePatience;
    bytes = std::min(bytes * 2, kMaxBytes);
  }
};

}  // namespace stoathold
