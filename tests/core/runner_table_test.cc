#include "core/runner_table.h"

#include <gtest/gtest.h>

#include <set>

namespace stoathold {
namespace {

class RunnerTableTest : public ::testing::Test {
 protected:
  RunnerTableTest() : table_("region", "zone-a", 1, knobs_) {
    table_.on_machine_list({{"near-1", "region", "zone-a", "near-1", "assistant", false},
                            {"near-2", "region", "zone-a", "near-2", "assistant", false},
                            {"far", "region", "zone-b", "far", "assistant", false}});
  }

  Pick pick(std::uint64_t prefix = 1) { return table_.pick({"assistant", 2, prefix, {}}, now_); }

  void fail(RunnerId runner, std::uint32_t times) {
    for (std::uint32_t i = 0; i < times; ++i) {
      table_.on_stream_started(runner);
      table_.on_stream_ended(runner, StreamResult::kFailed, now_);
    }
  }

  Knobs knobs_;
  TimePoint now_{std::chrono::seconds(10)};
  RunnerTable table_;
};

TEST_F(RunnerTableTest, PrefixStaysOnOneRunnerOfItsZone) {
  const RunnerId first = pick().runner;
  for (int i = 0; i < 20; ++i) EXPECT_EQ(pick().runner, first);
}

TEST_F(RunnerTableTest, FullZoneOverflowsToOtherZone) {
  for (const char* name : {"near-1", "near-2"}) {
    for (int i = 0; i < 2; ++i) table_.on_stream_started(runner_id_from_name(name));
  }
  EXPECT_EQ(pick().address, "far");
  EXPECT_EQ(pick().reason, PickReason::kOtherZone);
}

TEST_F(RunnerTableTest, ReportsThatAllRunnersAreFull) {
  for (const char* name : {"near-1", "near-2", "far"}) {
    for (int i = 0; i < 2; ++i) table_.on_stream_started(runner_id_from_name(name));
  }
  EXPECT_EQ(pick().reason, PickReason::kNone);
  EXPECT_TRUE(pick().all_full);
}

TEST_F(RunnerTableTest, LeavingRunnerIsNeverPicked) {
  RunnerLoad load;
  load.runner = runner_id_from_name("near-1");
  load.leaving = 1;
  table_.on_load(load, now_);
  table_.on_foreign_leaving(NodeId{9}, {runner_id_from_name("far")}, now_);
  for (std::uint64_t prefix = 0; prefix < 50; ++prefix) EXPECT_EQ(pick(prefix).address, "near-2");
}

TEST_F(RunnerTableTest, FailingRunnerIsEjectedAndReturnsThroughProbation) {
  const RunnerId runner = pick().runner;
  fail(runner, knobs_.eject_after_failures);
  EXPECT_NE(pick().runner, runner);
  now_ += knobs_.eject_time;
  EXPECT_EQ(pick().runner, runner);
  EXPECT_EQ(table_.find(runner)->health, RunnerHealth::kProbation);
  table_.on_stream_started(runner);
  EXPECT_NE(pick().runner, runner) << "one request at a time during probation";
  table_.on_stream_ended(runner, StreamResult::kSucceeded, now_);
  EXPECT_EQ(table_.find(runner)->health, RunnerHealth::kHealthy);
}

TEST_F(RunnerTableTest, FailureOnProbationDoublesEjectionTime) {
  const RunnerId runner = pick().runner;
  fail(runner, knobs_.eject_after_failures);
  now_ += knobs_.eject_time;
  pick();
  fail(runner, 1);
  now_ += knobs_.eject_time;
  EXPECT_NE(pick().runner, runner);
}

TEST_F(RunnerTableTest, NeutralStreamEndLeavesHealthUnchanged) {
  const RunnerId runner = pick().runner;
  fail(runner, knobs_.eject_after_failures);
  table_.on_stream_ended(runner, StreamResult::kNeutral, now_);
  EXPECT_EQ(table_.find(runner)->health, RunnerHealth::kEjected);
}

TEST_F(RunnerTableTest, LoadedRunnerLosesItsPrefix) {
  const RunnerId runner = pick().runner;
  RunnerLoad load;
  load.runner = runner;
  load.online_streams = knobs_.max_affinity_load_difference + 2;
  table_.on_load(load, now_);
  std::set<RunnerId> chosen;
  for (int i = 0; i < 50; ++i) {
    chosen.insert(table_.pick({"assistant", 100, 1, {}}, now_).runner);
  }
  EXPECT_GT(chosen.size(), 1U);
}

}  // namespace
}  // namespace stoathold
