/// @file
/// Estimates a quantile of a stream of durations in constant space.
#pragma once

#include "base/time.h"

namespace stoathold {

/// Stochastic approximation: each sample moves the estimate by a small fraction of itself, up or
/// down in proportion to the quantile. The estimate follows slow changes and is robust to single
/// outliers. Used on one thread.
class LatencyQuantile {
 public:
  /// @param quantile between 0 and 1.
  explicit LatencyQuantile(double quantile) : quantile_(quantile) {}

  void observe(Duration sample);
  /// Returns the estimate; 0 before the first sample.
  [[nodiscard]] Duration value() const { return scale(std::chrono::milliseconds(1), value_ms_); }

 private:
  double quantile_;
  double value_ms_ = 0;
  bool observed_ = false;
};

}  // namespace stoathold
