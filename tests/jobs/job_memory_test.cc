// Jobs at a node with little free memory: reads wait, caches are dropped, no accepted job is lost.
#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

class JobMemoryTest : public JobReadsFixture {
 protected:
  /// Runs the loop until the node knows of `jobs` finished jobs; fails after 40 s.
  void run_until_finished(JobNode& node, std::size_t jobs) {
    const TimePoint end = monotonic_now() + std::chrono::seconds(40);
    loop.restart();
    while (node.finished_jobs() < jobs && monotonic_now() < end) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
    ASSERT_EQ(node.finished_jobs(), jobs);
  }
};

// Requests are read, a few at a time, even if the rest of the process uses the whole budget.
TEST_F(JobMemoryTest, JobsMakeProgressWithoutFreeMemory) {
  JobNode& node = add_node("node");
  MemoryBudget& memory = *node.context.memory;
  constexpr std::uint64_t kBudget = 10'000'000;
  memory.set_limit(kBudget);
  const MemoryReservation others = memory.charge(MemoryAccount::kResponses, kBudget);
  constexpr std::size_t kJobs = 8;
  for (std::size_t number = 1; number <= kJobs; ++number) submit(node, make_job(number));
  node.run_jobs(add_runner(result_answer()));
  run_until_finished(node, kJobs);
  EXPECT_EQ(memory.used(MemoryAccount::kJobRequests), 0U);
  EXPECT_EQ(memory.used(MemoryAccount::kJobResults), 0U);
  // At most two reads are in flight. Each returns the requests of one job, which are charged twice
  // and include their paths.
  constexpr double kPaths = 1.1;
  EXPECT_LE(static_cast<double>(memory.peak(MemoryAccount::kJobRequests)),
            kPaths * 2 * 2 * kRequestsBytes);
}

// Dropped results are read again on demand, and each has the same position as before.
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
  EXPECT_GE(memory.used(MemoryAccount::kCachedResults), kResultsBytes);

  constexpr std::uint64_t kBudget = 1000;
  memory.set_limit(kBudget);
  node.store.drop_erased_jobs();
  EXPECT_EQ(memory.used(MemoryAccount::kCachedResults), 0U);
  page = run_awaitable(loop, node.store.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  std::vector<std::uint32_t> positions_again;
  for (const auto& result : page.results->listed()) positions_again.push_back(result.item);
  EXPECT_EQ(positions_again, positions);
}

// Results of an open job must stay in memory: callers have already been given their positions.
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
  EXPECT_GE(node.context.memory->used(MemoryAccount::kCachedResults), 2 * kResultBytes);
}

}  // namespace
}  // namespace stoathold
