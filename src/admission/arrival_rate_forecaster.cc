#include "admission/arrival_rate_forecaster.h"

#include <algorithm>
#include <numeric>

namespace stoathold {
namespace {

/// Smoothing factor of the recent rate: averages about the last 0.3 s, the shortest time over which
/// a zone with a few requests per second shows more than noise.
constexpr double kRecentSmoothing = 0.35;
/// Smoothing factor of the long-term mean: averages about the last 10 s, nearly two periods of a 6
/// s oscillation.
constexpr double kMeanSmoothing = 0.01;
/// A peak starts above the first multiple of the mean and ends below the second. They are far
/// enough apart that noise does not end a peak.
constexpr double kPeakStartRatio = 1.25;
constexpr double kPeakEndRatio = 0.95;
/// Bins by which the detection of a level change lags, with the smoothing factors above.
constexpr std::size_t kDetectionDelayBins = 2;
/// Shorter levels are noise.
constexpr Duration kMinLevelLength = std::chrono::milliseconds(400);

}  // namespace

bool ArrivalRateForecaster::level_has_changed() const {
  return in_peak_ ? recent_ < kPeakEndRatio * mean_ : recent_ > kPeakStartRatio * mean_;
}

void ArrivalRateForecaster::observe(double rate, TimePoint now) {
  ++bins_;
  const double mean_smoothing = std::max(kMeanSmoothing, 1.0 / static_cast<double>(bins_));
  mean_ += mean_smoothing * (rate - mean_);
  recent_ += (bins_ == 1 ? 1 : kRecentSmoothing) * (rate - recent_);
  if (bins_ == 1) level_start_ = now;
  // A level change is detected some bins late, so the newest bins may already belong to the next
  // level.
  newest_rates_.push_back(rate);
  if (newest_rates_.size() > kDetectionDelayBins) {
    level_rate_sum_ += newest_rates_.front();
    newest_rates_.pop_front();
    ++level_bins_;
  }
  if (level_has_changed()) start_level(now - kBin * static_cast<int>(newest_rates_.size()));
}

double ArrivalRateForecaster::newest_mean() const {
  const double sum = std::accumulate(newest_rates_.begin(), newest_rates_.end(), 0.0);
  return newest_rates_.empty() ? 0 : sum / static_cast<double>(newest_rates_.size());
}

void ArrivalRateForecaster::start_level(TimePoint start) {
  const Duration length = start - level_start_;
  Level& ended = in_peak_ ? peak_ : low_;
  if (start_observed_ && length >= kMinLevelLength && level_bins_ > 0) {
    ended = {level_rate_sum_ / static_cast<double>(level_bins_), length};
  }
  start_observed_ = true;
  in_peak_ = !in_peak_;
  level_start_ = start;
  level_rate_sum_ = 0;
  level_bins_ = 0;
}

/// While the length of the current level is unknown, it is expected to last for as long again as it
/// has lasted so far.
TimePoint ArrivalRateForecaster::expected_level_change(TimePoint now) const {
  const Duration typical_length = (in_peak_ ? peak_ : low_).length;
  const TimePoint expected =
      typical_length.count() > 0 ? level_start_ + typical_length : now + (now - level_start_);
  return std::max(expected, now + kBin);
}

/// The ratio between the two levels stays the same when all arrivals grow, so the recent rate
/// scales the other level.
double ArrivalRateForecaster::expected_rate(TimePoint at, TimePoint now) const {
  // A rise in arrivals shows in the newest bins before it shows in the smoothed rate.
  if (at < expected_level_change(now)) return std::max(recent_, newest_mean());
  const Level& current = in_peak_ ? peak_ : low_;
  const Level& other_level = in_peak_ ? low_ : peak_;
  if (current.rate <= 0 || other_level.rate <= 0) return mean_;
  return recent_ * other_level.rate / current.rate;
}

}  // namespace stoathold
