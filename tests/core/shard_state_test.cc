#include "core/shard_state.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr NodeId kFirst{1};
constexpr NodeId kSecond{2};

/// Builds entries as a node appends them, and applies them to the state.
class ShardStateTest : public ::testing::Test {
 protected:
  ShardApplyResult write(NodeId node, Epoch epoch, std::uint64_t sequence,
                         std::vector<ShardRecord> records) {
    const ShardEntry entry{{node, Incarnation{1}, sequence}, epoch, std::move(records)};
    return state_.apply(state_.next_offset(), entry);
  }

  Epoch claim(NodeId node, std::uint64_t sequence) {
    write(node, Epoch{}, sequence, {LeaseClaimed{state_.epoch()}});
    return state_.epoch();
  }

  void accept_job(NodeId node, Epoch epoch, std::uint64_t sequence, std::uint32_t items) {
    ItemsSubmitted submitted{kJob, 1, 0, std::vector<BatchItem>(items)};
    write(node, epoch, sequence, {submitted, JobCommitted{kJob, 1, items, {}}});
  }

  static constexpr JobId kJob{7};
  ShardState state_;
};

TEST_F(ShardStateTest, RejectsEntryOfOlderEpoch) {
  const Epoch old_epoch = claim(kFirst, 1);
  claim(kSecond, 1);
  EXPECT_EQ(write(kFirst, old_epoch, 2, {JobCancelled{kJob}}), ShardApplyResult::kFenced);
}

TEST_F(ShardStateTest, FirstOfTwoLeaseClaimsForOneEpochWins) {
  EXPECT_EQ(write(kFirst, Epoch{}, 1, {LeaseClaimed{Epoch{}}}), ShardApplyResult::kApplied);
  EXPECT_EQ(write(kSecond, Epoch{}, 1, {LeaseClaimed{Epoch{}}}), ShardApplyResult::kFenced);
  EXPECT_EQ(state_.holder().node, kFirst);
}

TEST_F(ShardStateTest, IgnoresDuplicateAppend) {
  const Epoch epoch = claim(kFirst, 1);
  EXPECT_EQ(write(kFirst, epoch, 2, {LeaseRenewed{}}), ShardApplyResult::kApplied);
  EXPECT_EQ(write(kFirst, epoch, 2, {LeaseRenewed{}}), ShardApplyResult::kDuplicateAppend);
}

TEST_F(ShardStateTest, JobExistsOnlyAfterItsCommit) {
  const Epoch epoch = claim(kFirst, 1);
  write(kFirst, epoch, 2, {ItemsSubmitted{kJob, 1, 0, std::vector<BatchItem>(3)}});
  EXPECT_EQ(state_.find_job(kJob), nullptr);
  write(kFirst, epoch, 3, {JobCommitted{kJob, 1, 3, {}}});
  ASSERT_NE(state_.find_job(kJob), nullptr);
  EXPECT_EQ(state_.find_job(kJob)->item_count, 3U);
}

TEST_F(ShardStateTest, IgnoresCommitWithMissingItems) {
  const Epoch epoch = claim(kFirst, 1);
  write(kFirst, epoch, 2, {ItemsSubmitted{kJob, 1, 0, std::vector<BatchItem>(2)}});
  write(kFirst, epoch, 3, {JobCommitted{kJob, 1, 3, {}}});
  EXPECT_EQ(state_.find_job(kJob), nullptr);
}

TEST_F(ShardStateTest, IncompleteSubmissionIsDiscardedWithItsEpoch) {
  const Epoch epoch = claim(kFirst, 1);
  write(kFirst, epoch, 2, {ItemsSubmitted{kJob, 1, 0, std::vector<BatchItem>(3)}});
  const Epoch next = claim(kSecond, 1);
  write(kSecond, next, 2, {JobCommitted{kJob, 1, 3, {}}});
  EXPECT_EQ(state_.find_job(kJob), nullptr);
}

TEST_F(ShardStateTest, KeepsFirstCompletionOfItem) {
  const Epoch epoch = claim(kFirst, 1);
  accept_job(kFirst, epoch, 2, 2);
  write(kFirst, epoch, 3, {ItemsCompleted{kJob, {{0, "first", 1}}}});
  const Offset kept = state_.find_job(kJob)->result_offsets[0];
  write(kFirst, epoch, 4, {ItemsCompleted{kJob, {{0, "second", 1}}}});
  EXPECT_EQ(state_.find_job(kJob)->result_offsets[0], kept);
  EXPECT_EQ(state_.find_job(kJob)->completed_count, 1U);
}

TEST_F(ShardStateTest, IgnoresCompletionAfterCancel) {
  const Epoch epoch = claim(kFirst, 1);
  accept_job(kFirst, epoch, 2, 2);
  write(kFirst, epoch, 3, {JobCancelled{kJob}});
  write(kFirst, epoch, 4, {ItemsCompleted{kJob, {{0, "late", 1}}}});
  EXPECT_TRUE(state_.find_job(kJob)->finished());
  EXPECT_EQ(state_.find_job(kJob)->completed_count, 0U);
}

TEST_F(ShardStateTest, IgnoresCompletionOfNonexistentItem) {
  const Epoch epoch = claim(kFirst, 1);
  accept_job(kFirst, epoch, 2, 1);
  write(kFirst, epoch, 3, {ItemsCompleted{kJob, {{5, "stray", 1}}}});
  EXPECT_EQ(state_.find_job(kJob)->completed_count, 0U);
}

TEST_F(ShardStateTest, FirstClaimOfKeyWins) {
  const Epoch epoch = claim(kFirst, 1);
  write(kFirst, epoch, 2, {RequestClaimed{11, 1}, RequestClaimed{11, 2}});
  EXPECT_EQ(state_.claimant_of(11), 1U);
}

TEST_F(ShardStateTest, ReleasedLeaseFencesItsHolder) {
  const Epoch epoch = claim(kFirst, 1);
  write(kFirst, epoch, 2, {LeaseReleased{}});
  EXPECT_EQ(state_.holder().node, NodeId{});
  EXPECT_EQ(write(kFirst, epoch, 3, {LeaseRenewed{}}), ShardApplyResult::kFenced);
}

TEST_F(ShardStateTest, SnapshotRestoresState) {
  const Epoch epoch = claim(kFirst, 1);
  accept_job(kFirst, epoch, 2, 3);
  write(kFirst, epoch, 3, {ItemsCompleted{kJob, {{1, "done", 1}}}, RequestClaimed{4, 5}});
  ShardState restored;
  ASSERT_TRUE(decode_snapshot(encode_snapshot(state_), restored));
  EXPECT_EQ(restored.next_offset(), state_.next_offset());
  EXPECT_EQ(restored.epoch(), state_.epoch());
  EXPECT_TRUE(restored.find_job(kJob)->item_completed(1));
  EXPECT_EQ(restored.claimant_of(4), 5U);
}

TEST_F(ShardStateTest, RejectsTruncatedSnapshot) {
  const std::string whole = encode_snapshot(state_);
  ShardState restored;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decode_snapshot(whole.substr(0, size), restored)) << size;
  }
}

}  // namespace
}  // namespace stoathold
