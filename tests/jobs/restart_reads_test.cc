#include <numeric>

#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

constexpr std::size_t kOpenJobs = 8;
/// Items of each open job that have a result. As many have progress, with half the text of a
/// result.
constexpr std::size_t kListedItems = 2;
constexpr std::uint64_t kProgressBytes = kResultBytes / 2;
constexpr std::size_t kItemsToPlace = kOpenJobs * (kJobItems - kListedItems);
/// Bytes of the open jobs in the log.
constexpr std::uint64_t kOpenBytes =
    kOpenJobs * (kRequestsBytes + kListedItems * (kResultBytes + kProgressBytes));
/// Maximum concurrent reads of requests: one waits for the log while another uses the link.
constexpr int kMaxConcurrentReads = 2;
/// Reads of the results and the progress of one job, and of each request by offset and then by key.
constexpr std::size_t kCallsOfAnOpenJob = 2 + 2 * kJobItems;

/// Bytes that a node read until all open items reached a runner.
struct RestartReads {
  std::uint64_t listing_bytes = 0;  ///< Of the jobs topic.
  std::uint64_t other_bytes = 0;
};

/// Nodes that start jobs which other nodes left in the log.
class RestartReadsTest : public JobReadsFixture {
 protected:
  /// Runs jobs on a node until it has marked all of them finished, then stops the node.
  void finish_jobs(JobNode& node, const std::vector<std::size_t>& numbers) {
    for (const std::size_t number : numbers) submit(node, make_job(number));
    node.run_jobs(add_runner(result_answer()));
    run_until([&] { return node.finished_jobs() == numbers.size(); });
    run(node.runner.stop());
    settle();
  }
  /// Submits a job of which some items have results and some have progress.
  void submit_started(JobNode& node, std::size_t number) {
    submit(node, make_job(number));
    write_results(node, number, {0, kJobItems - 1});
    const JobKey key = make_job_key(kHost, job_id(number));
    std::vector<KeyedRecord> progress;
    for (const std::uint32_t item : {1U, 2U}) {
      const ItemProgress begun{key, item, 0, 1, std::string(kProgressBytes, 'p')};
      progress.push_back({progress_record_key(key, item), encode(begun)});
    }
    const PartitionName partition = node.store.partition_of(JobData::kProgress, key);
    EXPECT_EQ(run_awaitable(loop, node.store.append_records(partition, progress)), LogStatus::kOk);
  }
  /// Leaves open jobs in the log, spread between finished ones in key order, with no node running
  /// and the history of the log truncated.
  void leave_open_and_finished_jobs(std::size_t finished_jobs) {
    const std::size_t spacing = finished_jobs / kOpenJobs + 1;
    std::vector<std::size_t> finished;
    std::vector<std::size_t> open;
    for (std::size_t number = 0; number < finished_jobs + kOpenJobs; ++number) {
      const bool is_open = number % spacing == 0 && open.size() < kOpenJobs;
      (is_open ? open : finished).push_back(number);
    }
    JobNode& before = add_node("before");
    finish_jobs(before, finished);
    for (const std::size_t number : open) submit_started(before, number);
    model->drop_history();
  }
  /// Replaces the log by an empty one.
  void clear_log() { model = std::make_shared<emulator::LogModel>(); }
  /// Starts a node and runs it until all open items have reached a runner.
  RestartReads place_open_items() {
    JobNode& node = add_node("after");
    const ScriptedRunner& runner = add_runner(impossible_answer());
    node.run_jobs(runner);
    run_until([&] { return runner.requests.size() >= kItemsToPlace; });
    return {node.log.reads_of_topics(kJobsTopic).bytes,
            node.log.reads_of_other_topics(kJobsTopic).bytes};
  }
  /// Leaves finished jobs in the log.
  void leave_finished_jobs(std::size_t jobs) {
    std::vector<std::size_t> numbers(jobs);
    std::iota(numbers.begin(), numbers.end(), 0);
    finish_jobs(add_node("before"), numbers);
  }
  /// Starts a node and stops it once it knows of `jobs` finished jobs.
  /// @return the number of its reads of topics other than the jobs topic.
  std::size_t calls_until_finished(std::size_t jobs) {
    JobNode& node = add_node("after");
    node.run_jobs(add_runner(impossible_answer()));
    run_until([&] { return node.finished_jobs() == jobs; });
    settle();
    run(node.runner.stop());
    return node.log.reads_of_other_topics(kJobsTopic).calls;
  }
};

