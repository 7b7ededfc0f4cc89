#include "quarantine/runner_exit_table.h"

#include <gtest/gtest.h>

#include <set>

namespace stoathold {
namespace {

constexpr ContentHash kPoisonRequest{1};
constexpr ContentHash kInnocentRequest{2};
constexpr ContentHash kOtherPoisonRequest{500};

/// A table, and the times when runners were last heard from.
class RunnerExitTableTest : public testing::Test {
 protected:
  RunnerExitTableTest()
      : table([this](std::uint64_t runner) -> std::optional<RunnerLife> {
          const auto found = last_receive_time.find(runner);
          if (found == last_receive_time.end()) return std::nullopt;
          return RunnerLife{.period = LivePeriod(TimePoint{}, found->second)};
        }) {}

  static TimePoint at(int seconds) { return TimePoint{} + std::chrono::seconds(seconds); }
  void add_exit(ContentHash content, std::uint64_t runner,
                RunStage stage = RunStage::kResponseStarted) {
    table.add({content, runner, stage, at(static_cast<int>(runner))});
  }

  std::map<std::uint64_t, TimePoint> last_receive_time;
  RunnerExitTable table;
};

TEST_F(RunnerExitTableTest, ThreeExitsOfStartedRunsReachTheLimit) {
  add_exit(kPoisonRequest, 1);
  add_exit(kPoisonRequest, 2);
  EXPECT_FALSE(table.over_limit(kPoisonRequest));
  add_exit(kPoisonRequest, 3);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
}

TEST_F(RunnerExitTableTest, CountsEachRunnerOnce) {
  for (int i = 0; i < 5; ++i) add_exit(kPoisonRequest, 1);
  EXPECT_EQ(table.exit_count(kPoisonRequest), 1U);
  EXPECT_FALSE(table.over_limit(kPoisonRequest));
}

/// Guards against a runner that restarts under its id, unlisted, and whose exits count as one.
TEST_F(RunnerExitTableTest, CountsEachStartOfARunner) {
  for (std::uint32_t restarts = 0; restarts < 3; ++restarts) {
    const TimePoint exited = at(1 + static_cast<int>(restarts));
    table.add({kPoisonRequest, 1, RunStage::kResponseStarted, exited, restarts});
  }
  EXPECT_EQ(table.exit_count(kPoisonRequest), 3U);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
}

TEST_F(RunnerExitTableTest, ExitAfterARefutedOneOfTheSameStartCounts) {
  add_exit(kPoisonRequest, 1);
  last_receive_time[1] = at(2);
  EXPECT_EQ(table.attributed_weight(kPoisonRequest), 0U);
  EXPECT_TRUE(table.add({kPoisonRequest, 1, RunStage::kResponseStarted, at(3)}));
  EXPECT_GT(table.attributed_weight(kPoisonRequest), 0U);
}

/// A later live period of the runner does not show any more that it went on running.
TEST_F(RunnerExitTableTest, RefutedExitsStayRefuted) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) add_exit(kInnocentRequest, runner);
  last_receive_time[1] = at(3);
  table.expire(at(4));
  last_receive_time.clear();
  EXPECT_FALSE(table.over_limit(kInnocentRequest));
}

TEST_F(RunnerExitTableTest, AttributesExitsToStartedRatherThanWaitingRequests) {
  for (std::uint64_t runner = 1; runner <= 8; ++runner) {
    add_exit(kInnocentRequest, runner, RunStage::kWaiting);
    add_exit(kPoisonRequest, runner);
  }
  EXPECT_EQ(table.attributed_weight(kInnocentRequest), 0U);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
}

TEST_F(RunnerExitTableTest, AttributesExitsInTheSameStageToTheRequestWithMostExits) {
  for (std::uint64_t runner = 1; runner <= 5; ++runner) {
    add_exit(kPoisonRequest, runner, RunStage::kWaiting);
  }
  for (std::uint64_t runner = 1; runner <= 4; ++runner) {
    add_exit(kInnocentRequest, runner, RunStage::kWaiting);
  }
  EXPECT_EQ(table.attributed_weight(kInnocentRequest), 0U);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
}

TEST_F(RunnerExitTableTest, RequestsAlwaysSeenTogetherNeedTwiceTheLimit) {
  for (std::uint64_t runner = 1; runner <= 5; ++runner) {
    add_exit(kPoisonRequest, runner);
    add_exit(kInnocentRequest, runner);
    EXPECT_FALSE(table.over_limit(kPoisonRequest));
    EXPECT_FALSE(table.over_limit(kInnocentRequest));
  }
  add_exit(kPoisonRequest, 6);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
  EXPECT_FALSE(table.over_limit(kInnocentRequest));
}

