/// @file
/// Replays work on runners of uneven speed: nodes that choose by what they know of runners, runners
/// that are slow now and then, and reports between them. No network; the clock is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "base/random.h"
#include "routing/runner_selector.h"

namespace stoathold {

/// What is played.
struct SpeedReplayPlan {
  std::size_t nodes = 9;  ///< And as many runners, of 8 slots.
  std::uint64_t seed = 1;
  double online_slots = 4.0;  ///< That online work takes of a usual runner, in the mean.
  double batch_slots = 1.5;   ///< The same of batch.
  Duration span = std::chrono::seconds(20);
  Duration warm_up = std::chrono::seconds(6);           ///< Arrivals before that do not count.
  Duration most_delay = std::chrono::milliseconds(50);  ///< Of reports between nodes.
  Duration online_gap_objective = std::chrono::milliseconds(300);
  bool reports_speed = false;       ///< What a runner reports holds its own speed too.
  bool reports_lost = false;        ///< Nodes hear nothing of one another's speeds.
  std::uint32_t false_percent = 0;  ///< What every tenth runner says of its slowness; 0: the truth.
};

/// How it went.
struct SpeedReplayResult {
  std::uint64_t online = 0;
  std::uint64_t late_first = 0;  ///< First event later than 300 ms after the arrival.
  std::uint64_t late_gap = 0;    ///< In time for that, and a pause over the objective.
  std::uint64_t batch = 0;
  std::uint64_t late_batch = 0;  ///< Ended later than 18 s after the arrival.

  [[nodiscard]] double late_in_100() const {
    return 100.0 * static_cast<double>(late_first + late_gap) / static_cast<double>(online);
  }
};

/// Chooses a runner: `select_runner`, or another way to compare with.
using RunnerChooser =
    std::function<Selection(const RunnerRegistry&, const SelectionRequest&, TimePoint)>;

/// Plays the plan. Arrivals, sizes and slowness depend on the plan alone, whatever is chosen.
/// @param predicts whether the request names what is known of times.
SpeedReplayResult replay_speeds(const SpeedReplayPlan& plan, bool predicts,
                                const RunnerChooser& choose);

}  // namespace stoathold
