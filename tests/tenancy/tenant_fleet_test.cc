// Tests the tenant limits of a whole simulated fleet, without sockets: the requests admitted in any
// window, and the rejections of requests that a single global bucket would have admitted.
#include <gtest/gtest.h>

#include "tests/tenancy/rate_limit_simulation.h"

namespace stoathold::limit_fleet {
namespace {

/// Per 1,000 requests. A single global bucket rejects none of these. Differences arise from
/// requests that reach the bucket in another order.
constexpr double kToleratedRejections = 3;

Scenario small_fleet() {
  return {.nodes = 9, .requests_per_second = 120};
}

TEST(TenantFleetTest, NormalTrafficIsHardlyEverRejected) {
  for (const double skew : {0.0, 1.0}) {
    const Outcome outcome = simulate({.skew = skew}, StrategyKind::kGossip);
    EXPECT_LE(outcome.excess_rejections, kToleratedRejections) << skew;
    EXPECT_LE(outcome.overshoot, 1) << skew;
  }
}

TEST(TenantFleetTest, FloodStaysWithinTheLimit) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (Scenario flood : {small_fleet(), Scenario{}}) {
      flood.skew = 1;
      flood.flood_factor = 8;
      flood.seed = seed;
      const Outcome outcome = simulate(flood, StrategyKind::kGossip);
      EXPECT_LE(outcome.overshoot, 1) << flood.nodes << " nodes, seed " << seed;
    }
  }
}

TEST(TenantFleetTest, FloodWithAThirdOfTheNodesPartitionedStaysWithinTheLimit) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Scenario flood{.skew = 1, .flood_factor = 8, .partitioned_fraction = 0.35, .seed = seed};
    EXPECT_LE(simulate(flood, StrategyKind::kGossip).overshoot, 1) << seed;
  }
}

TEST(TenantFleetTest, EqualTenantsInALargeFleetStayWithinTheLimit) {
  const Scenario flood{.nodes = 120, .zones = 6, .requests_per_second = 700, .flood_factor = 8};
  EXPECT_LE(simulate(flood, StrategyKind::kGossip).overshoot, 1);
}

}  // namespace
}  // namespace stoathold::limit_fleet
