// Tests how many nodes read a topic from the log, and how many from one node, in fleets of 20 to
// 1,970 nodes in five zones whose group has 128 slots.
//
// The log serves 80 MB/s. 985 nodes that each read the 3.3 MB of a list of 10,000 runners from it
// need 41 s; in a fleet that starts 24 s before its callers come, most nodes then knew half of it,
// and all other reads of the log failed.
#include "routing/topic_sources.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace stoathold {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr std::uint32_t kSlots = 128;
constexpr std::size_t kZones = 5;

MemberName make_node(std::size_t number) {
  const std::string zone = "zone-" + std::to_string(number % kZones);
  return {"node-" + std::to_string(number), zone, "10.0.0.1:" + std::to_string(number)};
}

/// The nodes of a fleet; the first ones hold the slots of the group.
class Fleet {
 public:
  explicit Fleet(std::size_t nodes) {
    std::vector<MemberName> members;
    for (std::size_t i = 0; i < std::min<std::size_t>(nodes, kSlots); ++i) {
      members.push_back(make_node(i));
    }
    for (std::size_t i = 0; i < nodes; ++i) {
      sources_.emplace_back(make_node(i), kSlots);
      sources_.back().set_members(members);
    }
  }

  [[nodiscard]] std::size_t size() const { return sources_.size(); }
  TopicSources& node(std::size_t number) { return sources_[number]; }
  /// Returns the number of the node that a node reads from; nothing: the log.
  [[nodiscard]] std::optional<std::size_t> source(std::size_t node) const {
    const auto address = sources_[node].source(kNow);
    if (!address) return std::nullopt;
    return std::stoul(address->substr(address->find(':') + 1));
  }
  [[nodiscard]] std::size_t log_readers() const {
    std::size_t readers = 0;
    for (std::size_t i = 0; i < size(); ++i) readers += source(i) ? 0 : 1;
    return readers;
  }

 private:
  std::vector<TopicSources> sources_;
};

TEST(TopicSourcesTest, ReadersOfTheLogDependOnTheZonesInALargeFleet) {
  for (const std::size_t nodes : {200, 985, 1970}) {
    EXPECT_EQ(Fleet(nodes).log_readers(), kZones * TopicSources::kFanOut) << nodes << " nodes";
  }
}

TEST(TopicSourcesTest, AllNodesOfASmallFleetReadTheLog) {
  EXPECT_EQ(Fleet(20).log_readers(), 20U);
}

TEST(TopicSourcesTest, EachChainOfNodesEndsAtTheLogInTheSameZone) {
  constexpr std::size_t kLongestChain = 5;
  for (const std::size_t nodes : {200, 985, 1970}) {
    const Fleet fleet(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
      std::size_t hops = 0;
      for (auto next = fleet.source(i); next; next = fleet.source(*next)) {
        EXPECT_EQ(*next % kZones, i % kZones);
        ASSERT_LE(++hops, kLongestChain) << "node " << i << " of " << nodes;
      }
    }
  }
}

// Members share the other nodes of their zone by hash: with 1,970 nodes, 14 each on average.
TEST(TopicSourcesTest, ReadersAreSpreadOverTheMembers) {
  for (const std::size_t nodes : {200, 985, 1970}) {
    const Fleet fleet(nodes);
    std::map<std::size_t, std::size_t> readers;
    for (std::size_t i = 0; i < nodes; ++i) {
      const auto source = fleet.source(i);
      if (source) ++readers[*source];
    }
    const std::size_t mean = nodes / kSlots;
    for (const auto& [source, count] : readers) {
      EXPECT_LE(count, TopicSources::kFanOut + 2 * mean + 6) << nodes << " nodes";
    }
  }
}

TEST(TopicSourcesTest, NodeThatFailedIsAvoidedForSomeTime) {
  Fleet fleet(985);
  TopicSources& node = fleet.node(900);
  const auto first = node.source(kNow);
  ASSERT_TRUE(first);
  node.record_failure(*first, kNow);
  const auto second = node.source(kNow);
  ASSERT_TRUE(second);
  EXPECT_NE(*second, *first);
  node.record_failure(*second, kNow);
  node.record_failure(node.source(kNow).value(), kNow);
  EXPECT_FALSE(node.source(kNow)) << "after three failures the log is read";
  EXPECT_EQ(node.source(kNow + std::chrono::seconds(4)), first);
}

TEST(TopicSourcesTest, NodeWithoutMembersInItsZoneReadsTheLog) {
  TopicSources node({"node-1", "far", "10.0.0.1:1"}, kSlots);
  EXPECT_FALSE(node.source(kNow));
  std::vector<MemberName> members;
  for (std::size_t i = 0; i < kSlots; ++i) members.push_back(make_node(i));
  node.set_members(members);
  EXPECT_FALSE(node.source(kNow));
}

}  // namespace
}  // namespace stoathold
