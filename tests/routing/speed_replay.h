/// @file
/// Simulates runners of different and varying speed, and nodes that select by what they know of
/// them from delayed reports. No network; the clock is simulated.
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

/// Parameters of a simulation.
struct SpeedReplayScenario {
  std::size_t nodes = 9;  ///< Number of nodes, and of runners with 8 slots.
  std::uint64_t seed = 1;
  double online_slots = 4.0;  ///< Mean number of slots of an average runner used by online work.
  double batch_slots = 1.5;   ///< The same for batch.
  Duration span = std::chrono::seconds(20);
  Duration warm_up = std::chrono::seconds(6);                 ///< Earlier arrivals are not counted.
  Duration max_report_delay = std::chrono::milliseconds(50);  ///< Of reports between nodes.
  Duration online_gap_objective = std::chrono::milliseconds(300);
  bool reports_include_speed = false;  ///< Reported slowness includes the runner's own speed.
  bool drops_peer_reports = false;     ///< Nodes do not receive each other's speed reports.
  /// Slowness reported by every tenth runner; 0: the true one.
  std::uint32_t false_slowness_percent = 0;
};

/// Counts of requests by result.
struct SpeedReplayResult {
  std::uint64_t online = 0;
  std::uint64_t late_first = 0;  ///< First event later than 300 ms after arrival.
  std::uint64_t late_gap = 0;    ///< First event on time, but a gap above the objective.
  std::uint64_t batch = 0;
  std::uint64_t late_batch = 0;  ///< Completed later than 18 s after arrival.

  [[nodiscard]] double late_percent() const {
    return 100.0 * static_cast<double>(late_first + late_gap) / static_cast<double>(online);
  }
};

/// Selects a runner: `select_runner`, or an alternative to compare it with.
using RunnerChooser =
    std::function<Selection(const RunnerRegistry&, const SelectionRequest&, TimePoint)>;

/// Runs a simulation. Arrivals, sizes and slowness depend only on the scenario, not on the
/// selection.
/// @param predicts whether requests are selected with latency predictions.
SpeedReplayResult replay_speeds(const SpeedReplayScenario& scenario, bool predicts,
                                const RunnerChooser& choose);

}  // namespace stoathold
