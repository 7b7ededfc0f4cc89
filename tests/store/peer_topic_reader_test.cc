// Tests reads of a followed topic through other nodes, over loopback.
#include "store/peer_topic_reader.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>

#include "net/http.h"
#include "routing/topic_sources.h"
#include "store/topic_service.h"
#include "tests/jobs/paged_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr const char* kTopic = "servers";
constexpr std::uint64_t kPageBytes = 64UL * 1024;
constexpr Duration kWait = std::chrono::milliseconds(50);

/// Counts the records that a node has applied.
class CountingSink final : public RecordSink {
 public:
  void apply(const StoredRecord& record) override { values[record.key] = record.value; }
  void reset(const std::vector<StoredRecord>& newest, RecordOffset /*end*/) override {
    for (const auto& record : newest) apply(record);
  }
  std::map<std::string, std::string> values;
};

/// A node that follows the topic and serves it.
class Node {
 public:
  Node(boost::asio::io_context& loop, const std::shared_ptr<emulator::LogModel>& model,
       PeerTopicReader::Source source)
      : log(model, loop.get_executor()),
        follow_reader(loop.get_executor(), log, std::move(source),
                      [this](const std::string& address) { failed.push_back(address); }),
        cache(loop.get_executor(), sink),
        replica(std::make_shared<PartitionReplica>(log, PartitionName{kTopic, 0}, cache)),
        server(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
               [this](HttpExchange& exchange) { return service.serve(exchange); }) {
    replica->set_follow_reader(follow_reader);
    service.add(replica, cache);
    server.start();
  }

  PagedRecordLog log;
  std::vector<std::string> failed;
  PeerTopicReader follow_reader;
  CountingSink sink;
  TopicCache cache;
  std::shared_ptr<PartitionReplica> replica;
  TopicService service;
  HttpServer server;
};

class PeerTopicReaderTest : public testing::Test {
 protected:
  void append(std::size_t first, std::size_t count) {
    std::vector<KeyedRecord> records;
    for (std::size_t i = first; i < first + count; ++i) {
      records.push_back({"runner-" + std::to_string(i), std::string(300, 'x')});
    }
    model->append({kTopic, 0}, records, std::nullopt);
  }
  ReadResult read(Node& node, RecordOffset from) {
    return run_awaitable(
        loop, node.follow_reader.read(PartitionName{kTopic, 0}, from, kPageBytes, kWait));
  }
  LogStatus catch_up(Node& node) { return run_awaitable(loop, node.replica->catch_up()); }
  void follow(Node& node) {
    ++followers;
    boost::asio::co_spawn(loop,
                          node.replica->follow([this] { return following; }, Duration{0}, kWait),
                          [this](const std::exception_ptr&) { --followers; });
  }
  template <typename Condition>
  void run_until(Condition condition) {
    loop.restart();
    for (int step = 0; step < 200000 && !condition(); ++step) loop.run_one();
    EXPECT_TRUE(condition());
  }

  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model = std::make_shared<emulator::LogModel>();
  bool following = true;
  int followers = 0;
};

PeerTopicReader::Source from_log() {
  return [] { return std::nullopt; };
}

/// Names a node for the first read only: after it has failed, none is left.
PeerTopicReader::Source once(std::string address) {
  return [address = std::optional(std::move(address))]() mutable {
    return std::exchange(address, std::nullopt);
  };
}

TEST_F(PeerTopicReaderTest, ReadsRecordsThroughAnotherNode) {
  append(0, 10);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  Node second(loop, model, [&] { return first.server.address(); });
  const ReadResult result = read(second, 4);
  EXPECT_EQ(result.status, LogStatus::kOk);
  ASSERT_EQ(result.records.size(), 6U);
  EXPECT_EQ(result.records.front().offset, 4U);
  EXPECT_EQ(result.end, 10U);
  ASSERT_TRUE(result.confirmed);
  EXPECT_LE(*result.confirmed, monotonic_now());
  EXPECT_EQ(second.log.reads_of_topics(kTopic).calls, 0U);
}

