#include "quarantine/quarantine_log.h"

#include <gtest/gtest.h>

#include "base/ids.h"
#include "core/codec.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr ContentHash kPoisonRequest{7};
const PartitionName kPartition{"quarantine", 0};

/// A node that uses a shared log.
struct Node {
  Node(boost::asio::io_context& loop, std::shared_ptr<emulator::LogModel> model)
      : log(std::move(model), LogLimits{}), records(loop.get_executor(), log, quarantine) {
    records.start();
  }
  [[nodiscard]] bool holds() const { return quarantine.contains(kPoisonRequest, monotonic_now()); }

  Quarantine quarantine{[](std::uint64_t) { return std::nullopt; }};
  FaultyRecordLog log;
  QuarantineLog records;
};

class QuarantineLogTest : public testing::Test {
 protected:
  void exit_runners(Node& node) {
    for (std::uint64_t runner = 1; runner <= 3; ++runner) {
      node.quarantine.record_runner_exit(
          {kPoisonRequest, runner, RunStage::kResponseStarted, monotonic_now()});
    }
  }
  template <typename Condition>
  void run_until(Condition condition) {
    for (int turn = 0; turn < 10000 && !condition(); ++turn) loop.run_one();
    EXPECT_TRUE(condition());
  }
  /// Claims a trial at a node and returns whether it got it.
  bool claims_trial(Node& node) {
    return run_awaitable(loop, node.records.claim_trial({.key = kPoisonRequest}));
  }
  [[nodiscard]] std::size_t records() const {
    return model->read_newest(kPartition, KeyRange{}).records.size();
  }

  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model = std::make_shared<emulator::LogModel>();
};

TEST_F(QuarantineLogTest, NodesThatStartLaterLoadTheRecord) {
  Node first(loop, model);
  exit_runners(first);
  run_until([&] { return records() == 1; });
  Node second(loop, model);
  run_until([&] { return second.holds(); });
}

TEST_F(QuarantineLogTest, WritesTheRecordOnceTheLogIsAvailable) {
  Node first(loop, model);
  first.log.faults.down = true;
  exit_runners(first);
  run_until([&, turn = 0]() mutable { return ++turn > 3; });
  EXPECT_EQ(records(), 0U);
  first.log.faults.down = false;
  first.log.faults.drop_appends = 2;
  run_until([&] { return records() == 1; });
}

TEST_F(QuarantineLogTest, DeletingTheRecordLiftsTheQuarantine) {
  Node first(loop, model);
  Node second(loop, model);
  exit_runners(first);
  run_until([&] { return second.holds(); });
  model->append(kPartition, {{to_hex(value_of(kPoisonRequest)), ""}}, std::nullopt);
  run_until([&] { return !first.holds() && !second.holds(); });
}

TEST_F(QuarantineLogTest, LiftDropsARecordThatIsNotWrittenYet) {
  Node first(loop, model);
  first.log.faults.down = true;
  first.log.faults.allow_reads = true;
  exit_runners(first);
  model->append(kPartition, {{to_hex(value_of(kPoisonRequest)), ""}}, std::nullopt);
  run_until([&] { return !first.holds(); });
  first.log.faults.down = false;
  loop.run_for(std::chrono::seconds(2));
  EXPECT_EQ(records(), 0U);
  EXPECT_FALSE(first.holds());
}

TEST_F(QuarantineLogTest, OneNodeGetsTheTrialAndItsProgressLiftsTheQuarantineEverywhere) {
  Node first(loop, model);
  Node second(loop, model);
  exit_runners(first);
  run_until([&] { return first.quarantine.status(monotonic_now())[0].recorded; });
  EXPECT_FALSE(claims_trial(first));
  run_until([&] { return second.holds(); });
  loop.run_for(Quarantine::kFirstTrialDelay + std::chrono::milliseconds(200));
  first.log.faults.drop_appends = 1;
  EXPECT_FALSE(claims_trial(first));
  EXPECT_TRUE(claims_trial(second));
  EXPECT_FALSE(claims_trial(second));
  EXPECT_FALSE(claims_trial(first));
  Node third(loop, model);
  run_until([&] { return third.holds(); });
  EXPECT_EQ(third.quarantine.status(monotonic_now())[0].trials, 1U);
  second.quarantine.record_progress(kPoisonRequest, monotonic_now());
  run_until([&] { return !first.holds() && !second.holds() && !third.holds(); });
  EXPECT_EQ(records(), 0U);
}

