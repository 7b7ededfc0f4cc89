#include "admission/retry_bookings.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr std::uint64_t kService = 7;
constexpr std::uint64_t kContent = 42;

class RetryBookingsTest : public testing::Test {
 protected:
  void exchange() {
    for (const auto& report : here.report(16, now)) there.apply_report(report, now);
  }
  RetryBookings here;
  RetryBookings there;
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(RetryBookingsTest, BookingsAreKnownAtAllNodesOfTheZone) {
  here.book(kContent, kService, now + 500 * kMs, now);
  exchange();
  EXPECT_EQ(there.booked_at(kService, now + 500 * kMs), 1U);
  EXPECT_TRUE(there.consume(kContent, now + 500 * kMs));
  EXPECT_EQ(there.booked_at(kService, now + 500 * kMs), 0U);
}

TEST_F(RetryBookingsTest, OtherRequestsHaveNoBooking) {
  here.book(kContent, kService, now + 500 * kMs, now);
  EXPECT_FALSE(here.consume(kContent + 1, now + 500 * kMs));
}

// A caller gains nothing by retrying early or by sending copies.
TEST_F(RetryBookingsTest, RejectsEarlyAndRepeatedRetries) {
  here.book(kContent, kService, now + 500 * kMs, now);
  EXPECT_FALSE(here.consume(kContent, now + 200 * kMs));
  EXPECT_TRUE(here.consume(kContent, now + 510 * kMs));
  EXPECT_FALSE(here.consume(kContent, now + 520 * kMs));
}

TEST_F(RetryBookingsTest, ConsumedBookingsAreReportedToOtherNodes) {
  here.book(kContent, kService, now + 500 * kMs, now);
  exchange();
  now += 500 * kMs;
  EXPECT_TRUE(here.consume(kContent, now));
  exchange();
  EXPECT_FALSE(there.consume(kContent, now));
}

TEST_F(RetryBookingsTest, LateReportsDoNotRenewConsumedBookings) {
  here.book(kContent, kService, now + 500 * kMs, now);
  const auto old_reports = here.report(16, now);
  for (const auto& report : old_reports) there.apply_report(report, now);
  now += 500 * kMs;
  EXPECT_TRUE(there.consume(kContent, now));
  for (const auto& report : old_reports) there.apply_report(report, now);
  EXPECT_FALSE(there.consume(kContent, now + 500 * kMs));
}

TEST_F(RetryBookingsTest, ToleratesALostReport) {
  here.book(kContent, kService, now + 500 * kMs, now);
  EXPECT_EQ(here.report(16, now).size(), 1U);
  exchange();
  EXPECT_TRUE(there.consume(kContent, now + 500 * kMs));
  EXPECT_EQ(here.report(16, now).size(), 1U);
  EXPECT_TRUE(here.report(16, now).empty());
}

TEST_F(RetryBookingsTest, TableIsBoundedAndExpires) {
  for (std::uint64_t content = 1; content <= 10'000; ++content) {
    here.book(content, kService, now + 500 * kMs, now);
  }
  EXPECT_LE(here.size(), 4096U);
  EXPECT_EQ(here.booked_at(kService, now + 500 * kMs), here.size());
  here.expire(now + std::chrono::seconds(20));
  EXPECT_TRUE(here.empty());
  EXPECT_EQ(here.booked_at(kService, now + 500 * kMs), 0U);
}

// The machine was suspended past the retry time.
TEST_F(RetryBookingsTest, BookingsExpireDuringASuspension) {
  here.book(kContent, kService, now + 500 * kMs, now);
  EXPECT_FALSE(here.consume(kContent, now + std::chrono::seconds(60)));
}

}  // namespace
}  // namespace stoathold
