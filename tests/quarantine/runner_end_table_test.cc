#include "quarantine/runner_end_table.h"

#include <gtest/gtest.h>

#include <set>

namespace stoathold {
namespace {

constexpr ContentHash kDeadly{1};
constexpr ContentHash kInnocent{2};

/// A table, and what is known of when runners were heard.
class RunnerEndTableTest : public testing::Test {
 protected:
  RunnerEndTableTest()
      : table([this](std::uint64_t runner) -> std::optional<TimePoint> {
          const auto found = heard.find(runner);
          return found == heard.end() ? std::nullopt : std::optional(found->second);
        }) {}

  static TimePoint at(int seconds) { return TimePoint{} + std::chrono::seconds(seconds); }
  void end(ContentHash content, std::uint64_t runner, RunStage stage = RunStage::kBegun) {
    table.add({content, runner, stage, at(static_cast<int>(runner))});
  }

  std::map<std::uint64_t, TimePoint> heard;
  RunnerEndTable table;
};

TEST_F(RunnerEndTableTest, ThreeEndsOfRunsThatHadBegunCondemn) {
  end(kDeadly, 1);
  end(kDeadly, 2);
  EXPECT_FALSE(table.over_limit(kDeadly));
  end(kDeadly, 3);
  EXPECT_TRUE(table.over_limit(kDeadly));
}

TEST_F(RunnerEndTableTest, ARunnerCountsOnceHoweverManyTellOfIt) {
  for (int i = 0; i < 5; ++i) end(kDeadly, 1);
  EXPECT_EQ(table.ends_of(kDeadly), 1U);
  EXPECT_FALSE(table.over_limit(kDeadly));
}

TEST_F(RunnerEndTableTest, WhoWaitedBesideARunThatHadBegunIsInnocent) {
  for (std::uint64_t runner = 1; runner <= 8; ++runner) {
    end(kInnocent, runner, RunStage::kWaiting);
    end(kDeadly, runner);
  }
  EXPECT_EQ(table.weight_against(kInnocent), 0U);
  EXPECT_TRUE(table.over_limit(kDeadly));
}

TEST_F(RunnerEndTableTest, OfRequestsInTheSameStageTheOneWithMostEndsExplainsThem) {
  for (std::uint64_t runner = 1; runner <= 5; ++runner) {
    end(kDeadly, runner, RunStage::kWaiting);
  }
  for (std::uint64_t runner = 1; runner <= 4; ++runner) {
    end(kInnocent, runner, RunStage::kWaiting);
  }
  EXPECT_EQ(table.weight_against(kInnocent), 0U);
  EXPECT_TRUE(table.over_limit(kDeadly));
}

TEST_F(RunnerEndTableTest, WhoWereAlwaysTogetherAreNotCondemnedUntilItIsOverwhelming) {
  for (std::uint64_t runner = 1; runner <= 5; ++runner) {
    end(kDeadly, runner);
    end(kInnocent, runner);
    EXPECT_FALSE(table.over_limit(kDeadly));
    EXPECT_FALSE(table.over_limit(kInnocent));
  }
  end(kDeadly, 6);
  EXPECT_TRUE(table.over_limit(kDeadly));
  EXPECT_FALSE(table.over_limit(kInnocent));
}

TEST_F(RunnerEndTableTest, ARunnerThatIsHeardAgainHasNotEnded) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) end(kInnocent, runner);
  EXPECT_TRUE(table.over_limit(kInnocent));
  heard[2] = at(2) + std::chrono::milliseconds(400);
  EXPECT_FALSE(table.over_limit(kInnocent));
}

TEST_F(RunnerEndTableTest, WhatOthersHeardJustBeforeTheEndProvesNothing) {
  for (std::uint64_t runner = 1; runner <= 3; ++runner) {
    end(kDeadly, runner);
    heard[runner] = at(static_cast<int>(runner)) + std::chrono::milliseconds(100);
  }
  EXPECT_TRUE(table.over_limit(kDeadly));
}

TEST_F(RunnerEndTableTest, EndsBeforeARequestWasServedDoNotCount) {
  for (std::uint64_t runner = 1; runner <= 2; ++runner) end(kInnocent, runner);
  table.clear(kInnocent, at(3));
  end(kInnocent, 4);
  EXPECT_FALSE(table.over_limit(kInnocent));
}

TEST_F(RunnerEndTableTest, TheOrderOfNewsDoesNotMatter) {
  const std::vector<RunnerEnd> ends{{kDeadly, 1, RunStage::kBegun, at(1)},
                                    {kInnocent, 1, RunStage::kWaiting, at(1)},
                                    {kDeadly, 2, RunStage::kWaiting, at(2)},
                                    {kInnocent, 2, RunStage::kBegun, at(2)},
                                    {kDeadly, 3, RunStage::kBegun, at(3)}};
  RunnerEndTable backwards([](std::uint64_t) { return std::nullopt; });
  for (const auto& end : ends) table.add(end);
  for (auto end = ends.rbegin(); end != ends.rend(); ++end) backwards.add(*end);
  EXPECT_EQ(table.weight_against(kDeadly), backwards.weight_against(kDeadly));
  EXPECT_EQ(table.weight_against(kInnocent), backwards.weight_against(kInnocent));
}

TEST_F(RunnerEndTableTest, ThousandsOfRequestsDoNotGrowItNorDriveOutTheOneThatReturns) {
  end(kDeadly, 1);
  end(kDeadly, 2);
  for (std::uint64_t i = 0; i < 20000; ++i) end(ContentHash{100 + i}, 1000 + i);
  EXPECT_LE(table.size(), 4096U);
  end(kDeadly, 3);
  EXPECT_TRUE(table.over_limit(kDeadly));
}

TEST_F(RunnerEndTableTest, OldEndsAreForgotten) {
  end(kDeadly, 1);
  table.expire(at(60));
  EXPECT_FALSE(table.empty());
  table.expire(at(700));
  EXPECT_TRUE(table.empty());
}

}  // namespace
}  // namespace stoathold