TEST_F(PeerTopicReaderTest, ReadsTheLogIfTheOtherNodeIsDead) {
  append(0, 10);
  Node node(loop, model, once("127.0.0.1:1"));
  EXPECT_EQ(read(node, 3).records.size(), 7U);
  EXPECT_EQ(node.failed, std::vector<std::string>{"127.0.0.1:1"});
}

TEST_F(PeerTopicReaderTest, ReadsTheLogIfTheOtherNodeIsBehind) {
  append(0, 5);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  append(5, 5);
  Node second(loop, model, once(first.server.address()));
  EXPECT_EQ(read(second, 7).records.size(), 3U);
  EXPECT_EQ(second.failed.size(), 1U);
}

TEST_F(PeerTopicReaderTest, ReadsTheLogIfTheOtherNodeCannotReadIt) {
  append(0, 10);
  Node first(loop, model, from_log());
  first.log.set_max_answered_read_bytes(0);
  ASSERT_NE(catch_up(first), LogStatus::kOk);
  Node second(loop, model, once(first.server.address()));
  EXPECT_EQ(read(second, 3).records.size(), 7U);
  EXPECT_EQ(second.failed.size(), 1U);
}

TEST_F(PeerTopicReaderTest, ReadsNewestRecordsThroughAnotherNodeWithoutDeletedOnes) {
  append(0, 3000);
  model->append({kTopic, 0}, {{"runner-7", ""}}, std::nullopt);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  Node second(loop, model, [&] { return first.server.address(); });
  const ReadResult result = run_awaitable(
      loop, second.follow_reader.read_newest(PartitionName{kTopic, 0}, KeyRange{}, kPageTimeout));
  EXPECT_EQ(result.status, LogStatus::kOk);
  EXPECT_EQ(result.records.size(), 2999U);
  EXPECT_EQ(result.end, 3001U);
  EXPECT_EQ(second.log.reads_of_topics(kTopic).calls, 0U);
}

TEST_F(PeerTopicReaderTest, WaitsForANodeThatIsStillReading) {
  append(0, 10);
  Node first(loop, model, from_log());
  Node second(loop, model, [&] { return first.server.address(); });
  EXPECT_EQ(read(second, 0).status, LogStatus::kNotDone);
  EXPECT_TRUE(second.failed.empty());
  EXPECT_EQ(second.log.reads_of_topics(kTopic).calls, 0U);
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  EXPECT_EQ(read(second, 0).records.size(), 10U);
}

// A reader that gives up before a node that is still reading answers takes it for dead.
TEST_F(PeerTopicReaderTest, WaitsLongerThanANodeThatIsStillReadingLetsItWait) {
  append(0, 10);
  Node first(loop, model, from_log());
  Node second(loop, model, once(first.server.address()));
  const ReadResult result = run_awaitable(
      loop, second.follow_reader.read(PartitionName{kTopic, 0}, 5, kPageBytes, Duration{0}));
  EXPECT_EQ(result.status, LogStatus::kNotDone);
  EXPECT_TRUE(second.failed.empty());
}

TEST_F(PeerTopicReaderTest, ANodeThatStartsDoesNotReadTheLogAtOnceIfItsSourceIsNotThereYet) {
  append(0, 10);
  Node node(loop, model, once("127.0.0.1:1"));
  EXPECT_EQ(read(node, 0).status, LogStatus::kNotDone);
  EXPECT_EQ(node.log.reads_of_topics(kTopic).calls, 0U);
}

TEST_F(PeerTopicReaderTest, HeldReadsWaitUntilOtherNodesAreKnown) {
  append(0, 10);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  std::optional<std::string> known;
  Node second(loop, model, [&] { return known; });
  second.follow_reader.hold(std::chrono::hours(1));
  Timer timer(loop, std::chrono::milliseconds(5));
  timer.async_wait([&](boost::system::error_code) {
    known = first.server.address();
    second.follow_reader.begin();
  });
  EXPECT_EQ(read(second, 0).records.size(), 10U);
  EXPECT_EQ(second.log.reads_of_topics(kTopic).calls, 0U);
}

TEST_F(PeerTopicReaderTest, HeldReadsGoToTheLogAfterTheLimit) {
  append(0, 10);
  Node node(loop, model, from_log());
  node.follow_reader.hold(std::chrono::milliseconds(5));
  EXPECT_EQ(read(node, 0).records.size(), 10U);
}