TEST_F(QuarantineLogTest, LateFirstRecordDoesNotUndoTheTrialsOfTheLog) {
  Node first(loop, model);
  Node second(loop, model);
  second.log.faults.delayed_appends = 1;
  exit_runners(first);
  exit_runners(second);
  const auto is_recorded = [](Node& node) {
    return node.quarantine.status(monotonic_now())[0].recorded;
  };
  run_until([&] { return is_recorded(first) && is_recorded(second); });
  loop.run_for(Quarantine::kFirstTrialDelay + std::chrono::milliseconds(200));
  run_until([&] { return first.quarantine.is_trial_due(kPoisonRequest, monotonic_now()); });
  EXPECT_TRUE(claims_trial(first));
  second.log.apply_delayed();
  model->drop_history();
  Node restarted(loop, model);
  run_until([&] { return restarted.holds(); });
  EXPECT_EQ(restarted.quarantine.status(monotonic_now())[0].trials, 1U);
}

TEST_F(QuarantineLogTest, LateFirstRecordDoesNotRestoreALiftedQuarantine) {
  Node first(loop, model);
  Node second(loop, model);
  second.log.faults.delayed_appends = 1;
  exit_runners(first);
  exit_runners(second);
  run_until([&] {
    const TimePoint now = monotonic_now();
    return first.quarantine.status(now)[0].recorded && second.quarantine.status(now)[0].recorded;
  });
  first.quarantine.record_progress(kPoisonRequest, monotonic_now());
  run_until([&] { return !first.holds() && !second.holds(); });
  second.log.apply_delayed();
  Node restarted(loop, model);
  loop.run_for(std::chrono::seconds(6));
  EXPECT_FALSE(first.holds());
  EXPECT_FALSE(restarted.holds());
}

TEST_F(QuarantineLogTest, RecordOfAnExpiredQuarantineDoesNotDropANewOne) {
  const std::int64_t eleven_minutes_ago = wall_clock_ms() - 11 * 60 * 1000;
  const QuarantineRecord expired{.since_ms = eleven_minutes_ago, .exits = 3};
  model->append(kPartition, {{to_hex(value_of(kPoisonRequest)), encode_value(expired)}},
                std::nullopt);
  Node node(loop, model);
  node.log.faults.down = true;
  node.log.faults.allow_reads = true;
  exit_runners(node);
  loop.run_for(std::chrono::milliseconds(300));
  node.log.faults.down = false;
  loop.run_for(std::chrono::seconds(11));
  EXPECT_TRUE(node.quarantine.status(monotonic_now())[0].recorded);
}

TEST_F(QuarantineLogTest, LoadsARecordWrittenBeforeTrialsWereCounted) {
  const std::int64_t since_ms = wall_clock_ms();
  constexpr std::uint32_t kExits = 3;
  const std::string value = encode_value(since_ms) + encode_value(kExits);
  model->append(kPartition, {{to_hex(value_of(kPoisonRequest)), value}}, std::nullopt);
  Node node(loop, model);
  loop.run_for(std::chrono::milliseconds(300));
  EXPECT_TRUE(node.holds());
}

// Guards against a prompt part that is never tried, since more runners exited with it than a
// request may end.
TEST_F(QuarantineLogTest, PromptPartIsTriedHoweverManyRunnersExitedWithIt) {
  Node node(loop, model);
  const PartHash part{5};
  for (std::uint64_t runner = 1; runner <= 8; ++runner) {
    node.quarantine.record_part_exit({.start = {runner, 0},
                                      .content = ContentHash{runner},
                                      .tenant = 0,
                                      .parts = {part, PartHash{100 + runner}},
                                      .at = monotonic_now() - PromptPartExits::kSettleTime});
  }
  node.quarantine.evaluate_parts(monotonic_now());
  const QuarantineTrial trial{tenant_part_key(part, 0), QuarantineScope::kPromptPart};
  run_until([&] { return records() == 1; });
  EXPECT_TRUE(node.quarantine.contains(trial.key, monotonic_now()));
  const TimePoint due = monotonic_now() + Quarantine::kFirstTrialDelay;
  EXPECT_TRUE(node.quarantine.is_trial_due(trial.key, due, QuarantineScope::kPromptPart));
}

TEST_F(QuarantineLogTest, IgnoresMalformedRecords) {
  model->append(kPartition, {{"no hash", "x"}, {to_hex(8), "x"}}, std::nullopt);
  Node first(loop, model);
  exit_runners(first);
  run_until([&] { return records() == 3; });
  EXPECT_EQ(first.quarantine.size(), 1U);
}

}  // namespace
}  // namespace stoathold
