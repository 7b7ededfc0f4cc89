#include "jobs/item_schedule.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::seconds;

TEST(ItemScheduleTest, LongItemHasLessSlackThanAShortOneOfTheSameJob) {
  const ItemSchedule long_item{
      .objective = seconds(20), .age = seconds(2), .remaining = seconds(12)};
  const ItemSchedule short_item{
      .objective = seconds(20), .age = seconds(2), .remaining = seconds(3)};
  EXPECT_EQ(long_item.slack(), Duration(seconds(6)));
  EXPECT_EQ(short_item.slack(), Duration(seconds(15)));
}

TEST(ItemScheduleTest, ItemIsLateOnceItsRemainingTimeExceedsTheTimeLeft) {
  const ItemSchedule fits{.objective = seconds(20), .age = seconds(15), .remaining = seconds(5)};
  const ItemSchedule misses{.objective = seconds(20), .age = seconds(16), .remaining = seconds(5)};
  EXPECT_FALSE(fits.late());
  EXPECT_TRUE(misses.late());
}

TEST(ItemScheduleTest, WithoutAnObjectiveNothingIsLate) {
  const ItemSchedule never_due{.age = seconds(100), .remaining = seconds(5)};
  EXPECT_FALSE(never_due.late());
}

}  // namespace
}  // namespace stoathold
