#include "base/startup_progress.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(StartProgressTest, LogsEachStepOnce) {
  const TimePoint start{std::chrono::seconds(100)};
  StartProgress progress(start);
  EXPECT_TRUE(progress.reached(StartStep::kConfigurationKnown, start + std::chrono::seconds(1)));
  EXPECT_FALSE(progress.reached(StartStep::kConfigurationKnown, start + std::chrono::seconds(2)));
  EXPECT_TRUE(progress.reached(StartStep::kFirstItemPlaced, start + std::chrono::seconds(3)));
  EXPECT_FALSE(progress.reached(StartStep::kFirstItemPlaced, start + std::chrono::seconds(4)));
}

TEST(StartProgressTest, KeepsTimeOfFirstOccurrence) {
  const TimePoint start{std::chrono::seconds(100)};
  StartProgress progress(start);
  EXPECT_TRUE(progress.seconds().empty());
  progress.reached(StartStep::kFirstRequestServed, start + std::chrono::milliseconds(1500));
  progress.reached(StartStep::kRunnerListKnown, start + std::chrono::milliseconds(500));
  progress.reached(StartStep::kFirstRequestServed, start + std::chrono::seconds(9));
  const std::map<std::string, double> expected{{"first_request_served", 1.5},
                                               {"runner_list_known", 0.5}};
  EXPECT_EQ(progress.seconds(), expected);
}

}  // namespace
}  // namespace stoathold
