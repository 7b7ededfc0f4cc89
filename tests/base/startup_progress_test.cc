#include "base/startup_progress.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(StartProgressTest, LogsEachStepOnce) {
  const TimePoint start{std::chrono::seconds(100)};
  StartupProgress progress(start);
  EXPECT_TRUE(
      progress.mark_reached(StartupStep::kConfigurationKnown, start + std::chrono::seconds(1)));
  EXPECT_FALSE(
      progress.mark_reached(StartupStep::kConfigurationKnown, start + std::chrono::seconds(2)));
  EXPECT_TRUE(
      progress.mark_reached(StartupStep::kFirstItemPlaced, start + std::chrono::seconds(3)));
  EXPECT_FALSE(
      progress.mark_reached(StartupStep::kFirstItemPlaced, start + std::chrono::seconds(4)));
}

TEST(StartProgressTest, KeepsTimeOfFirstOccurrence) {
  const TimePoint start{std::chrono::seconds(100)};
  StartupProgress progress(start);
  EXPECT_TRUE(progress.seconds().empty());
  progress.mark_reached(StartupStep::kFirstRequestServed, start + std::chrono::milliseconds(1500));
  progress.mark_reached(StartupStep::kRunnerListKnown, start + std::chrono::milliseconds(500));
  progress.mark_reached(StartupStep::kFirstRequestServed, start + std::chrono::seconds(9));
  const std::map<std::string, double> expected{{"first_request_served", 1.5},
                                               {"runner_list_known", 0.5}};
  EXPECT_EQ(progress.seconds(), expected);
}

}  // namespace
}  // namespace stoathold
