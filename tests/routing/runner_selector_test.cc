#include "routing/runner_selector.h"

#include <gtest/gtest.h>

#include <set>

#include "base/ids.h"

namespace stoathold {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

class RunnerSelectorTest : public testing::Test {
 protected:
  void add(const std::string& id, const std::string& zone, bool draining = false) {
    registry.upsert({id, "chat", "10.0.0.1:80", zone, 10, draining});
  }
  std::shared_ptr<Runner> runner(const std::string& id) { return registry.all().at(id); }
  void fill(const std::string& id, int attempts, std::uint32_t tokens = 0) {
    for (int i = 0; i < attempts; ++i) runner(id)->begin_attempt(tokens);
  }
  std::string chosen(const SelectionRequest& request) {
    const Selection selection = select_runner(registry, request, kNow);
    return selection.runner ? selection.runner->record().id : std::string();
  }

  RunnerRegistry registry;
  SelectionRequest request{.service = "chat", .zone = "near", .prompt_tokens = 100};
};

TEST_F(RunnerSelectorTest, OwnZoneIsPreferredUntilFull) {
  add("n1", "near");
  add("f1", "far");
  EXPECT_EQ(chosen(request), "n1");
  fill("n1", 10);
  EXPECT_EQ(chosen(request), "f1");
}

TEST_F(RunnerSelectorTest, RemoteRunnersAreProbedBeforeUse) {
  add("n1", "near");
  for (int i = 0; i < 4; ++i) add("f" + std::to_string(i), "far");
  fill("n1", 10);
  request.load_limit = 1.0;
  // Their load is unknown: two probe requests are sent, then no more.
  std::string trial;
  for (int i = 0; i < 2; ++i) {
    trial = chosen(request);
    ASSERT_TRUE(trial.starts_with("f"));
    fill(trial, 1);
  }
  EXPECT_EQ(chosen(request), "");
  for (int i = 0; i < 4; ++i) {
    if (runner("f" + std::to_string(i))->in_flight() == 0) fill("f" + std::to_string(i), 1);
  }
  // A load report with free slots makes a runner usable, a report of a full runner does not.
  runner(trial)->apply_load_report({4, 0, 10}, kNow);
  EXPECT_EQ(chosen(request), trial);
  runner(trial)->apply_load_report({10, 3, 10}, kNow);
  EXPECT_EQ(chosen(request), "");
}

TEST_F(RunnerSelectorTest, RunnerWithoutLoadReportsIsUsedOnceItResponds) {
  add("f1", "far");
  fill("f1", 1);
  request.load_limit = 1.0;
  EXPECT_EQ(chosen(request), "");
  runner("f1")->record_receive(kNow);
  EXPECT_EQ(chosen(request), "f1");
}

// Guards against all nodes of a zone placing batch items in the same free slots.
TEST_F(RunnerSelectorTest, BatchUsesOnlyRunnersAssignedToThisNode) {
  for (int i = 0; i < 20; ++i) add("n" + std::to_string(i), "near");
  BatchArbiter arbiter;
  arbiter.set_self(1);
  const std::uint64_t service = stable_hash("chat");
  arbiter.begin_wait(service, ItemUrgency::kInTime);
  arbiter.apply_report(2, {{.service = service, .in_time = 1}}, kNow);
  request.batch_arbiter = &arbiter;
  request.load_limit = 0.85;
  std::set<std::string> taken;
  for (std::string id = chosen(request); !id.empty(); id = chosen(request)) {
    fill(id, 1);
    ASSERT_LE(runner(id)->in_flight(), 9U);
    taken.insert(id);
  }
  for (const auto& id : taken) {
    EXPECT_TRUE(arbiter.is_first_in_order(service, ItemUrgency::kInTime, runner(id)->hash(), kNow));
  }
  EXPECT_GT(taken.size(), 0U);
  EXPECT_LT(taken.size(), 20U);
}

TEST_F(RunnerSelectorTest, DrainingAndExcludedRunnersAreSkipped) {
  add("n1", "near", true);
  add("n2", "near");
  EXPECT_EQ(chosen(request), "n2");
  request.excluded = {runner("n2")->hash()};
  EXPECT_EQ(select_runner(registry, request, kNow).failure, SelectionFailure::kAllExcluded);
}

TEST_F(RunnerSelectorTest, RunnerWithPromptBacklogIsAvoided) {
  add("n1", "near");
  add("n2", "near");
  fill("n1", 1, 9000);
  fill("n2", 3);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n2");
}

TEST_F(RunnerSelectorTest, LongSharedPrefixSticksToRunnerUnlessCostlier) {
  for (int i = 0; i < 5; ++i) add("n" + std::to_string(i), "near");
  request.affinity_key = 77;
  request.prompt_tokens = 9000;
  request.shared_prefix_tokens = 6000;
  const std::string warm = chosen(request);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), warm);
  fill(warm, 1, 20000);
  EXPECT_NE(chosen(request), warm);
}

