#include "base/start_progress.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(StartProgressTest, EachStepIsToldOnce) {
  const TimePoint start{std::chrono::seconds(100)};
  StartProgress progress(start);
  EXPECT_TRUE(progress.reached(StartStep::kConfigurationKnown, start + std::chrono::seconds(1)));
  EXPECT_FALSE(progress.reached(StartStep::kConfigurationKnown, start + std::chrono::seconds(2)));
  EXPECT_TRUE(progress.reached(StartStep::kFirstItemPlaced, start + std::chrono::seconds(3)));
  EXPECT_FALSE(progress.reached(StartStep::kFirstItemPlaced, start + std::chrono::seconds(4)));
}

}  // namespace
}  // namespace stoathold
