#include "admission/zone_backlog.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr std::uint64_t kService = 7;

class ZoneBacklogTest : public testing::Test {
 protected:
  /// Returns a report of another node whose counters have increased by `increase`.
  std::vector<ServiceBacklog> report(std::uint16_t waiting, std::uint32_t increase) {
    counter += increase;
    return {{.service = kService,
             .waiting = waiting,
             .waiting_slot_ms = waiting * 700U,
             .freed_slots = counter,
             .freed_slot_ms = counter * 700,
             .arrivals = counter}};
  }
  std::uint32_t counter =
      4'294'967'000U;  // Near the end of the counter's range, so that it wraps around.
  ZoneBacklog backlog;
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(ZoneBacklogTest, ComputesStatisticsFromCounterDifferences) {
  for (int i = 0; i < 100; ++i, now += 20 * kMs) backlog.apply_report(1, report(3, 4), now);
  const ServiceStatistics statistics = backlog.statistics(kService, 0, now);
  EXPECT_EQ(statistics.peers.requests, 3U);
  EXPECT_EQ(statistics.slot_time, 700 * kMs);
  EXPECT_NEAR(statistics.slots_freed_per_second, 200, 15);
  EXPECT_NEAR(backlog.arrival_forecaster(kService, now)->recent_rate(), 200, 15);
  EXPECT_EQ(statistics.oldest_report, 20 * kMs);
}

TEST_F(ZoneBacklogTest, ToleratesLostReports) {
  for (int i = 0; i < 100; ++i, now += 20 * kMs) {
    const auto next = report(3, 4);
    if (i % 3 == 0) backlog.apply_report(1, next, now);
  }
  EXPECT_NEAR(backlog.statistics(kService, 0, now).slots_freed_per_second, 200, 20);
}

TEST_F(ZoneBacklogTest, CountsDuplicateReportsOnce) {
  for (int i = 0; i < 100; ++i, now += 20 * kMs) {
    const auto next = report(3, 4);
    backlog.apply_report(1, next, now);
    backlog.apply_report(1, next, now);
  }
  const ServiceStatistics statistics = backlog.statistics(kService, 0, now);
  EXPECT_NEAR(statistics.slots_freed_per_second, 200, 15);
  EXPECT_EQ(statistics.peers.requests, 3U);
}

TEST_F(ZoneBacklogTest, IgnoresOutOfOrderReports) {
  const auto older = report(3, 4);
  const auto newer = report(3, 4);
  backlog.apply_report(1, newer, now);
  backlog.apply_report(1, older, now + kMs);
  EXPECT_LT(backlog.statistics(kService, 0, now + kMs).slots_freed_per_second, 10);
}

// Without current reports no work is known to wait, so that more is admitted, not less.
TEST_F(ZoneBacklogTest, IgnoresWaitingWorkOfOldReports) {
  backlog.apply_report(1, report(50, 4), now);
  EXPECT_EQ(backlog.statistics(kService, 0, now + 200 * kMs).peers.requests, 50U);
  EXPECT_EQ(backlog.statistics(kService, 0, now + 300 * kMs).peers.requests, 0U);
}

TEST_F(ZoneBacklogTest, ExcludesLessUrgentWorkOfPeers) {
  auto entries = report(3, 4);
  entries.push_back(entries.front());
  entries.back().priority = 2;
  backlog.apply_report(1, entries, now);
  EXPECT_EQ(backlog.statistics(kService, 1, now).peers.requests, 3U);
  EXPECT_EQ(backlog.statistics(kService, 2, now).peers.requests, 6U);
}

// After a suspension of 10 s the next report contains the others' counts of that time.
TEST_F(ZoneBacklogTest, GivesNoRateAfterASuspension) {
  for (int i = 0; i < 100; ++i, now += 20 * kMs) backlog.apply_report(1, report(3, 4), now);
  now += std::chrono::seconds(10);
  backlog.apply_report(1, report(3, 2000), now);
  const ServiceStatistics statistics = backlog.statistics(kService, 0, now);
  EXPECT_FALSE(statistics.slot_time);
  EXPECT_EQ(statistics.slots_freed_per_second, 0);
}

TEST_F(ZoneBacklogTest, CountsRestartedNodesFromTheirFirstReport) {
  for (int i = 0; i < 10; ++i, now += 20 * kMs) backlog.apply_report(1, report(3, 4), now);
  counter = 10'000;
  backlog.apply_report(2, report(3, 0), now);
  EXPECT_LT(backlog.statistics(kService, 0, now).slots_freed_per_second, 100);
}

TEST_F(ZoneBacklogTest, ReportsOwnCountersAndWaitingWork) {
  backlog.record_arrival(kService, 1, now);
  backlog.record_freed_slot(kService, 1, 500 * kMs, now);
  const auto entries = backlog.report({{{kService, 1}, {2, 1400 * kMs}}});
  ASSERT_EQ(entries.size(), 1U);
  EXPECT_EQ(entries[0].waiting, 2U);
  EXPECT_EQ(entries[0].waiting_slot_ms, 1400U);
  EXPECT_EQ(entries[0].freed_slot_ms, 500U);
  EXPECT_EQ(entries[0].arrivals, 1U);
}

}  // namespace
}  // namespace stoathold
