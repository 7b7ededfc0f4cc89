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

TEST_F(RunnerSelectorTest, TheOwnZoneGoesFirstUntilItIsFull) {
  add("n1", "near");
  add("f1", "far");
  EXPECT_EQ(chosen(request), "n1");
  fill("n1", 10);
  EXPECT_EQ(chosen(request), "f1");
}

TEST_F(RunnerSelectorTest, OtherZonesAreTriedBeforeTheyAreTrusted) {
  add("n1", "near");
  for (int i = 0; i < 4; ++i) add("f" + std::to_string(i), "far");
  fill("n1", 10);
  request.load_limit = 1.0;
  // Nothing is known of them: two trials, then no more.
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
  // One of them tells that it has places; it is full for others when it says so.
  runner(trial)->take_report({4, 0, 10}, kNow);
  EXPECT_EQ(chosen(request), trial);
  runner(trial)->take_report({10, 3, 10}, kNow);
  EXPECT_EQ(chosen(request), "");
}

TEST_F(RunnerSelectorTest, ARunnerThatNeverTellsItsLoadIsTrustedOnceItAnswers) {
  add("f1", "far");
  fill("f1", 1);
  request.load_limit = 1.0;
  EXPECT_EQ(chosen(request), "");
  runner("f1")->heard(kNow);
  EXPECT_EQ(chosen(request), "f1");
}

// Every node of a zone once gave its batch items to all slots that it saw free.
TEST_F(RunnerSelectorTest, BatchGoesWhereItIsThisNodesTurn) {
  for (int i = 0; i < 20; ++i) add("n" + std::to_string(i), "near");
  BatchTurns turns;
  turns.set_self(1);
  const std::uint64_t service = stable_hash("chat");
  turns.begin_wait(service, ItemUrgency::kInTime);
  turns.take(2, {{.service = service, .in_time = 1}}, kNow);
  request.turns = &turns;
  request.load_limit = 0.85;
  std::set<std::string> taken;
  for (std::string id = chosen(request); !id.empty(); id = chosen(request)) {
    fill(id, 1);
    ASSERT_LE(runner(id)->in_flight(), 9U);
    taken.insert(id);
  }
  for (const auto& id : taken) {
    EXPECT_TRUE(turns.is_first(service, ItemUrgency::kInTime, runner(id)->hash(), kNow));
  }
  EXPECT_GT(taken.size(), 0U);
  EXPECT_LT(taken.size(), 20U);
}

TEST_F(RunnerSelectorTest, LeavingAndTriedRunnersGetNothing) {
  add("n1", "near", true);
  add("n2", "near");
  EXPECT_EQ(chosen(request), "n2");
  request.excluded = {runner("n2")->hash()};
  EXPECT_EQ(select_runner(registry, request, kNow).failure, SelectionFailure::kAllExcluded);
}

TEST_F(RunnerSelectorTest, ARunnerWithUnreadPromptsIsAvoided) {
  add("n1", "near");
  add("n2", "near");
  fill("n1", 1, 9000);
  fill("n2", 3);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n2");
}

TEST_F(RunnerSelectorTest, ALongSharedPrefixKeepsToOneRunnerUnlessThatCostsMore) {
  for (int i = 0; i < 5; ++i) add("n" + std::to_string(i), "near");
  request.affinity_key = 77;
  request.prompt_tokens = 9000;
  request.shared_tokens = 6000;
  const std::string warm = chosen(request);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), warm);
  fill(warm, 1, 20000);
  EXPECT_NE(chosen(request), warm);
}

