#include "tenancy/tenant_gossip.h"

#include <gtest/gtest.h>

#include "base/ids.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::uint64_t kTenant = stable_hash("alder");

/// A node without sockets.
struct Node {
  Node(std::uint64_t name, std::uint64_t zone, TimePoint now) : gossip(limits, name, zone) {
    limits.set_tenants(directory, now - seconds(10));
    limits.update_silent_nodes(now);
  }
  bool admit_one(TimePoint now) { return limits.admit(directory.tenants().front(), now).admitted; }

  TenantDirectory directory{{{"alder", {"key"}, {}, {1, 100}}}};
  TenantRateLimiter limits;
  TenantGossip gossip;
};

TEST(TenantGossipTest, CountersReachTheOwnZoneDirectlyAndOtherZonesThroughOneNode) {
  TimePoint now{seconds(100)};
  Node first(1, 10, now);
  Node second(2, 10, now);
  Node remote(3, 20, now);
  // All nodes know each other before the first request arrives.
  second.gossip.apply_report(1, first.gossip.make_report(false, now), now);
  remote.gossip.apply_zone_report(second.gossip.make_zone_report(now), now);
  ASSERT_TRUE(first.admit_one(now));
  const double before = remote.limits.available("alder", now);
  second.gossip.apply_report(1, first.gossip.make_report(false, now), now);
  remote.gossip.apply_zone_report(second.gossip.make_zone_report(now), now);
  EXPECT_NEAR(remote.limits.available("alder", now), before - 1, 0.01);
}

TEST(TenantGossipTest, FullReportRepeatsCountersThatMayHaveBeenLost) {
  TimePoint now{seconds(100)};
  Node node(1, 10, now);
  ASSERT_TRUE(node.admit_one(now));
  now += seconds(1);
  EXPECT_TRUE(node.gossip.make_report(false, now).empty());
  const auto report = node.gossip.make_report(true, now);
  ASSERT_EQ(report.size(), 1U);
  EXPECT_EQ(report[0].tenant, kTenant);
  EXPECT_EQ(report[0].admitted, 1U);
}

TEST(TenantGossipTest, ReportsOnlyRecentlyHeardNodesAsAlive) {
  TimePoint now{seconds(100)};
  Node node(1, 10, now);
  node.gossip.apply_report(2, {}, now);
  EXPECT_EQ(node.gossip.make_zone_report(now).nodes.size(), 2U);
  EXPECT_EQ(node.gossip.make_zone_report(now + milliseconds(400)).nodes.size(), 1U);
}

TEST(TenantGossipTest, DoesNotCountOwnRequestsTwice) {
  TimePoint now{seconds(100)};
  Node node(1, 10, now);
  Node remote(3, 20, now);
  ASSERT_TRUE(node.admit_one(now));
  const double before = node.limits.available("alder", now);
  ZoneTenantUsage report;
  report.zone = 20;
  report.nodes = {3};
  report.usages = {{1, {kTenant, 1}}};
  node.gossip.apply_zone_report(report, now);
  EXPECT_NEAR(node.limits.available("alder", now), before, 0.01);
}

TEST(TenantGossipTest, LeavesReachTheOwnZoneDirectlyAndOtherZonesThroughOneNode) {
  TimePoint now{seconds(100)};
  Node leaving(1, 10, now);
  Node neighbour(2, 10, now);
  Node remote(3, 20, now);
  neighbour.gossip.apply_report(1, {}, now);
  remote.gossip.apply_zone_report(neighbour.gossip.make_zone_report(now), now);
  leaving.gossip.leave();
  EXPECT_TRUE(neighbour.gossip.apply_leave(1, leaving.gossip.make_report(true, now), now));
  remote.gossip.apply_zone_report(neighbour.gossip.make_zone_report(now), now);
  now += seconds(1);
  neighbour.gossip.update_silent_nodes(now);
  remote.gossip.apply_report(4, {}, now);
  remote.gossip.update_silent_nodes(now);
  EXPECT_EQ(neighbour.limits.silent_nodes(), 0U);
  EXPECT_EQ(remote.limits.silent_nodes(), 1U);  // The neighbour, silent since.
}

TEST(TenantGossipTest, CountsTheLastAdmissionsOfALeavingNodeOnce) {
  TimePoint now{seconds(100)};
  Node leaving(1, 10, now);
  Node neighbour(2, 10, now);
  neighbour.gossip.apply_report(1, {}, now);
  neighbour.gossip.apply_report(4, {}, now);
  const double before = neighbour.limits.available("alder", now);
  ASSERT_TRUE(leaving.admit_one(now));
  const auto last = leaving.gossip.make_report(true, now);
  neighbour.gossip.apply_leave(1, last, now);
  neighbour.gossip.apply_leave(1, last, now);
  EXPECT_NEAR(neighbour.limits.available("alder", now), before - 1, 0.01);
}

TEST(TenantGossipTest, LeavingNodeReportsItsLeaveToOtherZones) {
  TimePoint now{seconds(100)};
  Node leaving(1, 10, now);
  leaving.gossip.leave();
  const ZoneTenantUsage report = leaving.gossip.make_zone_report(now);
  EXPECT_TRUE(report.nodes.empty());
  EXPECT_EQ(report.departed, (std::vector<std::uint64_t>{1}));
}

}  // namespace
}  // namespace stoathold
