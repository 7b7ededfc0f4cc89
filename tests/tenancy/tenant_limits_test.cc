#include "tenancy/tenant_limits.h"

#include <gtest/gtest.h>

#include "base/ids.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kPeer = 7;

/// One node's view, with a tenant of 10 requests a second and 5 on top.
class TenantLimitsTest : public testing::Test {
 protected:
  TenantLimitsTest() { put_in_force(10, 5); }

  void put_in_force(double per_second, double burst) {
    directory = TenantDirectory({{"alder", {"key"}, {}, {per_second, burst}}});
    limits.set_tenants(directory, now);
  }
  /// Lets time pass, in which the peer is heard of or not.
  void pass(Duration time, bool peer_heard = true) {
    const TimePoint end = now + time;
    while (now < end) {
      now += milliseconds(50);
      if (peer_heard) limits.node_heard(kPeer, now);
      limits.check_silence(now);
    }
  }
  AdmissionDecision ask() { return limits.admit(directory.tenants().front(), now); }
  int admitted_of(int count) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) admitted += ask().admitted ? 1 : 0;
    return admitted;
  }
  void peer_admitted(std::uint32_t total) {
    limits.take_usage(kPeer, {stable_hash("alder"), total}, now);
  }

  TimePoint now{seconds(100)};
  TenantDirectory directory;
  TenantLimits limits;
};

TEST_F(TenantLimitsTest, RateAndBurstAreAdmittedAndNoMore) {
  pass(seconds(10));
  EXPECT_EQ(admitted_of(20), 5);
  pass(seconds(1));
  EXPECT_GE(admitted_of(20), 5);
}

TEST_F(TenantLimitsTest, ARefusalSaysWhenTheNextRequestIsAdmitted) {
  pass(seconds(10));
  admitted_of(20);
  const AdmissionDecision decision = ask();
  ASSERT_FALSE(decision.admitted);
  EXPECT_GT(decision.retry_after, Duration{0});
  EXPECT_LE(decision.retry_after, milliseconds(110));
  pass(decision.retry_after + milliseconds(50));
  EXPECT_TRUE(ask().admitted);
}

TEST_F(TenantLimitsTest, WhatOtherNodesAdmittedCounts) {
  pass(seconds(10));
  peer_admitted(1);
  pass(seconds(10));
  peer_admitted(5);
  EXPECT_EQ(admitted_of(20), 1);
}

TEST_F(TenantLimitsTest, WhatWasAdmittedTooMuchIsPaidBack) {
  pass(seconds(10));
  peer_admitted(0);
  peer_admitted(25);
  EXPECT_EQ(admitted_of(20), 0);
  pass(seconds(1));
  EXPECT_EQ(admitted_of(20), 0);
  pass(seconds(2));
  EXPECT_GT(admitted_of(20), 0);
}

TEST_F(TenantLimitsTest, TheCounterOfANodeThatWasThereBeforeTellsOfThePast) {
  pass(seconds(10), false);
  limits.take_usage(99, {stable_hash("alder"), 1000}, now);
  limits.node_heard(99, now);
  EXPECT_GT(limits.available("alder", now), -1);
  limits.take_usage(99, {stable_hash("alder"), 1003}, now);
  EXPECT_LT(limits.available("alder", now), 0);
}

TEST_F(TenantLimitsTest, ARepeatedOrLostReportChangesNothing) {
  pass(seconds(10));
  peer_admitted(1);
  peer_admitted(1);
  EXPECT_NEAR(limits.available("alder", now), 4, 0.01);
  peer_admitted(3);
  EXPECT_NEAR(limits.available("alder", now), 2, 0.01);
}

TEST_F(TenantLimitsTest, ARequestThatNeverRanIsGivenBack) {
  pass(seconds(10));
  EXPECT_EQ(admitted_of(20), 5);
  limits.give_back("alder", now);
  EXPECT_EQ(admitted_of(20), 1);
}

TEST_F(TenantLimitsTest, ANodeThatIsCutOffAdmitsOnlyItsShare) {
  // The peer has nine of ten requests.
  put_in_force(10, 20);
  std::uint32_t peer_total = 0;
  for (int second = 0; second < 20; ++second) {
    peer_total += 9;
    peer_admitted(peer_total);
    EXPECT_TRUE(ask().admitted);
    pass(seconds(2));
  }
  pass(seconds(1), false);
  admitted_of(20);
  int admitted = 0;
  for (int step = 0; step < 100; ++step) {
    pass(milliseconds(100), false);
    admitted += admitted_of(5);
  }
  // A tenth of 100 requests, and the weight that nodes without requests have.
  EXPECT_GE(admitted, 5);
  EXPECT_LE(admitted, 20);
}

TEST_F(TenantLimitsTest, TheShareOfASilentNodeIsNotGivenToOthers) {
  std::uint32_t peer_total = 0;
  for (int second = 0; second < 20; ++second) {
    peer_total += 1;
    peer_admitted(peer_total);
    admitted_of(1);
    limits.node_heard(8, now);
    pass(seconds(1));
  }
  const auto pass_with_another = [&](Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now += milliseconds(50);
      limits.node_heard(8, now);
      limits.check_silence(now);
    }
  };
  pass_with_another(seconds(1));
  admitted_of(50);
  int admitted = 0;
  for (int step = 0; step < 100; ++step) {
    pass_with_another(milliseconds(100));
    admitted += admitted_of(5);
  }
  // About half of 100: the silent node had as many requests as this one.
  EXPECT_GE(admitted, 35);
  EXPECT_LE(admitted, 70);
}

