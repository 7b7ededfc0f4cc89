/// @file
/// Adaptive size and timeout of reads from the log.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"
#include "store/record_log.h"

namespace stoathold {

/// Limits of the next read. A read that timed out is retried with a longer timeout and fewer bytes:
/// the response to an abandoned read still uses bandwidth and delays other reads.
struct AdaptiveReadLimits {
  /// Lower bound of a read's duration, which avoids a division by zero.
  static constexpr double kMinSeconds = 0.0001;
  /// The log returns at most 1 MB per read.
  static constexpr std::uint64_t kMaxBytes = 1024UL * 1024;
  /// Holds the requests of four items of a typical 15 kB.
  static constexpr std::uint64_t kMinBytes = 64UL * 1024;
  /// Size of the first read of a partition that is read completely. When 300 nodes start together,
  /// they request 20 MB, which takes a store that serves 80 MB/s 0.24 s.
  static constexpr std::uint64_t kInitialBytes = 64UL * 1024;
  /// About a tenth of what a store of 80 MB/s can send to each of 420 nodes in a second.
  static constexpr std::uint64_t kMinFullReadBytes = 16UL * 1024;
  /// Target duration of a read among many concurrent ones: a third of its timeout, so that it still
  /// completes when three times as many nodes read at the same time.
  static constexpr Duration kTargetReadTime = std::chrono::milliseconds(300);
  /// Maximum growth from one read to the next: the first reads are fast because the other nodes
  /// have not started theirs yet.
  static constexpr std::uint64_t kMaxGrowthFactor = 4;
  /// 1 MB alone takes 0.4 s to transfer at 30 Mbit/s and another 0.4 s to decode on 0.12 of a core,
  /// and ten such reads may share the link.
  static constexpr Duration kMaxPageTimeout = std::chrono::seconds(8);

  Duration page_timeout = kPageTimeout;  ///< Timeout of each page of newest records.
  std::uint64_t bytes = kMaxBytes;       ///< Size limit of a read from an offset.
  std::uint64_t min_bytes = kMinBytes;   ///< Lower bound of `bytes`.

  /// Returns the limits for reading a whole partition, possibly from many nodes at the same time.
  static AdaptiveReadLimits for_full_read() {
    AdaptiveReadLimits bounds;
    bounds.bytes = kInitialBytes;
    bounds.min_bytes = kMinFullReadBytes;
    return bounds;
  }

  /// Doubles the page timeout and halves the size.
  void decrease() {
    page_timeout = std::min(page_timeout * 2, kMaxPageTimeout);
    bytes = std::max(bytes / 2, min_bytes);
  }
  /// Updates the limits after a read that returned data but did not reach the end: the next read
  /// requests as many bytes as the observed throughput delivers within `kTargetReadTime`.
  /// Requesting more would time out, and the response would still use bandwidth.
  void on_partial_read(std::uint64_t bytes_read, Duration duration) {
    page_timeout = kPageTimeout;
    const double seconds = std::max(to_seconds(duration), kMinSeconds);
    const double target_bytes =
        static_cast<double>(bytes_read) * to_seconds(kTargetReadTime) / seconds;
    const std::uint64_t max_next_bytes = std::min(bytes * kMaxGrowthFactor, kMaxBytes);
    bytes = std::clamp(static_cast<std::uint64_t>(std::min(target_bytes, 1.0 * kMaxBytes)),
                       std::min(min_bytes, max_next_bytes), max_next_bytes);
  }
  /// Resets the page timeout and doubles the size.
  void increase() {
    page_timeout = kPageTimeout;
    bytes = std::min(bytes * 2, kMaxBytes);
  }
};

}  // namespace stoathold
