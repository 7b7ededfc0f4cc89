#include "admission/load_policy.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(LoadPolicyTest, EnablesNothingWithoutTenantsAndSlownessReports) {
  const LoadPolicy policy = load_policy_for({});
  EXPECT_FALSE(policy.predicts_wait_times || policy.uses_fair_shares || policy.uses_runner_speeds ||
               policy.lends_slots || policy.distributes_batch_runners);
}

TEST(LoadPolicyTest, TenantsEnableSharesAndRejectionsButNotSpeeds) {
  const LoadPolicy policy = load_policy_for({.has_tenants = true});
  EXPECT_TRUE(policy.predicts_wait_times && policy.uses_fair_shares && policy.lends_slots);
  EXPECT_TRUE(policy.distributes_batch_runners);
  EXPECT_FALSE(policy.uses_runner_speeds);
}

TEST(LoadPolicyTest, SlownessReportsEnableSpeeds) {
  EXPECT_TRUE(load_policy_for({.reports_slowness = true}).uses_runner_speeds);
}

}  // namespace
}  // namespace stoathold
