// Compares selection by predicted latency with selection by load on the same arrivals; the target
// is half as many late requests. The scenario is a customer's fleet: runners take 0.6, 1.0 and 1.6
// times the usual time, on machines that are 2.5 times slower for 15% of the time, in periods of
// 0.6 s. Arrivals alternate between 0.38 and 1.87 of their mean, and nodes receive each other's
// reports after 0 to 50 ms. The first event is due within 300 ms.
#include "tests/routing/speed_replay.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

double late_percent(SpeedReplayScenario scenario, bool predicts, std::uint64_t seeds) {
  std::uint64_t late = 0;
  std::uint64_t all = 0;
  for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
    const SpeedReplayResult result = replay_speeds(scenario, predicts, select_runner);
    late += result.late_first + result.late_gap;
    all += result.online;
  }
  return 100.0 * static_cast<double>(late) / static_cast<double>(all);
}

TEST(SpeedReplayTest, PredictionHalvesLateRequestsAt89Nodes) {
  const SpeedReplayScenario scenario{.nodes = 89, .online_slots = 2.8, .batch_slots = 1};
  EXPECT_LE(late_percent(scenario, true, 2), 0.5 * late_percent(scenario, false, 2));
}

TEST(SpeedReplayTest, PredictionHalvesLateRequestsAt295Nodes) {
  const SpeedReplayScenario scenario{
      .nodes = 295, .online_slots = 2.8, .batch_slots = 1, .span = std::chrono::seconds(14)};
  EXPECT_LE(late_percent(scenario, true, 1), 0.5 * late_percent(scenario, false, 1));
}

/// One zone of the customer's fleet of 89.
TEST(SpeedReplayTest, PredictionHalvesLateRequestsInZoneOf30Nodes) {
  const SpeedReplayScenario scenario{.nodes = 30, .online_slots = 2.6, .batch_slots = 1};
  EXPECT_LE(late_percent(scenario, true, 10), 0.5 * late_percent(scenario, false, 10));
}

TEST(SpeedReplayTest, PredictionHalvesLateRequestsIfReportsIncludeRunnerSpeed) {
  const SpeedReplayScenario scenario{
      .nodes = 30, .online_slots = 2.6, .batch_slots = 1, .reports_include_speed = true};
  EXPECT_LE(late_percent(scenario, true, 10), 0.5 * late_percent(scenario, false, 10));
}

// The slow runners of the fleet exceed this gap objective while their machines are slow.
TEST(SpeedReplayTest, PredictionHalvesLateRequestsIfGapObjectiveBinds) {
  const SpeedReplayScenario scenario{.nodes = 9,
                                     .online_slots = 2.5,
                                     .batch_slots = 1,
                                     .online_gap_objective = std::chrono::milliseconds(160)};
  EXPECT_LE(late_percent(scenario, true, 20), 0.5 * late_percent(scenario, false, 20));
}

// Nine nodes do not overload a runner by simultaneous selection: their late requests wait for free
// slots.
TEST(SpeedReplayTest, PredictionDoesNotIncreaseLateRequestsAtNineNodes) {
  const SpeedReplayScenario scenario{.nodes = 9, .online_slots = 3, .batch_slots = 1};
  EXPECT_LE(late_percent(scenario, true, 8), late_percent(scenario, false, 8));
}

TEST(SpeedReplayTest, PredictionHalvesLateRequestsWithoutPeerReports) {
  const SpeedReplayScenario scenario{
      .nodes = 89, .online_slots = 2.8, .batch_slots = 1, .drops_peer_reports = true};
  EXPECT_LE(late_percent(scenario, true, 2), 0.5 * late_percent(scenario, false, 2));
}

TEST(SpeedReplayTest, PredictionHalvesLateRequestsDespiteFalseReports) {
  for (const std::uint32_t percent : {kMinSlownessPercent, kMaxSlownessPercent}) {
    const SpeedReplayScenario scenario{
        .nodes = 89, .online_slots = 2.8, .batch_slots = 1, .false_slowness_percent = percent};
    EXPECT_LE(late_percent(scenario, true, 1), 0.5 * late_percent(scenario, false, 1)) << percent;
  }
}

}  // namespace
}  // namespace stoathold
