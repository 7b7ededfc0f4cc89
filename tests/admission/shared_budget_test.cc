/// A budget shared by services, tenants and jobs.
///
/// Guards against stuck work that keeps other work out: a service has no runners, or a tenant's
/// items are kept from them, and what a node has acquired for them is not released. A single job
/// must get as much as without sharing (256 items at a node), and each newcomer at least one item
/// at once, since otherwise it gets nothing for as long as the others are stuck.
#include "admission/shared_budget.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr double kSingleJobAmount = 256;

BudgetOwner holder(std::uint64_t service, std::uint64_t tenant, std::uint64_t job) {
  return {service, service * 1000 + tenant, job};
}

/// Acquires one unit at a time for as long as the owner may.
/// @return the acquired amount.
int take_all(SharedBudget& budget, const BudgetOwner& owner, int max_count = 1000) {
  int taken = 0;
  while (taken < max_count && budget.may_acquire(owner)) {
    budget.acquire(owner, 1);
    ++taken;
  }
  return taken;
}

TEST(SharedBudgetTest, SingleJobGetsTheAmountForOneJob) {
  SharedBudget budget(SharedBudget::size_for_one_job(kSingleJobAmount));
  EXPECT_EQ(take_all(budget, holder(1, 1, 1)), kSingleJobAmount);
}

TEST(SharedBudgetTest, ManyJobsOfOneServiceLeaveBudgetForOtherServices) {
  SharedBudget budget(SharedBudget::size_for_one_job(kSingleJobAmount));
  for (std::uint64_t job = 0; job < 100; ++job) take_all(budget, holder(1, job, job));
  EXPECT_GE(take_all(budget, holder(2, 1, 1000)), 3);
  EXPECT_GE(take_all(budget, holder(3, 1, 1001)), 1);
}

TEST(SharedBudgetTest, StuckJobsOfOneTenantLeaveBudgetForOtherTenants) {
  SharedBudget budget(SharedBudget::size_for_one_job(kSingleJobAmount));
  for (std::uint64_t job = 0; job < 10; ++job) take_all(budget, holder(1, 1, job), 100);
  EXPECT_GE(take_all(budget, holder(1, 2, 1000)), 3);
}

TEST(SharedBudgetTest, AStuckJobLeavesBudgetForOtherJobsOfItsTenant) {
  SharedBudget budget(SharedBudget::size_for_one_job(kSingleJobAmount));
  take_all(budget, holder(1, 1, 1));
  EXPECT_GE(take_all(budget, holder(1, 1, 2)), 3);
}

TEST(SharedBudgetTest, EachServiceMayAcquireFromAFullBudget) {
  SharedBudget budget(10);
  // One read may return more than was free.
  budget.acquire(holder(1, 1, 1), 20);
  EXPECT_FALSE(budget.may_acquire(holder(1, 2, 2)));
  EXPECT_TRUE(budget.may_acquire(holder(2, 1, 3)));
}

TEST(SharedBudgetTest, ReleasedAmountsAreAvailableToOthers) {
  SharedBudget budget(9);
  const BudgetOwner first = holder(1, 1, 1);
  EXPECT_EQ(take_all(budget, first), 6);
  for (int item = 0; item < 6; ++item) budget.release(first, 1);
  EXPECT_EQ(budget.held(), 0);
  EXPECT_EQ(take_all(budget, holder(1, 1, 2)), 6);
}

TEST(SharedBudgetTest, GrowingTheBudgetAllowsMore) {
  SharedBudget budget(SharedBudget::size_for_one_job(6));
  const BudgetOwner only = holder(1, 1, 1);
  EXPECT_EQ(take_all(budget, only), 6);
  budget.set_size(SharedBudget::size_for_one_job(kSingleJobAmount));
  EXPECT_EQ(take_all(budget, only), kSingleJobAmount - 6);
}

}  // namespace
}  // namespace stoathold
