// Guards against a runner that is slower than its reports, load and learned speed explain. It
// received only somewhat less work, and each node had to learn its speed from a dozen responses.
#include <gtest/gtest.h>

#include <string>

#include "routing/runner_selector.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint64_t kRoute = 7;
constexpr int kRunners = 10;

class SlowRunnerTest : public testing::Test {
 protected:
  SlowRunnerTest() {
    for (int i = 0; i < kRunners; ++i) {
      registry.upsert({name(i), "chat", "10.0.0.1:80", "near", 8, false});
    }
    for (int round = 0; round < 20; ++round) feed_responses(0, kRunners, 1);
  }
  static std::string name(int runner) { return "r" + std::to_string(runner); }
  Runner& runner(int index) { return *registry.all().at(name(index)); }
  /// Feeds one response of each runner in [from, end) that takes `times` times the usual 50 ms.
  void feed_responses(int from, int end, double times) {
    for (int i = from; i < end; ++i) {
      model.observe_first_event(kRoute, runner(i).speed(),
                                {.pending_prompt_tokens = 300, .load = 0.2},
                                scale(milliseconds(50), times), now);
    }
  }
  /// Returns the number of runners from which a request's runner is selected.
  std::uint32_t candidates(WorkClass work = WorkClass::kOnline) {
    SelectionRequest request{.service = "chat", .zone = "near", .prompt_tokens = 100};
    request.speeds = &model;
    request.work = work;
    request.latency_objectives.route = kRoute;
    request.latency_objectives.first_event_due = now + std::chrono::seconds(100);
    const Selection selection = select_runner(registry, request, now);
    EXPECT_NE(selection.runner, nullptr);
    return selection.candidates;
  }
  /// Advances the clock and feeds normal responses of all runners but the first.
  void advance_with_normal_responses() {
    now += std::chrono::seconds(10);
    for (int round = 0; round < 5; ++round) feed_responses(1, kRunners, 1);
  }

  RunnerRegistry registry;
  SpeedModel model;
  TimePoint now = kStart;
};

TEST_F(SlowRunnerTest, SlowRunnerTemporarilyGetsNoOnlineWork) {
  advance_with_normal_responses();
  for (int i = 0; i < 4; ++i) feed_responses(0, 1, 12);
  EXPECT_EQ(candidates(), kRunners - 1U);
  EXPECT_EQ(candidates(WorkClass::kBatch), static_cast<std::uint32_t>(kRunners));
  now += std::chrono::seconds(10);
  EXPECT_EQ(candidates(), static_cast<std::uint32_t>(kRunners));
}

TEST_F(SlowRunnerTest, RunnerOnProbationGetsOneRequestAtATime) {
  advance_with_normal_responses();
  for (int i = 0; i < 4; ++i) feed_responses(0, 1, 12);
  now += std::chrono::seconds(2);
  EXPECT_EQ(candidates(), static_cast<std::uint32_t>(kRunners));
  runner(0).begin_attempt();
  EXPECT_EQ(candidates(), kRunners - 1U);
}

TEST_F(SlowRunnerTest, NormalSlowPhaseIsNotAnOutlier) {
  advance_with_normal_responses();
  for (int i = 0; i < 4; ++i) feed_responses(0, 1, 2.5);
  EXPECT_EQ(candidates(), static_cast<std::uint32_t>(kRunners));
}

TEST_F(SlowRunnerTest, NoRunnerIsAvoidedIfAllSlowDown) {
  now += std::chrono::seconds(10);
  for (int i = 0; i < 4; ++i) feed_responses(0, kRunners, 12);
  EXPECT_EQ(candidates(), static_cast<std::uint32_t>(kRunners));
}

TEST_F(SlowRunnerTest, NoRunnerIsAvoidedIfHalfSlowDown) {
  now += std::chrono::seconds(10);
  for (int i = 0; i < 4; ++i) feed_responses(0, kRunners / 2, 12);
  for (int i = 0; i < 20; ++i) feed_responses(kRunners / 2, kRunners, 1);
  EXPECT_EQ(candidates(), static_cast<std::uint32_t>(kRunners));
}

TEST_F(SlowRunnerTest, PeerReportsOfOutliersAreApplied) {
  advance_with_normal_responses();
  for (int i = 0; i < 4; ++i) feed_responses(0, 1, 12);
  SpeedModel other;
  RunnerSpeed there;
  other.apply_report(there, runner(0).speed().report(1, now), now);
  EXPECT_GT(there.latency_outliers().all(now).outliers, 2.5);
}

// 0 and 1,000,000,000 are rejected as invalid, so that they explain no outliers. 5,000 is the
// largest valid slowness, and must not make the slowness of other runners look expected.
TEST_F(SlowRunnerTest, FalseSlownessReportsDoNotHideOutliers) {
  EXPECT_FALSE(is_valid_slowness(0));
  EXPECT_FALSE(is_valid_slowness(1000000000));
  model.apply_report(runner(1).speed(), {.runner = 1, .slowness_percent = 0}, now);
  for (int i = 0; i < 3; ++i) {
    model.apply_slowness_report(runner(1).speed(), kMaxSlownessPercent, now - milliseconds(i),
                                true);
  }
  advance_with_normal_responses();
  for (int i = 0; i < 4; ++i) feed_responses(0, 1, 40);
  EXPECT_EQ(candidates(), kRunners - 1U);
}

}  // namespace
}  // namespace stoathold
