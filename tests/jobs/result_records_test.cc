// Results that are split into a listing and a text record: what a node reads of them, and partial
// failures.
#include <numeric>

#include "tests/jobs/append_results.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

class ResultRecordsTest : public JobReadsFixture {
 protected:
  using Records = std::vector<KeyedRecord>;

  static JobKey key_of(std::size_t number) { return make_job_key(kHost, job_id(number)); }
  static ItemResult result_of(std::uint32_t item, const std::string& text) {
    return {key_of(0), item, ItemState::kCompleted, text};
  }
  static std::string long_text(char letter) { return std::string(kResultBytes, letter); }

  void append(JobNode& node, const Records& records) {
    const auto make = [&] { return records; };
    EXPECT_TRUE(run_awaitable(loop, append_results(node.store, key_of(0), make)));
  }
  void write(JobNode& node, std::uint32_t item, const std::string& text) {
    append(node, node.store.records_of(result_of(item, text)));
  }
  ResultPage read(JobNode& node, std::uint64_t position) {
    return run_awaitable(loop, node.store.read_results(kHost, key_of(0), position, Duration{0}));
  }
  /// Returns the first letter of the text at each position; '-' for a text that was not read.
  static std::string first_letters(const ResultPage& page) {
    std::string all;
    for (const auto& result : page.results->listed()) {
      all += result.has_text() ? result.text.substr(0, 1) : "-";
    }
    return all;
  }
  /// Returns the newest records of the partition of the job's results.
  std::vector<StoredRecord> stored_results(JobNode& node) {
    const PartitionName partition = node.store.partition_of(JobData::kResults, key_of(0));
    return model->read_newest(partition, {}).records;
  }
};

TEST_F(ResultRecordsTest, LongTextPrecedesItsListingAndShortTextIsInline) {
  JobNode& node = add_node("node");
  submit(node, make_job(0));
  const Records split = node.store.records_of(result_of(3, long_text('a')));
  ASSERT_EQ(split.size(), 2U);
  EXPECT_TRUE(is_text_record_key(split[0].key));
  EXPECT_EQ(split[0].value, long_text('a'));
  EXPECT_FALSE(is_text_record_key(split[1].key));
  for (const auto& record : split) EXPECT_EQ(job_of_record_key(record.key), key_of(0));
  ResultListing listing;
  ASSERT_TRUE(decode(split[1].value, listing));
  EXPECT_EQ(text_record_key(split[1].key, listing.written_ms), split[0].key);
  ItemResult whole;
  EXPECT_FALSE(decode(split[1].value, whole));

  const Records short_one = node.store.records_of(result_of(3, "short"));
  ASSERT_EQ(short_one.size(), 1U);
  EXPECT_FALSE(decode(short_one[0].value, listing));
  EXPECT_TRUE(decode(short_one[0].value, whole));
}

/// A job that an older node accepted may be run by older nodes, which do not support separate text
/// records.
TEST_F(ResultRecordsTest, ResultsOfJobsAcceptedByOlderNodesAreInlineAndCount) {
  JobNode& node = add_node("node");
  const JobSubmission older = make_job(0).submission;
  ASSERT_FALSE(older.split_results);
  EXPECT_EQ(run_awaitable(
                loop, node.store.mark(kHost, JobRecordKind::kSubmitted, key_of(0), encode(older))),
            LogStatus::kOk);
  write_results(node, 0, {2, 1});
  for (const auto& record : stored_results(node)) {
    ItemResult whole;
    EXPECT_TRUE(decode(record.value, whole));
  }
  model->drop_history();
  EXPECT_EQ(first_letters(read(add_node("asked"), 0)), "cb");
}

TEST_F(ResultRecordsTest, InlineResultsAndListingsKeepTheOrderOfTheLog) {
  JobNode& node = add_node("node");
  submit(node, make_job(0));
  write(node, 5, long_text('a'));
  append(node, result_records(result_of(1, long_text('b')), "older", 0, false));
  write(node, 0, long_text('c'));
  write(node, 2, "d");
  EXPECT_EQ(first_letters(read(add_node("by offset"), 0)), "abcd");
  model->drop_history();
  EXPECT_EQ(first_letters(read(add_node("by key"), 0)), "abcd");
}

/// Two nodes that both run an item both write its result. The first listing counts at all nodes,
/// regardless of the order of the keys and of whether a node reads by offset or by key.
TEST_F(ResultRecordsTest, FirstOfTwoResultsOfAnItemCountsAtAllNodes) {
  JobNode& first = add_node("z");
  JobNode& second = add_node("a");
  submit(first, make_job(0));
  EXPECT_EQ(run_awaitable(loop, second.store.submit(make_job(0))), SubmitStatus::kAccepted);
  JobNode& follower = add_node("follower");
  EXPECT_EQ(first_letters(read(follower, 0)), "");
  write(first, 4, long_text('a'));
  write(second, 4, long_text('b'));
  write(second, 1, long_text('c'));
  write(first, 1, long_text('d'));
  EXPECT_EQ(first_letters(read(follower, 0)), "ac");
  EXPECT_EQ(first_letters(read(add_node("by offset"), 0)), "ac");
  model->drop_history();
  EXPECT_EQ(first_letters(read(add_node("by key"), 0)), "ac");
}

