/// Turns of tenants and routes that compete for slots.
///
/// The load: ten tenants ask for twice what the slots give, one of them ten times its part, at 1, 9
/// and 89 nodes, with messages 0 to 50 ms old and one node that is cut off. Others must get what
/// they would without the flood, within 5 in 100: callers of other tenants must not notice it. One
/// node sees some 3 requests a second of its callers at 89 nodes, so that its own counts tell it
/// nothing.
#include "admission/fair_turns.h"

#include <gtest/gtest.h>

#include <numeric>

#include "tests/admission/share_ways.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace share_replay;

constexpr double kNotNoticed = 0.95;

double sum(const std::vector<double>& values, std::size_t from) {
  return std::accumulate(values.begin() + static_cast<std::ptrdiff_t>(from), values.end(), 0.0);
}

/// Requests of the nine others that were placed in time.
double others(std::size_t nodes, double flood, const MakeTurns& make, bool leaves_slots) {
  Play play = ten_tenants(nodes, 2, flood);
  play.leaves_slots = leaves_slots;
  return sum(Replay(play, make).run().in_time, 1);
}

class FloodOfOneTenant : public testing::TestWithParam<std::size_t> {};

TEST_P(FloodOfOneTenant, TheOthersGetWhatTheyWouldWithoutIt) {
  const double without = others(GetParam(), 1, by_use(true), true);
  const double with = others(GetParam(), 10, by_use(true), true);
  EXPECT_GE(with, kNotNoticed * without);
}

/// What this is there for: by due time the flood takes what its callers ask for.
TEST_P(FloodOfOneTenant, ByDueTimeTheOthersLoseMoreThanAThird) {
  const MakeTurns make = [] { return std::make_unique<ByDueTime>(); };
  EXPECT_LT(others(GetParam(), 10, make, false), 0.67 * others(GetParam(), 1, make, false));
}

INSTANTIATE_TEST_SUITE_P(Nodes, FloodOfOneTenant, testing::Values(1, 9, 89));

/// Tenants of all sizes, each with its limit as its weight; three ask for 4, 6 and 8 times their
/// usual for six seconds, cut to 1.6 times by their limits. The slots are just enough without.
TEST(FairTurnsTest, AFloodOfThreeTenantsTakesLittleFromTheOthers) {
  Play play;
  play.nodes = 20;
  const double room = static_cast<double>(play.slots) / kMeanSlotSeconds;
  for (int tenant = 0; tenant < 20; ++tenant) play.rates.push_back(1.0 / (1 + tenant));
  const double all = sum(play.rates, 0);
  for (double& rate : play.rates) rate *= 0.9 * room / all;
  const std::vector<double> weights = play.rates;
  play.leaves_slots = true;
  const double without = sum(Replay(play, by_use(true, weights)).run().in_time, 3);
  play.flood_rates = play.rates;
  for (std::size_t tenant = 0; tenant < 3; ++tenant) play.flood_rates[tenant] *= 4 + 2 * tenant;
  play.flood_from = 15;
  play.flood_until = 21;
  const double with = sum(Replay(play, by_use(true, weights)).run().in_time, 3);
  EXPECT_GE(with, kNotNoticed * without);
}

TEST(FairTurnsTest, OneTenantAloneIsNeverAboveItsPartAndNothingIdles) {
  Play play;
  play.rates = {300};
  play.seconds = 20;
  play.leaves_slots = true;
  const Outcome by_turns = Replay(play, by_use(true)).run();
  const Outcome by_due = Replay(play, [] { return std::make_unique<ByDueTime>(); }).run();
  EXPECT_EQ(by_turns.idle_seconds, 0);
  EXPECT_NEAR(by_turns.in_time[0], by_due.in_time[0], 0.01 * by_due.in_time[0]);
}

