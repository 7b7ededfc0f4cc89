/// @file
/// An exponentially decaying counter.
#pragma once

#include <cmath>

#include "base/time.h"

namespace stoathold {

/// A counter that decays to 1/e within a fixed time, so that recent counts dominate its value. Not
/// thread safe.
class DecayingCount {
 public:
  /// @param time_constant time in which the count decays to 1/e.
  explicit DecayingCount(Duration time_constant) : time_constant_(time_constant) {}

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
    return count_ * std::exp(-to_seconds(now - updated_) / to_seconds(time_constant_));
  }

 private:
  Duration time_constant_;
  double count_ = 0;
  TimePoint updated_{};
};

}  // namespace stoathold
