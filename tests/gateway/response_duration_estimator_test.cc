#include "gateway/response_duration_estimator.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;

TEST(ResponseDurationEstimatorTest, EstimatesFromTokensPerEvent) {
  ResponseDurationEstimator estimator;
  estimator.observe_gap("drafts", milliseconds(34));
  estimator.observe_response("drafts", TokenCount{1420}, EventCount{142});
  EXPECT_EQ(estimator.remaining_time("drafts", TokenCount{1420}, EventCount{0}),
            milliseconds(142 * 34));
  EXPECT_EQ(estimator.remaining_time("drafts", TokenCount{1420}, EventCount{100}),
            milliseconds(42 * 34));
  EXPECT_EQ(estimator.remaining_time("drafts", TokenCount{1420}, EventCount{150}), milliseconds(0));
}

TEST(ResponseDurationEstimatorTest, ExpectsNothingForAnUnknownRoute) {
  ResponseDurationEstimator estimator;
  EXPECT_EQ(estimator.remaining_time("drafts", TokenCount{1420}, EventCount{0}), Duration{0});
  estimator.observe_gap("drafts", milliseconds(34));
  EXPECT_EQ(estimator.remaining_time("drafts", TokenCount{1420}, EventCount{0}), Duration{0});
}

TEST(ResponseDurationEstimatorTest, UsesReportsOfOtherNodesUntilItHasItsOwnData) {
  ResponseDurationEstimator first;
  first.observe_gap("drafts", milliseconds(34));
  first.observe_response("drafts", TokenCount{1420}, EventCount{142});
  ResponseDurationEstimator second;
  for (const auto& report : first.local_estimates()) second.apply_report(report);
  EXPECT_EQ(second.remaining_time("drafts", TokenCount{1420}, EventCount{0}),
            milliseconds(142 * 34));
  // A node reports only what it has observed itself.
  EXPECT_TRUE(second.local_estimates().empty());
  second.observe_response("drafts", TokenCount{1000}, EventCount{200});
  EXPECT_EQ(second.remaining_time("drafts", TokenCount{1000}, EventCount{0}),
            milliseconds(200 * 34));
}

}  // namespace
}  // namespace stoathold
