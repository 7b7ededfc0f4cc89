#include "admission/arrival_swing.h"

#include <algorithm>
#include <numeric>

namespace stoathold {
namespace {

/// Part of a new bin in the recent rate: about the last 0.3 s count, in which a zone of a few
/// requests a second more than its noise shows.
constexpr double kRecentPart = 0.35;
/// Part of a new bin in the mean: about the last 10 s count, two turns of a swing of 6 s.
constexpr double kMeanPart = 0.01;
/// A peak begins above this multiple of the mean and ends below the other: apart enough that noise
/// does not end it.
constexpr double kPeakBegins = 1.25;
constexpr double kPeakEnds = 0.95;
/// Bins after which a level's end is noticed, at the parts above.
constexpr std::size_t kNoticeBins = 2;
/// Shorter ones are noise.
constexpr Duration kShortestLevel = std::chrono::milliseconds(400);

}  // namespace

bool ArrivalSwing::has_switched() const {
  return high_ ? recent_ < kPeakEnds * mean_ : recent_ > kPeakBegins * mean_;
}

void ArrivalSwing::observe(double rate, TimePoint now) {
  ++bins_;
  const double mean_part = std::max(kMeanPart, 1.0 / static_cast<double>(bins_));
  mean_ += mean_part * (rate - mean_);
  recent_ += (bins_ == 1 ? 1 : kRecentPart) * (rate - recent_);
  if (bins_ == 1) since_ = now;
  // The newest bins may belong to the next level already: it is noticed some bins late.
  newest_.push_back(rate);
  if (newest_.size() > kNoticeBins) {
    level_sum_ += newest_.front();
    newest_.pop_front();
    ++level_bins_;
  }
  if (has_switched()) begin_level(now - kBin * static_cast<int>(newest_.size()));
}

double ArrivalSwing::newest_mean() const {
  const double sum = std::accumulate(newest_.begin(), newest_.end(), 0.0);
  return newest_.empty() ? 0 : sum / static_cast<double>(newest_.size());
}

void ArrivalSwing::begin_level(TimePoint start) {
  const Duration length = start - since_;
  Level& ended = high_ ? peak_ : low_;
  if (begin_seen_ && length >= kShortestLevel && level_bins_ > 0) {
    ended = {level_sum_ / static_cast<double>(level_bins_), length};
  }
  begin_seen_ = true;
  high_ = !high_;
  since_ = start;
  level_sum_ = 0;
  level_bins_ = 0;
}

/// A level whose length is not known yet is expected to last as long again as it has lasted.
TimePoint ArrivalSwing::switch_time(TimePoint now) const {
  const Duration usual = (high_ ? peak_ : low_).length;
  const TimePoint expected = usual.count() > 0 ? since_ + usual : now + (now - since_);
  return std::max(expected, now + kBin);
}

/// The levels keep their proportion while all arrivals grow: those of just now say how much.
double ArrivalSwing::expected_rate(TimePoint at, TimePoint now) const {
  // Arrivals that begin to rise are in the newest bins before the mean shows them.
  if (at < switch_time(now)) return std::max(recent_, newest_mean());
  const Level& here = high_ ? peak_ : low_;
  const Level& other = high_ ? low_ : peak_;
  if (here.rate <= 0 || other.rate <= 0) return mean_;
  return recent_ * other.rate / here.rate;
}

}  // namespace stoathold
