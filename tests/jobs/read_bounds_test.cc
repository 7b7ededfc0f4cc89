#include <numeric>

#include "tests/jobs/append_results.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

/// What a node asks of the log at once, and what it asks for again.
class ReadBoundsTest : public JobReadsFixture {
 protected:
  /// Submits a job of which all items are listed; it isn't marked finished.
  void submit_listed(JobNode& node, NewJob job, std::size_t number) {
    std::vector<std::uint32_t> items(job.requests.size());
    std::iota(items.begin(), items.end(), 0);
    submit(node, std::move(job));
    write_results(node, number, items);
  }
  /// Writes results of a job's first items, each in one record with its text.
  void write_inline_results(JobNode& node, std::size_t number, std::uint32_t items) {
    const JobKey key = make_job_key(kHost, job_id(number));
    for (std::uint32_t item = 0; item < items; ++item) {
      const ItemResult result{key, item, ItemState::kCompleted, std::string(kResultBytes, 'r')};
      const auto make = [&] { return result_records(result, node.store.unique_name(), 0, false); };
      EXPECT_TRUE(run_awaitable(loop, append_results(node.store, key, make)));
    }
  }
  /// Has callers read a job from its start at one node, all at once.
  void poll_concurrently(JobNode& node, std::size_t number, std::size_t callers) {
    const JobKey key = make_job_key(kHost, job_id(number));
    std::size_t answered = 0;
    for (std::size_t i = 0; i < callers; ++i) {
      boost::asio::co_spawn(loop, node.store.read_results(kHost, key, 0, Duration{0}),
                            [&](const std::exception_ptr&, const ResultPage& page) {
                              answered += page.status == LookupStatus::kFound ? 1 : 0;
                            });
    }
    run_until([&] { return answered == callers; });
  }
  /// Takes up all jobs while no runner is there.
  void run_jobs_without_runners(JobNode& node) {
    node.store.follow_host(kHost);
    node.runner.start();
    // The time in which a process that has just started lets few items run is over.
    suspend_machine(std::chrono::seconds(5));
    settle();
  }
};

/// In the second region 527 of 569 calls that were handed to another node got no answer in 700 ms;
/// each is a caller's read, sent again each second, and each node that was asked read the job by
/// itself. Reads of one job that overlap at a node each bring the whole: here 20 callers make a
/// node that has just started read the list of the jobs and the job's results 20 times.
TEST_F(ReadBoundsTest, ConcurrentCallersOfOneJobShareReads) {
  constexpr std::size_t kCallers = 20;
  submit_listed(add_node("worker"), make_job(0), 0);
  model->drop_history();
  JobNode& asked = add_node("asked");
  poll_concurrently(asked, 0, kCallers);
  EXPECT_LE(asked.log.read_of(kJobsTopic).bytes, 2 * listing_bytes());
  EXPECT_LE(asked.log.reads_of_other_topics(kJobsTopic).bytes, 2 * kResultsBytes);
}

/// A read of results that failed is sent again whole, by a caller who polls as by a node that takes
/// up the job: pages that came through are thrown away. Here the last of three pages of 2.4 MB is
/// lost once, and 4.4 MB are read.
///
/// The results lie whole in their records, as those of jobs that were accepted by older nodes do.
TEST_F(ReadBoundsTest, CompletedPagesOfResultsAreNotReadAgain) {
  constexpr std::size_t kItems = 200;
  JobNode& worker = add_node("worker");
  submit(worker, make_job(0, kItems));
  write_inline_results(worker, 0, kItems);
  model->drop_history();
  JobNode& asked = add_node("asked");
  const JobKey key = make_job_key(kHost, job_id(0));
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, asked.store.find(kHost, key, job)), LookupStatus::kFound);
  asked.log.lose_page_after(2);
  EXPECT_EQ(run_awaitable(loop, asked.store.refresh_results(key)), LogStatus::kUnknown);
  EXPECT_EQ(run_awaitable(loop, asked.store.refresh_results(key)), LogStatus::kOk);
  EXPECT_EQ(asked.store.results_of(key).listed().size(), kItems);
  EXPECT_LE(2 * asked.log.reads_of_other_topics(kJobsTopic).bytes, 3 * kItems * kResultBytes);
}