TEST_F(RunnerSelectorTest, EjectedRunnersAreUsedOnlyAsLastResort) {
  add("n1", "near");
  add("n2", "near");
  for (int i = 0; i < 3; ++i) {
    runner("n1")->begin_attempt();
    runner("n1")->end_attempt(AttemptOutcome::kFailed, kNow);
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n2");
  registry.remove("n2");
  EXPECT_EQ(chosen(request), "n1");
}

TEST_F(RunnerSelectorTest, LoadLimitExcludesBusyRunners) {
  add("n1", "near");
  fill("n1", 8);
  request.load_limit = 0.75;
  EXPECT_EQ(select_runner(registry, request, kNow).failure, SelectionFailure::kAllBusy);
  request.load_limit = 1.0;
  EXPECT_EQ(chosen(request), "n1");
}

TEST_F(RunnerSelectorTest, EquallyLoadedRunnersShareWork) {
  add("n1", "near");
  add("n2", "near");
  std::set<std::string> seen;
  for (int i = 0; i < 50; ++i) seen.insert(chosen(request));
  EXPECT_EQ(seen.size(), 2U);
}

TEST_F(RunnerSelectorTest, ReusableConnectionBreaksTies) {
  for (const char* id : {"n1", "n2", "n3", "n4"}) add(id, "near");
  request.has_reusable_connection = [](const Runner& runner) { return runner.record().id == "n3"; };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n3");
  // A less loaded runner is preferred to one with a connection.
  fill("n3", 1);
  EXPECT_NE(chosen(request), "n3");
  request.has_reusable_connection = [](const Runner&) { return false; };
  EXPECT_FALSE(chosen(request).empty());
}

/// With 78 nodes and 60 runners, each node used a given runner of its zone every 5 s. Connections
/// idle for over a second are closed, so 9,806 of 18,177 requests opened a new one. A node that
/// prefers the runners to which it has connections uses each of them several times a second. From a
/// load of 0.7 load decides, because the runner's steps take longer and other nodes may choose it
/// too.
TEST_F(RunnerSelectorTest, ReusableConnectionOutweighsSlightlyLowerLoadIfConfigured) {
  for (const char* id : {"n1", "n2"}) add(id, "near");
  request.has_reusable_connection = [](const Runner& runner) { return runner.record().id == "n2"; };
  request.prefer_reusable_connections = true;
  fill("n2", 2);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n2");
  fill("n2", 2);
  EXPECT_EQ(chosen(request), "n1");
  fill("n1", 5);
  fill("n2", 3);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n1");
}

TEST_F(RunnerSelectorTest, FullZoneSkipsRemoteRunnersReportedBusy) {
  add("n1", "near");
  add("busy", "far");
  add("idle", "far");
  fill("n1", 10);
  runner("busy")->apply_zone_load(0.9, kNow);
  runner("idle")->apply_zone_load(0.3, kNow);
  request.load_limit = 1.0;
  // Requests sent since the report are added to the reported load.
  for (int i = 0; i < 5; ++i) {
    ASSERT_EQ(chosen(request), "idle");
    fill("idle", 1);
  }
  EXPECT_EQ(chosen(request), "");
}

/// Two runners, one of which has been learned to be twice as slow as the other.
class LatencyBasedSelectionTest : public RunnerSelectorTest {
 protected:
  LatencyBasedSelectionTest() {
    add("fast", "near");
    add("slow", "near");
    for (int i = 0; i < 100; ++i) {
      observe("fast", 40);
      observe("slow", 80);
    }
    request.speeds = &model;
    request.latency_objectives = {.route = kRoute,
                                  .first_event_due = kNow + std::chrono::milliseconds(300),
                                  .event_gap_objective = std::chrono::milliseconds(200)};
  }
  void observe(const std::string& id, int milliseconds) {
    RunnerSpeed& speed = runner(id)->speed();
    const Duration time = std::chrono::milliseconds(milliseconds);
    model.observe_first_event(kRoute, speed, {.pending_prompt_tokens = 100}, time, kNow);
    model.observe_gap(kRoute, speed, 1, time, kNow);
  }

  static constexpr std::uint64_t kRoute = 5;
  SpeedModel model;
};

TEST_F(LatencyBasedSelectionTest, FasterRunnerWinsRegardlessOfConnections) {
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "fast");
  request.has_reusable_connection = [](const Runner& runner) {
    return runner.record().id == "slow";
  };
  EXPECT_EQ(chosen(request), "fast");
}

