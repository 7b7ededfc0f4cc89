#include "jobs/item_stages.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

TimePoint at_second(int second) {
  return kStart + std::chrono::seconds(second);
}

TEST(ItemStagesTest, UnreadJobCountsAllItsItemsAsQueued) {
  ItemStages stages;
  EXPECT_TRUE(stages.empty());
  stages.add_job("a", 7, at_second(0));
  stages.add_job("b", 5, at_second(2));
  const StageSummary summary = stages.summary(at_second(3));
  EXPECT_EQ(summary.jobs_queued, 2U);
  EXPECT_EQ(summary.open_items, 12U);
  EXPECT_EQ(summary.of(ItemStage::kJobQueued).items, 12U);
  EXPECT_EQ(summary.of(ItemStage::kJobQueued).oldest, std::chrono::seconds(3));
  ASSERT_TRUE(summary.oldest);
  EXPECT_EQ(summary.oldest->job, "a");
  EXPECT_FALSE(summary.oldest->index);
}

TEST(ItemStagesTest, ItemIsInOneStageAndItsTimeStartsOnEntry) {
  ItemStages stages;
  stages.add_job("a", 2, at_second(0));
  stages.mark_job_read("a");
  stages.enter("a", 0, ItemStage::kWaitingForTurn, at_second(1));
  stages.enter("a", 1, ItemStage::kWaitingForTurn, at_second(1));
  stages.enter("a", 1, ItemStage::kReadingRequest, at_second(4));
  const StageSummary summary = stages.summary(at_second(6));
  EXPECT_EQ(summary.jobs_queued, 0U);
  EXPECT_EQ(summary.of(ItemStage::kJobQueued).items, 0U);
  EXPECT_EQ(summary.of(ItemStage::kWaitingForTurn).items, 1U);
  EXPECT_EQ(summary.of(ItemStage::kWaitingForTurn).oldest, std::chrono::seconds(5));
  EXPECT_EQ(summary.of(ItemStage::kReadingRequest).oldest, std::chrono::seconds(2));
  EXPECT_EQ(stages_text(summary), "reading_request=1/2.00,waiting_for_turn=1/5.00");
}

/// An item that waits for a slot enters the stage again every few seconds; this must not reset its
/// time in the stage.
TEST(ItemStagesTest, TimeInStageContinuesIfTheStageIsReentered) {
  ItemStages stages;
  stages.add_job("a", 1, at_second(0));
  stages.mark_job_read("a");
  stages.enter("a", 0, ItemStage::kWaitingForSlot, at_second(1));
  stages.enter("a", 0, ItemStage::kWaitingForSlot, at_second(9));
  const StageSummary summary = stages.summary(at_second(10));
  EXPECT_EQ(summary.of(ItemStage::kWaitingForSlot).oldest, std::chrono::seconds(9));
}

/// An item that alternates between stages is in none of them for long, so the age of its job
/// decides first.
TEST(ItemStagesTest, OldestItemBelongsToTheJobThatTheNodeRanForLongest) {
  ItemStages stages;
  stages.add_job("young", 1, at_second(5));
  stages.add_job("zeal", 2, at_second(0));
  for (const char* job : {"young", "zeal"}) stages.mark_job_read(job);
  stages.enter("young", 0, ItemStage::kRunning, at_second(5));
  stages.enter("zeal", 0, ItemStage::kBackingOff, at_second(9));
  stages.enter("zeal", 1, ItemStage::kWaitingForSlot, at_second(8));
  const StageSummary summary = stages.summary(at_second(10));
  ASSERT_TRUE(summary.oldest);
  EXPECT_EQ(summary.oldest->job, "zeal");
  EXPECT_EQ(summary.oldest->index, 1U);
  EXPECT_EQ(summary.oldest->stage, ItemStage::kWaitingForSlot);
  EXPECT_EQ(summary.oldest->time_in_stage, std::chrono::seconds(2));
  EXPECT_EQ(summary.oldest->time_on_node, std::chrono::seconds(10));
}

TEST(ItemStagesTest, RemovedItemsAndJobsAreNotTracked) {
  ItemStages stages;
  stages.add_job("a", 2, at_second(0));
  stages.mark_job_read("a");
  stages.enter("a", 0, ItemStage::kRunning, at_second(1));
  stages.enter("a", 1, ItemStage::kRunning, at_second(1));
  stages.remove_item("a", 0);
  EXPECT_EQ(stages.summary(at_second(2)).open_items, 1U);
  stages.remove_job("a");
  stages.enter("a", 1, ItemStage::kBackingOff, at_second(2));
  EXPECT_TRUE(stages.empty());
  EXPECT_FALSE(stages.summary(at_second(2)).oldest);
}

}  // namespace
}  // namespace stoathold
