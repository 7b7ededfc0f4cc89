// Results whose texts take several records: what readers get, and partial failures.
#include "jobs/multipart_result.h"

#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

/// Returns a text whose parts all differ.
std::string make_text(std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) text += std::to_string(text.size()) + " ";
  text.resize(bytes);
  return text;
}

class MultipartResultTest : public JobReadsFixture {
 protected:
  static JobKey key_of(std::size_t job) { return make_job_key(kHost, job_id(job)); }
  static ItemResult result_of(std::uint32_t item, const std::string& text) {
    return {key_of(0), item, ItemState::kCompleted, text};
  }
  /// Writes results through a writer on this log, and returns the items as they become durable.
  std::vector<std::uint32_t> write(JobStore& store, const std::vector<ItemResult>& results) {
    std::vector<std::uint32_t> durable;
    ResultWriter writer(loop.get_executor(), store,
                        [&](const ItemResult& result) { durable.push_back(result.item); });
    for (const ItemResult& result : results) writer.add(result);
    run_until([&] { return durable.size() == results.size(); });
    settle();
    return durable;
  }
  /// Reads like a caller that polls until it has the text at a position.
  ResultPage read(JobNode& node, std::uint64_t position) {
    return run_awaitable(loop, node.store.read_results(kHost, key_of(0), position, Duration{0}));
  }
  std::vector<std::string> read_all(JobNode& node) {
    std::vector<std::string> texts;
    while (true) {
      const ResultPage page = read(node, texts.size());
      if (page.status != LookupStatus::kFound) return {"not read"};
      const auto& listed = page.results->listed();
      if (listed.size() == texts.size()) return texts;
      while (texts.size() < listed.size() && listed[texts.size()].has_text()) {
        texts.push_back(listed[texts.size()].text);
      }
    }
  }
  std::vector<StoredRecord> stored_results(JobNode& node) {
    const PartitionName partition = node.store.partition_of(JobData::kResults, key_of(0));
    return model->read_newest(partition, {}).records;
  }
  /// Connects to the log; appends beyond the limits of the store are rejected as there.
  FaultyRecordLog& add_log() {
    logs_.push_back(std::make_unique<FaultyRecordLog>(model, store_limits()));
    logs_.back()->faults.rejects = [](const KeyedRecord& record) {
      return 1 + record.key.size() + record.value.size() > store_limits().record_bytes;
    };
    return *logs_.back();
  }
  JobStore& add_store(FaultyRecordLog& log, const std::string& name) {
    stores_.push_back(std::make_unique<JobStore>(loop.get_executor(), log, name, short_timeouts()));
    EXPECT_EQ(run_awaitable(loop, stores_.back()->submit(make_job(0))), SubmitStatus::kAccepted);
    return *stores_.back();
  }

 private:
  std::vector<std::unique_ptr<FaultyRecordLog>> logs_;
  std::vector<std::unique_ptr<JobStore>> stores_;
};

TEST_F(MultipartResultTest, TextsOfAnySizeAreReadWholeByOffsetAndByKey) {
  FaultyRecordLog& log = add_log();
  JobStore& store = add_store(log, "writer");
  const std::vector<std::size_t> sizes{10,        255 * kKilobyte, 257 * kKilobyte,
                                       kMegabyte, 3 * kMegabyte,   8 * kMegabyte};
  std::vector<ItemResult> results;
  for (const std::size_t size : sizes) {
    results.push_back(result_of(static_cast<std::uint32_t>(results.size()), make_text(size)));
  }
  for (const ItemResult& result : results) write(store, {result});
  EXPECT_EQ(log.rejected_appends, 0);
  JobNode& by_offset = add_node("by offset");
  const auto texts = read_all(by_offset);
  ASSERT_EQ(texts.size(), sizes.size());
  for (std::size_t i = 0; i < texts.size(); ++i) EXPECT_TRUE(texts[i] == results[i].text);
  model->drop_history();
  const auto texts_by_key = read_all(add_node("by key"));
  EXPECT_TRUE(texts == texts_by_key);
  run(by_offset.store.erase(kHost, key_of(0)));
  EXPECT_TRUE(stored_results(by_offset).empty());
}

TEST_F(MultipartResultTest, OtherResultsAreWrittenBetweenTheParts) {
  JobStore& store = add_store(add_log(), "writer");
  const auto durable =
      write(store, {result_of(0, make_text(3 * kMegabyte)), result_of(1, "b"), result_of(2, "c")});
  EXPECT_EQ(durable, (std::vector<std::uint32_t>{1, 2, 0}));
}