TEST_F(LatencyBasedSelectionTest, SlowRunnerIsUsedWhenFastOneIsFull) {
  request.load_limit = 1.0;
  fill("fast", 10);
  EXPECT_EQ(chosen(request), "slow");
}

TEST_F(LatencyBasedSelectionTest, CurrentlySlowRunnerIsSkipped) {
  request.latency_objectives.event_gap_objective = Duration{0};  // Only the first event matters.
  model.apply_slowness_report(runner("fast")->speed(), 400, kNow, true);
  model.apply_slowness_report(runner("slow")->speed(), 100, kNow, true);
  EXPECT_EQ(chosen(request), "slow");
}

// A stream with too long gaps at the slowest speed of a machine is placed elsewhere, even if its
// first event is later there.
TEST_F(LatencyBasedSelectionTest, EventGapObjectiveOutweighsFirstEventTime) {
  // Machines were 2.5 times slower until just before.
  for (const char* id : {"fast", "slow"}) {
    model.apply_slowness_report(runner(id)->speed(), 250, kNow - std::chrono::seconds(2), true);
    model.apply_slowness_report(runner(id)->speed(), 100, kNow, true);
  }
  fill("fast", 8, 1500);
  // Longest gaps: about 100 ms at the fast runner and 200 ms at the slow one.
  request.latency_objectives.event_gap_objective = std::chrono::milliseconds(150);
  const Selection selection = select_runner(registry, request, kNow);
  ASSERT_TRUE(selection.runner);
  EXPECT_EQ(selection.runner->record().id, "fast");
  EXPECT_LE(selection.expected->longest_gap, std::chrono::milliseconds(150));
}

TEST_F(LatencyBasedSelectionTest, RequestLateEverywhereIsStillPlaced) {
  request.latency_objectives.first_event_due = kNow - std::chrono::seconds(1);
  EXPECT_EQ(chosen(request), "fast");
}

// A request too large for the remaining memory of a runner is rejected as if the runner were full.
// Guards against applying that rejection to small requests, which were then sent to busier runners.
// A runner that has free slots when it rejects a request is full only for large requests.
TEST_F(RunnerSelectorTest, RejectedLargeRequestDoesNotBlockSmallOnes) {
  add("n1", "near");
  add("n2", "near");
  fill("n2", 7);
  constexpr std::uint32_t kLarge = 50000;
  {
    const RunnerMemoryReservation hold(runner("n1"), kLarge);
    runner("n1")->begin_attempt(kLarge);
    runner("n1")->apply_load_report({1, 0, 10}, kNow);
    runner("n1")->end_attempt(AttemptOutcome::kNotRun, kNow, kLarge);
  }
  EXPECT_EQ(chosen(request), "n1");
  request.prompt_tokens = kLarge;
  EXPECT_EQ(chosen(request), "n2");
}

TEST_F(RunnerSelectorTest, RejectionWithoutFreeSlotsBlocksAllRequests) {
  add("n1", "near");
  add("n2", "near");
  fill("n2", 7);
  runner("n1")->begin_attempt();
  runner("n1")->apply_load_report({10, 0, 10}, kNow - std::chrono::seconds(1));
  runner("n1")->end_attempt(AttemptOutcome::kNotRun, kNow);
  EXPECT_EQ(chosen(request), "n2");
}

TEST(RunnerMemoryEstimateTest, RejectedAmountIsNotReachedAgainUntilRejectionExpires) {
  RunnerMemoryEstimate memory;
  memory.add(3000);
  memory.add(5000);
  memory.record_rejection(kNow);
  memory.remove(5000);
  EXPECT_FALSE(memory.fits(5000, kNow));
  EXPECT_TRUE(memory.fits(4999, kNow));
  // The earlier requests have ended, so a larger one fits.
  memory.remove(3000);
  EXPECT_TRUE(memory.fits(7999, kNow));
  EXPECT_FALSE(memory.fits(8000, kNow));
  EXPECT_TRUE(memory.fits(8000, kNow + std::chrono::milliseconds(500)));
}

TEST(RunnerMemoryEstimateTest, SmallerOfTwoRejectedAmountsCounts) {
  RunnerMemoryEstimate memory;
  memory.add(8000);
  memory.record_rejection(kNow);
  memory.remove(8000);
  memory.add(100);
  memory.record_rejection(kNow);
  memory.remove(100);
  EXPECT_FALSE(memory.fits(100, kNow));
  EXPECT_TRUE(memory.fits(99, kNow));
}

}  // namespace
}  // namespace stoathold