/// Each partition of results has a writer of its own, and a job's results have about a partition of
/// their own: as many appends are under way as jobs have results, each of up to 2 MB, with one
/// second, and sent again whole. Over 30 Mbit/s three of these starve one another as reads did; at
/// the second region one result took 17.9 s to be written. Here 40 jobs have 40 appends at once.
TEST_F(ReadBoundsTest, ResultsOfManyJobsAreWrittenWithLimitedConcurrency) {
  constexpr std::size_t kJobs = 40;
  constexpr int kMaxConcurrentAppends = 8;
  JobNode& node = add_node("worker");
  for (std::size_t number = 0; number < kJobs; ++number) submit(node, make_job(number));
  node.log.hold_appends("job-results");
  std::size_t written = 0;
  ResultWriter writer(loop.get_executor(), node.store, [&](const ItemResult&) { ++written; });
  for (std::size_t number = 0; number < kJobs; ++number) {
    writer.add({make_job_key(kHost, job_id(number)), 0, ItemState::kCompleted,
                std::string(kResultBytes, 'r')});
  }
  while (written < kJobs) {
    settle();
    node.log.release();
  }
  settle();
  EXPECT_LE(node.log.max_held(), kMaxConcurrentAppends);
}

/// The requests of a submission are appended 512 kB at a time, each append with one second. One
/// that is late is sent again whole, so on 5 Mbit/s, where callers try several nodes at once, a job
/// with 300 kB of requests was not accepted in 30 s. Here a link carries 64 kB in that time.
TEST_F(ReadBoundsTest, AppendsOfASubmissionShrinkUntilTheyFitASlowLink) {
  constexpr std::size_t kItems = 20;
  constexpr std::uint64_t kBytesInTime = 64'000;
  JobNode& node = add_node("node");
  node.log.set_max_answered_append_bytes(kBytesInTime);
  EXPECT_EQ(run_awaitable(loop, node.store.submit(make_job(0, kItems))), SubmitStatus::kAccepted);
}

/// The requests that a node holds are bounded by their number, 64 that wait and 256 that run, which
/// includes those that wait for a place at a runner. An item may have 690 kB: a job of 200 is
/// 138 MB, and machines have as little as 160 MB. Here no runner is there, and all of the 100
/// requests, 69 MB, are held.
TEST_F(ReadBoundsTest, HeldRequestsAreLimitedByBytesWhileThereAreNoRunners) {
  constexpr std::size_t kItems = 100;
  constexpr std::size_t kLargeRequest = 690'000;
  constexpr std::uint64_t kMaxHeldBytes = 40'000'000;  // A quarter of 160 MB.
  JobNode& before = add_node("before");
  NewJob job = make_job(0, kItems);
  for (auto& request : job.requests) request.body.assign(kLargeRequest, 'a');
  submit(before, std::move(job));
  JobNode& node = add_node("after");
  run_jobs_without_runners(node);
  EXPECT_GT(node.log.read_of("job-bodies").bytes, 0U);
  EXPECT_LE(node.log.read_of("job-bodies").bytes, kMaxHeldBytes);
}

/// Once enough requests wait for their turn, nothing more is read, also of jobs that need none:
/// a job whose last result was written just before its node was lost is not marked finished as long
/// as 320 items of other jobs wait, here for a service that has no runner.
TEST_F(ReadBoundsTest, JobWithoutOpenItemsIsFinishedWhileOthersWaitForRunners) {
  constexpr std::size_t kWaitingJobItems = 200;  // As many as a job may have.
  constexpr std::size_t kListedJob = 2;
  JobNode& before = add_node("before");
  submit(before, make_job(0, kWaitingJobItems));
  submit(before, make_job(1, kWaitingJobItems));
  NewJob listed = make_job(kListedJob);
  listed.submission.submitted_ms += 1000;
  submit_listed(before, std::move(listed), kListedJob);
  JobNode& node = add_node("after");
  run_jobs_without_runners(node);
  EXPECT_EQ(node.finished_jobs(), 1U);
}

