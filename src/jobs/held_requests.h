/// @file
/// Bytes of the requests of batch items that a node holds.
#pragma once

#include <cstdint>

#include "base/memory_budget.h"

namespace stoathold {

/// Counts the requests that wait or run, and says when no more should be read. Used on one thread.
class HeldRequests {
 public:
  /// @param budget of the process; outlives this.
  explicit HeldRequests(MemoryBudget& budget)
      : budget_(budget), reservation_(budget.charge(MemoryAccount::kJobRequests, 0)) {}

  void add(std::uint64_t bytes) { set(bytes_ + bytes); }
  void remove(std::uint64_t bytes) { set(bytes_ - bytes); }
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  /// Whether more may be read. One may be held whatever else the process holds: jobs go on.
  [[nodiscard]] bool can_read_more() const {
    return bytes_ == 0 || budget_.has_room(MemoryAccount::kJobRequests, kMaxReadBytes);
  }

 private:
  /// Most that one read of requests brings.
  static constexpr std::uint64_t kMaxReadBytes = 1024UL * 1024;
  /// Copies of a request: the item's own, and the one that is written to a runner.
  static constexpr std::uint64_t kCopiesPerRequest = 2;

  void set(std::uint64_t bytes) {
    bytes_ = bytes;
    reservation_.resize(kCopiesPerRequest * bytes);
  }

  MemoryBudget& budget_;
  MemoryReservation reservation_;
  std::uint64_t bytes_ = 0;
};

}  // namespace stoathold
