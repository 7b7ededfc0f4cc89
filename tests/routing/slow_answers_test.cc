#include "routing/slow_answers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace stoathold {
namespace {

using std::chrono::milliseconds;
constexpr TimePoint kStart{std::chrono::seconds(100)};

TEST(SlowAnswersTest, ThreeTimesTheSlowestExpectedTimeIsBeyondExplanation) {
  EXPECT_FALSE(is_beyond_explanation(milliseconds(50), milliseconds(50)));
  // Slowest moments are in what is expected; a busy node adds up to 100 ms of its own.
  EXPECT_FALSE(is_beyond_explanation(milliseconds(150), milliseconds(20)));
  EXPECT_TRUE(is_beyond_explanation(milliseconds(400), milliseconds(50)));
}

/// Runners of which each had some answers.
class SlowRunnersTest : public testing::Test {
 protected:
  static constexpr std::size_t kRunners = 10;
  void answers(std::size_t runner, int slow, int usual, TimePoint now = kStart) {
    for (int i = 0; i < slow; ++i) runners[runner].count(true, now);
    for (int i = 0; i < usual; ++i) runners[runner].count(false, now);
  }
  std::vector<SlowVerdict> verdicts(TimePoint now = kStart) const {
    std::vector<SlowCounts> counts;
    for (const SlowAnswers& runner : runners) counts.push_back(runner.all(now));
    return judge_slow(counts);
  }
  static std::size_t marked(const std::vector<SlowVerdict>& verdicts) {
    return verdicts.size() - static_cast<std::size_t>(
                                 std::count(verdicts.begin(), verdicts.end(), SlowVerdict::kNone));
  }
  SlowAnswers runners[kRunners];
};

TEST_F(SlowRunnersTest, OneThatIsSlowAmongOthersIsAvoidedThenTriedThenForgotten) {
  for (std::size_t i = 0; i < kRunners; ++i) answers(i, 0, 10);
  runners[3] = {};
  answers(3, 3, 0);
  EXPECT_EQ(verdicts()[3], SlowVerdict::kAvoided);
  EXPECT_EQ(marked(verdicts()), 1U);
  EXPECT_EQ(verdicts(kStart + milliseconds(700))[3], SlowVerdict::kOnTrial);
  // One more slow answer on trial, and it is avoided again.
  answers(3, 1, 0, kStart + milliseconds(700));
  EXPECT_EQ(verdicts(kStart + milliseconds(700))[3], SlowVerdict::kAvoided);
  EXPECT_EQ(verdicts(kStart + milliseconds(5000))[3], SlowVerdict::kNone);
}

TEST_F(SlowRunnersTest, OneOrTwoSlowAnswersAreNoEvidence) {
  for (std::size_t i = 0; i < kRunners; ++i) answers(i, 0, 10);
  answers(3, 2, 0);
  EXPECT_EQ(verdicts()[3], SlowVerdict::kNone);
}

TEST_F(SlowRunnersTest, AllSlowTogetherAreNotAvoided) {
  for (std::size_t i = 0; i < kRunners; ++i) answers(i, 5, 1);
  EXPECT_EQ(marked(verdicts()), 0U);
}

TEST_F(SlowRunnersTest, HalfOfThemSlowTogetherAreNotAvoided) {
  for (std::size_t i = 0; i < kRunners; ++i) answers(i, i < 5 ? 5 : 0, i < 5 ? 0 : 50);
  EXPECT_EQ(marked(verdicts()), 0U);
}

TEST_F(SlowRunnersTest, WithoutOthersToCompareNoneIsAvoided) {
  answers(3, 5, 0);
  EXPECT_EQ(marked(verdicts()), 0U);
}

TEST_F(SlowRunnersTest, WhatAnotherNodeSawCountsOnce) {
  for (std::size_t i = 0; i < kRunners; ++i) answers(i, 0, 10);
  runners[3] = {};
  answers(3, 1, 0);
  for (int i = 0; i < 5; ++i) runners[3].take_report({.slow = 1, .usual = 0}, kStart);
  EXPECT_EQ(verdicts()[3], SlowVerdict::kOnTrial);
  runners[3].take_report({.slow = 2, .usual = 0}, kStart);
  EXPECT_EQ(verdicts()[3], SlowVerdict::kAvoided);
}

}  // namespace
}  // namespace stoathold
