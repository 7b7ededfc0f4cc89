// The limits of tenants over a whole fleet, without sockets: what is admitted in any window, and
// what is refused though one bucket for all would have admitted it.
#include <gtest/gtest.h>

#include "tests/tenancy/limit_fleet.h"

namespace stoathold::limit_fleet {
namespace {

/// In 1,000 requests. One bucket for all refuses none of these; differences come from requests that
/// reach the bucket in another order.
constexpr double kFewRefusals = 3;

Play small_fleet() {
  return {.nodes = 9, .requests_per_second = 120};
}

TEST(TenantFleetTest, UsualTrafficIsHardlyEverRefused) {
  for (const double skew : {0.0, 1.0}) {
    const Outcome outcome = play({.skew = skew}, Way::kGossip);
    EXPECT_LE(outcome.wrongly_refused, kFewRefusals) << skew;
    EXPECT_LE(outcome.overshoot, 1) << skew;
  }
}

TEST(TenantFleetTest, AFloodStaysWithinTheLimit) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (Play flood : {small_fleet(), Play{}}) {
      flood.skew = 1;
      flood.flood_factor = 8;
      flood.seed = seed;
      const Outcome outcome = play(flood, Way::kGossip);
      EXPECT_LE(outcome.overshoot, 1) << flood.nodes << " nodes, seed " << seed;
    }
  }
}

TEST(TenantFleetTest, AFloodWhileAThirdOfTheNodesIsCutOffStaysWithinTheLimit) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Play flood{.skew = 1, .flood_factor = 8, .cut_part = 0.35, .seed = seed};
    EXPECT_LE(play(flood, Way::kGossip).overshoot, 1) << seed;
  }
}

TEST(TenantFleetTest, EvenTenantsInALargeFleetStayWithinTheLimit) {
  const Play flood{.nodes = 120, .zones = 6, .requests_per_second = 700, .flood_factor = 8};
  EXPECT_LE(play(flood, Way::kGossip).overshoot, 1);
}

}  // namespace
}  // namespace stoathold::limit_fleet
