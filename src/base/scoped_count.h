/// @file
/// Counts an operation while it is in progress.
#pragma once

namespace stoathold {

/// Adds one to a counter for as long as it lives. The counter must outlive it; it is used on the
/// counter's thread, or the counter is atomic.
template <typename Counter>
class ScopedCount {
 public:
  explicit ScopedCount(Counter& counter) : counter_(counter) { ++counter_; }
  ~ScopedCount() { --counter_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  Counter& counter_;
};

}  // namespace stoathold
