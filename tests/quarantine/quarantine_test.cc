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

ClosedRun unproven_run(std::uint64_t runner) {
  return {.runner = runner, .connected = at({}), .reached_live_runner = false};
}

TEST(QuarantineTest, RunnersThatMayHaveExitedBeforeTheRequestAreNotHeldAgainstIt) {
  Quarantine node = make_quarantine();
  for (std::uint64_t runner = 1; runner <= 20; ++runner) {
    node.record_closed_run(kPoisonRequest, unproven_run(runner), at({}));
  }
  EXPECT_TRUE(node.empty());
  EXPECT_EQ(node.suspect_count(), 0U);
}

TEST(QuarantineTest, ClosedRunAtALiveRunnerIsAnExit) {
  Quarantine node = make_quarantine();
  for (std::uint64_t runner = 1; runner <= 5; ++runner) {
    node.record_closed_run(kPoisonRequest, {.runner = runner, .connected = at({})}, at({}));
  }
  EXPECT_TRUE(node.contains(kPoisonRequest, at({})));
}

TEST(QuarantineTest, AfterAnUnprovenExitAllNodesRequireALiveRunnerUntilTheRequestMakesProgress) {
  Quarantine node = make_quarantine();
  Quarantine same_zone = make_quarantine();
  Quarantine other_zone = make_quarantine();
  EXPECT_FALSE(node.requires_live_runner(kPoisonRequest));
  node.record_closed_run(kPoisonRequest, unproven_run(1), at({}));
  same_zone.apply_reports(node.next_zone_reports(at({})), at({}));
  other_zone.apply_reports(node.next_remote_reports(at({})), at({}));
  for (Quarantine* each : {&node, &same_zone, &other_zone}) {
    EXPECT_TRUE(each->requires_live_runner(kPoisonRequest));
    EXPECT_TRUE(each->watches_progress());
    each->record_progress(kPoisonRequest, at({}));
    EXPECT_FALSE(each->requires_live_runner(kPoisonRequest));
  }
}

TEST(QuarantineTest, ForgetsTheOldestOfManyUnprovenExits) {
  Quarantine node = make_quarantine();
  constexpr std::uint64_t kRequests = 5000;
  for (std::uint64_t content = 1; content <= kRequests; ++content) {
    node.record_closed_run(ContentHash{content}, unproven_run(1), at({}));
  }
  EXPECT_FALSE(node.requires_live_runner(ContentHash{1}));
  EXPECT_TRUE(node.requires_live_runner(ContentHash{kRequests}));
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

Lift lift_at(std::uint64_t position, Duration since_start) {
  return {.position = position, .at = at(since_start)};
}

TEST(QuarantineTest, NoticeQuarantinesAtANodeThatHeardOfNoExit) {
  Quarantine decider = make_quarantine();
  Quarantine other = make_quarantine();
  exit_runners(decider, 1, 3);
  other.apply_notices(decider.next_zone_notices(at({})), at({}));
  EXPECT_TRUE(other.contains(kPoisonRequest, at({})));
  EXPECT_EQ(decider.next_zone_notices(at({})).size(), 1U);
  EXPECT_TRUE(decider.next_zone_notices(at({})).empty());
  for (int i = 0; i < 3; ++i) EXPECT_EQ(decider.next_remote_notices(at({})).size(), 1U);
  EXPECT_TRUE(decider.next_remote_notices(at({})).empty());
}

TEST(QuarantineTest, NoticesPassAQuarantineOnWithoutExtendingIt) {
  Quarantine decider = make_quarantine();
  Quarantine second = make_quarantine();
  Quarantine third = make_quarantine();
  exit_runners(decider, 1, 3);
  const Duration later = std::chrono::minutes(4);
  second.apply_notices(decider.next_refresh_notices(at(later)), at(later));
  third.apply_notices(second.next_refresh_notices(at(2 * later)), at(2 * later));
  EXPECT_TRUE(third.contains(kPoisonRequest, at(2 * later)));
  EXPECT_EQ(third.time_left(kPoisonRequest, at({})), Quarantine::kQuarantineTime);
}

TEST(QuarantineTest, LiftWinsOverNoticesThatStillTravel) {
  Quarantine decider = make_quarantine();
  Quarantine other = make_quarantine();
  exit_runners(decider, 1, 3);
  const auto copies = decider.next_refresh_notices(at({}));
  other.apply_notices(copies, at({}));
  const Duration later = std::chrono::seconds(60);
  other.lift(kPoisonRequest, lift_at(5, later));
  other.apply_notices(copies, at(later));
  EXPECT_FALSE(other.contains(kPoisonRequest, at(later)));
  decider.apply_notices(other.next_refresh_notices(at(later)), at(later));
  EXPECT_FALSE(decider.contains(kPoisonRequest, at(later)));
}

TEST(QuarantineTest, QuarantineAfterALiftIsBelievedByNodesThatKnowTheLift) {
  Quarantine decider = make_quarantine();
  Quarantine other = make_quarantine();
  exit_runners(decider, 1, 3);
  other.apply_notices(decider.next_refresh_notices(at({})), at({}));
  const Duration later = std::chrono::seconds(60);
  for (Quarantine* node : {&decider, &other}) node->lift(kPoisonRequest, lift_at(5, later));
  const Duration again = std::chrono::seconds(70);
  exit_runners(decider, 4, 6, again);
  other.apply_notices(decider.next_refresh_notices(at(again)), at(again));
  EXPECT_TRUE(other.contains(kPoisonRequest, at(again)));
}

TEST(QuarantineTest, ReportsOfExitsBeforeALiftDoNotCount) {
  Quarantine decider = make_quarantine();
  Quarantine other = make_quarantine();
  exit_runners(decider, 1, 3);
  other.apply_notices(decider.next_refresh_notices(at({})), at({}));
  const Duration later = std::chrono::seconds(60);
  other.lift(kPoisonRequest, lift_at(5, later));
  other.apply_reports(decider.next_zone_reports(at(later)), at(later));
  EXPECT_FALSE(other.contains(kPoisonRequest, at(later)));
}

TEST(QuarantineTest, DeletingTheRecordOfAQuarantineThatIsAboutToExpireIsNoLift) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  const Duration later = Quarantine::kQuarantineTime - std::chrono::seconds(1);
  node.lift(kPoisonRequest, lift_at(5, later));
  EXPECT_TRUE(node.next_refresh_notices(at(later)).empty());
}