TEST_F(RunnerSelectorTest, EjectedRunnersAreTheLastResort) {
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

TEST_F(RunnerSelectorTest, TheLoadLimitLeavesBusyRunnersOut) {
  add("n1", "near");
  fill("n1", 8);
  request.load_limit = 0.75;
  EXPECT_EQ(select_runner(registry, request, kNow).failure, SelectionFailure::kAllBusy);
  request.load_limit = 1.0;
  EXPECT_EQ(chosen(request), "n1");
}

TEST_F(RunnerSelectorTest, EqualRunnersShareTheWork) {
  add("n1", "near");
  add("n2", "near");
  std::set<std::string> seen;
  for (int i = 0; i < 50; ++i) seen.insert(chosen(request));
  EXPECT_EQ(seen.size(), 2U);
}

TEST_F(RunnerSelectorTest, AmongEqualRunnersAKeptConnectionDecides) {
  for (const char* id : {"n1", "n2", "n3", "n4"}) add(id, "near");
  request.connected = [](const Runner& runner) { return runner.record().id == "n3"; };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n3");
  // A free runner goes before one that is merely connected.
  fill("n3", 1);
  EXPECT_NE(chosen(request), "n3");
  request.connected = [](const Runner&) { return false; };
  EXPECT_FALSE(chosen(request).empty());
}

/// At 78 nodes before 60 runners each node uses a runner of its zone every 5 s, and connections
/// that rest for over a second are closed: of 18,177 requests 9,806 made a new one. A node that
/// keeps to the runners to which it has connections uses each of them several times a second. Load
/// decides all the same once a runner is 0.7 full, where its steps take longer and others may
/// choose it too.
TEST_F(RunnerSelectorTest, AKeptConnectionOutweighsASomewhatLesserLoadWhereItIsWantedTo) {
  for (const char* id : {"n1", "n2"}) add(id, "near");
  request.connected = [](const Runner& runner) { return runner.record().id == "n2"; };
  request.keep_connections = true;
  fill("n2", 2);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n2");
  fill("n2", 2);
  EXPECT_EQ(chosen(request), "n1");
  fill("n1", 5);
  fill("n2", 3);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "n1");
}

TEST_F(RunnerSelectorTest, AFullZoneSendsNothingToRunnersThatTheirZoneSaysAreBusy) {
  add("n1", "near");
  add("busy", "far");
  add("idle", "far");
  fill("n1", 10);
  runner("busy")->take_zone_load(0.9, kNow);
  runner("idle")->take_zone_load(0.3, kNow);
  request.load_limit = 1.0;
  // What this node has sent since comes on top of what was told.
  for (int i = 0; i < 5; ++i) {
    ASSERT_EQ(chosen(request), "idle");
    fill("idle", 1);
  }
  EXPECT_EQ(chosen(request), "");
}

/// Runners of which one is twice as slow as the other, learned.
class TimedSelectionTest : public RunnerSelectorTest {
 protected:
  TimedSelectionTest() {
    add("fast", "near");
    add("slow", "near");
    for (int i = 0; i < 100; ++i) {
      observe("fast", 40);
      observe("slow", 80);
    }
    request.speeds = &model;
    request.needs = {.route = kRoute,
                     .first_event_due = kNow + std::chrono::milliseconds(300),
                     .event_gap_objective = std::chrono::milliseconds(200)};
  }
  void observe(const std::string& id, int milliseconds) {
    RunnerSpeed& speed = runner(id)->speed();
    const Duration time = std::chrono::milliseconds(milliseconds);
    model.observe_first_event(kRoute, speed, {.unread_tokens = 100}, time, kNow);
    model.observe_gap(kRoute, speed, 1, time, kNow);
  }

  static constexpr std::uint64_t kRoute = 5;
  SpeedModel model;
};

TEST_F(TimedSelectionTest, TheFasterOfTwoIsTakenWhateverTheConnections) {
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(request), "fast");
  request.connected = [](const Runner& runner) { return runner.record().id == "slow"; };
  EXPECT_EQ(chosen(request), "fast");
}

TEST_F(TimedSelectionTest, ASlowRunnerGetsWorkWhenTheFastOneIsFull) {
  request.load_limit = 1.0;
  fill("fast", 10);
  EXPECT_EQ(chosen(request), "slow");
}

