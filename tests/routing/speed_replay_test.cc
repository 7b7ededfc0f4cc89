// Load: one customer's fleet of runners that take 0.6, 1.0 and 1.6 times the usual, on machines
// that are 2.5 times slower for 15 in 100 of the time, anew each 0.6 s; arrivals swing between 0.38
// and 1.87 of their mean; nodes hear of one another 0 to 50 ms late. Callers need the first event
// within 300 ms. The aim is half as many late as by load alone, on the same arrivals.
#include "tests/routing/speed_replay.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

double late_in_100(SpeedReplayPlan plan, bool predicts, std::uint64_t seeds) {
  std::uint64_t late = 0;
  std::uint64_t all = 0;
  for (plan.seed = 1; plan.seed <= seeds; ++plan.seed) {
    const SpeedReplayResult result = replay_speeds(plan, predicts, select_runner);
    late += result.late_first + result.late_gap;
    all += result.online;
  }
  return 100.0 * static_cast<double>(late) / static_cast<double>(all);
}

TEST(SpeedReplayTest, HalfAsManyAreLateAt89Nodes) {
  const SpeedReplayPlan plan{.nodes = 89, .online_slots = 2.8, .batch_slots = 1};
  EXPECT_LE(late_in_100(plan, true, 2), 0.5 * late_in_100(plan, false, 2));
}

TEST(SpeedReplayTest, HalfAsManyAreLateAt295Nodes) {
  const SpeedReplayPlan plan{
      .nodes = 295, .online_slots = 2.8, .batch_slots = 1, .span = std::chrono::seconds(14)};
  EXPECT_LE(late_in_100(plan, true, 1), 0.5 * late_in_100(plan, false, 1));
}

/// A zone of the customer's fleet of 89.
TEST(SpeedReplayTest, HalfAsManyAreLateInAZoneOf30Nodes) {
  const SpeedReplayPlan plan{.nodes = 30, .online_slots = 2.6, .batch_slots = 1};
  EXPECT_LE(late_in_100(plan, true, 10), 0.5 * late_in_100(plan, false, 10));
}

TEST(SpeedReplayTest, HalfAsManyAreLateWhereRunnersReportTheirOwnSpeedToo) {
  const SpeedReplayPlan plan{
      .nodes = 30, .online_slots = 2.6, .batch_slots = 1, .reports_speed = true};
  EXPECT_LE(late_in_100(plan, true, 10), 0.5 * late_in_100(plan, false, 10));
}

// Pauses that the slow runners of a fleet cannot hold at the slow moments of their machines.
TEST(SpeedReplayTest, HalfAsManyAreLateWherePausesBind) {
  const SpeedReplayPlan plan{.nodes = 9,
                             .online_slots = 2.5,
                             .batch_slots = 1,
                             .online_gap_objective = std::chrono::milliseconds(160)};
  EXPECT_LE(late_in_100(plan, true, 20), 0.5 * late_in_100(plan, false, 20));
}

// Nine nodes fill no runner by choosing at once: what is late there waits for room.
TEST(SpeedReplayTest, NoMoreAreLateAtNineNodes) {
  const SpeedReplayPlan plan{.nodes = 9, .online_slots = 3, .batch_slots = 1};
  EXPECT_LE(late_in_100(plan, true, 8), late_in_100(plan, false, 8));
}

TEST(SpeedReplayTest, HalfAsManyAreLateWhereNodesHearNothingOfOthersSpeeds) {
  const SpeedReplayPlan plan{
      .nodes = 89, .online_slots = 2.8, .batch_slots = 1, .reports_lost = true};
  EXPECT_LE(late_in_100(plan, true, 2), 0.5 * late_in_100(plan, false, 2));
}

TEST(SpeedReplayTest, HalfAsManyAreLateWhereRunnersLieAboutTheirSlowness) {
  for (const std::uint32_t percent : {kLeastSlownessPercent, kMostSlownessPercent}) {
    const SpeedReplayPlan plan{
        .nodes = 89, .online_slots = 2.8, .batch_slots = 1, .false_percent = percent};
    EXPECT_LE(late_in_100(plan, true, 1), 0.5 * late_in_100(plan, false, 1)) << percent;
  }
}

}  // namespace
}  // namespace stoathold