TEST_F(ResultRecordsTest, AppendWithLostAnswerIsRetriedAndCountsOnce) {
  FaultyRecordLog log(model, store_limits());
  JobStore store(loop.get_executor(), log, "writer", short_timeouts());
  EXPECT_EQ(run_awaitable(loop, store.submit(make_job(0))), SubmitStatus::kAccepted);
  log.faults.lose_answers = 1;
  std::size_t written = 0;
  ResultWriter writer(loop.get_executor(), store, [&](const ItemResult&) { ++written; });
  writer.add(result_of(7, long_text('a')));
  run_until([&] { return written == 1; });
  settle();
  JobNode& asked = add_node("asked");
  EXPECT_EQ(first_letters(read(asked, 0)), "a");
  EXPECT_EQ(stored_results(asked).size(), 4U);
  model->drop_history();
  EXPECT_EQ(first_letters(read(add_node("by key"), 0)), "a");
  run(asked.store.erase(kHost, key_of(0)));
  EXPECT_TRUE(stored_results(asked).empty());
}

TEST_F(ResultRecordsTest, TextWithoutListingIsNotAResult) {
  JobNode& node = add_node("node");
  submit(node, make_job(0));
  const Records torn = node.store.records_of(result_of(0, long_text('x')));
  append(node, {torn[0]});
  write(node, 1, long_text('a'));
  append(node, {torn[0]});
  EXPECT_EQ(first_letters(read(add_node("by offset"), 0)), "a");
  model->drop_history();
  EXPECT_EQ(first_letters(read(add_node("by key"), 0)), "a");
}

/// A read by offset may end between a text and its listing; the next read returns only the listing.
TEST_F(ResultRecordsTest, ReadThatEndsBetweenTextAndListingLosesNothing) {
  const Records records = result_records(result_of(0, long_text('a')), "writer", 5, true);
  ReadResult text{LogStatus::kOk, {{0, records[0].key, records[0].value}}, 1, {}};
  ReadResult listing{LogStatus::kOk, {{1, records[1].key, records[1].value}}, 2, {}};
  ListedResults results;
  results.add(text);
  EXPECT_TRUE(results.listed().empty());
  results.add(listing);
  ASSERT_EQ(results.listed().size(), 1U);
  EXPECT_EQ(results.listed()[0].text, long_text('a'));

  ListedResults later;
  later.add(listing);
  ASSERT_EQ(later.listed().size(), 1U);
  EXPECT_FALSE(later.listed()[0].has_text());
  const auto unread = later.unread_texts(0, 1);
  ASSERT_EQ(unread.size(), 1U);
  EXPECT_EQ(unread[0].offset, 0U);
  EXPECT_EQ(unread[0].bytes, kResultBytes);
  const std::uint64_t bytes_before = later.bytes();
  later.add_texts(text.records);
  EXPECT_EQ(later.listed()[0].text, long_text('a'));
  EXPECT_GT(later.bytes(), bytes_before);
}

/// Guards against answering when the page with the listings arrives but the page with the texts
/// does not: callers would take the empty texts for the output of the runner.
TEST_F(ResultRecordsTest, ListingWithUnreadableTextIsNotReturned) {
  JobNode& node = add_node("node");
  submit(node, make_job(0));
  write_results(node, 0, {0, 1});
  JobNode& asked = add_node("asked");
  EXPECT_EQ(first_letters(read(asked, 0)), "ab");
  write_results(node, 0, {2});
  model->drop_history();
  JobNode& late = add_node("late");
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, late.store.find(kHost, key_of(0), job)), LookupStatus::kFound);
  late.log.lose_page_after(1);
  EXPECT_EQ(read(late, 2).status, LookupStatus::kUncertain);
  EXPECT_TRUE(late.store.results_of(key_of(0)).is_listed(2));
  const ResultPage page = read(late, 2);
  EXPECT_EQ(page.status, LookupStatus::kFound);
  ASSERT_EQ(page.results->listed().size(), 3U);
  EXPECT_EQ(page.results->listed()[2].text, long_text('c'));

  // The results before it are returned, although the list is known to be longer.
  ASSERT_EQ(run_awaitable(loop, asked.store.refresh_results(key_of(0))), LogStatus::kOk);
  asked.log.lose_page_after(1);  // The first page has later listings, the second one the text.
  const ResultPage front = read(asked, 0);
  EXPECT_EQ(front.status, LookupStatus::kFound);
  EXPECT_EQ(first_letters(front), "ab-");
}

