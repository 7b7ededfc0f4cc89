/// @file
/// Waiting times between attempts: doubling, bounded, with jitter so that many do not come at once.
#pragma once

#include <algorithm>

#include "base/random.h"
#include "base/time.h"

namespace stoathold {

/// Shortest and longest wait.
struct BackoffBounds {
  Duration first = std::chrono::milliseconds(100);
  Duration last = std::chrono::milliseconds(1000);
};

/// One sequence of waits. Not thread safe.
class Backoff {
 public:
  explicit Backoff(BackoffBounds bounds = {}) : bounds_(bounds), current_(bounds.first) {}

  /// Returns the next wait: between half and all of the current one, which then doubles.
  Duration next() {
    const Duration wait = current_ / 2 + Duration(process_random().below(current_.count() / 2 + 1));
    current_ = std::min(current_ * 2, bounds_.last);
    return wait;
  }
  /// Returns the next wait after an attempt that took some time itself: less by that time, since
  /// whoever waited in vain has paused already. Some of it is left, so that many that waited
  /// together do not come at once.
  Duration next_after(Duration attempt) {
    const Duration wait = next();
    return std::max(wait - attempt, std::min(wait, bounds_.first) / 2);
  }
  /// An attempt succeeded.
  void reset() { current_ = bounds_.first; }

 private:
  BackoffBounds bounds_;
  Duration current_;
};

}  // namespace stoathold
