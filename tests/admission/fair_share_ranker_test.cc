/// Fair shares of tenants and routes that compete for slots.
///
/// Ten tenants request twice the slot capacity, one of them ten times its share, at 1, 9 and 89
/// nodes, with messages that are 0 to 50 ms old and one partitioned node. The other tenants must
/// get at least 95% of their throughput without the flood, so that their callers do not notice it.
/// At 89 nodes a node gets some 3 requests per second, too few to detect the flood from its own
/// counts alone.
#include "admission/fair_share_ranker.h"

#include <gtest/gtest.h>

#include <numeric>

#include "tests/admission/fair_share_strategies.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace share_replay;

constexpr double kToleratedRatio = 0.95;

double sum(const std::vector<double>& values, std::size_t from) {
  return std::accumulate(values.begin() + static_cast<std::ptrdiff_t>(from), values.end(), 0.0);
}

/// Requests of the nine other tenants that were placed on time.
double others(std::size_t nodes, double flood, const StrategyFactory& factory, bool yields_slots) {
  Scenario scenario = ten_tenants(nodes, 2, flood);
  scenario.yields_slots = yields_slots;
  return sum(Replay(scenario, factory).run().in_time, 1);
}

class FairShareFloodTest : public testing::TestWithParam<std::size_t> {};

TEST_P(FairShareFloodTest, OtherTenantsKeepTheirThroughput) {
  const double without = others(GetParam(), 1, by_use(true), true);
  const double with = others(GetParam(), 10, by_use(true), true);
  EXPECT_GE(with, kToleratedRatio * without);
}

/// Baseline: ordered by due time, the flood gets whatever its callers request.
TEST_P(FairShareFloodTest, DueTimeOrderCostsOtherTenantsMoreThanAThird) {
  const StrategyFactory factory = [] { return std::make_unique<ByDueTime>(); };
  EXPECT_LT(others(GetParam(), 10, factory, false), 0.67 * others(GetParam(), 1, factory, false));
}

INSTANTIATE_TEST_SUITE_P(Nodes, FairShareFloodTest, testing::Values(1, 9, 89));

/// Tenants of all sizes, weighted by their rate limits. Three of them request 4, 6 and 8 times
/// their normal rate for six seconds, which their limits reduce to 1.6 times. The slots just
/// suffice for the normal rates.
TEST(FairShareSimulationTest, FloodOfThreeTenantsBarelyAffectsTheOthers) {
  Scenario scenario;
  scenario.nodes = 20;
  const double slot_capacity = static_cast<double>(scenario.slots) / kMeanSlotSeconds;
  for (int tenant = 0; tenant < 20; ++tenant) scenario.rates.push_back(1.0 / (1 + tenant));
  const double all = sum(scenario.rates, 0);
  for (double& rate : scenario.rates) rate *= 0.9 * slot_capacity / all;
  const std::vector<double> weights = scenario.rates;
  scenario.yields_slots = true;
  const double without = sum(Replay(scenario, by_use(true, weights)).run().in_time, 3);
  scenario.flood_rates = scenario.rates;
  for (std::size_t tenant = 0; tenant < 3; ++tenant) scenario.flood_rates[tenant] *= 4 + 2 * tenant;
  scenario.flood_from = 15;
  scenario.flood_until = 21;
  const double with = sum(Replay(scenario, by_use(true, weights)).run().in_time, 3);
  EXPECT_GE(with, kToleratedRatio * without);
}

TEST(FairShareSimulationTest, SingleTenantIsNeverAboveItsShareAndNoSlotIdles) {
  Scenario scenario;
  scenario.rates = {300};
  scenario.seconds = 20;
  scenario.yields_slots = true;
  const Outcome by_turns = Replay(scenario, by_use(true)).run();
  const Outcome by_due = Replay(scenario, [] { return std::make_unique<ByDueTime>(); }).run();
  EXPECT_EQ(by_turns.idle_seconds, 0);
  EXPECT_NEAR(by_turns.in_time[0], by_due.in_time[0], 0.01 * by_due.in_time[0]);
}

