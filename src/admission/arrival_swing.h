/// @file
/// Learns how the arrivals of a service swing, and says how many to expect a little later.
#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace stoathold {

/// Arrivals as two levels that take turns, each of a usual length: what callers' shared rhythms
/// (an hour that begins, a flight that is called) look like over some seconds. Times passed in
/// rise. Used on one thread.
class ArrivalSwing {
 public:
  /// Arrivals are counted over this time: long enough for some to come, short beside the times
  /// that callers wait.
  static constexpr Duration kBin = std::chrono::milliseconds(100);

  /// A bin is over.
  /// @param rate its arrivals a second.
  void observe(double rate, TimePoint now);
  /// Returns the rate that is expected at a moment that comes; 0 if nothing is known.
  [[nodiscard]] double expected_rate(TimePoint at, TimePoint now) const;
  /// Returns the rate of just now.
  [[nodiscard]] double rate() const { return recent_; }

 private:
  /// One level, as its latest time that was seen from begin to end; 0: none was.
  struct Level {
    double rate = 0;
    Duration length{0};
  };

  void begin_level(TimePoint start);
  [[nodiscard]] double newest_mean() const;
  /// Returns whether the level of just now has ended.
  [[nodiscard]] bool has_switched() const;
  /// When the level of just now is expected to end.
  [[nodiscard]] TimePoint switch_time(TimePoint now) const;

  double recent_ = 0;
  double mean_ = 0;
  std::size_t bins_ = 0;
  bool high_ = false;
  bool begin_seen_ = false;    ///< The level of just now was seen from its begin.
  TimePoint since_{};          ///< Begin of the level of just now.
  std::deque<double> newest_;  ///< Rates of bins that may belong to the next level.
  double level_sum_ = 0;       ///< Rates of the bins of the level of just now.
  std::size_t level_bins_ = 0;
  Level low_;
  Level peak_;
};

}  // namespace stoathold
