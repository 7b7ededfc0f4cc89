#include "store/partition_replica.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <deque>

#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr const char* kTopic = "topic";

/// Answers reads from a list; records what was asked for.
class ScriptedRecordLog final : public RecordLog {
 public:
  std::deque<ReadResult> reads;         ///< Answers to `read`; none left: an empty partition's end.
  std::deque<ReadResult> newest_reads;  ///< Answers to `read_newest`.
  std::vector<std::uint64_t> bytes_asked;
  std::vector<std::string> keys_asked;
  std::vector<Duration> patience_asked;

  const LogLimits& limits() const override { return limits_; }
  boost::asio::awaitable<ReadResult> read(PartitionName /*partition*/, RecordOffset from,
                                          std::uint64_t max_bytes, Duration /*wait*/) override {
    bytes_asked.push_back(max_bytes);
    ReadResult result;
    result.status = LogStatus::kOk;
    result.end = from;
    if (!reads.empty()) {
      result = reads.front();
      reads.pop_front();
    }
    co_return result;
  }
  boost::asio::awaitable<ReadResult> read_newest(PartitionName /*partition*/, KeyRange range,
                                                 Duration patience) override {
    keys_asked.push_back(range.after);
    patience_asked.push_back(patience);
    ReadResult result = newest_reads.front();
    newest_reads.pop_front();
    co_return result;
  }
  boost::asio::awaitable<AppendResult> append(PartitionName /*partition*/,
                                              std::vector<KeyedRecord> /*records*/,
                                              std::optional<RecordOffset> /*end*/) override {
    co_return AppendResult();
  }
  boost::asio::awaitable<GroupAssignment> join(GroupMember /*member*/) override {
    co_return GroupAssignment();
  }
  boost::asio::awaitable<MemberList> members(std::string /*group*/) override {
    co_return MemberList();
  }
  boost::asio::awaitable<LogStatus> leave(GroupMember /*member*/) override {
    co_return LogStatus::kOk;
  }

 private:
  LogLimits limits_;
};

/// Remembers what it was given.
class RecordingSink final : public RecordSink {
 public:
  void apply(const StoredRecord& record) override { applied.push_back(record.key); }
  void reset(const std::vector<StoredRecord>& newest) override {
    for (const auto& record : newest) applied.push_back(record.key);
  }
  void caught_up() override { applied_when_caught_up.push_back(applied.size()); }
  std::vector<std::string> applied;
  std::vector<std::size_t> applied_when_caught_up;
};

class PartitionReplicaTest : public testing::Test {
 protected:
  static ReadResult answer(LogStatus status, RecordOffset end = 0) {
    ReadResult result;
    result.status = status;
    result.end = end;
    return result;
  }
  static void add(ReadResult& result, RecordOffset offset, const std::string& key) {
    result.records.push_back({offset, key, "value"});
  }
  LogStatus catch_up() { return run_awaitable(loop, replica->catch_up()); }

  boost::asio::io_context loop;
  ScriptedRecordLog log;
  RecordingSink sink;
  std::shared_ptr<PartitionReplica> replica =
      std::make_shared<PartitionReplica>(log, PartitionName{kTopic, 0}, sink);
};

/// A list of 3000 runners is read in six pages. A page that was late began the whole read anew,
/// with the same time for each page: where pages are late now and then, as on a narrow link, all of
/// them are carried again and again. Here the second page fails once, and the first is asked for
/// once.
TEST_F(PartitionReplicaTest, AReadOfTheNewestRecordsGoesOnBehindThePagesThatCameThrough) {
  ReadResult first_page = answer(LogStatus::kUnknown, 7);
  add(first_page, 4, "a");
  add(first_page, 2, "b");
  first_page.resume_after = "b";
  ReadResult rest = answer(LogStatus::kOk, 9);
  add(rest, 6, "c");
  add(rest, 8, "d");  // Appended after the first page was read: a later read brings it.
  log.reads = {answer(LogStatus::kTruncated), answer(LogStatus::kTruncated)};
  log.newest_reads = {first_page, rest};
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_TRUE(sink.applied.empty());
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(log.keys_asked, (std::vector<std::string>{"", "b"}));
  EXPECT_EQ(sink.applied, (std::vector<std::string>{"b", "a", "c"}));
  EXPECT_EQ(replica->next_offset(), 7U);
  EXPECT_GT(log.patience_asked[1], log.patience_asked[0]);
}

