#include "store/partition_replica.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <deque>

#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr const char* kTopic = "topic";

/// Returns scripted responses to reads and records the requests.
class ScriptedRecordLog final : public RecordLog {
 public:
  std::deque<ReadResult> scripted_reads;  ///< Responses to `read`; if empty: end of partition.
  std::deque<ReadResult> scripted_newest_reads;  ///< Responses to `read_newest`.
  std::vector<std::uint64_t> requested_bytes;
  std::vector<std::string> requested_after_keys;
  std::vector<Duration> requested_timeouts;

  const LogLimits& limits() const override { return limits_; }
  boost::asio::awaitable<ReadResult> read(PartitionName /*partition*/, RecordOffset from,
                                          std::uint64_t max_bytes, Duration /*wait*/) override {
    requested_bytes.push_back(max_bytes);
    ReadResult result;
    result.status = LogStatus::kOk;
    result.end = from;
    if (!scripted_reads.empty()) {
      result = scripted_reads.front();
      scripted_reads.pop_front();
    }
    co_return result;
  }
  boost::asio::awaitable<ReadResult> read_newest(PartitionName /*partition*/, KeyRange range,
                                                 Duration page_timeout) override {
    requested_after_keys.push_back(range.after);
    requested_timeouts.push_back(page_timeout);
    ReadResult result = scripted_newest_reads.front();
    scripted_newest_reads.pop_front();
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

/// Records the keys it receives and the calls of `on_caught_up`.
class RecordingSink final : public RecordSink {
 public:
  void apply(const StoredRecord& record) override { applied.push_back(record.key); }
  void reset(const std::vector<StoredRecord>& newest, RecordOffset /*end*/) override {
    for (const auto& record : newest) applied.push_back(record.key);
  }
  void on_caught_up() override { applied_when_caught_up.push_back(applied.size()); }
  std::vector<std::string> applied;
  std::vector<std::size_t> applied_when_caught_up;
};

class PartitionReplicaTest : public testing::Test {
 protected:
  static ReadResult response(LogStatus status, RecordOffset end = 0) {
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

/// Guards against restarting a paged read after a failed page. A list of 3000 runners takes six
/// pages; restarting with an unchanged page timeout transferred the same pages repeatedly on a slow
/// link. Here the second page fails once, and the first page is requested only once.
TEST_F(PartitionReplicaTest, NewestReadResumesAfterSuccessfulPages) {
  ReadResult first_page = response(LogStatus::kUnknown, 7);
  add(first_page, 4, "a");
  add(first_page, 2, "b");
  first_page.resume_after = "b";
  ReadResult rest = response(LogStatus::kOk, 9);
  add(rest, 6, "c");
  add(rest, 8, "d");  // Appended after the first page was read; a later read returns it.
  log.scripted_reads = {response(LogStatus::kTruncated), response(LogStatus::kTruncated)};
  log.scripted_newest_reads = {first_page, rest};
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_TRUE(sink.applied.empty());
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(log.requested_after_keys, (std::vector<std::string>{"", "b"}));
  EXPECT_EQ(sink.applied, (std::vector<std::string>{"b", "a", "c"}));
  EXPECT_EQ(replica->next_offset(), 7U);
  EXPECT_GT(log.requested_timeouts[1], log.requested_timeouts[0]);
}

TEST_F(PartitionReplicaTest, TimeoutHalvesReadSizeAndSuccessDoublesIt) {
  log.scripted_reads = {response(LogStatus::kUnknown), response(LogStatus::kUnknown),
                        response(LogStatus::kOk)};
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  ASSERT_EQ(log.requested_bytes.size(), 4U);
  EXPECT_EQ(log.requested_bytes[1], log.requested_bytes[0] / 2);
  EXPECT_EQ(log.requested_bytes[2], log.requested_bytes[0] / 4);
  EXPECT_EQ(log.requested_bytes[3], log.requested_bytes[0] / 2);
}

TEST_F(PartitionReplicaTest, ReadSizeGrowsWhileReadsAreFast) {
  for (RecordOffset offset = 0; offset < 3; ++offset) {
    ReadResult piece = response(LogStatus::kOk, 3);
    piece.records.push_back({offset, "key", std::string(60000, 'v')});
    log.scripted_reads.push_back(piece);
  }
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(log.requested_bytes,
            (std::vector<std::uint64_t>{64UL * 1024, 256UL * 1024, 1024UL * 1024}));
}

TEST_F(PartitionReplicaTest, SinkIsCaughtUpOnlyAfterReadThatReachesEnd) {
  ReadResult page = response(LogStatus::kOk, 2);
  add(page, 0, "a");
  ReadResult last = response(LogStatus::kOk, 2);
  add(last, 1, "b");
  log.scripted_reads = {page, response(LogStatus::kUnknown), last};
  EXPECT_EQ(catch_up(), LogStatus::kUnknown);
  EXPECT_TRUE(sink.applied_when_caught_up.empty());
  EXPECT_EQ(replica->health().confirmed, TimePoint{});
  EXPECT_EQ(replica->health().end, 2U);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(sink.applied_when_caught_up, (std::vector<std::size_t>{2}));
  EXPECT_GT(replica->health().confirmed, TimePoint{});
}

// Guards against a lagging node that applies every version it missed, one after the other.
TEST_F(PartitionReplicaTest, NewestScopeSkipsIntermediateRecords) {
  replica = std::make_shared<PartitionReplica>(log, PartitionName{kTopic, 0}, sink,
                                               ReplicaScope::kNewest);
  ReadResult newest = response(LogStatus::kOk, 3);
  add(newest, 2, "start");
  ReadResult part = response(LogStatus::kOk, 40);
  add(part, 3, "missed");
  ReadResult newer = response(LogStatus::kOk, 40);
  add(newer, 39, "newer");
  log.scripted_newest_reads = {newest, newer};
  log.scripted_reads = {response(LogStatus::kOk, 3), part, response(LogStatus::kOk, 40)};
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(sink.applied, (std::vector<std::string>{"start", "missed", "newer"}));
  EXPECT_EQ(replica->next_offset(), 40U);
  EXPECT_EQ(log.requested_after_keys.size(), 2U);
}

TEST_F(PartitionReplicaTest, LoadedListenerIsCalledOnceAfterRecordsAreApplied) {
  int calls = 0;
  std::size_t applied_at_call = 0;
  replica->set_loaded_listener([&] {
    ++calls;
    applied_at_call = sink.applied.size();
  });
  ReadResult page = response(LogStatus::kOk, 2);
  add(page, 0, "a");
  ReadResult last = response(LogStatus::kOk, 2);
  add(last, 1, "b");
  log.scripted_reads = {page, last};
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(catch_up(), LogStatus::kOk);
  EXPECT_EQ(calls, 1);
  EXPECT_EQ(applied_at_call, 2U);
}

}  // namespace
}  // namespace stoathold