/// Nodes of an older version look for the text under the key that they derive from the listing.
TEST_F(MultipartResultTest, OlderNodesListTheResultAndFindNoTextOfIt) {
  JobStore& store = add_store(add_log(), "writer");
  write(store, {result_of(0, make_text(257 * kKilobyte))});
  JobNode& node = add_node("node");
  std::size_t listings = 0;
  for (const auto& record : stored_results(node)) {
    ResultListing listing;
    ItemResult inline_result;
    EXPECT_FALSE(decode(record.value, inline_result));
    if (!decode(record.value, listing)) continue;
    ++listings;
    EXPECT_EQ(listing.text_bytes, 257 * kKilobyte);
    const std::string writer = record.key.substr(record.key.rfind('/') + 1);
    for (const auto& other : stored_results(node)) {
      EXPECT_FALSE(is_text_record_key(other.key) && other.key.ends_with("/" + writer));
    }
  }
  EXPECT_EQ(listings, 1U);
}

TEST_F(MultipartResultTest, PartsOfANodeThatEndsMidwayAreNoResultAndAreErased) {
  FaultyRecordLog& lost_log = add_log();
  JobStore& lost = add_store(lost_log, "lost");
  const ItemResult first = result_of(0, make_text(3 * kMegabyte));
  MultipartResult interrupted = lost.multipart_of(first).value();
  constexpr int kParts = 5;
  for (int part = 0; part < kParts; ++part) {
    const PartitionName partition = lost.partition_of(JobData::kResults, key_of(0));
    EXPECT_EQ(run_awaitable(loop, lost.append_records(partition, interrupted.next_append(first))),
              LogStatus::kOk);
    interrupted.observe(LogStatus::kOk);
  }
  JobNode& asked = add_node("asked");
  EXPECT_TRUE(read_all(asked).empty());

  JobStore& next = add_store(add_log(), "next");
  const ItemResult second = result_of(0, make_text(2 * kMegabyte));
  write(next, {second, result_of(1, "b")});
  EXPECT_TRUE(read_all(asked) == (std::vector<std::string>{"b", second.text}));
  model->drop_history();
  EXPECT_TRUE(read_all(add_node("by key")) == (std::vector<std::string>{"b", second.text}));
  run(asked.store.erase(kHost, key_of(0)));
  EXPECT_TRUE(stored_results(asked).empty());
}

/// With each number of lost answers another append is the one that is repeated last, also the one
/// with the listing.
TEST_F(MultipartResultTest, LostAnswersAndLostAppendsLeaveOneResultWithItsWholeText) {
  const ItemResult result = result_of(0, make_text(300 * kKilobyte));
  constexpr int kMaxFaults = 4;
  for (int faults = 1; faults <= kMaxFaults; ++faults) {
    model = std::make_shared<emulator::LogModel>();
    FaultyRecordLog& log = add_log();
    JobStore& store = add_store(log, "writer" + std::to_string(faults));
    log.faults.lose_answers = faults;
    log.faults.drop_appends = faults % 2;
    write(store, {result, result_of(1, "b")});
    JobNode& asked = add_node("by offset" + std::to_string(faults));
    auto texts = read_all(asked);
    std::sort(texts.begin(), texts.end());
    EXPECT_TRUE(texts == (std::vector<std::string>{result.text, "b"}));
    model->drop_history();
    auto texts_by_key = read_all(add_node("by key" + std::to_string(faults)));
    std::sort(texts_by_key.begin(), texts_by_key.end());
    EXPECT_TRUE(texts_by_key == texts);
    run(asked.store.erase(kHost, key_of(0)));
    EXPECT_TRUE(stored_results(asked).empty());
  }
}

