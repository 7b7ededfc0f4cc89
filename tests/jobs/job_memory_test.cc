// Jobs at a node whose memory is short: reads wait, caches are dropped, nothing accepted is lost.
#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

class JobMemoryTest : public JobReadsFixture {
 protected:
  /// Runs the loop until so many jobs are finished.
  void run_until_finished(JobNode& node, std::size_t jobs) {
    const TimePoint end = monotonic_now() + std::chrono::seconds(40);
    loop.restart();
    while (node.finished_jobs() < jobs && monotonic_now() < end) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
    ASSERT_EQ(node.finished_jobs(), jobs);
  }
};

// The rest of the process holds all that there is: one request at a time is read all the same.
TEST_F(JobMemoryTest, JobsMakeProgressWithoutFreeMemory) {
  JobNode& node = add_node("node");
  MemoryBudget& memory = *node.context.memory;
  constexpr std::uint64_t kBudget = 10'000'000;
  memory.set_limit(kBudget);
  const MemoryReservation others = memory.charge(MemoryAccount::kAnswers, kBudget);
  constexpr std::size_t kJobs = 8;
  for (std::size_t number = 1; number <= kJobs; ++number) submit(node, make_job(number));
  node.run_jobs(add_runner(result_answer()));
  run_until_finished(node, kJobs);
  EXPECT_EQ(memory.used(MemoryAccount::kJobRequests), 0U);
  EXPECT_EQ(memory.used(MemoryAccount::kJobResults), 0U);
  // Two reads are under way at a time, and each brings the requests of one job, counted twice, with
  // their paths.
  constexpr double kPaths = 1.1;
  EXPECT_LE(static_cast<double>(memory.peak(MemoryAccount::kJobRequests)),
            kPaths * 2 * 2 * kRequestsBytes);
}

// What is dropped is read again, with each result at its position.
TEST_F(JobMemoryTest, ResultsOfFinishedJobsAreDroppedAndReadAgain) {
  JobNode& node = add_node("node");
  MemoryBudget& memory = *node.context.memory;
  submit(node, make_job(1));
  node.run_jobs(add_runner(result_answer()));
  run_until_finished(node, 1);
  const JobKey key = make_job_key(kHost, job_id(1));
  ResultPage page = run_awaitable(loop, node.store.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  std::vector<std::uint32_t> positions;
  for (const auto& result : page.results->listed()) positions.push_back(result.item);
  ASSERT_EQ(positions.size(), kJobItems);
  EXPECT_GE(memory.used(MemoryAccount::kListedResults), kResultsBytes);

  constexpr std::uint64_t kBudget = 1000;
  memory.set_limit(kBudget);
  node.store.drop_erased_jobs();
  EXPECT_EQ(memory.used(MemoryAccount::kListedResults), 0U);
  page = run_awaitable(loop, node.store.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  std::vector<std::uint32_t> positions_again;
  for (const auto& result : page.results->listed()) positions_again.push_back(result.item);
  EXPECT_EQ(positions_again, positions);
}

// A job that is not finished is needed as it is: positions are told to its readers.
TEST_F(JobMemoryTest, ResultsOfOpenJobsAreKept) {
  JobNode& node = add_node("node");
  submit(node, make_job(1));
  write_results(node, 1, {3, 1});
  const JobKey key = make_job_key(kHost, job_id(1));
  const ResultPage page = run_awaitable(loop, node.store.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  constexpr std::uint64_t kBudget = 1000;
  node.context.memory->set_limit(kBudget);
  node.store.drop_erased_jobs();
  EXPECT_GE(node.context.memory->used(MemoryAccount::kListedResults), 2 * kResultBytes);
}

}  // namespace
}  // namespace stoathold
