/// @file
/// What is known about how long the process of a runner has been running.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace stoathold {

/// Reports of other nodes about when they heard from a runner are this late at most. A node that
/// is short of processor time also reads bytes this late that the runner sent before it exited.
inline constexpr Duration kLastHeardTolerance = std::chrono::milliseconds(300);

/// Time for which a runner counts as running after bytes were received from it.
inline constexpr Duration kLivenessValidity = std::chrono::milliseconds(50);

/// A period during which one process of a runner was running without interruption: a connection was
/// opened at its start, and bytes were received over it, or over another connection that overlaps
/// it, at its end. A runner that restarts closes all its connections, so no period spans a restart,
/// whether or not the directory lists the restart.
class LivePeriod {
 public:
  LivePeriod() = default;
  LivePeriod(TimePoint since, TimePoint until)
      : since_(since), until_(until), certain_until_(until) {}

  /// Returns when the oldest connection of the period was opened.
  [[nodiscard]] TimePoint since() const { return since_; }
  /// Returns when bytes were last received.
  [[nodiscard]] TimePoint until() const { return until_; }

  /// Records bytes that this node received over a connection opened at `connected`. If the
  /// connection does not overlap the period, a new period begins.
  void record_receive(TimePoint connected, TimePoint now) {
    if (connected > certain_until_) {
      *this = LivePeriod(connected, now);
      return;
    }
    since_ = std::min(since_, connected);
    until_ = std::max(until_, now);
    certain_until_ = until_;
  }

  /// Merges the period that another node reports. Both its ends may be up to `kLastHeardTolerance`
  /// too late, so that it is only joined with this one if they overlap by more than that.
  void merge_report(TimePoint since, TimePoint until) {
    const TimePoint certain_until = until - kLastHeardTolerance;
    const bool joined = since <= certain_until_ && certain_until >= since_;
    if (joined) {
      since_ = std::min(since_, since);
      until_ = std::max(until_, until);
      certain_until_ = std::max(certain_until_, certain_until);
    } else if (since > until_) {
      *this = LivePeriod(since, until);
      certain_until_ = certain_until;
    }
  }

  /// Returns whether this process was running when a request was sent at `sent` over a connection
  /// opened at `connected`. Holds only for a period of this node's own connections.
  [[nodiscard]] bool covers_send(TimePoint connected, TimePoint sent) const {
    return since_ <= sent && connected <= until_ && sent - kLivenessValidity <= until_;
  }

  /// Returns whether the runner was running before and after a time, without a restart.
  [[nodiscard]] bool spans(TimePoint time) const {
    return since_ < time && until_ > time + kLastHeardTolerance;
  }

 private:
  TimePoint since_{};
  TimePoint until_{};
  /// End of the part of the period that does not depend on the delay of reports.
  TimePoint certain_until_{};
};

/// What a node knows about one incarnation of a runner.
struct RunnerLife {
  LivePeriod period;
  /// The directory was known to list this incarnation at this time; the clock's epoch: never.
  TimePoint listed{};
};

}  // namespace stoathold
