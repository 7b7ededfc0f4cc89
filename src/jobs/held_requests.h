/// @file
/// Memory accounting for the requests of batch items that a node holds.
#pragma once

#include <cstdint>

#include "base/memory_budget.h"

namespace stoathold {

/// Charges the requests of waiting and running items to the memory budget and decides whether more
/// may be read. Not thread-safe.
class HeldRequests {
 public:
  /// @param budget memory budget of the process; must outlive this object.
  explicit HeldRequests(MemoryBudget& budget)
      : budget_(budget), reservation_(budget.charge(MemoryAccount::kJobRequests, 0)) {}

  void add(std::uint64_t bytes) { set(bytes_ + bytes); }
  void remove(std::uint64_t bytes) { set(bytes_ - bytes); }
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  /// Returns whether more requests may be read. One read is always allowed while none is held, so
  /// that jobs make progress even if the rest of the process uses up the budget.
  [[nodiscard]] bool can_read_more() const {
    return bytes_ == 0 || budget_.fits(MemoryAccount::kJobRequests, kMaxReadBytes);
  }

 private:
  /// Maximum memory of the requests of one read, in bytes. A read returns 1 MB, of which short
  /// header fields take four times as much in memory.
  static constexpr std::uint64_t kMaxReadBytes = 4UL * 1024 * 1024;
  /// Copies of each request: the item's own, and the one being sent to a runner.
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
