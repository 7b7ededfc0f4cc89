#include "routing/latency_quantile.h"

#include <gtest/gtest.h>

#include "base/random.h"

namespace stoathold {
namespace {

constexpr double kQuantile = 0.8;

TEST(LatencyQuantileTest, EstimateConvergesToQuantile) {
  LatencyQuantile estimate(kQuantile);
  EXPECT_EQ(estimate.value(), Duration{0});
  Random random(7);
  for (int i = 0; i < 2000; ++i) {
    estimate.observe(std::chrono::milliseconds(50 + random.below(100)));
  }
  EXPECT_GT(estimate.value(), std::chrono::milliseconds(110));
  EXPECT_LT(estimate.value(), std::chrono::milliseconds(149));
}

TEST(LatencyQuantileTest, EstimateIgnoresOutlierAndFollowsChange) {
  LatencyQuantile estimate(kQuantile);
  for (int i = 0; i < 100; ++i) estimate.observe(std::chrono::milliseconds(80));
  estimate.observe(std::chrono::seconds(5));
  EXPECT_LT(estimate.value(), std::chrono::milliseconds(90));
  for (int i = 0; i < 100; ++i) estimate.observe(std::chrono::milliseconds(400));
  EXPECT_EQ(estimate.value(), std::chrono::milliseconds(400));
}

}  // namespace
}  // namespace stoathold
