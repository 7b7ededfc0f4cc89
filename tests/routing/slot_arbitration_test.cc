#include "routing/slot_arbitration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "routing/peer_use_table.h"

namespace stoathold {
namespace {

std::vector<SlotContender> contenders(std::uint32_t first_waiting) {
  return {{11, first_waiting}, {12, 1}, {13, 1}, {14, 1}};
}

TEST(SlotArbitrationTest, AllNodesComputeTheSameOrder) {
  for (std::uint64_t slot = 1; slot < 100; ++slot) {
    std::set<std::size_t> ranks;
    for (const auto& contender : contenders(1)) {
      ranks.insert(rank_for_slot(contender.node, contenders(1), slot));
    }
    EXPECT_EQ(ranks, (std::set<std::size_t>{0, 1, 2, 3}));
  }
}

TEST(SlotArbitrationTest, NonContenderRanksLast) {
  EXPECT_EQ(rank_for_slot(99, contenders(1), 5), 4U);
  EXPECT_EQ(rank_for_slot(99, {}, 5), 0U);
}

TEST(SlotArbitrationTest, SlotsAreDividedByNumberOfWaitingRequests) {
  constexpr int kSlots = 3000;
  int won = 0;
  for (std::uint64_t slot = 1; slot <= kSlots; ++slot) {
    won += rank_for_slot(11, contenders(3), slot) == 0 ? 1 : 0;
  }
  EXPECT_NEAR(won, kSlots / 2, kSlots / 20);
}

TEST(SlotArbitrationTest, WaitGrowsWithRankUpToCap) {
  EXPECT_EQ(slot_wait(0), Duration{0});
  EXPECT_LT(slot_wait(1), slot_wait(2));
  EXPECT_EQ(slot_wait(50), slot_wait(10));
}

/// The runner loads that one node derives from the digests of others.
struct View {
  explicit View(std::uint64_t node) : table(registry, "zone", node) {
    registry.upsert({"r1", "chat", "10.0.0.1:80", "zone", 2, false});
  }
  void take(std::uint64_t sender, std::uint64_t sequence, std::uint16_t in_flight,
            std::uint16_t waiting, std::uint16_t own_waiting, TimePoint now) {
    take_demand(sender, sequence, in_flight, {stable_hash("chat"), waiting, 0},
                {stable_hash("chat"), own_waiting, 0}, now);
  }
  void take_demand(std::uint64_t sender, std::uint64_t sequence, std::uint16_t in_flight,
                   const ServiceDemand& waiting, const ServiceDemand& own_waiting, TimePoint now) {
    LoadDigest digest;
    digest.sender = sender;
    digest.sequence = sequence;
    digest.zone = stable_hash("zone");
    if (in_flight > 0) digest.uses.push_back({runner().hash(), in_flight, 0, 0, 0});
    const auto is_any = [](const ServiceDemand& demand) {
      return demand.waiting + demand.yielding > 0;
    };
    if (is_any(waiting)) digest.demand.push_back(waiting);
    std::vector<ServiceDemand> own;
    if (is_any(own_waiting)) own.push_back(own_waiting);
    table.apply(std::move(digest), {}, own, now);
  }
  Runner& runner() { return *registry.all().at("r1"); }

  RunnerRegistry registry;
  PeerUseTable table;
};

// Guards against two waiting nodes both taking the one slot that a third node freed.
TEST(SlotArbitrationTest, FreeSlotIsVisibleToOneWaitingNode) {
  const TimePoint now{std::chrono::seconds(100)};
  for (std::uint64_t sequence = 10; sequence < 40; sequence += 2) {
    View first(1);
    View second(2);
    for (View* view : {&first, &second}) {
      const std::uint64_t other = view == &first ? 2 : 1;
      view->take(3, sequence, 2, 0, 1, now);
      view->take(other, 1, 0, 1, 1, now);
      EXPECT_GE(view->runner().load(now), 1);
      view->take(3, sequence + 1, 1, 0, 1, now);
    }
    const int free =
        (first.runner().load(now) < 1 ? 1 : 0) + (second.runner().load(now) < 1 ? 1 : 0);
    EXPECT_EQ(free, 1) << sequence;
    // If the first does not take it, the other may.
    const TimePoint later = now + std::chrono::milliseconds(20);
    EXPECT_LT(first.runner().load(later), 1);
    EXPECT_LT(second.runner().load(later), 1);
  }
}

// With 89 nodes, most have only requests of a tenant that floods the fleet. They must leave slots
// to nodes with requests of other tenants.
TEST(SlotArbitrationTest, YieldingWorkLeavesSlotToUrgentWorkOfOtherNodes) {
  const TimePoint now{std::chrono::seconds(100)};
  const ServiceDemand nothing{stable_hash("chat"), 0, 0};
  const ServiceDemand urgent{stable_hash("chat"), 1, 0};
  const ServiceDemand yielding{stable_hash("chat"), 0, 5};
  for (std::uint64_t sequence = 10; sequence < 40; sequence += 2) {
    View node(1);
    node.take_demand(3, sequence, 2, nothing, yielding, now);
    node.take_demand(2, 1, 0, urgent, yielding, now);
    node.take_demand(3, sequence + 1, 1, nothing, yielding, now);
    EXPECT_GE(node.runner().load(now), 1) << sequence;
  }
}

TEST(SlotArbitrationTest, UncontestedSlotIsVisibleToOneYieldingNode) {
  const TimePoint now{std::chrono::seconds(100)};
  const ServiceDemand nothing{stable_hash("chat"), 0, 0};
  const ServiceDemand yielding{stable_hash("chat"), 0, 5};
  for (std::uint64_t sequence = 10; sequence < 40; sequence += 2) {
    int free = 0;
    for (const std::uint64_t self : {1U, 2U}) {
      View node(self);
      node.take_demand(3, sequence, 2, nothing, yielding, now);
      node.take_demand(3 - self, 1, 0, yielding, yielding, now);
      node.take_demand(3, sequence + 1, 1, nothing, yielding, now);
      free += node.runner().load(now) < 1 ? 1 : 0;
    }
    EXPECT_EQ(free, 1) << sequence;
  }
}

}  // namespace
}  // namespace stoathold