TEST_F(PeerTopicReaderTest, AsksTheNextNodeAfterOneThatIsDead) {
  append(0, 10);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  std::vector<std::string> addresses{first.server.address(), "127.0.0.1:1"};
  Node second(loop, model, [&] {
    std::string next = addresses.back();
    addresses.pop_back();
    return next;
  });
  EXPECT_EQ(read(second, 0).records.size(), 10U);
  EXPECT_EQ(second.failed.size(), 1U);
  EXPECT_EQ(second.log.reads_of_topics(kTopic).calls, 0U);
}

/// What the log serves of a start of all nodes must not grow with them.
TEST_F(PeerTopicReaderTest, BytesReadFromTheLogAtAStartDependOnTheZonesOnly) {
  constexpr std::size_t kRecords = 1000;
  constexpr std::uint32_t kSlots = 10;
  append(0, kRecords);
  std::vector<std::uint64_t> bytes;
  for (const std::size_t count : {10, 60}) {
    following = true;
    std::vector<std::unique_ptr<TopicSources>> sources;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<MemberName> names;
    for (std::size_t i = 0; i < count; ++i) {
      const auto source = [&sources, i] { return sources[i]->source(monotonic_now()); };
      nodes.push_back(std::make_unique<Node>(loop, model, source));
      names.push_back({"node-" + std::to_string(i), "zone", nodes.back()->server.address()});
      sources.push_back(std::make_unique<TopicSources>(names.back(), kSlots));
    }
    const std::vector<MemberName> members(names.begin(), names.begin() + kSlots);
    for (const auto& source : sources) source->set_members(members);
    for (const auto& node : nodes) follow(*node);
    run_until([&] {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return node->sink.values.size() == kRecords && node->replica->health().loaded;
      });
    });
    std::uint64_t total = 0;
    for (const auto& node : nodes) total += node->log.reads_of_topics(kTopic).bytes;
    bytes.push_back(total);
    following = false;
    run_until([&] { return followers == 0; });
  }
  EXPECT_EQ(bytes.back(), bytes.front());
}

class DeletedBetweenPagesTest : public PeerTopicReaderTest {};

/// What a reader gets is not read again below its end, so a deletion must not be lost there.
TEST_F(DeletedBetweenPagesTest, KeyOfAnEarlierPageIsAbsent) {
  constexpr std::size_t kRecords = 3000;
  append(0, kRecords);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  const std::vector<KeyedRecord> deletion{{"runner-7", ""}};
  int pages = 0;
  Node second(loop, model, [&] {
    if (++pages == 2) {
      const AppendResult deleted = model->append({kTopic, 0}, deletion, std::nullopt);
      first.replica->apply_appended(deleted.offset, deletion);
    }
    return first.server.address();
  });
  const ReadResult result = run_awaitable(
      loop, second.follow_reader.read_newest(PartitionName{kTopic, 0}, KeyRange{}, kPageTimeout));
  ASSERT_EQ(result.status, LogStatus::kOk);
  ASSERT_EQ(result.end, kRecords + 1);
  EXPECT_GT(pages, 2);
  EXPECT_EQ(result.records.size(), kRecords - 1);
}

/// A node that passes records on has read some of them only: its next read is under way and takes
/// longer than a reader waits for it.
class SourceBehindTest : public PeerTopicReaderTest {
 protected:
  static constexpr std::size_t kKnown = 5;
  static constexpr std::size_t kRecords = 1000;

  /// Makes a node that has read `kKnown` records learn the end of `kRecords`, of which it gets a
  /// part.
  void read_a_part(Node& node) {
    append(kKnown, kRecords - kKnown);
    ASSERT_EQ(run_awaitable(loop, node.replica->wait_for_records(Duration{0})), LogStatus::kOk);
    ASSERT_LT(node.replica->next_offset(), kRecords);
    ASSERT_EQ(node.replica->health().end, kRecords);
  }
  /// Runs the loop until a node has read all records, for some seconds at most.
  void run_until_read(const Node& node) {
    const TimePoint deadline = monotonic_now() + std::chrono::seconds(4);
    run_until(
        [&] { return node.replica->next_offset() == kRecords || monotonic_now() > deadline; });
  }
};

