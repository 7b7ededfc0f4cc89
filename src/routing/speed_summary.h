/// @file
/// Summary of the speed of a service's runners, for operators.
#pragma once

#include <algorithm>

#include "routing/runner_speed.h"

namespace stoathold {

/// Accumulates one runner at a time.
struct SpeedSummary {
  double max_slowness = 0;            ///< Reported multiple of the usual time; 0: no report.
  double slow_runners = 0;            ///< Runners slower than `kSlow`.
  double max_report_age_seconds = 0;  ///< Of the last reports, over the runners that have reported.
  double min_relative_time = 1;       ///< Learned time relative to the mean runner.
  double max_relative_time = 1;

  /// Multiple of the usual time above which a runner counts as slow.
  static constexpr double kSlow = 1.5;

  void add(const RunnerSpeed& runner, TimePoint now) {
    min_relative_time = std::min(min_relative_time, runner.relative_time());
    max_relative_time = std::max(max_relative_time, runner.relative_time());
    if (runner.reported_at() == TimePoint{}) return;
    const double slowness = runner.slowness(1, now);
    max_slowness = std::max(max_slowness, slowness);
    if (slowness > kSlow) ++slow_runners;
    max_report_age_seconds =
        std::max(max_report_age_seconds, to_seconds(now - runner.reported_at()));
  }
};

}  // namespace stoathold