/// Guards against poison requests that are always at the same runners and are blamed for no exit.
TEST_F(RunnerExitTableTest, OneExitAloneIsEnoughAfterSharedOnes) {
  for (std::uint64_t runner = 1; runner <= 5; ++runner) {
    add_exit(kPoisonRequest, runner, RunStage::kWaiting);
    add_exit(kOtherPoisonRequest, runner, RunStage::kWaiting);
  }
  EXPECT_FALSE(table.over_limit(kPoisonRequest));
  add_exit(kPoisonRequest, 6, RunStage::kWaiting);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
  EXPECT_FALSE(table.over_limit(kOtherPoisonRequest));
  for (std::uint64_t runner = 7; runner <= 8; ++runner) {
    add_exit(kOtherPoisonRequest, runner, RunStage::kWaiting);
  }
  EXPECT_TRUE(table.over_limit(kOtherPoisonRequest));
}

TEST_F(RunnerExitTableTest, RequestBacksOffFromTheThirdExitOn) {
  add_exit(kPoisonRequest, 1);
  add_exit(kPoisonRequest, 2);
  EXPECT_EQ(table.backoff_until(kPoisonRequest), TimePoint{});
  add_exit(kPoisonRequest, 3);
  const TimePoint after_third = table.backoff_until(kPoisonRequest);
  EXPECT_GT(after_third, at(3));
  add_exit(kPoisonRequest, 4);
  EXPECT_GT(table.backoff_until(kPoisonRequest) - at(4), after_third - at(3));
}

TEST_F(RunnerExitTableTest, BackoffBeginsAnewWithEachSend) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) add_exit(kPoisonRequest, runner);
  const Duration backoff = table.backoff_until(kPoisonRequest) - at(3);
  table.record_send(kPoisonRequest, at(7));
  EXPECT_EQ(table.backoff_until(kPoisonRequest), at(7) + backoff);
}

TEST_F(RunnerExitTableTest, RequestsWithTheSameExitsBackOffForDifferentTimes) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) {
    add_exit(kPoisonRequest, runner);
    add_exit(kOtherPoisonRequest, runner);
  }
  EXPECT_NE(table.backoff_until(kPoisonRequest), table.backoff_until(kOtherPoisonRequest));
}

TEST_F(RunnerExitTableTest, ServedRequestDoesNotBackOff) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) add_exit(kInnocentRequest, runner);
  table.clear(kInnocentRequest, at(4));
  EXPECT_EQ(table.backoff_until(kInnocentRequest), TimePoint{});
}

TEST_F(RunnerExitTableTest, IgnoresExitsOfRunnersHeardLater) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) add_exit(kInnocentRequest, runner);
  EXPECT_TRUE(table.over_limit(kInnocentRequest));
  last_receive_time[2] = at(2) + std::chrono::milliseconds(400);
  EXPECT_FALSE(table.over_limit(kInnocentRequest));
}

TEST_F(RunnerExitTableTest, ToleratesReportsFromJustAfterTheExit) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) {
    add_exit(kPoisonRequest, runner);
    last_receive_time[runner] = at(static_cast<int>(runner)) + std::chrono::milliseconds(100);
  }
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
}

TEST_F(RunnerExitTableTest, IgnoresExitsBeforeTheRequestWasServed) {
  for (std::uint64_t runner = 1; runner <= 2; ++runner) add_exit(kInnocentRequest, runner);
  table.clear(kInnocentRequest, at(3));
  add_exit(kInnocentRequest, 4);
  EXPECT_FALSE(table.over_limit(kInnocentRequest));
}

TEST_F(RunnerExitTableTest, ResultDoesNotDependOnTheOrderOfReports) {
  const std::vector<RunnerExit> ends{{kPoisonRequest, 1, RunStage::kResponseStarted, at(1)},
                                     {kInnocentRequest, 1, RunStage::kWaiting, at(1)},
                                     {kPoisonRequest, 2, RunStage::kWaiting, at(2)},
                                     {kInnocentRequest, 2, RunStage::kResponseStarted, at(2)},
                                     {kPoisonRequest, 3, RunStage::kResponseStarted, at(3)}};
  RunnerExitTable reversed([](std::uint64_t) { return std::nullopt; });
  for (const auto& end : ends) table.add(end);
  for (auto end = ends.rbegin(); end != ends.rend(); ++end) reversed.add(*end);
  EXPECT_EQ(table.attributed_weight(kPoisonRequest), reversed.attributed_weight(kPoisonRequest));
  EXPECT_EQ(table.attributed_weight(kInnocentRequest),
            reversed.attributed_weight(kInnocentRequest));
}

TEST_F(RunnerExitTableTest, EvictionBoundsTheTableAndKeepsRepeatedSuspects) {
  add_exit(kPoisonRequest, 1);
  add_exit(kPoisonRequest, 2);
  for (std::uint64_t i = 0; i < 20000; ++i) add_exit(ContentHash{100 + i}, 1000 + i);
  EXPECT_LE(table.size(), 4096U);
  add_exit(kPoisonRequest, 3);
  EXPECT_TRUE(table.over_limit(kPoisonRequest));
}

TEST_F(RunnerExitTableTest, ForgetsOldExits) {
  add_exit(kPoisonRequest, 1);
  table.expire(at(60));
  EXPECT_FALSE(table.empty());
  table.expire(at(700));
  EXPECT_TRUE(table.empty());
}

}  // namespace
}  // namespace stoathold