TEST_F(MultipartResultTest, ListingThatTookEffectWithoutAnAnswerCountsOnce) {
  FaultyRecordLog& log = add_log();
  JobStore& store = add_store(log, "writer");
  const ItemResult result = result_of(0, make_text(300 * kKilobyte));
  MultipartResult appends = store.multipart_of(result).value();
  const PartitionName partition = store.partition_of(JobData::kResults, key_of(0));
  JobNode& asked = add_node("asked");
  int listings = 0;
  while (!appends.is_complete()) {
    const auto records = appends.next_append(result);
    ResultListing listing;
    const bool is_last = decode(records.back().value, listing);
    listings += is_last ? 1 : 0;
    EXPECT_EQ(run_awaitable(loop, store.append_records(partition, records)), LogStatus::kOk);
    const bool is_lost = is_last && listings == 1;
    appends.observe(is_lost ? LogStatus::kUnknown : LogStatus::kOk);
    if (is_lost) write(store, {result_of(1, "b")});
  }
  EXPECT_EQ(listings, 2);
  const std::vector<std::string> expected{result.text, "b"};
  EXPECT_TRUE(read_all(asked) == expected);
  model->drop_history();
  EXPECT_TRUE(read_all(add_node("by key")) == expected);
  run(asked.store.erase(kHost, key_of(0)));
  EXPECT_TRUE(stored_results(asked).empty());
}

/// A page that is lost does not restart the read of a long text, nor is an incomplete text
/// returned.
TEST_F(MultipartResultTest, PartsThatWereReadAreNotReadAgain) {
  JobStore& store = add_store(add_log(), "writer");
  const ItemResult result = result_of(0, make_text(5 * kMegabyte));
  write(store, {result});
  model->drop_history();
  JobNode& asked = add_node("asked");
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, asked.store.find(kHost, key_of(0), job)), LookupStatus::kFound);
  asked.log.lose_page_after(3);
  EXPECT_EQ(read(asked, 0).status, LookupStatus::kUncertain);
  const ResultPage page = read(asked, 0);
  ASSERT_EQ(page.status, LookupStatus::kFound);
  EXPECT_TRUE(page.results->listed()[0].text == result.text);
  EXPECT_LE(asked.log.reads_of_topics("job-results").bytes, 7 * kMegabyte);
}

TEST_F(MultipartResultTest, PollsAfterTheListingOfALongTextReadNoneOfIt) {
  JobStore& store = add_store(add_log(), "writer");
  write(store, {result_of(0, make_text(3 * kMegabyte)), result_of(1, "b")});
  model->drop_history();
  JobNode& asked = add_node("asked");
  EXPECT_EQ(run_awaitable(loop, asked.store.refresh_results(key_of(0))), LogStatus::kOk);
  EXPECT_LE(asked.log.reads_of_topics("job-results").bytes, kResultBytes);
}

/// Events of a runner, each with this many bytes of text.
std::string events(std::size_t count, std::size_t bytes) {
  std::string all;
  for (std::size_t id = 1; id <= count; ++id) {
    all += "id: " + std::to_string(id) + "\ndata: " + std::string(bytes, 'x') + "\n\n";
  }
  return all;
}

TEST_F(MultipartResultTest, ItemWithALongTextIsRunOnceAndCompleted) {
  JobNode& node = add_node("node");
  submit(node, make_job(0, 1));
  ScriptedRunner& runner = add_runner(plain_response(events(3, kMegabyte)));
  node.run_jobs(runner);
  run_until([&] { return node.finished_jobs() == 1; });
  EXPECT_EQ(runner.requests.size(), 1U);
  const auto texts = read_all(add_node("asked"));
  ASSERT_EQ(texts.size(), 1U);
  EXPECT_EQ(texts[0].size(), 3 * kMegabyte + 2);
}

/// A text above what nodes can keep ends the attempt. One runner in trouble may send such a text,
/// so the item is run once more; after a second one no runner produces it again.
TEST_F(MultipartResultTest, ItemWithTwoTooLongTextsIsNotRunAgainAndEndsWithItsRetention) {
  for (const Duration retention : {Duration{0}, Duration(std::chrono::seconds(8))}) {
    model = std::make_shared<emulator::LogModel>();
    JobNode& worker = add_node("worker");
    ServingConfiguration configuration = *worker.context.configuration;
    configuration.routes.front().item_retention = retention;
    worker.context.configuration = std::make_shared<const ServingConfiguration>(configuration);
    submit(worker, make_job(0, 1));
    ScriptedRunner& runner = add_runner(plain_response(events(9, kMegabyte)));
    worker.run_jobs(runner);
    run_until([&] { return worker.finished_jobs() == 1; });
    EXPECT_EQ(runner.requests.size(), 2U);
    const ResultPage page = read(worker, 0);
    ASSERT_EQ(page.status, LookupStatus::kFound);
    ASSERT_EQ(page.results->listed().size(), 1U);
    EXPECT_EQ(page.results->listed()[0].state, ItemState::kDeadLettered);
  }
}

}  // namespace
}  // namespace stoathold
