/// @file
/// Bounded exponential backoff with jitter, which keeps many clients from retrying at the same
/// time.
#pragma once

#include <algorithm>

#include "base/random.h"
#include "base/time.h"

namespace stoathold {

/// Initial and maximum wait, before jitter.
struct BackoffBounds {
  Duration initial_wait = std::chrono::milliseconds(100);
  Duration max_wait = std::chrono::milliseconds(1000);
};

/// Generates the waits of one sequence of retries. Not thread-safe.
class Backoff {
 public:
  explicit Backoff(BackoffBounds bounds = {}) : bounds_(bounds), current_(bounds.initial_wait) {}

  /// Returns a wait between half and all of the current one, which then doubles.
  Duration next() {
    const Duration wait = current_ / 2 + Duration(process_random().below(current_.count() / 2 + 1));
    current_ = std::min(current_ * 2, bounds_.max_wait);
    return wait;
  }
  /// Returns the next wait, reduced by the duration of the failed attempt, which already served as
  /// a pause. A minimum remains, so that clients whose attempts timed out together do not retry at
  /// the same time.
  Duration next_after_attempt(Duration attempt) {
    const Duration wait = next();
    return std::max(wait - attempt, std::min(wait, bounds_.initial_wait) / 2);
  }
  /// Restarts the sequence after a successful attempt.
  void reset() { current_ = bounds_.initial_wait; }

 private:
  BackoffBounds bounds_;
  Duration current_;
};

}  // namespace stoathold