TEST_F(PartitionReplicaTest, AfterASilenceLessIsAskedForAndMoreAgainOnceThatComesThrough) {
  log.reads = {answer(LogStatus::kUnknown), answer(LogStatus::kUnknown), answer(LogStatus::kOk)};
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  ASSERT_EQ(log.bytes_asked.size(), 4U);
  EXPECT_EQ(log.bytes_asked[1], log.bytes_asked[0] / 2);
  EXPECT_EQ(log.bytes_asked[2], log.bytes_asked[0] / 4);
  EXPECT_EQ(log.bytes_asked[3], log.bytes_asked[0] / 2);
}

TEST_F(PartitionReplicaTest, AListIsReadInPiecesThatGrowWhileTheyComeQuickly) {
  for (RecordOffset offset = 0; offset < 3; ++offset) {
    ReadResult piece = answer(LogStatus::kOk, 3);
    piece.records.push_back({offset, "key", std::string(60000, 'v')});
    log.reads.push_back(piece);
  }
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(log.bytes_asked,
            (std::vector<std::uint64_t>{64UL * 1024, 256UL * 1024, 1024UL * 1024}));
}

TEST_F(PartitionReplicaTest, TheSinkIsCaughtUpOnlyAfterAReadThatLeftNothingUnread) {
  ReadResult page = answer(LogStatus::kOk, 2);
  add(page, 0, "a");
  ReadResult last = answer(LogStatus::kOk, 2);
  add(last, 1, "b");
  log.reads = {page, answer(LogStatus::kUnknown), last};
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_TRUE(sink.applied_when_caught_up.empty());
  EXPECT_EQ(replica->health().confirmed, TimePoint{});
  EXPECT_EQ(replica->health().end, 2U);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(sink.applied_when_caught_up, (std::vector<std::size_t>{2}));
  EXPECT_GT(replica->health().confirmed, TimePoint{});
}

// A node that fell behind went by each version that it had missed, one after the other.
TEST_F(PartitionReplicaTest, WhereTheNewestCountsWhatLiesBetweenIsSkipped) {
  replica = std::make_shared<PartitionReplica>(log, PartitionName{kTopic, 0}, sink,
                                               ReplicaScope::kNewest);
  ReadResult newest = answer(LogStatus::kOk, 3);
  add(newest, 2, "start");
  ReadResult part = answer(LogStatus::kOk, 40);
  add(part, 3, "missed");
  ReadResult newer = answer(LogStatus::kOk, 40);
  add(newer, 39, "newer");
  log.newest_reads = {newest, newer};
  log.reads = {answer(LogStatus::kOk, 3), part, answer(LogStatus::kOk, 40)};
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(sink.applied, (std::vector<std::string>{"start", "missed", "newer"}));
  EXPECT_EQ(replica->next_offset(), 40U);
  EXPECT_EQ(log.keys_asked.size(), 2U);
}

TEST_F(PartitionReplicaTest, TheEndIsToldOnceAfterItsRecordsAreApplied) {
  int told = 0;
  std::size_t applied_then = 0;
  replica->set_loaded_listener([&] {
    ++told;
    applied_then = sink.applied.size();
  });
  ReadResult page = answer(LogStatus::kOk, 2);
  add(page, 0, "a");
  ReadResult last = answer(LogStatus::kOk, 2);
  add(last, 1, "b");
  log.reads = {page, last};
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(told, 1);
  EXPECT_EQ(applied_then, 2U);
}

}  // namespace
}  // namespace stoathold
