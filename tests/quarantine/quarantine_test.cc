#include "quarantine/quarantine.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr ContentHash kPoisonRequest{1};
constexpr std::int64_t kTimeOfDayMs = 1'700'000'000'000;

TimePoint at(Duration since_start) {
  return TimePoint{} + std::chrono::seconds(1) + since_start;
}

Quarantine make_quarantine() {
  return Quarantine([](std::uint64_t) { return std::nullopt; });
}

void exit_runners(Quarantine& quarantine, std::uint64_t first, std::uint64_t last,
                  Duration when = Duration{0}) {
  for (std::uint64_t runner = first; runner <= last; ++runner) {
    quarantine.record_runner_exit({kPoisonRequest, runner, RunStage::kResponseStarted, at(when)});
  }
}

TEST(QuarantineTest, NodesThatEachSawOneExitQuarantineTogether) {
  std::vector<Quarantine> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(make_quarantine());
  int written = 0;
  for (auto& node : nodes) {
    node.set_quarantined_handler([&](ContentHash, std::size_t) { ++written; });
  }
  for (std::uint64_t i = 0; i < 3; ++i) exit_runners(nodes[i], i + 1, i + 1);
  for (std::size_t from = 0; from < 3; ++from) {
    const auto reports = nodes[from].next_zone_reports(at({}));
    for (std::size_t to = 0; to < 3; ++to) {
      if (to != from) nodes[to].apply_reports(reports, at({}));
    }
  }
  for (auto& node : nodes) EXPECT_TRUE(node.contains(kPoisonRequest, at({})));
  EXPECT_EQ(written, 3);
}

TEST(QuarantineTest, RepeatsReportsALimitedNumberOfTimes) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 1);
  EXPECT_EQ(node.next_zone_reports(at({})).size(), 1U);
  EXPECT_EQ(node.next_zone_reports(at({})).size(), 1U);
  EXPECT_TRUE(node.next_zone_reports(at({})).empty());
  for (int i = 0; i < 3; ++i) EXPECT_EQ(node.next_remote_reports(at({})).size(), 1U);
  EXPECT_TRUE(node.next_remote_reports(at({})).empty());
}

TEST(QuarantineTest, DoesNotReportASingleExitOfAWaitingRequestToOtherZones) {
  Quarantine node = make_quarantine();
  node.record_runner_exit({kPoisonRequest, 1, RunStage::kWaiting, at({})});
  EXPECT_TRUE(node.next_remote_reports(at({})).empty());
  node.record_runner_exit({kPoisonRequest, 2, RunStage::kWaiting, at({})});
  EXPECT_EQ(node.next_remote_reports(at({})).size(), 1U);
}

TEST(QuarantineTest, ExpiresLogRecordsByTheirAge) {
  Quarantine node = make_quarantine();
  const std::int64_t minutes_9 = 9 * 60 * 1000;
  node.apply_record(kPoisonRequest, {kTimeOfDayMs - minutes_9, 3}, at({}), kTimeOfDayMs);
  EXPECT_TRUE(node.contains(kPoisonRequest, at(std::chrono::seconds(59))));
  EXPECT_FALSE(node.contains(kPoisonRequest, at(std::chrono::seconds(61))));
}

TEST(QuarantineTest, OneMoreExitAfterExpiryRestoresTheQuarantine) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  const Duration later = Quarantine::kQuarantineTime + std::chrono::seconds(1);
  EXPECT_FALSE(node.contains(kPoisonRequest, at(later)));
  EXPECT_EQ(node.expire(at(later)).size(), 1U);
  exit_runners(node, 4, 4, later);
  EXPECT_TRUE(node.contains(kPoisonRequest, at(later)));
}

TEST(QuarantineTest, DeletingTheRecordOfAnExpiredQuarantineKeepsProbation) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  const Duration later = Quarantine::kQuarantineTime + std::chrono::seconds(1);
  node.expire(at(later));
  node.lift(kPoisonRequest);
  exit_runners(node, 4, 4, later);
  EXPECT_TRUE(node.contains(kPoisonRequest, at(later)));
}

TEST(QuarantineTest, LiftingAQuarantineForgetsEarlierExits) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  node.lift(kPoisonRequest);
  EXPECT_FALSE(node.contains(kPoisonRequest, at({})));
  exit_runners(node, 4, 5);
  EXPECT_FALSE(node.contains(kPoisonRequest, at({})));
}

TEST(QuarantineTest, UnrecordedQuarantinesSurviveALogReset) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  node.retain_only({});
  EXPECT_TRUE(node.contains(kPoisonRequest, at({})));
  node.apply_record(kPoisonRequest, {kTimeOfDayMs, 3}, at({}), kTimeOfDayMs);
  node.retain_only({});
  EXPECT_FALSE(node.contains(kPoisonRequest, at({})));
}

}  // namespace
}  // namespace stoathold
