/// @file
/// A count of what happened lately.
#pragma once

#include <cmath>

#include "base/time.h"

namespace stoathold {

/// Falls to 1/e of itself in a fixed time, again and again, so that it follows what comes and
/// forgets what came long ago. Not thread safe.
class DecayingCount {
 public:
  /// @param memory time in which the count falls to 1/e.
  explicit DecayingCount(Duration memory) : memory_(memory) {}

  void add(double count, TimePoint now) {
    count_ = value(now) + count;
    updated_ = now;
  }
  /// Replaces the count.
  void set(double count, TimePoint now) {
    count_ = count;
    updated_ = now;
  }
  [[nodiscard]] double value(TimePoint now) const {
    if (count_ == 0) return 0;
    return count_ * std::exp(-to_seconds(now - updated_) / to_seconds(memory_));
  }

 private:
  Duration memory_;
  double count_ = 0;
  TimePoint updated_{};
};

}  // namespace stoathold
