#include "tests/jobs/job_reads_fixture.h"

namespace stoathold {
namespace {

/// Bytes that all nodes together read of one job.
class FleetReadsTest : public JobReadsFixture {};

/// Each poll of a caller may reach another node, and a node's cache serves only polls that reach
/// the same node again. Guards against nodes that read all results of a job from the first one on
/// for a single poll: 20 polls of a job with 240 kB, each at another node, read 2.5 MB in that
/// case.
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
