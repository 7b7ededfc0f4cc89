#include "routing/runner_speed.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kRoute = 7;
constexpr RunnerWork kWork{.pending_prompt_tokens = 450, .load = 0.5};

/// Feeds responses of a runner that take `times` times the mean of 50 ms.
void feed_responses(SpeedModel& model, RunnerSpeed& runner, double times, int count) {
  for (int i = 0; i < count; ++i) {
    model.observe_first_event(kRoute, runner, kWork, scale(milliseconds(50), times), kNow);
  }
}

double first_event_ms(const SpeedModel& model, const RunnerSpeed& runner, TimePoint now = kNow) {
  return to_seconds(model.expected(kRoute, runner, kWork, now).first_event) * 1000;
}

TEST(RunnerSpeedTest, OutdatedAndDuplicateReportsAreIgnored) {
  RunnerSpeed runner;
  runner.apply_slowness_report(250, kNow, false);
  runner.apply_slowness_report(100, kNow - milliseconds(40), false);
  EXPECT_EQ(runner.reported_percent(), 250U);
  runner.apply_slowness_report(250, kNow, false);
  EXPECT_DOUBLE_EQ(runner.slowness(1.2, kNow), 2.5);
}

// Machines change every 0.6 s, so an older report does not describe the current state. A runner
// that is slower by design always reports more, and must not be assumed to be average when its
// report expires.
TEST(RunnerSpeedTest, ReportFadesToRunnersOwnMean) {
  RunnerSpeed runner;
  EXPECT_DOUBLE_EQ(runner.slowness(1.2, kNow), 1.2);
  for (int i = 100; i > 0; --i) runner.apply_slowness_report(160, kNow - milliseconds(i), false);
  runner.apply_slowness_report(400, kNow, true);
  EXPECT_DOUBLE_EQ(runner.slowness(1.2, kNow), 4);
  const double later = runner.slowness(1.2, kNow + milliseconds(600));
  EXPECT_NEAR(later, 1.6, 0.1);
  EXPECT_NEAR(runner.slowness(1.2, kNow + milliseconds(300)), (4 + later) / 2, 0.01);
}

TEST(RunnerSpeedTest, SingleReportBarelyChangesMean) {
  RunnerSpeed runner;
  runner.apply_slowness_report(250, kNow, true);
  EXPECT_NEAR(runner.slowness(1.2, kNow + milliseconds(600)), 1.46, 0.01);
}

TEST(RunnerSpeedTest, RunnersOfThreeSpeedsAreDistinguished) {
  SpeedModel model;
  RunnerSpeed fast;
  RunnerSpeed average;
  RunnerSpeed slow;
  for (int i = 0; i < 100; ++i) {
    feed_responses(model, fast, 0.6, 1);
    feed_responses(model, average, 1.0, 1);
    feed_responses(model, slow, 1.6, 1);
  }
  // Only the ratios matter, since the mean is learned along with them.
  EXPECT_NEAR(slow.relative_time() / average.relative_time(), 1.6, 0.1);
  EXPECT_NEAR(fast.relative_time() / average.relative_time(), 0.6, 0.05);
  EXPECT_NEAR(first_event_ms(model, slow), 80, 6);
  EXPECT_NEAR(first_event_ms(model, fast), 30, 3);
  // A new runner is assumed to be average.
  EXPECT_NEAR(first_event_ms(model, RunnerSpeed{}), 50, 6);
}

// A single response delayed by a second on its way must not make a runner slow.
TEST(RunnerSpeedTest, SingleOutlierChangesLittle) {
  SpeedModel model;
  RunnerSpeed runner;
  feed_responses(model, runner, 1, 50);
  const double before = first_event_ms(model, runner);
  feed_responses(model, runner, 20, 1);
  EXPECT_LT(first_event_ms(model, runner), before * 1.15);
}

TEST(RunnerSpeedTest, PermanentChangeIsLearned) {
  SpeedModel model;
  RunnerSpeed others;
  RunnerSpeed runner;
  feed_responses(model, others, 1, 100);
  feed_responses(model, runner, 1, 100);
  for (int i = 0; i < 40; ++i) {
    feed_responses(model, others, 1, 3);
    feed_responses(model, runner, 1.6, 1);
  }
  EXPECT_NEAR(runner.relative_time() / others.relative_time(), 1.6, 0.2);
}

