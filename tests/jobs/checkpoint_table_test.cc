#include "jobs/checkpoint_table.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

ItemProgress make_progress(const JobKey& job, std::uint32_t item, std::uint64_t last_event,
                           std::uint32_t failures = 0) {
  ItemProgress progress;
  progress.job = job;
  progress.item = item;
  progress.last_event = last_event;
  progress.failures = failures;
  return progress;
}

TEST(CheckpointTableTest, DurableProgressIsNotWrittenAgainUntilItAdvances) {
  CheckpointTable table;
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 3, 7), nullptr));
  table.mark_durable(make_progress("j1", 3, 7));
  EXPECT_FALSE(table.is_newer_than_durable(make_progress("j1", 3, 7), nullptr));
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 3, 8), nullptr));
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 3, 7, 1), nullptr));
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 4, 7), nullptr));
}

TEST(CheckpointTableTest, ProgressReadFromTheLogIsNotWrittenAgain) {
  const CheckpointTable table;
  const ItemProgress read = make_progress("j1", 3, 7);
  EXPECT_FALSE(table.is_newer_than_durable(make_progress("j1", 3, 7), &read));
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 3, 9), &read));
}

TEST(CheckpointTableTest, ProgressOfAReturningJobIsWrittenAgain) {
  // Another node may have run the job in between and written less progress.
  CheckpointTable table;
  table.mark_durable(make_progress("j1", 0, 7));
  table.mark_durable(make_progress("j1", 9, 7));
  table.mark_durable(make_progress("j2", 0, 7));
  table.remove_job("j1");
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 0, 7), nullptr));
  EXPECT_TRUE(table.is_newer_than_durable(make_progress("j1", 9, 7), nullptr));
  EXPECT_FALSE(table.is_newer_than_durable(make_progress("j2", 0, 7), nullptr));
}

TEST(CheckpointTableTest, TextThatStartedAgainReplacesTheOneOfAnotherVersion) {
  CheckpointTable table;
  ItemProgress progress = make_progress("j1", 3, 9);
  progress.origin = StreamOrigin{1, SoftwareVersion{10}};
  table.mark_durable(progress);
  ItemProgress restarted = make_progress("j1", 3, 2);
  restarted.origin = StreamOrigin{1, SoftwareVersion{11}};
  EXPECT_TRUE(table.is_newer_than_durable(restarted, nullptr));
  EXPECT_TRUE(table.is_newer_than_durable(restarted, &progress));
  restarted.last_event = 0;
  EXPECT_FALSE(table.is_newer_than_durable(restarted, nullptr));
}

}  // namespace
}  // namespace stoathold
