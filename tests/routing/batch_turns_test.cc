#include "routing/batch_turns.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;
constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint64_t kService = 5;
constexpr std::size_t kNodes = 30;
constexpr std::uint64_t kRunners = 30;

/// Nodes of one zone that have heard one another.
class BatchTurnsTest : public testing::Test {
 protected:
  BatchTurnsTest() {
    for (std::size_t i = 0; i < kNodes; ++i) nodes[i].set_self(i + 1);
  }
  void wait(std::size_t node, int items, ItemUrgency urgency = ItemUrgency::kInTime) {
    for (int i = 0; i < items; ++i) nodes[node].begin_wait(kService, urgency);
  }
  void gossip(TimePoint now = kStart) {
    for (std::size_t from = 0; from < kNodes; ++from) {
      for (std::size_t to = 0; to < kNodes; ++to) {
        if (to != from) nodes[to].take(from + 1, nodes[from].report(), now);
      }
    }
  }
  bool may_take(std::size_t node, std::uint64_t runner, Duration after = Duration{0},
                ItemUrgency urgency = ItemUrgency::kInTime) {
    return nodes[node].may_take(kService, urgency, runner, kStart + after);
  }
  std::size_t takers(std::uint64_t runner, Duration after = Duration{0}) {
    std::size_t count = 0;
    for (std::size_t node = 0; node < kNodes; ++node)
      count += may_take(node, runner, after) ? 1 : 0;
    return count;
  }
  std::size_t runners_of(std::size_t node, ItemUrgency urgency = ItemUrgency::kInTime) {
    std::size_t count = 0;
    for (std::uint64_t runner = 1; runner <= kRunners; ++runner) {
      count += may_take(node, runner, Duration{0}, urgency) ? 1 : 0;
    }
    return count;
  }

  BatchTurns nodes[kNodes];
};

TEST_F(BatchTurnsTest, ANodeThatIsAloneWithItsItemsTakesEveryRunner) {
  wait(0, 3);
  gossip();
  EXPECT_EQ(runners_of(0), kRunners);
}

// All 30 nodes of a zone gave their items to the slots that each saw free: up to 472 items within
// 20 ms, and 1,240 at runners with 712 slots.
TEST_F(BatchTurnsTest, RoomThatAllSeeIsTakenByOneNode) {
  for (std::size_t node = 0; node < kNodes; ++node) wait(node, 20);
  gossip();
  for (std::uint64_t runner = 1; runner <= kRunners; ++runner) EXPECT_EQ(takers(runner), 1U);
}

TEST_F(BatchTurnsTest, RoomThatTheFirstLeavesGoesToTheOthersInTurn) {
  for (std::size_t node = 0; node < kNodes; ++node) wait(node, 20);
  gossip();
  std::size_t before = 0;
  for (int step = 0; step < 10; ++step) {
    const std::size_t now = takers(1, milliseconds(60) * step);
    EXPECT_GE(now, before);
    if (step < 8) EXPECT_LE(now, static_cast<std::size_t>(step) + 1);
    before = now;
  }
  EXPECT_EQ(before, kNodes);
}

TEST_F(BatchTurnsTest, RoomThatWasGoneForAWhileCountsAsNew) {
  wait(0, 1);
  wait(1, 1);
  gossip();
  ASSERT_EQ(takers(1), 1U);
  for (std::size_t node : {0U, 1U}) nodes[node].note_full(1);
  EXPECT_EQ(takers(1, milliseconds(70)), 1U);
  EXPECT_EQ(takers(1, milliseconds(600)), 1U);
}

TEST_F(BatchTurnsTest, RunnersAreDealtByHowManyItemsWait) {
  wait(0, 60);
  wait(1, 20);
  gossip();
  EXPECT_GT(runners_of(0), runners_of(1));
  EXPECT_EQ(runners_of(0) + runners_of(1), kRunners);
}

TEST_F(BatchTurnsTest, ItemsThatWillBeLateComeAfterAllNodesWithItemsInTime) {
  wait(0, 20, ItemUrgency::kLate);
  wait(1, 1);
  gossip();
  EXPECT_EQ(runners_of(0, ItemUrgency::kLate), 0U);
  EXPECT_EQ(runners_of(1), kRunners);
}

TEST_F(BatchTurnsTest, AmongItemsThatWillBeLateRunnersAreDealtToo) {
  wait(0, 10, ItemUrgency::kLate);
  wait(1, 10, ItemUrgency::kLate);
  gossip();
  EXPECT_EQ(runners_of(0, ItemUrgency::kLate) + runners_of(1, ItemUrgency::kLate), kRunners);
}

TEST_F(BatchTurnsTest, ANodeThatHasFallenSilentIsOutOfItsTurn) {
  wait(0, 5);
  wait(1, 500);
  gossip();
  ASSERT_LT(runners_of(0), kRunners);
  nodes[0].note_full(1);
  std::size_t later = 0;
  for (std::uint64_t runner = 1; runner <= kRunners; ++runner) {
    later += may_take(0, runner, std::chrono::seconds(2)) ? 1 : 0;
  }
  EXPECT_EQ(later, kRunners);
}

TEST_F(BatchTurnsTest, ANodeWhoseItemsHaveGoneIsOutOfItsTurnAtOnce) {
  wait(0, 1);
  wait(1, 1);
  gossip();
  nodes[1].end_wait(kService, ItemUrgency::kInTime);
  EXPECT_TRUE(nodes[1].report().empty());
  gossip();
  std::size_t later = 0;
  for (std::uint64_t runner = 1; runner <= kRunners; ++runner) {
    later += may_take(0, runner, milliseconds(20)) ? 1 : 0;
  }
  EXPECT_EQ(later, kRunners);
}

TEST_F(BatchTurnsTest, AtRunnersOfOtherZonesOnlyTheFirstPlaces) {
  for (std::size_t node = 0; node < kNodes; ++node) wait(node, 20);
  gossip();
  std::size_t first = 0;
  for (auto& node : nodes) {
    first += node.is_first(kService, ItemUrgency::kInTime, 77, kStart + milliseconds(500)) ? 1 : 0;
  }
  EXPECT_EQ(first, 1U);
}

}  // namespace
}  // namespace stoathold
