// Guards against batch items overcommitting the runners after a peak of online work. About 90 nodes
// saw the same slots free and each sent its waiting items to them: 472 within 20 ms, 1,240 at
// runners with 712 slots, and 1,243 rejected because the runners' queues were full. The next online
// peak waited behind them. Half of the replay's nodes are scheduled only every 100 ms, like
// machines with a tenth of a core.
#include "tests/routing/batch_replay.h"

#include <gtest/gtest.h>

namespace stoathold::batch_replay {
namespace {

/// Lasts until the second online peak after a burst of batch jobs.
constexpr double kSeconds = 18;

Outcome replay(SharingPolicy policy, double silent_fraction = 0) {
  return run({.policy = policy, .seconds = kSeconds, .silent_fraction = silent_fraction});
}

TEST(BatchReplayTest, ArbitrationAvoidsOvercommittingRunners) {
  const Outcome before = replay(SharingPolicy::kUncoordinated);
  const Outcome arbitrated = replay(SharingPolicy::kArbitrated);
  EXPECT_LT(arbitrated.items_beyond_slots, before.items_beyond_slots / 5);
  EXPECT_LT(arbitrated.rejected, before.rejected / 10);
  EXPECT_LT(arbitrated.preempted, before.preempted);
  EXPECT_LE(arbitrated.online_late, before.online_late);
  EXPECT_LE(arbitrated.items_late, before.items_late);
}

TEST(BatchReplayTest, SilentNodesLeaveNoSlotsIdle) {
  const Outcome all = replay(SharingPolicy::kArbitrated);
  const Outcome some = replay(SharingPolicy::kArbitrated, 0.2);
  // The items of the silent fifth of the nodes are lost, but the other nodes still use the slots
  // that batch may use.
  EXPECT_LT(some.idle_allowed_slots, all.idle_allowed_slots + 10);
}

}  // namespace
}  // namespace stoathold::batch_replay
