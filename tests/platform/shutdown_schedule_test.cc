/// Tests when a stopping node rejects new requests and when its process ends.
#include "platform/shutdown_schedule.h"

#include <gtest/gtest.h>

namespace stoathold::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kGrace = seconds(8);

class ShutdownScheduleTest : public testing::Test {
 protected:
  ShutdownScheduleTest() { schedule_.start(kStart); }

  ShutdownSchedule schedule_;
};

// Guards against streams that are accepted too late to get the whole grace period.
TEST_F(ShutdownScheduleTest, RejectsRequestsBeforeThePlatformStopsToExcuseThem) {
  EXPECT_FALSE(schedule_.rejects_new_requests(kStart + milliseconds(2700)));
  EXPECT_TRUE(schedule_.rejects_new_requests(kStart + milliseconds(2990)));
}

// Guards against a process that ends while it serves requests of any kind.
TEST_F(ShutdownScheduleTest, WaitsForOpenRequests) {
  const TimePoint after_minimum = kStart + seconds(4);
  EXPECT_FALSE(schedule_.may_exit(after_minimum, 1, kGrace));
  EXPECT_TRUE(schedule_.may_exit(after_minimum, 0, kGrace));
}

TEST_F(ShutdownScheduleTest, ConnectionsMayArriveUntilTheMinimumIsOver) {
  EXPECT_FALSE(schedule_.may_exit(kStart + seconds(3), 0, kGrace));
  EXPECT_FALSE(schedule_.closes_idle_connections(kStart + seconds(3)));
}

TEST_F(ShutdownScheduleTest, EndsBeforeTheGracePeriodDoes) {
  EXPECT_FALSE(schedule_.may_exit(kStart + seconds(7), 1, kGrace));
  EXPECT_TRUE(schedule_.may_exit(kStart + milliseconds(7400), 1, kGrace));
}

TEST(IdleShutdownScheduleTest, DoesNothingBeforeItStarts) {
  const ShutdownSchedule schedule;
  EXPECT_FALSE(schedule.rejects_new_requests(kStart));
  EXPECT_FALSE(schedule.may_exit(kStart, 0, kGrace));
}

}  // namespace
}  // namespace stoathold::platform