// Guards against counting a runner's reported slowness a second time as learned time.
TEST(RunnerSpeedTest, ReportedSlownessIsNotLearnedAsRelativeTime) {
  SpeedModel model;
  RunnerSpeed steady;
  RunnerSpeed changing;
  for (int i = 0; i < 200; ++i) {
    const bool slow = i % 4 == 0;
    model.apply_slowness_report(steady, 100, kNow, true);
    model.apply_slowness_report(changing, slow ? 250 : 100, kNow, true);
    feed_responses(model, steady, 1, 1);
    feed_responses(model, changing, slow ? 2.5 : 1, 1);
  }
  EXPECT_NEAR(changing.relative_time() / steady.relative_time(), 1, 0.05);
  model.apply_slowness_report(changing, 250, kNow, true);
  EXPECT_NEAR(first_event_ms(model, changing), 125, 12);
}

// The model compensates for a runner that always reports to be slower or faster than it is.
TEST(RunnerSpeedTest, ConstantFalseReportIsCompensated) {
  SpeedModel model;
  RunnerSpeed accurate;
  RunnerSpeed misreporting;
  for (int i = 0; i < 300; ++i) {
    model.apply_slowness_report(accurate, 100, kNow, true);
    model.apply_slowness_report(misreporting, 400, kNow, true);
    feed_responses(model, accurate, 1, 1);
    feed_responses(model, misreporting, 1, 1);
  }
  EXPECT_NEAR(first_event_ms(model, misreporting), first_event_ms(model, accurate), 12);
}

TEST(RunnerSpeedTest, PendingTokensAndLoadAreWeightedByCost) {
  SpeedModel model;
  RunnerSpeed runner;
  for (int i = 0; i < 600; ++i) {
    const RunnerWork work{.pending_prompt_tokens = 450.0 * (i % 4), .load = (i % 7) / 8.0};
    const double ms = 30 + work.pending_prompt_tokens / 20 + 25 * work.load;
    model.observe_first_event(kRoute, runner, work, scale(milliseconds(1), ms), kNow);
  }
  const auto expected_ms = [&](const RunnerWork& work) {
    return to_seconds(model.expected(kRoute, runner, work, kNow).first_event) * 1000;
  };
  const RunnerWork empty{};
  EXPECT_NEAR(expected_ms({.pending_prompt_tokens = 2000}) - expected_ms(empty), 100, 25);
  EXPECT_NEAR(expected_ms({.load = 1}) - expected_ms(empty), 25, 8);
}

TEST(RunnerSpeedTest, PeerReportsAreAppliedAndInvalidOnesIgnored) {
  SpeedModel model;
  RunnerSpeed runner;
  EXPECT_TRUE(model.apply_report(runner, {1, 250, 100, 410, 16}, kNow));
  EXPECT_NEAR(runner.relative_time(), 1.6, 0.01);
  EXPECT_EQ(runner.reported_at(), kNow - milliseconds(100));
  // Missing or invalid slowness leaves the known state unchanged.
  EXPECT_FALSE(model.apply_report(runner, {1, 0, 0, 0, 0}, kNow));
  EXPECT_FALSE(model.apply_report(runner, {1, 9, 0, 410, 0}, kNow));
  EXPECT_FALSE(model.apply_report(runner, {1, 65535, 0, 0, 9}, kNow));
  EXPECT_EQ(runner.reported_percent(), 250U);
  EXPECT_NEAR(runner.relative_time(), 1.6, 0.01);
  // A learned time out of bounds counts as the bound.
  EXPECT_TRUE(model.apply_report(runner, {1, 100, 0, 65535, 255}, kNow));
  EXPECT_LE(runner.relative_time(), 16);
}

TEST(RunnerSpeedTest, DuplicateRelativeTimeReportCountsOnce) {
  SpeedModel model;
  RunnerSpeed runner;
  feed_responses(model, runner, 1, 10);
  const SpeedReport report{1, 0, 0, 410, 16};
  model.apply_report(runner, report, kNow);
  const double once = runner.relative_time();
  model.apply_report(runner, report, kNow);
  EXPECT_NEAR(runner.relative_time(), once, 0.15);
}

}  // namespace
}  // namespace stoathold
