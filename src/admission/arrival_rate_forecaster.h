/// @file
/// Forecasts the arrival rate of a service from the oscillation of its past arrivals.
#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace stoathold {

/// Models arrivals as two alternating levels, each of a typical length. This is how events shared
/// by many callers, such as the start of an hour or the boarding call of a flight, look over some
/// seconds. Times passed in must not decrease. Used on one thread.
class ArrivalRateForecaster {
 public:
  /// Length of an arrival counting bin: long enough to contain some arrivals, short compared to the
  /// time for which callers wait.
  static constexpr Duration kBin = std::chrono::milliseconds(100);

  /// Adds a completed bin.
  /// @param rate arrivals per second in this bin.
  void observe(double rate, TimePoint now);
  /// Returns the rate expected at a future time; 0 if nothing is known.
  [[nodiscard]] double expected_rate(TimePoint at, TimePoint now) const;
  /// Returns the current smoothed rate.
  [[nodiscard]] double recent_rate() const { return recent_; }

 private:
  /// Rate and length of the latest occurrence of a level that was observed from start to end; 0 if
  /// there was none.
  struct Level {
    double rate = 0;
    Duration length{0};
  };

  void start_level(TimePoint start);
  [[nodiscard]] double newest_mean() const;
  /// Returns whether the current level has ended.
  [[nodiscard]] bool level_has_changed() const;
  /// Returns when the current level is expected to end.
  [[nodiscard]] TimePoint expected_level_change(TimePoint now) const;

  double recent_ = 0;
  double mean_ = 0;
  std::size_t bins_ = 0;
  bool in_peak_ = false;
  bool start_observed_ = false;      ///< The current level was observed from its start.
  TimePoint level_start_{};          ///< Start of the current level.
  std::deque<double> newest_rates_;  ///< Rates of bins that may belong to the next level.
  double level_rate_sum_ = 0;        ///< Sum of the bin rates of the current level.
  std::size_t level_bins_ = 0;
  Level low_;
  Level peak_;
};

}  // namespace stoathold
