// Tests that the work of one operation does not grow with the fleet.
//
// A fleet of 985 nodes has 10,000 runners in five zones. A node of 0.12 cores that rebuilt its
// indexes for each runner that left was busy for seconds when 200 runners left together: it applied
// the last of these changes too late, and answered no caller meanwhile. Allocations are counted
// instead of time.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "routing/neighbour_table.h"
#include "routing/peer_use_table.h"
#include "routing/runner_registry.h"
#include "routing/runner_selector.h"
#include "tests/routing/allocation_counter.h"

namespace stoathold {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr std::array<std::size_t, 4> kFleets{20, 200, 2000, 10000};
constexpr std::uint32_t kSlots = 8;

RunnerRecord make_record(std::size_t number, const std::string& zone) {
  return {"runner-" + std::to_string(number), "chat", "10.0.0.1:80", zone, kSlots, false};
}

void add_runners(RunnerRegistry& registry, std::size_t first, std::size_t count,
                 const std::string& zone) {
  for (std::size_t i = first; i < first + count; ++i) registry.upsert(make_record(i, zone));
}

TEST(LargeFleetTest, RemovalOfARunnerAllocatesNoMoreInALargeFleet) {
  for (const std::size_t runners : kFleets) {
    RunnerRegistry registry;
    add_runners(registry, 0, runners, "zone-1");
    const auto allocations = allocation_counter::during([&] { registry.remove("runner-7"); });
    EXPECT_LE(allocations.count, 10U) << runners << " runners";
    EXPECT_EQ(registry.for_service("chat").size(), runners - 1);
    EXPECT_EQ(registry.in_zone("zone-1").size(), runners - 1);
  }
}

TEST(LargeFleetTest, RestartOfARunnerAllocatesNoMoreInALargeFleet) {
  for (const std::size_t runners : kFleets) {
    RunnerRegistry registry;
    add_runners(registry, 0, runners, "zone-1");
    RunnerRecord restarted = make_record(7, "zone-1");
    restarted.start = RunnerStartTime{5};
    const auto allocations =
        allocation_counter::during([&] { registry.upsert(std::move(restarted)); });
    EXPECT_LE(allocations.count, 30U) << runners << " runners";
    EXPECT_EQ(registry.for_service("chat", "zone-1").size(), runners);
  }
}

TEST(LargeFleetTest, SelectionDoesNotVisitTheRunnersOfOtherZones) {
  constexpr std::size_t kOwnRunners = 20;
  RunnerRegistry small;
  add_runners(small, 0, kOwnRunners, "zone-1");
  const SelectionRequest request{.service = "chat", .zone = "zone-1", .load_limit = 1.0};
  const auto in_one_zone =
      allocation_counter::during([&] { EXPECT_TRUE(select_runner(small, request, kNow).runner); });
  for (const std::size_t others : kFleets) {
    RunnerRegistry registry;
    add_runners(registry, 0, kOwnRunners, "zone-1");
    add_runners(registry, kOwnRunners, others, "zone-2");
    const auto allocations = allocation_counter::during(
        [&] { EXPECT_TRUE(select_runner(registry, request, kNow).runner); });
    EXPECT_EQ(allocations.bytes, in_one_zone.bytes) << others << " runners in the other zone";
  }
}

TEST(LargeFleetTest, OnlyRunnersWithReportableStateAreActive) {
  for (const std::size_t runners : kFleets) {
    RunnerRegistry registry;
    add_runners(registry, 0, runners, "zone-1");
    EXPECT_EQ(registry.active().size(), 0U);
    Runner& used = *registry.all().at("runner-3");
    Runner& failed = *registry.all().at("runner-5");
    Runner& lent = *registry.all().at("runner-9");
    used.begin_attempt();
    failed.begin_attempt();
    failed.end_attempt(AttemptOutcome::kUnreachable, kNow);
    lent.set_lent(2);
    EXPECT_EQ(registry.active().size(), 3U) << runners << " runners";
    used.end_attempt(AttemptOutcome::kServed, kNow);
    lent.set_lent(0);
    registry.drop_idle_runners(kNow);
    EXPECT_EQ(registry.active().size(), 1U) << "an ejection has to be reported";
    registry.drop_idle_runners(kNow + std::chrono::seconds(30));
    EXPECT_EQ(registry.active().size(), 0U);
  }
}

TEST(LargeFleetTest, ARunnerThatLeavesAndReturnsStaysActiveWithItsRequests) {
  RunnerRegistry registry;
  add_runners(registry, 0, 2, "zone-1");
  const auto runner = registry.all().at("runner-1");
  runner->begin_attempt();
  registry.remove("runner-1");
  EXPECT_EQ(registry.active().size(), 0U);
  registry.upsert(make_record(1, "zone-1"));
  EXPECT_EQ(registry.all().at("runner-1"), runner);
  EXPECT_TRUE(registry.active().contains(*runner));
}

LoadDigest use_digest(std::uint64_t sequence, const std::vector<std::uint64_t>& runners) {
  LoadDigest digest;
  digest.sender = 2;
  digest.sequence = sequence;
  digest.zone = stable_hash("zone-1");
  for (const std::uint64_t runner : runners) digest.uses.push_back({runner, 4, 0, 0});
  return digest;
}

TEST(LargeFleetTest, UseByPeersIsCountedOnceAfterRunnersLeaveAndReturn) {
  RunnerRegistry registry;
  add_runners(registry, 0, 3, "zone-1");
  PeerUseTable uses(registry, "zone-1", 1);
  const std::uint64_t first = registry.all().at("runner-0")->hash();
  const std::uint64_t second = registry.all().at("runner-1")->hash();
  const auto load = [&](const std::string& id) { return registry.all().at(id)->load(kNow); };
  uses.apply(use_digest(1, {first, second}), {}, {}, kNow);
  EXPECT_DOUBLE_EQ(load("runner-0"), 0.5);
  registry.remove("runner-0");
  uses.apply(use_digest(2, {second}), {}, {}, kNow);
  registry.upsert(make_record(0, "zone-1"));
  EXPECT_DOUBLE_EQ(load("runner-0"), 0) << "its use ended while it was not listed";
  uses.apply(use_digest(3, {first}), {}, {}, kNow);
  EXPECT_DOUBLE_EQ(load("runner-0"), 0.5);
  EXPECT_DOUBLE_EQ(load("runner-1"), 0);
  uses.expire(kNow + std::chrono::seconds(10));
  EXPECT_DOUBLE_EQ(load("runner-0"), 0);
}

// With the same first nodes in each message, the others never learned of each other.
TEST(LargeFleetTest, MessagesListAllLiveNodesOfALargeZoneInTurn) {
  constexpr std::size_t kNodes = 400;
  constexpr std::size_t kMessages = 25;
  constexpr std::uint16_t kPort = 7000;
  NeighbourTable table;
  for (std::uint32_t ip = 1; ip <= kNodes; ++ip) {
    table.record_message({boost::asio::ip::address_v4(ip), kPort}, kNow);
  }
  std::set<std::uint32_t> reported;
  for (std::size_t message = 0; message < kMessages; ++message) {
    const auto nodes = table.next_reported_nodes(kNow);
    EXPECT_LE(nodes.size(), 16U) << "the message is sent to each node of the zone";
    for (const NodeEndpoint& node : nodes) reported.insert(node.ip);
  }
  EXPECT_EQ(reported.size(), kNodes);
}

// An idle node of a zone of 200 received 157 messages a second from nodes that had nothing to tell.
TEST(LargeFleetTest, HeartbeatsReachAllNodesInTurnAtARateThatDoesNotGrow) {
  constexpr std::uint16_t kPort = 7000;
  for (const std::size_t nodes : {20, 200, 2000}) {
    NeighbourTable table;
    for (std::uint32_t ip = 1; ip <= nodes; ++ip) {
      table.record_message({boost::asio::ip::address_v4(ip), kPort}, kNow);
    }
    std::map<NeighbourTable::Endpoint, std::size_t> received;
    const std::size_t rounds = 1 + nodes / 65;
    for (std::size_t round = 0; round < rounds; ++round) {
      const auto receivers = table.next_heartbeat_receivers();
      EXPECT_LE(receivers.size(), 64U);
      for (const auto& receiver : receivers) ++received[receiver];
    }
    EXPECT_GE(received.size(), nodes * 98 / 100) << "in " << rounds << " rounds";
    // Heard once in as many seconds as there are rounds, every node counts as live.
    const TimePoint later = kNow + std::chrono::seconds(2 * rounds);
    EXPECT_EQ(table.live_nodes(later).size(), nodes);
    EXPECT_TRUE(table.live_nodes(kNow + std::chrono::seconds(3 * rounds)).empty());
  }
}

TEST(LargeFleetTest, OnlyADigestWithoutNewsIsAHeartbeat) {
  LoadDigest digest;
  digest.configuration_version = 7;
  digest.neighbours.push_back({1, 2});
  EXPECT_TRUE(digest.is_heartbeat());
  LoadDigest uses = digest;
  uses.uses.push_back({1, 1, 0, 0});
  EXPECT_FALSE(uses.is_heartbeat());
  LoadDigest demand = digest;
  demand.demand.push_back({1, 1});
  EXPECT_FALSE(demand.is_heartbeat());
  LoadDigest ejected = digest;
  ejected.ejected.push_back({1});
  EXPECT_FALSE(ejected.is_heartbeat());
  LoadDigest leaving = digest;
  leaving.leaving = true;
  EXPECT_FALSE(leaving.is_heartbeat());
}

}  // namespace
}  // namespace stoathold
