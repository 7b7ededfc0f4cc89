/// @file
/// Estimates a quantile of durations from the durations themselves, in constant space.
#pragma once

#include "base/time.h"

namespace stoathold {

/// Stochastic approximation: each sample moves the estimate a small part of itself, up or down in
/// the proportion of the quantile, so that it follows slow changes and single outliers move it
/// little. Used on one thread.
class LatencyQuantile {
 public:
  /// @param quantile between 0 and 1.
  explicit LatencyQuantile(double quantile) : quantile_(quantile) {}

  void observe(Duration sample);
  /// Returns the estimate; 0 while nothing was observed.
  [[nodiscard]] Duration value() const { return scale(std::chrono::milliseconds(1), value_ms_); }

 private:
  double quantile_;
  double value_ms_ = 0;
  bool observed_ = false;
};

}  // namespace stoathold