/// Guards against a restart that reads much more than the open jobs, so that accepted items are
/// never run. Once its history is truncated, the log answers reads by key in pages that have a
/// start but no end: a read of one job or item returns up to 1 MB of other jobs, and finished jobs
/// are read as well. Here 8 open jobs have 1.5 MB in the log. In the faulty case a node reads 32.0
/// MB beside 20 finished jobs until the last open item reaches a runner (24.6 MB for requests, 7.1
/// MB for results, 0.3 MB for progress), and 248.9 MB beside 200 (62.5 MB, 185.2 MB and 1.2 MB). As
/// base64 on 30 Mbit/s, the link of a small machine, that takes 88 s.
TEST_F(RestartReadsTest, RestartReadsOnlyTheDataOfOpenJobs) {
  leave_open_and_finished_jobs(20);
  const RestartReads few = place_open_items();
  EXPECT_LE(few.listing_bytes, 2 * listing_bytes());
  EXPECT_LE(few.other_bytes, 3 * kOpenBytes);

  clear_log();
  leave_open_and_finished_jobs(200);
  const RestartReads many = place_open_items();
  EXPECT_LE(many.listing_bytes, 2 * listing_bytes());
  EXPECT_LE(many.other_bytes, 3 * kOpenBytes);
  // The bytes read do not grow with the finished jobs, of which there are ten times as many now.
  EXPECT_LE(2 * many.other_bytes, 3 * few.other_bytes);
}

/// Guards against reading the requests of all items that may run, up to 256, at once. In this test
/// that makes 64 concurrent reads, which return 24.6 MB for 1 MB of requests. A page of 1 MB takes
/// 0.37 s on 30 Mbit/s and times out after 1 s: of three or more concurrent full pages none arrives
/// in time, and each is requested again.
TEST_F(RestartReadsTest, RequestsAreReadWithLimitedConcurrency) {
  leave_open_and_finished_jobs(20);
  JobNode& node = add_node("after");
  node.log.hold_reads("job-bodies");
  const ScriptedRunner& runner = add_runner(impossible_answer());
  node.run_jobs(runner);
  run_until([&] {
    node.log.release();
    settle();
    return runner.requests.size() >= kItemsToPlace;
  });
  EXPECT_GT(node.log.max_held(), 0);
  EXPECT_LE(node.log.max_held(), kMaxConcurrentReads);
}

/// Guards against starting finished jobs while the log is replayed: a node that starts a job at its
/// submission has queued its reads when the finished mark follows, and the results and progress of
/// finished jobs are then read, two jobs at a time, before those of open jobs. After a restart of
/// all nodes 169 jobs were started within 10 ms, of which 155 had finished, and the first item was
/// completed 3.2 s after the start. In this test 20 finished jobs cost 40 additional reads in that
/// case: 52 in total with the history, and 62 without it. The log then shows:
///
///     job_started  job=...  items=10
///     job_loaded   job=...  listed=10
TEST_F(RestartReadsTest, FinishedJobsAreNotReadWhenTheHistoryIsReplayed) {
  constexpr std::size_t kFinished = 20;
  leave_finished_jobs(kFinished);
  EXPECT_EQ(calls_until_finished(kFinished), 0U);
  // They are not read later either, while a job that was submitted last is run.
  submit(add_node("submitter"), make_job(kFinished));
  EXPECT_LE(calls_until_finished(kFinished + 1), kCallsOfAnOpenJob);
}

TEST_F(RestartReadsTest, FinishedJobsAreNotReadAfterHistoryTruncation) {
  constexpr std::size_t kFinished = 20;
  leave_finished_jobs(kFinished);
  model->drop_history();
  EXPECT_EQ(calls_until_finished(kFinished), 0U);
  submit(add_node("submitter"), make_job(kFinished));
  model->drop_history();
  EXPECT_LE(calls_until_finished(kFinished + 1), kCallsOfAnOpenJob);
}

}  // namespace
}  // namespace stoathold
