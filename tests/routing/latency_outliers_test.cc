#include "routing/latency_outliers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace stoathold {
namespace {

using std::chrono::milliseconds;
constexpr TimePoint kStart{std::chrono::seconds(100)};

TEST(LatencyOutliersTest, OutlierThresholdIsThreeTimesExpectedPlusNodeDelay) {
  EXPECT_FALSE(is_latency_outlier(milliseconds(50), milliseconds(50)));
  // The expected time covers the machine's slowest speed; a busy node adds up to 100 ms.
  EXPECT_FALSE(is_latency_outlier(milliseconds(150), milliseconds(20)));
  EXPECT_TRUE(is_latency_outlier(milliseconds(400), milliseconds(50)));
}

/// Runners with counted responses.
class OutlierDetectionTest : public testing::Test {
 protected:
  static constexpr std::size_t kRunners = 10;
  void feed_responses(std::size_t runner, int outliers, int normal, TimePoint now = kStart) {
    for (int i = 0; i < outliers; ++i) runners[runner].count(true, now);
    for (int i = 0; i < normal; ++i) runners[runner].count(false, now);
  }
  std::vector<OutlierVerdict> verdicts(TimePoint now = kStart) const {
    std::vector<OutlierCounts> counts;
    for (const LatencyOutliers& runner : runners) counts.push_back(runner.all(now));
    return detect_outliers(counts);
  }
  static std::size_t marked(const std::vector<OutlierVerdict>& verdicts) {
    return verdicts.size() - static_cast<std::size_t>(std::count(verdicts.begin(), verdicts.end(),
                                                                 OutlierVerdict::kNone));
  }
  LatencyOutliers runners[kRunners];
};

TEST_F(OutlierDetectionTest, SingleSlowRunnerIsAvoidedThenProbedThenRestored) {
  for (std::size_t i = 0; i < kRunners; ++i) feed_responses(i, 0, 10);
  runners[3] = {};
  feed_responses(3, 3, 0);
  EXPECT_EQ(verdicts()[3], OutlierVerdict::kAvoided);
  EXPECT_EQ(marked(verdicts()), 1U);
  EXPECT_EQ(verdicts(kStart + milliseconds(700))[3], OutlierVerdict::kOnProbation);
  // One more outlier during probation makes it avoided again.
  feed_responses(3, 1, 0, kStart + milliseconds(700));
  EXPECT_EQ(verdicts(kStart + milliseconds(700))[3], OutlierVerdict::kAvoided);
  EXPECT_EQ(verdicts(kStart + milliseconds(5000))[3], OutlierVerdict::kNone);
}

TEST_F(OutlierDetectionTest, TwoOutliersAreNotEnough) {
  for (std::size_t i = 0; i < kRunners; ++i) feed_responses(i, 0, 10);
  feed_responses(3, 2, 0);
  EXPECT_EQ(verdicts()[3], OutlierVerdict::kNone);
}

TEST_F(OutlierDetectionTest, NoRunnerIsAvoidedIfAllAreSlow) {
  for (std::size_t i = 0; i < kRunners; ++i) feed_responses(i, 5, 1);
  EXPECT_EQ(marked(verdicts()), 0U);
}

TEST_F(OutlierDetectionTest, NoRunnerIsAvoidedIfHalfAreSlow) {
  for (std::size_t i = 0; i < kRunners; ++i) feed_responses(i, i < 5 ? 5 : 0, i < 5 ? 0 : 50);
  EXPECT_EQ(marked(verdicts()), 0U);
}

TEST_F(OutlierDetectionTest, NoRunnerIsAvoidedWithoutComparison) {
  feed_responses(3, 5, 0);
  EXPECT_EQ(marked(verdicts()), 0U);
}

TEST_F(OutlierDetectionTest, RepeatedPeerReportsCountOnce) {
  for (std::size_t i = 0; i < kRunners; ++i) feed_responses(i, 0, 10);
  runners[3] = {};
  feed_responses(3, 1, 0);
  for (int i = 0; i < 5; ++i) runners[3].apply_report({.outliers = 1, .normal = 0}, kStart);
  EXPECT_EQ(verdicts()[3], OutlierVerdict::kOnProbation);
  runners[3].apply_report({.outliers = 2, .normal = 0}, kStart);
  EXPECT_EQ(verdicts()[3], OutlierVerdict::kAvoided);
}

}  // namespace
}  // namespace stoathold
