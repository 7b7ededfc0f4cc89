#include "base/memory_budget.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace stoathold {
namespace {

constexpr std::uint64_t kMegabyte = 1024UL * 1024;
constexpr std::uint64_t kBudget = 100 * kMegabyte;

TEST(MemoryBudgetTest, NoLimitRefusesNothing) {
  MemoryBudget budget;
  const auto reservation = budget.reserve(MemoryAccount::kRequestBodies, 1000 * kMegabyte);
  ASSERT_TRUE(reservation);
  EXPECT_EQ(budget.used(), 1000 * kMegabyte);
  EXPECT_TRUE(budget.can_ever_fit(MemoryAccount::kJobRequests, 1UL << 60));
  EXPECT_EQ(process_memory_budget(0), 0U);
}

TEST(MemoryBudgetTest, EveryLimitLeavesABudget) {
  for (const std::uint64_t limit : {16UL, 64UL, 120UL, 160UL, 512UL, 4096UL}) {
    const std::uint64_t budget = process_memory_budget(limit * kMegabyte);
    EXPECT_GE(budget, limit * kMegabyte / 4) << limit;
    EXPECT_LT(budget, limit * kMegabyte) << limit;
  }
}

TEST(MemoryBudgetTest, ReservationsReleaseOnScopeExit) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  {
    auto first = budget.reserve(MemoryAccount::kRequestBodies, 10 * kMegabyte);
    ASSERT_TRUE(first);
    MemoryReservation moved = std::move(*first);
    EXPECT_EQ(budget.used(MemoryAccount::kRequestBodies), 10 * kMegabyte);
    moved = budget.charge(MemoryAccount::kResponses, kMegabyte);
    EXPECT_EQ(budget.used(MemoryAccount::kRequestBodies), 0U);
    EXPECT_EQ(budget.used(), kMegabyte);
    moved.resize(3 * kMegabyte);
    EXPECT_EQ(budget.used(), 3 * kMegabyte);
    moved.resize(2 * kMegabyte);
    EXPECT_EQ(budget.used(), 2 * kMegabyte);
  }
  EXPECT_EQ(budget.used(), 0U);
  EXPECT_EQ(budget.peak(MemoryAccount::kRequestBodies), 10 * kMegabyte);
}

// 200 bodies of 1 MB arrive at once and are counted twice each; the budget holds 37 of them.
TEST(MemoryBudgetTest, RefusesConcurrentBodiesBeforeAllocation) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  std::vector<MemoryReservation> held;
  for (int body = 0; body < 200; ++body) {
    auto reservation = budget.reserve(MemoryAccount::kRequestBodies, 2 * kMegabyte);
    if (reservation) held.push_back(std::move(*reservation));
  }
  EXPECT_EQ(held.size(), 37U);
  EXPECT_EQ(budget.refusals(MemoryAccount::kRequestBodies), 200U - 37);
  EXPECT_LE(budget.used(), kBudget);
  held.clear();
  EXPECT_TRUE(budget.reserve(MemoryAccount::kRequestBodies, 2 * kMegabyte));
}

// Batch jobs yield to new requests, these to the responses to running ones, and all to connections.
TEST(MemoryBudgetTest, AccountsYieldInOrderOfTheirLimits) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  auto jobs = budget.charge(MemoryAccount::kJobRequests, 50 * kMegabyte);
  EXPECT_FALSE(budget.fits(MemoryAccount::kJobRequests, 1));
  const auto bodies = budget.reserve(MemoryAccount::kRequestBodies, 25 * kMegabyte);
  ASSERT_TRUE(bodies);
  EXPECT_FALSE(budget.fits(MemoryAccount::kRequestBodies, 1));
  const auto answers = budget.reserve(MemoryAccount::kResponses, 10 * kMegabyte);
  ASSERT_TRUE(answers);
  EXPECT_FALSE(budget.fits(MemoryAccount::kResponses, 1));
  EXPECT_TRUE(budget.fits(MemoryAccount::kConnections, 10 * kMegabyte));
  EXPECT_FALSE(budget.fits(MemoryAccount::kConnections, 11 * kMegabyte));
}

// Allocated bytes are counted even if they do not fit.
TEST(MemoryBudgetTest, ChargedBytesAreAlwaysCounted) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  auto results = budget.charge(MemoryAccount::kJobResults, 2 * kBudget);
  EXPECT_EQ(budget.used(), 2 * kBudget);
  EXPECT_FALSE(budget.reserve(MemoryAccount::kResponses, 1));
  results.release();
  EXPECT_TRUE(budget.reserve(MemoryAccount::kResponses, 1));
}

TEST(MemoryBudgetTest, DetectsBytesThatCanNeverFit) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  EXPECT_TRUE(budget.can_ever_fit(MemoryAccount::kRequestBodies, 75 * kMegabyte));
  EXPECT_FALSE(budget.can_ever_fit(MemoryAccount::kRequestBodies, 76 * kMegabyte));
  EXPECT_FALSE(budget.can_ever_fit(MemoryAccount::kRequestBodies, ~0UL));
  EXPECT_FALSE(budget.fits(MemoryAccount::kRequestBodies, ~0UL));
}

TEST(MemoryBudgetTest, AsksTheNextReclaimerIfOneReleasesNothing) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  auto held = budget.charge(MemoryAccount::kResponses, 80 * kMegabyte);
  budget.add_reclaimer([] { return false; });
  budget.add_reclaimer([&] {
    const bool released = held.bytes() > 0;
    held.release();
    return released;
  });
  EXPECT_TRUE(budget.reserve(MemoryAccount::kRequestBodies, 10 * kMegabyte));
}

// The reclaimer is called only while it releases memory, and never for a reservation that could not
// fit anyway.
TEST(MemoryBudgetTest, ReclaimsUntilReservationFits) {
  MemoryBudget budget;
  budget.set_limit(kBudget);
  std::vector<MemoryReservation> responses;
  for (int client = 0; client < 9; ++client) {
    responses.push_back(budget.charge(MemoryAccount::kResponses, 10 * kMegabyte));
  }
  int reclaim_calls = 0;
  budget.add_reclaimer([&] {
    ++reclaim_calls;
    if (responses.size() <= 5) return false;
    responses.pop_back();
    return true;
  });
  EXPECT_FALSE(budget.reserve(MemoryAccount::kRequestBodies, 76 * kMegabyte));
  EXPECT_EQ(reclaim_calls, 0);
  auto body = budget.reserve(MemoryAccount::kRequestBodies, 5 * kMegabyte);
  ASSERT_TRUE(body);
  EXPECT_EQ(responses.size(), 7U);
  EXPECT_TRUE(body->grow(15 * kMegabyte));
  EXPECT_EQ(responses.size(), 5U);
  EXPECT_FALSE(body->grow(6 * kMegabyte));
  EXPECT_EQ(body->bytes(), 20 * kMegabyte);
  EXPECT_EQ(responses.size(), 5U);
}

}  // namespace
}  // namespace stoathold