TEST_F(TenantLimitsTest, WhatASilentNodeIsTakenToAdmitIsNotCountedTwice) {
  limits.node_heard(kPeer, now);
  limits.node_heard(8, now);
  peer_admitted(10);
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(50);
    limits.node_heard(8, now);
    limits.check_silence(now);
  }
  admitted_of(20);
  const double before = limits.available("alder", now);
  limits.node_heard(kPeer, now);
  peer_admitted(12);
  EXPECT_NEAR(limits.available("alder", now), before, 0.5);
}

TEST_F(TenantLimitsTest, AProcessThatStoodStillGainsNothingMeanwhile) {
  pass(seconds(10));
  EXPECT_EQ(admitted_of(20), 5);
  now += seconds(5);
  EXPECT_EQ(admitted_of(20), 0);
}

TEST_F(TenantLimitsTest, AProcessThatHasJustBegunAdmitsLittleBeforeItHearsOthers) {
  TenantLimits fresh;
  const TenantDirectory large({{"alder", {"key"}, {}, {160, 160}}});
  fresh.set_tenants(large, now);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += fresh.admit(large.tenants().front(), now).admitted;
  EXPECT_LE(admitted, 10);
  EXPECT_GE(admitted, 1);
}

// Reports hold few counters: the same ones were once left out of each, in the order of a hash.
TEST_F(TenantLimitsTest, TheNewestChangesAreReportedFirst) {
  limits.node_heard(kPeer, now);
  for (std::uint64_t tenant = 1; tenant <= 100; ++tenant) {
    now += milliseconds(1);
    limits.take_usage(kPeer, {tenant, 1}, now);
  }
  const auto changes = limits.changes_of({kPeer}, milliseconds(250), 10, now);
  ASSERT_EQ(changes.size(), 10U);
  EXPECT_EQ(changes.front().usage.tenant, 100U);
  EXPECT_EQ(changes.back().usage.tenant, 91U);
  EXPECT_TRUE(limits.changes_of({99}, milliseconds(250), 10, now).empty());
}

TEST_F(TenantLimitsTest, ALowerLimitHoldsAtOnce) {
  pass(seconds(10));
  put_in_force(2, 1);
  EXPECT_EQ(admitted_of(20), 1);
  pass(seconds(5));
  EXPECT_EQ(admitted_of(20), 1);
}

TEST_F(TenantLimitsTest, ATenantWithoutALimitIsNeverRefused) {
  const Tenant open{"birch", {"key"}, {}, {}};
  for (int i = 0; i < 1000; ++i) EXPECT_TRUE(limits.admit(open, now).admitted);
}

// A node that stopped as planned kept its share of each limit for 20 s, since nobody could tell it
// from one that is cut off: with a half of the requests at each, the other one refused half of what
// the limit allows. The thresholds: nothing of the limit may be lost, and nothing admitted twice.
TEST_F(TenantLimitsTest, TheShareOfANodeThatLeftIsGivenBackAtOnce) {
  std::uint32_t peer_total = 0;
  for (int second = 0; second < 20; ++second) {
    peer_total += 5;
    peer_admitted(peer_total);
    limits.node_heard(8, now);
    admitted_of(5);
    pass(seconds(1));
  }
  EXPECT_TRUE(limits.node_left(kPeer, now));
  admitted_of(20);
  int admitted = 0;
  for (int step = 0; step < 100; ++step) {
    limits.node_heard(8, now);
    pass(milliseconds(100), false);
    admitted += admitted_of(5);
  }
  EXPECT_GE(admitted, 98);
  EXPECT_LE(admitted, 106);
}

TEST_F(TenantLimitsTest, WhomAllOthersLeftHasTheWholeLimit) {
  pass(seconds(10));
  EXPECT_TRUE(limits.node_left(kPeer, now));
  admitted_of(20);
  int admitted = 0;
  for (int step = 0; step < 100; ++step) {
    pass(milliseconds(100), false);
    admitted += admitted_of(5);
  }
  EXPECT_GE(admitted, 98);
  EXPECT_LE(admitted, 106);
}

TEST_F(TenantLimitsTest, ALostWordOfLeavingLeavesTheNodeSilent) {
  pass(seconds(10));
  limits.node_heard(8, now);
  pass(seconds(1), false);
  EXPECT_EQ(limits.silent_nodes(), 2U);
}

TEST_F(TenantLimitsTest, AWordOfLeavingThatComesTwiceOrFromAnUnknownNodeChangesNothing) {
  pass(seconds(10));
  limits.node_heard(8, now);
  EXPECT_TRUE(limits.node_left(kPeer, now));
  const double available = limits.available("alder", now);
  EXPECT_FALSE(limits.node_left(kPeer, now));
  EXPECT_FALSE(limits.node_left(99, now));
  EXPECT_EQ(limits.available("alder", now), available);
}

TEST_F(TenantLimitsTest, AnOlderWordOfAnotherNodeDoesNotBringBackWhoLeft) {
  pass(seconds(10));
  limits.node_heard(8, now);
  limits.node_left(kPeer, now);
  limits.node_reported(kPeer, now);
  for (int step = 0; step < 20; ++step) {
    limits.node_heard(8, now);
    pass(milliseconds(100), false);
  }
  EXPECT_EQ(limits.silent_nodes(), 0U);
}

TEST_F(TenantLimitsTest, WhoLeftAndIsHeardAgainCountsAgain) {
  pass(seconds(10));
  limits.node_heard(8, now);
  limits.node_left(kPeer, now);
  limits.node_heard(kPeer, now);
  for (int step = 0; step < 20; ++step) {
    limits.node_heard(8, now);
    pass(milliseconds(100), false);
  }
  EXPECT_EQ(limits.silent_nodes(), 1U);
}

}  // namespace
}  // namespace stoathold
