#include "admission/slot_time_ledger.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TenantServiceKey kAlder{1, 10};
constexpr TenantServiceKey kBirch{1, 11};
constexpr std::uint64_t kNode = 7;

class SlotTimeLedgerTest : public testing::Test {
 protected:
  void apply_report(std::uint32_t slot_ms, std::uint64_t node = kNode) {
    ledger.apply_report(node, {kAlder.service, kAlder.tenant, slot_ms}, now);
  }
  [[nodiscard]] double alder() const { return ledger.used_seconds(kAlder, now); }

  TimePoint now{seconds(100)};
  SlotTimeLedger ledger;
};

TEST_F(SlotTimeLedgerTest, AddsOwnAndReportedUse) {
  apply_report(0);
  ledger.charge(kAlder, milliseconds(700), now);
  apply_report(1500);
  EXPECT_NEAR(alder(), 2.2, 0.001);
}

TEST_F(SlotTimeLedgerTest, NextReportMakesUpForALostOne) {
  apply_report(0);
  apply_report(1000);
  // The report of 2000 was lost.
  apply_report(3000);
  EXPECT_NEAR(alder(), 3, 0.001);
}

TEST_F(SlotTimeLedgerTest, CountsDuplicateReportsOnce) {
  apply_report(0);
  apply_report(1000);
  apply_report(1000);
  EXPECT_NEAR(alder(), 1, 0.001);
}

TEST_F(SlotTimeLedgerTest, IgnoresLateReports) {
  apply_report(0);
  apply_report(2000);
  now += milliseconds(50);
  const double before = alder();
  apply_report(1000);
  EXPECT_NEAR(alder(), before, 0.001);
  apply_report(2000);
  EXPECT_NEAR(alder(), before, 0.001);
}

TEST_F(SlotTimeLedgerTest, IgnoresEarlierUseOfAnUnknownNode) {
  apply_report(50'000);
  EXPECT_EQ(alder(), 0);
  apply_report(51'000);
  EXPECT_NEAR(alder(), 1, 0.001);
}

TEST_F(SlotTimeLedgerTest, CountsNewTenantsOfAKnownNodeFromZero) {
  ledger.apply_report(kNode, {kBirch.service, kBirch.tenant, 5}, now);
  apply_report(1000);
  EXPECT_NEAR(alder(), 1, 0.001);
}

TEST_F(SlotTimeLedgerTest, RestartedNodesCountFromZero) {
  apply_report(0);
  apply_report(40'000);
  now += seconds(30);
  // A restarted node has another id.
  apply_report(0, kNode + 1);
  apply_report(900, kNode + 1);
  EXPECT_NEAR(alder(), 0.9, 0.01);
}

TEST_F(SlotTimeLedgerTest, AcceptsALowerCounterAsARestartAfterADelay) {
  apply_report(0);
  apply_report(40'000);
  now += seconds(30);
  apply_report(100);
  EXPECT_NEAR(alder(), 0, 0.01);
  apply_report(1100);
  EXPECT_NEAR(alder(), 1, 0.01);
}

TEST_F(SlotTimeLedgerTest, CountersWrapAround) {
  apply_report(0xFFFFFFFF - 499);
  apply_report(500);
  EXPECT_NEAR(alder(), 1, 0.001);
}

TEST_F(SlotTimeLedgerTest, BoundsTheEffectOfACorruptCounter) {
  apply_report(0);
  apply_report(1'000'000'000);
  EXPECT_LE(alder(), 600);
  now += seconds(60);
  EXPECT_LT(alder(), 0.01);
}

TEST_F(SlotTimeLedgerTest, UseDecays) {
  ledger.charge(kAlder, seconds(10), now);
  now += 4 * kUsageDecayTime;
  EXPECT_LT(alder(), 0.2);
  now += seconds(30);
  ledger.remove_inactive(now);
  EXPECT_EQ(ledger.size(), 0U);
}

TEST_F(SlotTimeLedgerTest, BoundsTheNumberOfTenants) {
  for (std::uint64_t tenant = 0; tenant < 100'000; ++tenant) {
    ledger.add_waiting({1, tenant}, milliseconds(500), now);
    ledger.charge({1, tenant}, milliseconds(500), now);
  }
  EXPECT_LE(ledger.size(), 1024U);
}

TEST_F(SlotTimeLedgerTest, WaitingRequestsCountUntilPlacedOrAbandoned) {
  ledger.add_waiting(kAlder, milliseconds(700), now);
  EXPECT_NEAR(alder(), 0.7, 0.001);
  ledger.remove_waiting(kAlder, milliseconds(700));
  ledger.remove_waiting(kAlder, milliseconds(700));
  EXPECT_EQ(alder(), 0);
}

TEST_F(SlotTimeLedgerTest, ReportsEachChangedCounterOnceNewestFirst) {
  ledger.charge(kAlder, milliseconds(700), now);
  now += milliseconds(100);
  ledger.charge(kBirch, milliseconds(500), now);
  ledger.charge(kBirch, milliseconds(500), now);
  const auto changes = ledger.changes(milliseconds(250), 16, now);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].tenant, kBirch.tenant);
  EXPECT_EQ(changes[0].slot_ms, 1000U);
  EXPECT_EQ(changes[1].slot_ms, 700U);
  EXPECT_EQ(ledger.changes(milliseconds(50), 16, now).size(), 1U);
  EXPECT_EQ(ledger.changes(milliseconds(250), 1, now).size(), 1U);
}

TEST_F(SlotTimeLedgerTest, KeepsServicesSeparate) {
  ledger.charge(kAlder, seconds(1), now);
  ledger.charge({2, kAlder.tenant}, seconds(5), now);
  EXPECT_NEAR(ledger.total(1, now).seconds, 1, 0.001);
  EXPECT_NEAR(ledger.total(1, now).weight, 1, 0.001);
}

}  // namespace
}  // namespace stoathold
