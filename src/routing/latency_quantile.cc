#include "routing/latency_quantile.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Largest fraction of the estimate by which one sample moves it. A larger one follows changes
/// sooner but fluctuates more.
constexpr double kStep = 0.1;
/// Minimum step, so that an estimate near zero can rise.
constexpr double kMinStepMs = 0.5;
constexpr double kMsPerSecond = 1000;

}  // namespace

void LatencyQuantile::observe(Duration sample) {
  const double sample_ms = to_seconds(sample) * kMsPerSecond;
  if (!observed_) {
    observed_ = true;
    value_ms_ = sample_ms;
    return;
  }
  const double step = std::max(kMinStepMs, value_ms_ * kStep);
  if (sample_ms > value_ms_) {
    value_ms_ = std::min(sample_ms, value_ms_ + step * quantile_);
  } else {
    value_ms_ = std::max(sample_ms, value_ms_ - step * (1 - quantile_));
  }
}

}  // namespace stoathold
