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
  /// So that a read that took no time can be divided by it.
  static constexpr double kShortestSeconds = 0.0001;
  /// The log answers no more than 1 MB at a time.
  static constexpr std::uint64_t kMaxBytes = 1024UL * 1024;
  /// Four items' requests of a usual 15 kB.
  static constexpr std::uint64_t kMinBytes = 64UL * 1024;
  /// Of the first read of a partition of which all is to be read. 300 nodes that start together ask
  /// a store of 80 MB a second for 20 MB: 0.24 s.
  static constexpr std::uint64_t kFirstBytes = 64UL * 1024;
  /// A tenth of what 420 nodes may have under way at such a store in a second.
  static constexpr std::uint64_t kLeastOfList = 16UL * 1024;
  /// How long a read should take that is one of many: a third of the time after which it is given
  /// up, so that it still comes where three times as many nodes read at the same time.
  static constexpr Duration kReadTime = std::chrono::milliseconds(300);
  /// From one read to the next: the first ones find a store of which others are about to ask as
  /// much.
  static constexpr std::uint64_t kMostGrowth = 4;
  /// 1 MB takes 0.4 s on 30 Mbit/s by itself, and as long again to decode with 0.12 of a core; ten
  /// such reads may be on the link.
  static constexpr Duration kMaxPatience = std::chrono::seconds(8);

  Duration patience = kPagePatience;  ///< For each page of newest records.
  std::uint64_t bytes = kMaxBytes;    ///< Asked for by a read from an offset on.
  std::uint64_t least = kMinBytes;    ///< Never asked for less.

  /// Bounds of a partition that is to be read whole, maybe by many nodes at the same time.
  static ReadBounds of_list() {
    ReadBounds bounds;
    bounds.bytes = kFirstBytes;
    bounds.least = kLeastOfList;
    return bounds;
  }

  /// Twice the time and half of the bytes.
  void ask_for_less() {
    patience = std::min(patience * 2, kMaxPatience);
    bytes = std::max(bytes / 2, least);
  }
  /// A read brought all that it asked for, and there is more: as much as came at this speed within
  /// `kReadTime`. Whoever asks for what cannot come in time asks in vain, and what is given up is
  /// carried all the same.
  void answered_in_part(std::uint64_t answered, Duration took) {
    patience = kPagePatience;
    const double seconds = std::max(to_seconds(took), kShortestSeconds);
    const double wanted = static_cast<double>(answered) * to_seconds(kReadTime) / seconds;
    const std::uint64_t most = std::min(bytes * kMostGrowth, kMaxBytes);
    bytes = std::clamp(static_cast<std::uint64_t>(std::min(wanted, 1.0 * kMaxBytes)),
                       std::min(least, most), most);
  }
  /// The usual time and twice the bytes.
  void ask_for_more() {
    patience = kPagePatience;
    bytes = std::min(bytes * 2, kMaxBytes);
  }
};

}  // namespace stoathold
