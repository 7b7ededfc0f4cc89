#include "admission/priority_inversion_monitor.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

class PriorityInversionMonitorTest : public testing::Test {
 protected:
  void count(const RequestClass& request_class, WaitOutcome outcome, int times) {
    for (int i = 0; i < times; ++i) watch.record(request_class, outcome, now);
  }

  TimePoint now{std::chrono::seconds(100)};
  const RequestClass urgent{"chat", "counter", 0};
  const RequestClass other{"chat", "summary", 2};
  PriorityInversionMonitor watch;
};

TEST_F(PriorityInversionMonitorTest, ReportsAMoreUrgentClassThatIsPlacedLess) {
  count(urgent, WaitOutcome::kInTime, 80);
  count(urgent, WaitOutcome::kNotPlaced, 20);
  count(other, WaitOutcome::kLate, 100);
  const auto found = watch.inversions(now);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].urgent, urgent);
  EXPECT_EQ(found[0].less_urgent, other);
  EXPECT_NEAR(found[0].urgent_placed_fraction, 0.8, 0.01);
}

TEST_F(PriorityInversionMonitorTest, IgnoresLessUrgentClassesThatArePlacedLess) {
  count(urgent, WaitOutcome::kInTime, 100);
  count(other, WaitOutcome::kNotPlaced, 100);
  EXPECT_TRUE(watch.inversions(now).empty());
}

TEST_F(PriorityInversionMonitorTest, OtherServicesAndEqualPrioritiesAreNotCompared) {
  count(urgent, WaitOutcome::kNotPlaced, 100);
  count({"mail", "summary", 2}, WaitOutcome::kInTime, 100);
  count({"chat", "app", 0}, WaitOutcome::kInTime, 100);
  EXPECT_TRUE(watch.inversions(now).empty());
}

TEST_F(PriorityInversionMonitorTest, ForgetsOldOutcomes) {
  count(urgent, WaitOutcome::kNotPlaced, 100);
  count(other, WaitOutcome::kInTime, 100);
  now += std::chrono::seconds(60);
  EXPECT_TRUE(watch.inversions(now).empty());
}

}  // namespace
}  // namespace stoathold
