#include "base/event_rate_limiter.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

std::uint32_t count_admitted(EventRateLimiter& limiter, Event event, int lines) {
  std::uint32_t admitted = 0;
  for (int i = 0; i < lines; ++i) admitted += limiter.admit(event, kStart).admitted ? 1 : 0;
  return admitted;
}

TEST(EventRateLimiterTest, FrequentEventsHaveLowerLimits) {
  EventRateLimiter limiter;
  EXPECT_EQ(count_admitted(limiter, Event::kRequestServed, 1000), 40);
  EXPECT_EQ(count_admitted(limiter, Event::kRequestSent, 1000), 5);
  EXPECT_EQ(count_admitted(limiter, Event::kRequestEnded, 1000), 200);
}

TEST(EventRateLimiterTest, NextWindowReportsDroppedLinesOnce) {
  EventRateLimiter limiter;
  count_admitted(limiter, Event::kRequestServed, 50);
  const TimePoint later = kStart + std::chrono::seconds(1);
  const LineAdmission first = limiter.admit(Event::kRequestServed, later);
  EXPECT_TRUE(first.admitted);
  EXPECT_EQ(first.dropped_before, 10);
  EXPECT_EQ(limiter.admit(Event::kRequestServed, later).dropped_before, 0);
}

}  // namespace
}  // namespace stoathold