/// A slot that is left to other nodes stands idle until they are heard to want it no more: some 70
/// ms of messages here, now and then. One in a hundred of the slots is less than callers notice.
TEST(FairTurnsTest, AFloodTakesTheSlotsThatOthersDoNotWant) {
  Play play = ten_tenants(9, 0.5, 30);
  play.leaves_slots = true;
  const double all = static_cast<double>(play.slots) * play.seconds;
  EXPECT_LT(Replay(play, by_use(true)).run().idle_seconds, 0.01 * all);
}

/// One node, a tenant with a single route unless told otherwise.
class FairTurnsOfOneNodeTest : public testing::Test {
 protected:
  static TurnRequest request(std::uint64_t tenant, std::uint64_t route = 1) {
    return {{1, tenant}, route, milliseconds(700)};
  }
  double turn(std::uint64_t tenant, std::uint64_t route = 1) {
    const double result = turns.arrive(request(tenant, route), now);
    turns.left(request(tenant, route));
    return result;
  }
  void serve(int count, std::uint64_t tenant, std::uint64_t route = 1) {
    for (int i = 0; i < count; ++i) {
      turns.arrive(request(tenant, route), now);
      turns.placed(request(tenant, route), now);
    }
  }

  TimePoint now{seconds(100)};
  ShareLedger ledger;
  FairTurns turns{ledger};
};

TEST_F(FairTurnsOfOneNodeTest, WhoUsedMoreThanItsPartGoesBehind) {
  serve(40, 1);
  serve(5, 2);
  EXPECT_GE(turn(1), 1);
  EXPECT_EQ(turn(2), 0);
  EXPECT_EQ(turn(3), 0);
}

TEST_F(FairTurnsOfOneNodeTest, ABurstIsAboveItsPartBeforeAnyOfItIsServed) {
  serve(5, 1);
  serve(5, 2);
  double last = 0;
  for (int i = 0; i < 40; ++i) last = turns.arrive(request(1), now);
  EXPECT_GE(last, 1);
}

TEST_F(FairTurnsOfOneNodeTest, SomeRequestsMoreThanThePartAreNoFlood) {
  serve(1, 1);
  serve(3, 2);
  EXPECT_EQ(turn(2), 0);
}

TEST_F(FairTurnsOfOneNodeTest, AWeightOfTwoGetsTwice) {
  ledger.set_weights({{1, 2.0}, {2, 1.0}});
  serve(40, 1);
  serve(20, 2);
  EXPECT_EQ(turn(1), 0);
  EXPECT_EQ(turn(2), 0);
}

TEST_F(FairTurnsOfOneNodeTest, ATenantDoesNotGainByUsingMoreRoutes) {
  for (std::uint64_t route = 1; route <= 10; ++route) serve(4, 1, route);
  serve(5, 2);
  EXPECT_GE(turn(1, 11), 1);
  EXPECT_EQ(turn(2), 0);
}

TEST_F(FairTurnsOfOneNodeTest, ARouteAboveItsUsualPartGoesBehindTheOthersOfItsTenant) {
  for (int second = 0; second < 60; ++second) {
    now += seconds(1);
    serve(2, 1, 1);
    serve(2, 1, 2);
  }
  EXPECT_EQ(turn(1, 1), 0);
  for (int i = 0; i < 40; ++i) turns.arrive(request(1, 1), now);
  EXPECT_GT(turn(1, 1), 0);
  EXPECT_LT(turn(1, 1), 1);
  EXPECT_EQ(turn(1, 2), 0);
}

TEST_F(FairTurnsOfOneNodeTest, WhatWasUsedWhileNobodyElseCameIsForgotten) {
  serve(400, 1);
  now += 3 * kUsageDecayTime;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(300);
    serve(3, 1);
    serve(3, 2);
  }
  EXPECT_EQ(turn(1), 0);
}

TEST_F(FairTurnsOfOneNodeTest, ALongIdleTenantSavesNoCreditUp) {
  serve(10, 1);
  now += seconds(600);
  serve(10, 2);
  // It has used nothing for ten minutes, and still is above its part after a short flood.
  serve(60, 1);
  EXPECT_GE(turn(1), 1);
}

}  // namespace
}  // namespace stoathold
