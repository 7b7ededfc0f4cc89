#include "admission/returning_callers.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr std::uint64_t kService = 7;
constexpr std::uint64_t kContent = 42;

class ReturningCallersTest : public testing::Test {
 protected:
  void exchange() {
    for (const auto& report : here.report(16, now)) there.take_report(report, now);
  }
  ReturningCallers here;
  ReturningCallers there;
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(ReturningCallersTest, WhoWasToldIsKnownAtAnyNodeOfTheZone) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  exchange();
  EXPECT_EQ(there.expected_at(kService, now + 500 * kMs), 1U);
  EXPECT_TRUE(there.take(kContent, now + 500 * kMs));
  EXPECT_EQ(there.expected_at(kService, now + 500 * kMs), 0U);
}

TEST_F(ReturningCallersTest, WhoWasNotToldIsANewcomer) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  EXPECT_FALSE(here.take(kContent + 1, now + 500 * kMs));
}

// A caller gains nothing by coming again at once, or by sending copies.
TEST_F(ReturningCallersTest, NeitherTooEarlyNorTwice) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  EXPECT_FALSE(here.take(kContent, now + 200 * kMs));
  EXPECT_TRUE(here.take(kContent, now + 510 * kMs));
  EXPECT_FALSE(here.take(kContent, now + 520 * kMs));
}

TEST_F(ReturningCallersTest, WhoCameHereIsANewcomerElsewhere) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  exchange();
  now += 500 * kMs;
  EXPECT_TRUE(here.take(kContent, now));
  exchange();
  EXPECT_FALSE(there.take(kContent, now));
}

TEST_F(ReturningCallersTest, ALateReportDoesNotExpectAgainWhoCame) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  const auto old_reports = here.report(16, now);
  for (const auto& report : old_reports) there.take_report(report, now);
  now += 500 * kMs;
  EXPECT_TRUE(there.take(kContent, now));
  for (const auto& report : old_reports) there.take_report(report, now);
  EXPECT_FALSE(there.take(kContent, now + 500 * kMs));
}

TEST_F(ReturningCallersTest, OneLostReportOfThreeCostsNothing) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  EXPECT_EQ(here.report(16, now).size(), 1U);
  exchange();
  EXPECT_TRUE(there.take(kContent, now + 500 * kMs));
  EXPECT_EQ(here.report(16, now).size(), 1U);
  EXPECT_TRUE(here.report(16, now).empty());
}

TEST_F(ReturningCallersTest, TheTableIsBoundedAndForgets) {
  for (std::uint64_t content = 1; content <= 10'000; ++content) {
    here.tell(content, kService, now + 500 * kMs, now);
  }
  EXPECT_LE(here.size(), 4096U);
  EXPECT_EQ(here.expected_at(kService, now + 500 * kMs), here.size());
  here.expire(now + std::chrono::seconds(20));
  EXPECT_TRUE(here.empty());
  EXPECT_EQ(here.expected_at(kService, now + 500 * kMs), 0U);
}

// A machine that was suspended past the time to come back.
TEST_F(ReturningCallersTest, AfterASuspensionNobodyIsExpected) {
  here.tell(kContent, kService, now + 500 * kMs, now);
  EXPECT_FALSE(here.take(kContent, now + std::chrono::seconds(60)));
}

}  // namespace
}  // namespace stoathold
