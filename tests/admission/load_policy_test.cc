#include "admission/load_policy.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(LoadPolicyTest, EnablesNothingWithoutTenantsAndSlownessReports) {
  const LoadPolicy policy = load_policy_for({});
  EXPECT_FALSE(policy.predicts_waits || policy.shares_fairly || policy.knows_speeds ||
               policy.lends_slots || policy.deals_batch);
}

TEST(LoadPolicyTest, TenantsEnableSharesAndRejectionsButNotSpeeds) {
  const LoadPolicy policy = load_policy_for({.has_tenants = true});
  EXPECT_TRUE(policy.predicts_waits && policy.shares_fairly && policy.lends_slots);
  EXPECT_TRUE(policy.deals_batch);
  EXPECT_FALSE(policy.knows_speeds);
}

TEST(LoadPolicyTest, SlownessReportsEnableSpeeds) {
  EXPECT_TRUE(load_policy_for({.reports_slowness = true}).knows_speeds);
}

}  // namespace
}  // namespace stoathold
