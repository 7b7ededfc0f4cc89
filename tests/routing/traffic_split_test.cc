#include "routing/traffic_split.h"

#include <gtest/gtest.h>

#include <map>

namespace stoathold {
namespace {

TEST(TrafficSplitTest, SharesMatchWeights) {
  Route route;
  route.name = "r";
  route.services = {{"a", 90}, {"b", 10}};
  TrafficSplit split;
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) ++counts[split.next_service(route)];
  EXPECT_NEAR(counts["a"], 900, 2);
  EXPECT_NEAR(counts["b"], 100, 2);
}

TEST(TrafficSplitTest, NewWeightsApplyToNextRequest) {
  Route route;
  route.name = "r";
  route.services = {{"a", 1}, {"b", 1}};
  TrafficSplit split;
  split.next_service(route);
  route.services = {{"c", 1}, {"d", 3}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) ++counts[split.next_service(route)];
  EXPECT_NEAR(counts["c"], 100, 2);
  EXPECT_EQ(counts["a"], 0);
}

}  // namespace
}  // namespace stoathold