/// The end up to which records are claimed to be complete must not lie beyond those of the source.
TEST_F(SourceBehindTest, NewestRecordsAreCompleteBelowTheirEnd) {
  append(0, kKnown);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  read_a_part(first);
  Node second(loop, model, [&] { return first.server.address(); });
  const ReadResult result = run_awaitable(
      loop, second.follow_reader.read_newest(PartitionName{kTopic, 0}, KeyRange{}, kPageTimeout));
  ASSERT_EQ(result.status, LogStatus::kOk);
  EXPECT_EQ(result.records.size(), result.end) << "each key was written once";
}

/// A node that lacks records denies what they hold, even after it has read the log to its end, and
/// so do the nodes that read through it.
TEST_F(SourceBehindTest, NoReaderSkipsRecords) {
  append(0, kKnown);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  bool knows_source = false;
  Node second(loop, model, [&]() -> std::optional<std::string> {
    if (std::exchange(knows_source, true)) return first.server.address();
    return std::nullopt;
  });
  ASSERT_EQ(catch_up(second), LogStatus::kOk);
  read_a_part(first);
  model->drop_history();
  Node third(loop, model, [&] { return second.server.address(); });
  follow(second);
  follow(third);
  run_until([&] { return third.replica->next_offset() > kKnown; });
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  run_until_read(second);
  run_until_read(third);
  following = false;
  run_until([&] { return followers == 0; });
  ASSERT_EQ(catch_up(second), LogStatus::kOk);
  EXPECT_EQ(second.sink.values.size(), kRecords);
  ASSERT_EQ(catch_up(third), LogStatus::kOk);
  EXPECT_EQ(third.sink.values.size(), kRecords);
}

/// A node that has read the newest records instead of all does not know which keys were deleted
/// last. A reader that knows them must learn so from elsewhere.
class SkippedDeletionsTest : public PeerTopicReaderTest {};

TEST_F(SkippedDeletionsTest, ReaderBehindTheLastDeletionsIsNotAnswered) {
  append(0, 1);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  append(1, 2);
  model->append({kTopic, 0}, {{"runner-1", ""}, {"runner-2", ""}}, std::nullopt);
  model->drop_history();
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  ASSERT_EQ(first.replica->next_offset(), 5U);
  for (const RecordOffset from : {2U, 3U, 4U}) {
    Node second(loop, model, once(first.server.address()));
    EXPECT_EQ(read(second, from).status, LogStatus::kTruncated) << "answered by the log";
  }
  Node ahead(loop, model, once(first.server.address()));
  EXPECT_EQ(read(ahead, 5).status, LogStatus::kOk);
  EXPECT_TRUE(ahead.failed.empty());
}

/// So does a node that has read all its records through such a node.
class InheritedSkipsTest : public PeerTopicReaderTest {};

TEST_F(InheritedSkipsTest, ReaderBehindDeletionsThatTheSourceNeverSawIsNotAnswered) {
  append(0, 3);
  model->append({kTopic, 0}, {{"runner-1", ""}, {"runner-2", ""}}, std::nullopt);
  model->drop_history();
  append(3, 1);
  Node first(loop, model, from_log());
  ASSERT_EQ(catch_up(first), LogStatus::kOk);
  Node second(loop, model, [&] { return first.server.address(); });
  follow(second);
  run_until([&] { return second.replica->next_offset() == 6; });
  following = false;
  run_until([&] { return followers == 0; });
  ASSERT_EQ(second.log.reads_of_topics(kTopic).calls, 0U);
  for (const RecordOffset from : {2U, 3U, 4U}) {
    Node third(loop, model, once(second.server.address()));
    EXPECT_EQ(read(third, from).status, LogStatus::kTruncated) << "answered by the log";
  }
  Node ahead(loop, model, once(second.server.address()));
  EXPECT_EQ(read(ahead, 6).status, LogStatus::kOk);
  EXPECT_TRUE(ahead.failed.empty());
}

}  // namespace
}  // namespace stoathold
