// Results that the log rejects, and the results beside them.
#include "jobs/result_writer.h"

#include <gtest/gtest.h>

#include <set>

#include "tests/jobs/batch_jobs.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

constexpr const char* kHost = "drafts.example";
constexpr std::uint32_t kItems = 64;
constexpr const char* kRejectedText = "rejected";

/// Limits under which one append takes the results of all items.
LogLimits limits() {
  LogLimits limits = small_limits();
  limits.record_bytes = 8000;
  limits.call_bytes = 64'000;
  return limits;
}

bool is_rejected_text(const KeyedRecord& record) {
  return record.value.find(kRejectedText) != std::string::npos;
}

/// A writer of the results of one job.
class ResultWriterTest : public testing::Test {
 protected:
  ResultWriterTest()
      : model(std::make_shared<emulator::LogModel>()),
        log(model, limits()),
        store(loop.get_executor(), log, "node", short_timeouts()),
        writer(loop.get_executor(), store,
               [this](const ItemResult& result) { durable.insert(result.item); }) {
    EXPECT_EQ(run_awaitable(loop, store.submit(make_batch_job(kHost, "j", kItems))),
              SubmitStatus::kAccepted);
    log.faults.rejects = is_rejected_text;
  }
  void add(std::uint32_t item, const std::string& text) {
    writer.add({make_job_key(kHost, "j"), item, ItemState::kCompleted, text});
  }
  /// Runs all handlers that are ready; time does not pass.
  void settle() {
    loop.restart();
    while (loop.poll() > 0) {
    }
  }
  void run_until_durable(std::size_t count) {
    loop.restart();
    while (durable.size() < count && loop.run_one() > 0) {
    }
  }
  std::vector<ListedResult> listed_results() {
    const JobKey key = make_job_key(kHost, "j");
    EXPECT_EQ(run_awaitable(loop, store.refresh_results(key)), LogStatus::kOk);
    return store.results_of(key).listed();
  }

  asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;
  FaultyRecordLog log;
  JobStore store;
  std::set<std::uint32_t> durable;
  ResultWriter writer;
};

/// Bisecting 64 results takes 6 rejections, and the limit of the batches then grows again.
TEST_F(ResultWriterTest, ResultsBesideARejectedOneAreWrittenAtOnceWithFewCalls) {
  constexpr int kMaxAppends = 24;
  for (std::uint32_t item = 0; item < kItems; ++item) {
    add(item, item == kItems / 2 ? kRejectedText : "text");
  }
  const int appends_before = log.appends;
  settle();
  EXPECT_EQ(durable.size(), kItems - 1);
  EXPECT_FALSE(durable.contains(kItems / 2));
  EXPECT_LE(log.appends - appends_before + log.rejected_appends, kMaxAppends);
  EXPECT_EQ(writer.pending(), 1U);
}

TEST_F(ResultWriterTest, ResultsThatArriveAfterARejectedOneAreWrittenAtOnce) {
  add(0, kRejectedText);
  settle();
  for (std::uint32_t item = 1; item < kItems; ++item) add(item, "text");
  settle();
  EXPECT_EQ(durable.size(), kItems - 1);
}

TEST_F(ResultWriterTest, AllResultsOfARejectingLogWaitApartAndNoneIsLost) {
  for (std::uint32_t item = 0; item < kItems; ++item) add(item, kRejectedText);
  settle();
  EXPECT_TRUE(durable.empty());
  EXPECT_EQ(writer.pending(), kItems);
  log.faults.rejects = nullptr;
  run_until_durable(kItems);
  EXPECT_EQ(durable.size(), kItems);
  EXPECT_EQ(writer.pending(), 0U);
  EXPECT_EQ(listed_results().size(), kItems);
}

/// A rejection need not be final: the log may have been replaced or its settings reloaded.
TEST_F(ResultWriterTest, RejectedResultIsWrittenWholeOnceTheLogTakesIt) {
  add(3, kRejectedText);
  settle();
  EXPECT_TRUE(durable.empty());
  log.faults.rejects = nullptr;
  run_until_durable(1);
  const auto listed = listed_results();
  ASSERT_EQ(listed.size(), 1U);
  EXPECT_EQ(listed[0].item, 3U);
  EXPECT_EQ(listed[0].state, ItemState::kCompleted);
  EXPECT_EQ(listed[0].text, kRejectedText);
}

TEST_F(ResultWriterTest, RejectedResultIsDroppedIfItIsNotNeededAnyMore) {
  MemoryBudget budget;
  writer.charge_to(budget);
  writer.set_rejection_handler([](ItemResult&) { return RejectedResultAction::kDrop; });
  add(3, kRejectedText);
  EXPECT_GT(budget.used(MemoryAccount::kJobResults), 0U);
  settle();
  EXPECT_EQ(writer.pending(), 0U);
  EXPECT_EQ(budget.used(MemoryAccount::kJobResults), 0U);
  EXPECT_TRUE(durable.empty());
}

TEST_F(ResultWriterTest, ReplacementOfARejectedResultIsWritten) {
  MemoryBudget budget;
  writer.charge_to(budget);
  writer.set_rejection_handler([](ItemResult& result) {
    result.state = ItemState::kDeadLettered;
    result.text.clear();
    return RejectedResultAction::kRetry;
  });
  add(3, kRejectedText);
  run_until_durable(1);
  const auto listed = listed_results();
  ASSERT_EQ(listed.size(), 1U);
  EXPECT_EQ(listed[0].state, ItemState::kDeadLettered);
  EXPECT_EQ(budget.used(MemoryAccount::kJobResults), 0U);
}

/// No answer says nothing about a record: the batch stays whole and in order.
TEST_F(ResultWriterTest, UnansweredAppendsKeepTheirBatch) {
  add(0, "first");
  add(1, "second");
  log.faults.drop_appends = 2;
  run_until_durable(2);
  const auto listed = listed_results();
  ASSERT_EQ(listed.size(), 2U);
  EXPECT_EQ(listed[0].text, "first");
}

}  // namespace
}  // namespace stoathold
