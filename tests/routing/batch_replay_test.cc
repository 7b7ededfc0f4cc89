// After each peak of online work some 90 nodes saw the same slots free and each gave its waiting
// items to what it saw: 472 within 20 ms, 1,240 at runners with 712 slots, 1,243 turned away as the
// runners' queues were full. The next peak waited behind them. Half of the replay's nodes get their
// processor each 100 ms, as machines with a tenth of a core do.
#include "tests/routing/batch_replay.h"

#include <gtest/gtest.h>

namespace stoathold::batch_replay {
namespace {

/// Until the second peak after a heap of jobs.
constexpr double kSeconds = 18;

Outcome play(Way way, double silent_part = 0) {
  return run({.way = way, .seconds = kSeconds, .silent_part = silent_part});
}

TEST(BatchReplayTest, RunnersAreNotGivenMoreItemsThanTheyHaveSlotsFor) {
  const Outcome before = play(Way::kAllAtOnce);
  const Outcome dealt = play(Way::kDealt);
  EXPECT_LT(dealt.beyond_slots, before.beyond_slots / 5);
  EXPECT_LT(dealt.refused, before.refused / 10);
  EXPECT_LT(dealt.preempted, before.preempted);
  EXPECT_LE(dealt.online_late, before.online_late);
  EXPECT_LE(dealt.items_late, before.items_late);
}

TEST(BatchReplayTest, NodesThatFallSilentLeaveNoSlotsIdle) {
  const Outcome all = play(Way::kDealt);
  const Outcome some = play(Way::kDealt, 0.2);
  // A fifth of the nodes takes its items with it; what the others may use is used.
  EXPECT_LT(some.idle_wanted, all.idle_wanted + 10);
}

}  // namespace
}  // namespace stoathold::batch_replay
