#include <numeric>

#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

/// Bytes read for one job among many.
class OneJobReadsTest : public JobReadsFixture {
 protected:
  /// Submits jobs and writes results for their first `listed` items; marks a job finished if all of
  /// its items have results.
  void submit_listed(JobNode& node, const std::vector<std::size_t>& numbers, std::size_t listed) {
    std::vector<std::uint32_t> items(listed);
    std::iota(items.begin(), items.end(), 0);
    for (const std::size_t number : numbers) {
      submit(node, make_job(number));
      write_results(node, number, items);
      if (listed < kJobItems) continue;
      const JobKey key = make_job_key(kHost, job_id(number));
      EXPECT_EQ(run_awaitable(loop, node.store.mark(kHost, JobRecordKind::kFinished, key, "1")),
                LogStatus::kOk);
    }
  }
};

/// Callers poll each open job about twice a second, at any node. Guards against polls that read
/// again the results after the first unlisted item, in pages that are filled up to 1 MB with
/// results of other jobs. 20 polls of a job with 240 kB of results, each after one new result,
/// transfer 10.6 MB in that case, 44 times the results, while all nodes of the second region share
/// a link of 60 Mbit/s for these reads.
TEST_F(OneJobReadsTest, PollingCallerReadsEachResultAboutOnce) {
  constexpr std::size_t kOthers = 100;
  constexpr std::size_t kPolledJob = kOthers / 2;
  constexpr std::uint32_t kPolledItems = 20;
  JobNode& worker = add_node("worker");
  std::vector<std::size_t> others;
  for (std::size_t number = 0; number <= kOthers; ++number) {
    if (number != kPolledJob) others.push_back(number);
  }
  submit_listed(worker, others, kJobItems / 2);
  submit(worker, make_job(kPolledJob, kPolledItems));
  model->drop_history();

  JobNode& asked = add_node("asked");
  const JobKey key = make_job_key(kHost, job_id(kPolledJob));
  for (std::uint32_t poll = 0; poll < kPolledItems; ++poll) {
    // Each item has one result, that of the first item in the second half of the polls.
    const std::uint32_t item = (7 * poll + 3) % kPolledItems;
    write_results(worker, kPolledJob, {item});
    const ResultPage page =
        run_awaitable(loop, asked.store.read_results(kHost, key, poll, Duration{0}));
    ASSERT_EQ(page.status, LookupStatus::kFound);
    ASSERT_EQ(page.results->listed().size(), poll + 1);
    EXPECT_EQ(page.results->listed().back().item, item);
  }
  EXPECT_LE(asked.log.reads_of_other_topics(kJobsTopic).bytes, 3 * kPolledItems * kResultBytes);
}

/// Guards against reading other jobs to erase one. A read of the keys of a job returns their values
/// too, and the page is filled up to 1 MB with other jobs, once for requests and once for results:
/// the erasure of one of 200 jobs with 270 kB each reads 2.1 MB in that case. A fleet erases as
/// many jobs as it accepts.
TEST_F(OneJobReadsTest, ErasingAJobReadsNoOtherJobs) {
  constexpr std::size_t kJobs = 200;
  constexpr std::size_t kErasedJob = 20;
  JobNode& worker = add_node("worker");
  std::vector<std::size_t> numbers(kJobs);
  std::iota(numbers.begin(), numbers.end(), 0);
  submit_listed(worker, numbers, kJobItems);
  model->drop_history();

  JobNode& eraser = add_node("eraser");
  const JobKey key = make_job_key(kHost, job_id(kErasedJob));
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, eraser.store.find(kHost, key, job)), LookupStatus::kFound);
  const std::vector<PartitionName> partitions{eraser.store.partition_of(JobData::kRequests, key),
                                              eraser.store.partition_of(JobData::kResults, key)};
  run(eraser.store.erase(kHost, key));
  EXPECT_LE(eraser.log.reads_of_other_topics(kJobsTopic).bytes,
            3 * (kRequestsBytes + kResultsBytes));

  JobNode& other = add_node("other");
  EXPECT_EQ(run_awaitable(loop, other.store.find(kHost, key, job)), LookupStatus::kAbsent);
  for (const PartitionName& partition : partitions) {
    EXPECT_TRUE(model->read_newest(partition, job_key_range(key)).records.empty());
  }
}

}  // namespace
}  // namespace stoathold
