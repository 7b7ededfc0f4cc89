#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

/// What all nodes together read of one job.
class FleetReadsTest : public JobReadsFixture {};

/// A caller's polls reach any node, and what a node has read serves only those that reach it again:
/// of 28 nodes in the second region most are asked for a job once, and read all of its results from
/// the first one on. Here 20 polls of a job with 240 kB, each at another node, bring 2.5 MB.
TEST_F(FleetReadsTest, PollsSpreadOverNodesReadEachResultAFewTimes) {
  constexpr std::uint32_t kItems = 20;
  JobNode& worker = add_node("worker");
  submit(worker, make_job(0, kItems));
  model->drop_history();
  const JobKey key = make_job_key(kHost, job_id(0));
  std::uint64_t bytes = 0;
  for (std::uint32_t poll = 0; poll < kItems; ++poll) {
    write_results(worker, 0, {poll});
    JobNode& asked = add_node("asked" + std::to_string(poll));
    const ResultPage page =
        run_awaitable(loop, asked.store.read_results(kHost, key, poll, Duration{0}));
    ASSERT_EQ(page.status, LookupStatus::kFound);
    ASSERT_EQ(page.results->listed().size(), poll + 1);
    bytes += asked.log.reads_of_other_topics(kJobsTopic).bytes;
  }
  EXPECT_LE(bytes, 3 * kItems * kResultBytes);
}

}  // namespace
}  // namespace stoathold
