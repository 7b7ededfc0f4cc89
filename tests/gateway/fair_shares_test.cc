#include "gateway/fair_shares.h"

#include <gtest/gtest.h>

#include "base/ids.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fair shares of one node; a service has online routes of the priorities 0 and 1.
class FairSharesTest : public testing::Test {
 protected:
  FairSharesTest() {
    policy.uses_fair_shares = true;
    ServingConfiguration configuration;
    configuration.routes = {route("ask", 0, RouteKind::kStreaming),
                            route("tell", 1, RouteKind::kStreaming),
                            route("later", 2, RouteKind::kBatch)};
    configuration.tenants = TenantDirectory(
        {{"alder", {"a"}, {}, {10, 5}}, {"birch", {"b"}, {}, {30, 5}}, {"cedar", {"c"}, {}, {}}});
    shares.configure(configuration);
    shares.register_with(placement_policy);
  }
  static Route route(const std::string& name, std::uint32_t priority, RouteKind kind) {
    Route result;
    result.name = name;
    result.priority = priority;
    result.kind = kind;
    result.services = {{"chat", 1}};
    return result;
  }
  PlacementRequest request(const std::string& tenant, std::uint32_t priority = 1) const {
    PlacementRequest result;
    result.selection.service = "chat";
    result.tenant = tenant;
    result.route = priority == 0 ? "ask" : "tell";
    result.priority = priority;
    result.slot_time = milliseconds(700);
    result.due = now + milliseconds(300);
    return result;
  }
  void serve(const std::string& tenant, int count) {
    for (int i = 0; i < count; ++i) {
      placement_policy.fair_share_rank(request(tenant), now);
      placement_policy.on_placed(request(tenant), now);
    }
  }
  double rank_of(const std::string& tenant) {
    const double result = placement_policy.fair_share_rank(request(tenant), now);
    placement_policy.on_unplaced(request(tenant), now);
    return result;
  }

  TimePoint now{seconds(100)};
  LoadPolicy policy;
  FairShares shares{policy};
  PlacementPolicy placement_policy;
};

TEST_F(FairSharesTest, WeighsTenantsByTheirRateLimits) {
  serve("alder", 20);
  serve("birch", 60);
  EXPECT_EQ(rank_of("alder"), 0);
  EXPECT_EQ(rank_of("birch"), 0);
  serve("alder", 60);
  EXPECT_GE(rank_of("alder"), 1);
  EXPECT_EQ(rank_of("birch"), 0);
}

TEST_F(FairSharesTest, WithoutThePolicyTurnsAreEqualAndNothingIsReported) {
  policy.uses_fair_shares = false;
  serve("alder", 60);
  serve("birch", 1);
  EXPECT_EQ(rank_of("alder"), 0);
  LoadDigest digest;
  shares.add_to_digest(digest, true, now);
  EXPECT_TRUE(digest.share_uses.empty());
}

TEST_F(FairSharesTest, OnlyOnlineWorkOfTheLowestPriorityYieldsToOtherNodes) {
  PlacementRequest above = request("alder", 1);
  above.fair_share_rank = 3;
  EXPECT_TRUE(placement_policy.yields_to_peers(above));
  above.priority = 0;
  EXPECT_FALSE(placement_policy.yields_to_peers(above));
  PlacementRequest within = request("alder", 1);
  within.fair_share_rank = 0.3;
  EXPECT_FALSE(placement_policy.yields_to_peers(within));
  PlacementRequest batch = above;
  batch.work = WorkClass::kBatch;
  batch.priority = 2;
  EXPECT_FALSE(placement_policy.yields_to_peers(batch));
}

TEST_F(FairSharesTest, CountsUsageReportedByOtherNodes) {
  LoadPolicy on;
  on.uses_fair_shares = true;
  FairShares other(on);
  PlacementPolicy other_decisions;
  other.register_with(other_decisions);
  LoadDigest digest;
  digest.sender = 7;
  other.add_to_digest(digest, true, now);
  shares.apply_digest(digest, now);
  serve("birch", 3);
  other_decisions.on_placed(request("birch"), now);
  other.add_to_digest(digest, true, now);
  shares.apply_digest(digest, now);  // The first report of a node is only a baseline.
  for (int i = 0; i < 60; ++i) other_decisions.on_placed(request("alder"), now);
  other.add_to_digest(digest, true, now);
  shares.apply_digest(digest, now);
  EXPECT_GE(rank_of("alder"), 1);
  EXPECT_EQ(rank_of("birch"), 0);
}

TEST_F(FairSharesTest, BatchAndOnlineWorkHaveSeparateShares) {
  PlacementRequest item = request("alder");
  item.work = WorkClass::kBatch;
  item.slot_time = seconds(5);
  for (int i = 0; i < 60; ++i) placement_policy.on_placed(item, now);
  serve("birch", 5);
  EXPECT_EQ(rank_of("alder"), 0);
}

TEST_F(FairSharesTest, MetricsShowWaitingAndGrantedSlotTime) {
  serve("alder", 2);
  placement_policy.fair_share_rank(request("alder"), now);
  const auto rows = shares.tenant_rows(now);
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].tenant, "alder");
  EXPECT_NEAR(rows[0].granted_seconds, 1.4, 0.001);
  EXPECT_NEAR(rows[0].waiting_seconds, 0.7, 0.001);
  EXPECT_NEAR(rows[0].usage_ratio, 1, 0.001);
}

TEST_F(FairSharesTest, BoundsTheMetricsOfManyTenants) {
  for (int tenant = 0; tenant < 1000; ++tenant) serve("tenant" + std::to_string(tenant), 1);
  EXPECT_LE(shares.tenant_rows(now).size(), 201U);
}

TEST_F(FairSharesTest, CountsKindsByTheOutcomeOfTheirWaits) {
  serve("alder", 2);
  placement_policy.on_unplaced(request("alder"), now);
  ASSERT_EQ(shares.inversion_monitor().classes().size(), 1U);
  const auto& counts = shares.inversion_monitor().classes().begin()->second;
  EXPECT_EQ(counts.total, (std::array<std::uint64_t, 3>{2, 0, 1}));
}

}  // namespace
}  // namespace stoathold
