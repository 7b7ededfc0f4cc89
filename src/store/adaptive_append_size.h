/// @file
/// Adaptive size limit for appends to the log.
#pragma once

#include <algorithm>
#include <cstdint>

#include "store/record_log.h"

namespace stoathold {

/// Adapts the size of appends to what the link carries within one call's timeout: the size halves
/// after an append that was not answered and doubles after one that succeeded. A timed-out append
/// has to be resent whole: 100 results of 12 kB alone take 0.96 s on a 10 Mbit/s link, where a call
/// times out after 1 s. On 5 Mbit/s, a 300 kB submission, of which a caller attempts several, never
/// completed.
class AdaptiveAppendSize {
 public:
  /// @param max_bytes initial and maximum size.
  explicit AdaptiveAppendSize(std::uint64_t max_bytes) : max_bytes_(max_bytes), bytes_(max_bytes) {}

  /// Returns the size limit of the next append.
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  /// Adjusts the size to the outcome of an append of the current size.
  void observe(LogStatus status) {
    if (status == LogStatus::kOk) bytes_ = std::min(bytes_ * 2, max_bytes_);
    if (status == LogStatus::kUnknown) bytes_ = std::max(bytes_ / 2, kMinBytes);
  }

 private:
  /// Transfers in 26 ms at 5 Mbit/s.
  static constexpr std::uint64_t kMinBytes = 16UL * 1024;

  std::uint64_t max_bytes_;
  std::uint64_t bytes_;
};

}  // namespace stoathold