TEST(QuarantineTest, NodeThatObservedAnExitRecordsAQuarantineThatItAdopts) {
  Quarantine decider = make_quarantine();
  Quarantine observer = make_quarantine();
  int written = 0;
  observer.set_quarantined_handler([&](ContentHash, std::size_t) { ++written; });
  exit_runners(decider, 1, 3);
  exit_runners(observer, 1, 1);
  observer.apply_notices(decider.next_zone_notices(at({})), at({}));
  EXPECT_EQ(written, 1);
}

TEST(QuarantineTest, RefreshNoticesCoverAllQuarantinesInTurn) {
  Quarantine decider = make_quarantine();
  Quarantine started = make_quarantine();
  constexpr std::uint64_t kRequests = 100;
  for (std::uint64_t content = 1; content <= kRequests; ++content) {
    for (std::uint64_t runner = 1; runner <= 3; ++runner) {
      decider.record_runner_exit(
          {ContentHash{content}, 10 * content + runner, RunStage::kResponseStarted, at({})});
    }
  }
  for (int message = 0; message < 3; ++message) {
    started.apply_notices(decider.next_refresh_notices(at({})), at({}));
  }
  EXPECT_EQ(started.size(), kRequests);
}

constexpr Duration kFirstTrial = Quarantine::kFirstTrialDelay;

QuarantineRecord record_of(std::uint32_t exits, std::uint32_t trials) {
  return {kTimeOfDayMs, exits, trials};
}

TEST(QuarantineTest, ATrialIsDueSomeTimeAfterTheRecordAndLaterAfterEachTrial) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  EXPECT_FALSE(node.is_trial_due(kPoisonRequest, at(kFirstTrial)));
  node.apply_record(kPoisonRequest, record_of(3, 0), at({}), kTimeOfDayMs);
  EXPECT_FALSE(node.is_trial_due(kPoisonRequest, at(kFirstTrial / 2)));
  EXPECT_EQ(node.retry_after(kPoisonRequest, at({})), kFirstTrial);
  EXPECT_TRUE(node.is_trial_due(kPoisonRequest, at(kFirstTrial)));
  node.apply_record(kPoisonRequest, record_of(3, 1), at(kFirstTrial), kTimeOfDayMs);
  EXPECT_FALSE(node.is_trial_due(kPoisonRequest, at(2 * kFirstTrial)));
  EXPECT_TRUE(node.is_trial_due(kPoisonRequest, at(3 * kFirstTrial)));
}

TEST(QuarantineTest, TrialsAndExitsTogetherStayWithinTheBound) {
  Quarantine node = make_quarantine();
  exit_runners(node, 1, 3);
  Duration now{0};
  node.apply_record(kPoisonRequest, record_of(3, 0), at(now), kTimeOfDayMs);
  std::uint32_t exits = 3;
  for (now = kFirstTrial; now < Quarantine::kQuarantineTime; now += kFirstTrial) {
    if (!node.is_trial_due(kPoisonRequest, at(now))) continue;
    const QuarantineRecord claim = node.make_trial_record(kPoisonRequest, at(now), kTimeOfDayMs);
    node.apply_record(kPoisonRequest, claim, at(now), kTimeOfDayMs);
    ++exits;
    exit_runners(node, exits, exits, now);
  }
  EXPECT_EQ(exits, Quarantine::kMaxRunnerExits);
  EXPECT_EQ(node.retry_after(kPoisonRequest, at(now)), node.time_left(kPoisonRequest, at(now)));
}

