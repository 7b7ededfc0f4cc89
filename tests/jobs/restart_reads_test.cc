#include <numeric>

#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

constexpr std::size_t kOpenJobs = 8;
/// Items of each open job that have a result, and as many that have progress, half a result long.
constexpr std::size_t kListedItems = 2;
constexpr std::uint64_t kProgressBytes = kResultBytes / 2;
constexpr std::size_t kItemsToPlace = kOpenJobs * (kJobItems - kListedItems);
/// What the open jobs have in the log.
constexpr std::uint64_t kOpenBytes =
    kOpenJobs * (kRequestsBytes + kListedItems * (kResultBytes + kProgressBytes));
/// Reads of items' requests that may be under way at once: one waits for the log while another is
/// on the link.
constexpr int kMaxConcurrentReads = 2;
/// Reads of one job's results and progress, and of each request by its place and then by its key.
constexpr std::size_t kCallsOfAnOpenJob = 2 + 2 * kJobItems;

/// What a node read until all open items had reached a runner.
struct RestartReads {
  std::uint64_t listing_bytes = 0;  ///< Of the partitions that list the jobs.
  std::uint64_t other_bytes = 0;
};

/// Nodes that take up what others left behind.
class RestartReadsTest : public JobReadsFixture {
 protected:
  /// Has a node run jobs until it has marked all of them finished, and leave.
  void finish_jobs(JobNode& node, const std::vector<std::size_t>& numbers) {
    for (const std::size_t number : numbers) submit(node, make_job(number));
    node.run_jobs(add_runner(result_answer()));
    run_until([&] { return node.finished_jobs() == numbers.size(); });
    run(node.runner.stop());
    settle();
  }
  /// Submits a job of which some items are listed, and some have begun.
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
  /// Leaves open jobs behind that lie between finished ones in the order of the keys; all nodes
  /// are gone, and the history is forgotten.
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
  /// Begins with an empty log.
  void clear_log() { model = std::make_shared<emulator::LogModel>(); }
  /// Starts a node and runs until all open items have reached a runner.
  RestartReads place_open_items() {
    JobNode& node = add_node("after");
    const ScriptedRunner& runner = add_runner(impossible_answer());
    node.run_jobs(runner);
    run_until([&] { return runner.requests.size() >= kItemsToPlace; });
    return {node.log.read_of(kJobsTopic).bytes, node.log.reads_of_other_topics(kJobsTopic).bytes};
  }
  /// Leaves finished jobs behind.
  void leave_finished_jobs(std::size_t jobs) {
    std::vector<std::size_t> numbers(jobs);
    std::iota(numbers.begin(), numbers.end(), 0);
    finish_jobs(add_node("before"), numbers);
  }
  /// Starts a node that leaves once it knows of so many finished jobs.
  /// @return calls of its reads beside the list of jobs.
  std::size_t calls_until_finished(std::size_t jobs) {
    JobNode& node = add_node("after");
    node.run_jobs(add_runner(impossible_answer()));
    run_until([&] { return node.finished_jobs() == jobs; });
    settle();
    run(node.runner.stop());
    return node.log.reads_of_other_topics(kJobsTopic).calls;
  }
};

/// After a loss of all nodes, accepted items were neither done nor dead at the end of the day, and
/// no node worked on them. Before a node works on an item it reads its job and its request, and by
/// then the log has forgotten its history: it answers by key, and knows where to begin, not where
/// to stop. So a read of one job or one item brings up to 1 MB of others, and jobs that finished
/// long before are read as well. Here 8 open jobs have 1.5 MB in the log. With 20 finished jobs
/// beside them the node reads 32.0 MB until the last open item is at a runner: 24.6 MB for
/// requests, 7.1 MB for results, 0.3 MB for progress. With 200 it reads 248.9 MB: 62.5 MB for
/// requests, 185.2 MB for results, 1.2 MB for progress. As base64 on 30 Mbit/s, the link of a small
/// machine, that is 88 s.
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
  // Not a share of what has finished: that is ten times as much now.
  EXPECT_LE(2 * many.other_bytes, 3 * few.other_bytes);
}

/// After such a loss a node reads the requests of all items that it may run, up to 256, at once.
/// Here 64 reads are under way together, and bring 24.6 MB for 1 MB of requests. A page of 1 MB
/// takes 0.37 s on 30 Mbit/s and must come within 1 s: of three or more full ones at once none
/// comes in time, and each is asked for again.
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

/// After a loss of all nodes 169 jobs were begun within 10 ms, of which 155 had finished before: a
/// node that replays the jobs comes to the submission, begins the job, and the mark that it has
/// finished, which follows, stops nothing. Its results and progress are read in the order of the
/// log, two jobs at a time, while those of open jobs wait; the first item was done 3.2 s after the
/// start. Here 20 finished jobs cost 40 reads beside those of one open job: 52 in all with the
/// history, and 62 without it.
///
///     job_started  job=...  items=10
///     job_loaded   job=...  listed=10
TEST_F(RestartReadsTest, FinishedJobsAreNotReadWhenTheHistoryIsReplayed) {
  constexpr std::size_t kFinished = 20;
  leave_finished_jobs(kFinished);
  EXPECT_EQ(calls_until_finished(kFinished), 0U);
  // Nor later, while a job that was submitted last is run.
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
