#include "routing/batch_arbiter.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;
constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint64_t kService = 5;
constexpr std::size_t kNodes = 30;
constexpr std::uint64_t kRunners = 30;

/// Nodes of one zone that exchange their reports.
class BatchArbiterTest : public testing::Test {
 protected:
  BatchArbiterTest() {
    for (std::size_t i = 0; i < kNodes; ++i) nodes[i].set_self(i + 1);
  }
  void wait(std::size_t node, int items, ItemUrgency urgency = ItemUrgency::kInTime) {
    for (int i = 0; i < items; ++i) nodes[node].begin_wait(kService, urgency);
  }
  void exchange_reports(TimePoint now = kStart) {
    for (std::size_t from = 0; from < kNodes; ++from) {
      for (std::size_t to = 0; to < kNodes; ++to) {
        if (to != from) nodes[to].apply_report(from + 1, nodes[from].report(), now);
      }
    }
  }
  bool may_take(std::size_t node, std::uint64_t runner, Duration after = Duration{0},
                ItemUrgency urgency = ItemUrgency::kInTime) {
    return nodes[node].may_use_runner(kService, urgency, runner, kStart + after);
  }
  std::size_t count_permitted_nodes(std::uint64_t runner, Duration after = Duration{0}) {
    std::size_t count = 0;
    for (std::size_t node = 0; node < kNodes; ++node)
      count += may_take(node, runner, after) ? 1 : 0;
    return count;
  }
  std::size_t count_permitted_runners(std::size_t node,
                                      ItemUrgency urgency = ItemUrgency::kInTime) {
    std::size_t count = 0;
    for (std::uint64_t runner = 1; runner <= kRunners; ++runner) {
      count += may_take(node, runner, Duration{0}, urgency) ? 1 : 0;
    }
    return count;
  }

  BatchArbiter nodes[kNodes];
};

TEST_F(BatchArbiterTest, SoleNodeWithItemsMayUseEveryRunner) {
  wait(0, 3);
  exchange_reports();
  EXPECT_EQ(count_permitted_runners(0), kRunners);
}

// Guards against all nodes of a zone using the same free slots: 30 nodes sent up to 472 items
// within 20 ms, and had 1,240 at runners with 712 slots.
TEST_F(BatchArbiterTest, FreeSlotsSeenByAllNodesAreUsedByOne) {
  for (std::size_t node = 0; node < kNodes; ++node) wait(node, 20);
  exchange_reports();
  for (std::uint64_t runner = 1; runner <= kRunners; ++runner)
    EXPECT_EQ(count_permitted_nodes(runner), 1U);
}

TEST_F(BatchArbiterTest, FreeSlotsUnusedByFirstNodePassToLaterRanks) {
  for (std::size_t node = 0; node < kNodes; ++node) wait(node, 20);
  exchange_reports();
  std::size_t before = 0;
  for (int step = 0; step < 10; ++step) {
    const std::size_t now = count_permitted_nodes(1, milliseconds(60) * step);
    EXPECT_GE(now, before);
    if (step < 8) EXPECT_LE(now, static_cast<std::size_t>(step) + 1);
    before = now;
  }
  EXPECT_EQ(before, kNodes);
}

TEST_F(BatchArbiterTest, FreeSlotsCountAsNewAfterRunnerWasFull) {
  wait(0, 1);
  wait(1, 1);
  exchange_reports();
  ASSERT_EQ(count_permitted_nodes(1), 1U);
  for (std::size_t node : {0U, 1U}) nodes[node].record_no_free_slot(1);
  EXPECT_EQ(count_permitted_nodes(1, milliseconds(70)), 1U);
  EXPECT_EQ(count_permitted_nodes(1, milliseconds(600)), 1U);
}

TEST_F(BatchArbiterTest, RunnersAreDividedByNumberOfWaitingItems) {
  wait(0, 60);
  wait(1, 20);
  exchange_reports();
  EXPECT_GT(count_permitted_runners(0), count_permitted_runners(1));
  EXPECT_EQ(count_permitted_runners(0) + count_permitted_runners(1), kRunners);
}

TEST_F(BatchArbiterTest, LateItemsRankBehindNodesWithOnTimeItems) {
  wait(0, 20, ItemUrgency::kLate);
  wait(1, 1);
  exchange_reports();
  EXPECT_EQ(count_permitted_runners(0, ItemUrgency::kLate), 0U);
  EXPECT_EQ(count_permitted_runners(1), kRunners);
}

TEST_F(BatchArbiterTest, RunnersAreDividedAmongLateItems) {
  wait(0, 10, ItemUrgency::kLate);
  wait(1, 10, ItemUrgency::kLate);
  exchange_reports();
  EXPECT_EQ(count_permitted_runners(0, ItemUrgency::kLate) +
                count_permitted_runners(1, ItemUrgency::kLate),
            kRunners);
}

TEST_F(BatchArbiterTest, SilentNodeDropsOutOfOrder) {
  wait(0, 5);
  wait(1, 500);
  exchange_reports();
  ASSERT_LT(count_permitted_runners(0), kRunners);
  nodes[0].record_no_free_slot(1);
  std::size_t later = 0;
  for (std::uint64_t runner = 1; runner <= kRunners; ++runner) {
    later += may_take(0, runner, std::chrono::seconds(2)) ? 1 : 0;
  }
  EXPECT_EQ(later, kRunners);
}

TEST_F(BatchArbiterTest, NodeWithoutItemsDropsOutOfOrderImmediately) {
  wait(0, 1);
  wait(1, 1);
  exchange_reports();
  nodes[1].end_wait(kService, ItemUrgency::kInTime);
  EXPECT_TRUE(nodes[1].report().empty());
  exchange_reports();
  std::size_t later = 0;
  for (std::uint64_t runner = 1; runner <= kRunners; ++runner) {
    later += may_take(0, runner, milliseconds(20)) ? 1 : 0;
  }
  EXPECT_EQ(later, kRunners);
}

TEST_F(BatchArbiterTest, OnlyFirstRankUsesRunnersOfOtherZones) {
  for (std::size_t node = 0; node < kNodes; ++node) wait(node, 20);
  exchange_reports();
  std::size_t first = 0;
  for (auto& node : nodes) {
    first += node.is_first_in_order(kService, ItemUrgency::kInTime, 77, kStart + milliseconds(500))
                 ? 1
                 : 0;
  }
  EXPECT_EQ(first, 1U);
}

}  // namespace
}  // namespace stoathold