TEST(QuarantineTest, ANodeThatStartsCountsTheTrialsOfTheRecord) {
  Quarantine node = make_quarantine();
  node.apply_record(kPoisonRequest, record_of(3, 3), at({}), kTimeOfDayMs);
  EXPECT_FALSE(node.is_trial_due(kPoisonRequest, at(std::chrono::minutes(9))));
  Quarantine other = make_quarantine();
  other.apply_record(kPoisonRequest, record_of(3, 2), at({}), kTimeOfDayMs);
  EXPECT_TRUE(other.is_trial_due(kPoisonRequest, at(std::chrono::minutes(9))));
}

// Guards against accepted items that are not tried any more after crashes during their trials.
TEST(QuarantineTest, TrialsWithoutALimitGoOnAtABoundedInterval) {
  Quarantine node = make_quarantine();
  const std::uint32_t many_trials = 2 * Quarantine::kMaxRunnerExits;
  node.apply_record(kPoisonRequest, record_of(3, many_trials), at({}), kTimeOfDayMs);
  const Duration due = Quarantine::kMaxUnlimitedTrialDelay;
  const auto is_due = [&](Duration now, QuarantineScope scope, TrialLimit limit) {
    return node.is_trial_due(kPoisonRequest, at(now), scope, limit);
  };
  for (const auto scope : {QuarantineScope::kRequest, QuarantineScope::kPromptPart}) {
    EXPECT_FALSE(is_due(due / 2, scope, TrialLimit::kNone));
    EXPECT_TRUE(is_due(due, scope, TrialLimit::kNone));
    EXPECT_FALSE(is_due(due, scope, TrialLimit::kBounded));
  }
}

/// Claims each trial that is due, each of which ends a runner. Returns the number of trials.
std::uint32_t run_trials(Quarantine& node, std::uint32_t exits, Duration from) {
  std::uint32_t trials = 0;
  for (Duration now = from; now < from + Quarantine::kQuarantineTime; now += kFirstTrial) {
    if (!node.is_trial_due(kPoisonRequest, at(now))) continue;
    const std::int64_t time_of_day = kTimeOfDayMs + now / std::chrono::milliseconds(1);
    const QuarantineRecord claim = node.make_trial_record(kPoisonRequest, at(now), time_of_day);
    node.apply_record(kPoisonRequest, claim, at(now), time_of_day);
    ++trials;
    exit_runners(node, exits + trials, exits + trials, now);
  }
  return trials;
}

TEST(QuarantineTest, QuarantineRestoredByOneExitHasNoTrialsLeft) {
  Quarantine node = make_quarantine();
  std::uint32_t recorded_exits = 0;
  node.set_quarantined_handler(
      [&](ContentHash, std::size_t exits) { recorded_exits = static_cast<std::uint32_t>(exits); });
  exit_runners(node, 1, 3);
  node.apply_record(kPoisonRequest, record_of(recorded_exits, 0), at({}), kTimeOfDayMs);
  EXPECT_EQ(run_trials(node, 3, {}), 3U);
  const Duration expired = Quarantine::kQuarantineTime + std::chrono::seconds(1);
  node.expire(at(expired));
  exit_runners(node, 7, 7, expired);
  ASSERT_TRUE(node.contains(kPoisonRequest, at(expired)));
  QuarantineRecord record = record_of(recorded_exits, 0);
  record.since_ms += expired / std::chrono::milliseconds(1);
  node.apply_record(kPoisonRequest, record, at(expired), record.since_ms);
  EXPECT_EQ(run_trials(node, 7, expired), 0U);
}

TEST(QuarantineTest, ExitsAfterTheRecordCountAfterARestartOfAllNodes) {
  Quarantine node = make_quarantine();
  std::uint32_t recorded_exits = 0;
  node.set_quarantined_handler(
      [&](ContentHash, std::size_t exits) { recorded_exits = static_cast<std::uint32_t>(exits); });
  exit_runners(node, 1, 5);
  Quarantine restarted = make_quarantine();
  restarted.apply_record(kPoisonRequest, record_of(recorded_exits, 0), at({}), kTimeOfDayMs);
  EXPECT_LE(5 + run_trials(restarted, 5, {}), Quarantine::kMaxRunnerExits);
}

TEST(QuarantineTest, ProgressOfAQuarantinedRequestIsReportedToTheLog) {
  Quarantine node = make_quarantine();
  std::vector<ContentHash> innocent;
  node.set_progress_handler([&](ContentHash content) { innocent.push_back(content); });
  node.record_progress(kPoisonRequest, at({}));
  EXPECT_TRUE(innocent.empty());
  node.apply_record(kPoisonRequest, record_of(3, 1), at({}), kTimeOfDayMs);
  EXPECT_TRUE(node.watches_progress());
  node.record_progress(kPoisonRequest, at({}));
  EXPECT_EQ(innocent, std::vector{kPoisonRequest});
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