/// An item whose request isn't found is asked for again with its job, which may ask for less each
/// time, and the bytes are counted from that item on: soon it is the only one that fits, and the
/// items behind it are never read. Here one of 10 requests of 300 kB is gone, and 2 of the other 9
/// reach a runner.
TEST_F(ReadBoundsTest, MissingRequestDoesNotBlockOtherItems) {
  constexpr std::size_t kLargeRequest = 300'000;
  constexpr std::size_t kCallLimit = 40;  // 4 reads of up to 3 calls bring all.
  JobNode& before = add_node("before");
  NewJob job = make_job(0);
  for (auto& request : job.requests) request.body.assign(kLargeRequest, 'a');
  submit(before, std::move(job));
  const JobKey key = make_job_key(kHost, job_id(0));
  const PartitionName bodies = before.store.partition_of(JobData::kRequests, key);
  const std::string first_key = model->read_newest(bodies, job_key_range(key)).records.front().key;
  model->append(bodies, {{first_key, {}}}, std::nullopt);
  model->drop_history();

  JobNode& node = add_node("after");
  const ScriptedRunner& runner = add_runner(impossible_answer());
  node.run_jobs(runner);
  run_until([&] {
    const bool placed = runner.requests.size() >= kJobItems - 1;
    return placed || node.log.read_of("job-bodies").calls >= kCallLimit;
  });
  EXPECT_EQ(runner.requests.size(), kJobItems - 1);
}

/// What a read asks for is halved each time that it fails, and is the most again as soon as one
/// came through: on a link that carries a part, each part costs as many reads in vain as were
/// needed to come down to it, and other nodes are late for them. Here a job has 1.5 MB of
/// requests, of which 160 kB come in time: 13 parts take 49 reads.
TEST_F(ReadBoundsTest, ReadSizeDoesNotReturnToTheMaximumAfterOneSuccess) {
  constexpr std::size_t kItems = 100;
  // 13 parts, one read in vain for each, and some to come down.
  constexpr std::size_t kMaxCalls = 32;
  submit(add_node("before"), make_job(0, kItems));
  JobNode& node = add_node("after");
  node.log.set_max_answered_read_bytes(160'000);
  const ScriptedRunner& runner = add_runner(impossible_answer());
  node.run_jobs(runner);
  run_until([&] { return runner.requests.size() >= kItems; });
  EXPECT_LE(node.log.read_of("job-bodies").calls, kMaxCalls);
}

/// The requests of a job are appended before its submission, which may then be refused: the jobs'
/// partition cannot be written, or the job no longer fits. The newest record of a key is kept for
/// good, nobody erases a job that was never accepted, and the log takes nothing more once 400 MB
/// are kept; what lies behind a job's keys is read with them, up to 1 MB. After a loss of all nodes
/// 1060 submissions were refused.
TEST_F(ReadBoundsTest, RefusedSubmissionLeavesNoRequests) {
  FaultyRecordLog log(model, store_limits());
  JobStore store(loop.get_executor(), log, "node", quick_timing());
  log.faults.topic = kJobsTopic;
  log.faults.down = true;
  log.faults.allow_reads = true;
  ASSERT_EQ(run_awaitable(loop, store.submit(make_job(0))), SubmitStatus::kRefused);
  settle();  // The caller doesn't wait for it.
  const JobKey key = make_job_key(kHost, job_id(0));
  const PartitionName partition = store.partition_of(JobData::kRequests, key);
  EXPECT_TRUE(model->read_newest(partition, job_key_range(key)).records.empty());
}

}  // namespace
}  // namespace stoathold