TEST_F(ResultRecordsTest, ListingWithMissingTextIsNeverReturnedAsEmpty) {
  JobNode& node = add_node("node");
  submit(node, make_job(0));
  write_results(node, 0, {0, 1});
  for (const auto& record : stored_results(node)) {
    if (record.value == long_text('b')) append(node, {{record.key, {}}});
  }
  for (const bool with_history : {true, false}) {
    if (!with_history) model->drop_history();
    JobNode& asked = add_node("asked");
    EXPECT_EQ(read(asked, 1).status,
              with_history ? LookupStatus::kFound : LookupStatus::kUncertain);
    const ResultPage page = read(asked, 0);
    EXPECT_EQ(page.status, LookupStatus::kFound);
    EXPECT_EQ(first_letters(page), with_history ? "ab" : "a-");
  }
}

TEST_F(ResultRecordsTest, ErasedJobLeavesNoText) {
  JobNode& node = add_node("node");
  submit(node, make_job(0));
  write_results(node, 0, {0, 1, 2});
  JobNode& eraser = add_node("eraser");
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, eraser.store.find(kHost, key_of(0), job)), LookupStatus::kFound);
  const std::size_t before = stored_results(eraser).size();
  EXPECT_EQ(before, 6U);
  run(eraser.store.erase(kHost, key_of(0)));
  EXPECT_TRUE(stored_results(eraser).empty());
  // Erasing the job does not read its texts.
  EXPECT_LE(eraser.log.reads_of_topics("job-results").bytes, kResultBytes);
}

/// The listings determine which items are open, so a node that starts a job reads no texts.
TEST_F(ResultRecordsTest, StartingAJobReadsNoTexts) {
  std::vector<std::uint32_t> listed(kJobItems - 1);
  std::iota(listed.begin(), listed.end(), 0);
  for (const bool with_history : {true, false}) {
    model = std::make_shared<emulator::LogModel>();
    JobNode& before = add_node("before");
    submit(before, make_job(0));
    write_results(before, 0, listed);
    if (!with_history) model->drop_history();
    JobNode& node = add_node("after");
    const ScriptedRunner& runner = add_runner(impossible_answer());
    node.run_jobs(runner);
    run_until([&] { return !runner.requests.empty(); });
    EXPECT_GT(node.store.result_bytes().listings, 0U);
    EXPECT_EQ(node.store.result_bytes().texts, 0U);
    EXPECT_LE(node.log.reads_of_topics("job-results").bytes, kResultBytes);
  }
}

/// A caller reads 2.4 MB of results page by page at a node that has just started, and the last page
/// of texts is lost once.
TEST_F(ResultRecordsTest, CompletedTextReadsAreNotRepeated) {
  constexpr std::uint32_t kItems = 200;
  JobNode& worker = add_node("worker");
  submit(worker, make_job(0, kItems));
  std::vector<std::uint32_t> items(kItems);
  std::iota(items.begin(), items.end(), 0);
  write_results(worker, 0, items);
  model->drop_history();
  JobNode& asked = add_node("asked");
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, asked.store.find(kHost, key_of(0), job)), LookupStatus::kFound);
  asked.log.lose_page_after(3);
  std::size_t failed = 0;
  std::uint64_t position = 0;
  while (position < kItems && failed < 3) {
    const ResultPage page = read(asked, position);
    if (page.status != LookupStatus::kFound) ++failed;
    if (page.status != LookupStatus::kFound) continue;
    const auto& all = page.results->listed();
    while (position < all.size() && all[position].has_text()) ++position;
  }
  EXPECT_EQ(position, kItems);
  EXPECT_EQ(failed, 1U);
  EXPECT_LE(2 * asked.log.reads_of_other_topics(kJobsTopic).bytes, 3 * kItems * kResultBytes);
}

/// Callers that read one job from different positions at one node share the reads of its texts.
TEST_F(ResultRecordsTest, CallersAtDifferentPositionsShareTextReads) {
  constexpr std::uint32_t kItems = 20;
  JobNode& worker = add_node("worker");
  submit(worker, make_job(0, kItems));
  std::vector<std::uint32_t> items(kItems);
  std::iota(items.begin(), items.end(), 0);
  write_results(worker, 0, items);
  for (const bool with_history : {true, false}) {
    if (!with_history) model->drop_history();
    JobNode& asked = add_node("asked");
    std::size_t answered = 0;
    std::size_t with_text = 0;
    for (std::uint32_t position = 0; position < kItems; ++position) {
      boost::asio::co_spawn(loop, asked.store.read_results(kHost, key_of(0), position, Duration{0}),
                            [&, position](const std::exception_ptr&, const ResultPage& page) {
                              ++answered;
                              const bool found = page.status == LookupStatus::kFound;
                              if (found && page.results->listed()[position].has_text()) ++with_text;
                            });
    }
    run_until([&] { return answered == kItems; });
    EXPECT_EQ(with_text, kItems);
    EXPECT_LE(asked.log.reads_of_other_topics(kJobsTopic).bytes, 2 * kItems * kResultBytes);
  }
}

}  // namespace
}  // namespace stoathold
