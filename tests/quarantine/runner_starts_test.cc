/// Tests how starts of a runner are told apart that the directory does not list.
#include "quarantine/runner_starts.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr std::uint64_t kRunner = 7;

TimePoint at(int ms) {
  return TimePoint{} + std::chrono::seconds(100) + std::chrono::milliseconds(ms);
}

ClosedRun closed_run(int connected_ms, RunStage stage = RunStage::kResponseStarted) {
  return {.runner = kRunner, .connected = at(connected_ms), .stage = stage};
}

class RunnerStartsTest : public testing::Test {
 protected:
  RunnerStarts starts{[this](std::uint64_t) { return life; }};
  std::optional<RunnerLife> life;
};

TEST_F(RunnerStartsTest, ConnectionOpenedBeforeTheExitBelongsToTheSameStart) {
  starts.add_exit({kRunner, 0}, at(100));
  EXPECT_EQ(starts.start_of(closed_run(90)), (RunnerStart{kRunner, 0}));
}

TEST_F(RunnerStartsTest, ConnectionOpenedAfterTheExitBelongsToTheNextStart) {
  starts.add_exit({kRunner, 0}, at(100));
  starts.add_exit({kRunner, 1}, at(200));
  EXPECT_EQ(starts.start_of(closed_run(150)), (RunnerStart{kRunner, 1}));
  EXPECT_EQ(starts.start_of(closed_run(201)), (RunnerStart{kRunner, 2}));
}

TEST_F(RunnerStartsTest, TheEarliestReportOfAnExitCounts) {
  starts.add_exit({kRunner, 0}, at(180));
  starts.add_exit({kRunner, 0}, at(100));
  EXPECT_EQ(starts.start_of(closed_run(150)), (RunnerStart{kRunner, 1}));
}

TEST_F(RunnerStartsTest, NodesGiveOneExitTheSameNumberWhateverTheDelayOfReports) {
  RunnerStarts other([](std::uint64_t) { return std::nullopt; });
  starts.add_exit({kRunner, 0}, at(100));
  other.add_exit({kRunner, 0}, at(140));
  EXPECT_EQ(starts.start_of(closed_run(160)), other.start_of(closed_run(165)));
}

TEST_F(RunnerStartsTest, RefutedExitStartsNothing) {
  starts.add_exit({kRunner, 0}, at(100));
  life = RunnerLife{.period = LivePeriod(at(0), at(500))};
  EXPECT_TRUE(starts.is_refuted(kRunner, at(100)));
  EXPECT_EQ(starts.start_of(closed_run(600)), (RunnerStart{kRunner, 0}));
}

TEST_F(RunnerStartsTest, HearingFromTheNextStartDoesNotRefuteTheExit) {
  life = RunnerLife{.period = LivePeriod(at(150), at(5000))};
  EXPECT_FALSE(starts.is_refuted(kRunner, at(100)));
}

TEST_F(RunnerStartsTest, DirectoryThatStillListsTheIncarnationRefutesTheExit) {
  life = RunnerLife{.period = LivePeriod(at(150), at(5000)), .listed = at(1000)};
  EXPECT_FALSE(starts.is_refuted(kRunner, at(100)));
  life->listed = at(1200);
  EXPECT_TRUE(starts.is_refuted(kRunner, at(100)));
}

TEST_F(RunnerStartsTest, ListedRunnerThatStaysSilentHasExited) {
  life = RunnerLife{.period = LivePeriod(at(0), at(99)), .listed = at(60000)};
  EXPECT_FALSE(starts.is_refuted(kRunner, at(100)));
}

TEST_F(RunnerStartsTest, ConnectionClosedWithoutAnyByteOfTheNextStartIsNoExit) {
  starts.add_exit({kRunner, 0}, at(100));
  const ClosedRun without_response = closed_run(150, RunStage::kWaiting);
  EXPECT_EQ(starts.start_of(without_response), (RunnerStart{kRunner, 0}));
  life = RunnerLife{.period = LivePeriod(at(120), at(140))};
  EXPECT_EQ(starts.start_of(without_response), (RunnerStart{kRunner, 1}));
}

TEST_F(RunnerStartsTest, ForgetsExitsAfterTheirLifetime) {
  starts.add_exit({kRunner, 0}, at(100));
  starts.expire(at(100) + std::chrono::minutes(11));
  EXPECT_EQ(starts.start_of(closed_run(150)), (RunnerStart{kRunner, 0}));
}

TEST(LivePeriodTest, OverlappingConnectionsExtendThePeriod) {
  LivePeriod period;
  period.record_receive(at(0), at(100));
  period.record_receive(at(50), at(200));
  EXPECT_EQ(period.since(), at(0));
  EXPECT_EQ(period.until(), at(200));
}

TEST(LivePeriodTest, ConnectionOpenedAfterTheLastByteBeginsANewPeriod) {
  LivePeriod period;
  period.record_receive(at(0), at(100));
  period.record_receive(at(150), at(1000));
  EXPECT_EQ(period.since(), at(150));
  EXPECT_FALSE(period.spans(at(120)));
}

TEST(LivePeriodTest, CoversASendAfterWhichBytesWereReceivedFromTheSameProcess) {
  LivePeriod period;
  EXPECT_FALSE(period.covers_send(at(0), at(0)));
  period.record_receive(at(0), at(100));
  EXPECT_TRUE(period.covers_send(at(90), at(91)));
  EXPECT_TRUE(period.covers_send(at(0), at(140)));
}

TEST(LivePeriodTest, DoesNotCoverASendOverAConnectionOpenedAfterTheLastByte) {
  LivePeriod period;
  period.record_receive(at(0), at(100));
  EXPECT_FALSE(period.covers_send(at(101), at(102)));
}

TEST(LivePeriodTest, DoesNotCoverASendLongAfterTheLastByte) {
  LivePeriod period;
  period.record_receive(at(0), at(100));
  EXPECT_FALSE(period.covers_send(at(0), at(200)));
}

TEST(LivePeriodTest, DoesNotCoverASendBeforeTheProcessIsKnownToRun) {
  LivePeriod period;
  period.record_receive(at(0), at(100));
  period.record_receive(at(2900), at(3000));
  // Sent between the two periods, over a connection that nothing was received over.
  EXPECT_FALSE(period.covers_send(at(1000), at(1001)));
}

TEST(LivePeriodTest, ReportOfAnOverlappingConnectionExtendsThePeriod) {
  LivePeriod period;
  period.record_receive(at(0), at(1000));
  period.merge_report(at(500), at(2000));
  EXPECT_TRUE(period.spans(at(1200)));
}

TEST(LivePeriodTest, LateReportDoesNotJoinThePeriodsOfTwoStarts) {
  LivePeriod period;
  period.record_receive(at(0), at(90));
  // Another node heard the start that exited at 100 ms; its report is 60 ms late.
  period.merge_report(at(60), at(155));
  // This node's connection to the next start was opened at 150 ms.
  period.record_receive(at(150), at(1000));
  EXPECT_FALSE(period.spans(at(100)));
}

}  // namespace
}  // namespace stoathold