TEST_F(TimedSelectionTest, ARunnerThatIsSlowAtTheMomentIsPassedOver) {
  request.needs.event_gap_objective = Duration{0};  // The first event alone counts.
  model.take_slowness(runner("fast")->speed(), 400, kNow, true);
  model.take_slowness(runner("slow")->speed(), 100, kNow, true);
  EXPECT_EQ(chosen(request), "slow");
}

// A stream whose pauses would be too long at the slowest moments goes elsewhere, also where its
// first event would come later.
TEST_F(TimedSelectionTest, PausesThatWouldBeTooLongCountBeforeTheFirstEvent) {
  // Machines were 2.5 times slower just before.
  for (const char* id : {"fast", "slow"}) {
    model.take_slowness(runner(id)->speed(), 250, kNow - std::chrono::seconds(2), true);
    model.take_slowness(runner(id)->speed(), 100, kNow, true);
  }
  fill("fast", 8, 1500);
  // Pauses at the slowest: some 100 ms at the fast one and 200 at the slow one.
  request.needs.event_gap_objective = std::chrono::milliseconds(150);
  const Selection selection = select_runner(registry, request, kNow);
  ASSERT_TRUE(selection.runner);
  EXPECT_EQ(selection.runner->record().id, "fast");
  EXPECT_LE(selection.expected->longest_gap, std::chrono::milliseconds(150));
}

TEST_F(TimedSelectionTest, WhatIsLateAnywhereStillFindsARunner) {
  request.needs.first_event_due = kNow - std::chrono::seconds(1);
  EXPECT_EQ(chosen(request), "fast");
}

// A request larger than what is left of a runner's memory is refused as if the runner were full,
// and small ones were then sent to runners with more to do: the refusal counted for all work. A
// runner that has places left while it refuses is full for large requests only.
TEST_F(RunnerSelectorTest, ARefusalOfALargeRequestKeepsNoSmallOneAway) {
  add("n1", "near");
  add("n2", "near");
  fill("n2", 7);
  constexpr std::uint32_t kLarge = 50000;
  {
    const RunnerHold hold(runner("n1"), kLarge);
    runner("n1")->begin_attempt(kLarge);
    runner("n1")->take_report({1, 0, 10}, kNow);
    runner("n1")->end_attempt(AttemptOutcome::kNotRun, kNow, kLarge);
  }
  EXPECT_EQ(chosen(request), "n1");
  request.prompt_tokens = kLarge;
  EXPECT_EQ(chosen(request), "n2");
}

TEST_F(RunnerSelectorTest, ARunnerWithoutFreePlacesIsFullForAll) {
  add("n1", "near");
  add("n2", "near");
  fill("n2", 7);
  runner("n1")->begin_attempt();
  runner("n1")->take_report({10, 0, 10}, kNow - std::chrono::seconds(1));
  runner("n1")->end_attempt(AttemptOutcome::kNotRun, kNow);
  EXPECT_EQ(chosen(request), "n2");
}

TEST(RunnerRoomTest, WhatWasTooMuchIsNotHeldAgainUntilTheRefusalIsOld) {
  RunnerRoom room;
  room.take(3000);
  room.take(5000);
  room.refused(kNow);
  room.give_back(5000);
  EXPECT_FALSE(room.fits(5000, kNow));
  EXPECT_TRUE(room.fits(4999, kNow));
  // What was there has ended: there is room for more at a time.
  room.give_back(3000);
  EXPECT_TRUE(room.fits(7999, kNow));
  EXPECT_FALSE(room.fits(8000, kNow));
  EXPECT_TRUE(room.fits(8000, kNow + std::chrono::milliseconds(500)));
}

TEST(RunnerRoomTest, OfTwoRefusalsTheLesserCounts) {
  RunnerRoom room;
  room.take(8000);
  room.refused(kNow);
  room.give_back(8000);
  room.take(100);
  room.refused(kNow);
  room.give_back(100);
  EXPECT_FALSE(room.fits(100, kNow));
  EXPECT_TRUE(room.fits(99, kNow));
}

}  // namespace
}  // namespace stoathold