/// A slot left to other nodes stays idle until the node learns that they no longer need it,
/// occasionally for some 70 ms of message delay. Callers do not notice one percent of the slots.
TEST(FairShareSimulationTest, FloodUsesSlotsThatOthersDoNotNeed) {
  Scenario scenario = ten_tenants(9, 0.5, 30);
  scenario.yields_slots = true;
  const double all = static_cast<double>(scenario.slots) * scenario.seconds;
  EXPECT_LT(Replay(scenario, by_use(true)).run().idle_seconds, 0.01 * all);
}

/// One node; each tenant uses a single route unless stated otherwise.
class FairShareRankerTest : public testing::Test {
 protected:
  static FairShareRequest request(std::uint64_t tenant, std::uint64_t route = 1) {
    return {{1, tenant}, route, milliseconds(700)};
  }
  double rank(std::uint64_t tenant, std::uint64_t route = 1) {
    const double result = ranker.add_and_rank(request(tenant, route), now);
    ranker.on_unplaced(request(tenant, route));
    return result;
  }
  void serve(int count, std::uint64_t tenant, std::uint64_t route = 1) {
    for (int i = 0; i < count; ++i) {
      ranker.add_and_rank(request(tenant, route), now);
      ranker.on_placed(request(tenant, route), now);
    }
  }

  TimePoint now{seconds(100)};
  SlotTimeLedger ledger;
  FairShareRanker ranker{ledger};
};

TEST_F(FairShareRankerTest, RanksTenantsAboveTheirShareLast) {
  serve(40, 1);
  serve(5, 2);
  EXPECT_GE(rank(1), 1);
  EXPECT_EQ(rank(2), 0);
  EXPECT_EQ(rank(3), 0);
}

TEST_F(FairShareRankerTest, CountsWaitingRequestsOfABurst) {
  serve(5, 1);
  serve(5, 2);
  double last = 0;
  for (int i = 0; i < 40; ++i) last = ranker.add_and_rank(request(1), now);
  EXPECT_GE(last, 1);
}

TEST_F(FairShareRankerTest, ToleratesAFewRequestsAboveTheShare) {
  serve(1, 1);
  serve(3, 2);
  EXPECT_EQ(rank(2), 0);
}

TEST_F(FairShareRankerTest, WeightScalesTheShare) {
  ledger.set_weights({{1, 2.0}, {2, 1.0}});
  serve(40, 1);
  serve(20, 2);
  EXPECT_EQ(rank(1), 0);
  EXPECT_EQ(rank(2), 0);
}

TEST_F(FairShareRankerTest, MoreRoutesDoNotIncreaseATenantsShare) {
  for (std::uint64_t route = 1; route <= 10; ++route) serve(4, 1, route);
  serve(5, 2);
  EXPECT_GE(rank(1, 11), 1);
  EXPECT_EQ(rank(2), 0);
}

TEST_F(FairShareRankerTest, RanksRoutesAboveTheirTypicalShareLastWithinTheTenant) {
  for (int second = 0; second < 60; ++second) {
    now += seconds(1);
    serve(2, 1, 1);
    serve(2, 1, 2);
  }
  EXPECT_EQ(rank(1, 1), 0);
  for (int i = 0; i < 40; ++i) ranker.add_and_rank(request(1, 1), now);
  EXPECT_GT(rank(1, 1), 0);
  EXPECT_LT(rank(1, 1), 1);
  EXPECT_EQ(rank(1, 2), 0);
}

TEST_F(FairShareRankerTest, UseWhileAloneDecays) {
  serve(400, 1);
  now += 3 * kUsageDecayTime;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(300);
    serve(3, 1);
    serve(3, 2);
  }
  EXPECT_EQ(rank(1), 0);
}

TEST_F(FairShareRankerTest, IdleTenantsAccumulateNoCredit) {
  serve(10, 1);
  now += seconds(600);
  serve(10, 2);
  // A short flood puts it above its share although it was idle for ten minutes.
  serve(60, 1);
  EXPECT_GE(rank(1), 1);
}

}  // namespace
}  // namespace stoathold
