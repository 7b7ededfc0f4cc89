#include "admission/priority_inversion_monitor.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

class PriorityInversionMonitorTest : public testing::Test {
 protected:
  void count(const KindOfRequest& request_class, KindOutcome outcome, int times) {
    for (int i = 0; i < times; ++i) watch.count(request_class, outcome, now);
  }

  TimePoint now{std::chrono::seconds(100)};
  const KindOfRequest urgent{"chat", "counter", 0};
  const KindOfRequest other{"chat", "summary", 2};
  KindWatch watch;
};

TEST_F(PriorityInversionMonitorTest, ReportsAMoreUrgentClassThatIsPlacedLess) {
  count(urgent, KindOutcome::kInTime, 80);
  count(urgent, KindOutcome::kNotPlaced, 20);
  count(other, KindOutcome::kLate, 100);
  const auto found = watch.inversions(now);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].urgent, urgent);
  EXPECT_EQ(found[0].other, other);
  EXPECT_NEAR(found[0].urgent_served, 0.8, 0.01);
}

TEST_F(PriorityInversionMonitorTest, IgnoresLessUrgentClassesThatArePlacedLess) {
  count(urgent, KindOutcome::kInTime, 100);
  count(other, KindOutcome::kNotPlaced, 100);
  EXPECT_TRUE(watch.inversions(now).empty());
}

TEST_F(PriorityInversionMonitorTest, OtherServicesAndEqualPrioritiesAreNotCompared) {
  count(urgent, KindOutcome::kNotPlaced, 100);
  count({"mail", "summary", 2}, KindOutcome::kInTime, 100);
  count({"chat", "app", 0}, KindOutcome::kInTime, 100);
  EXPECT_TRUE(watch.inversions(now).empty());
}

TEST_F(PriorityInversionMonitorTest, ForgetsOldOutcomes) {
  count(urgent, KindOutcome::kNotPlaced, 100);
  count(other, KindOutcome::kInTime, 100);
  now += std::chrono::seconds(60);
  EXPECT_TRUE(watch.inversions(now).empty());
}

}  // namespace
}  // namespace stoathold
