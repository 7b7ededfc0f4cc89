// Finding jobs of hosts that no node's configuration names: when, and with how many reads.
#include "jobs/job_discovery.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <cstdio>
#include <memory>
#include <set>

#include "tests/jobs/batch_jobs.h"
#include "tests/jobs/paged_record_log.h"
#include "tests/jobs/run_awaitable.h"
#include "tests/jobs/virtual_clock.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

constexpr const char* kHost = "retired.example";
constexpr Duration kStep = std::chrono::milliseconds(20);
/// Reads of all nodes together, per second.
constexpr double kMaxReadsPerSecond = 100;

/// A node that holds some of the slots.
struct DiscoveringNode {
  DiscoveringNode(asio::io_context& loop, const std::shared_ptr<emulator::LogModel>& model,
                  const std::string& name, double share)
      : held_share(share),
        log(model, loop.get_executor()),
        store(loop.get_executor(), log, name),
        discovery(loop.get_executor(), store, [this] { return held_share; }) {
    store.set_listener([this](const JobKey& key, const JobEntry& job) {
      if (job.open()) open_jobs.insert(key);
    });
    asio::co_spawn(loop, discovery.run([] { return true; }), asio::detached);
  }
  [[nodiscard]] std::size_t reads() const { return log.reads_of_topics(kJobsTopic).calls; }

  double held_share;
  PagedRecordLog log;
  JobStore store;
  std::multiset<JobKey> open_jobs;  ///< One entry for each call of the listener.
  JobDiscovery discovery;
};

class JobDiscoveryTest : public testing::Test {
 protected:
  JobDiscoveryTest() : model(std::make_shared<emulator::LogModel>()) {}

  /// Adds nodes that hold all slots together; beyond the number of slots, nodes hold none.
  void add_nodes(std::size_t count) {
    const std::size_t holders = std::min<std::size_t>(count, store_limits().group_slots);
    for (std::size_t i = 0; i < count; ++i) {
      const double share = i < holders ? 1.0 / static_cast<double>(holders) : 0.0;
      nodes.push_back(std::make_unique<DiscoveringNode>(loop, model, std::to_string(i), share));
    }
  }
  DiscoveringNode& add_node(const std::string& name, double share) {
    nodes.push_back(std::make_unique<DiscoveringNode>(loop, model, name, share));
    return *nodes.back();
  }
  /// A job that a node accepts whose configuration still has the route.
  void submit(const std::string& id) {
    PagedRecordLog log(model, loop.get_executor());
    JobStore store(loop.get_executor(), log, "accepting " + id);
    EXPECT_EQ(run_awaitable(loop, store.submit(make_batch_job(kHost, id, 1))),
              SubmitStatus::kAccepted);
  }
  void run_for(Duration length) {
    const TimePoint end = monotonic_now() + length;
    while (monotonic_now() < end) {
      advance_clock(kStep);
      // The event loop looks at its timers only when a timer of the steady clock is due.
      asio::steady_timer tick(loop, Duration{0});
      bool ticked = false;
      tick.async_wait([&](const boost::system::error_code&) { ticked = true; });
      loop.restart();
      while (!ticked) loop.run_one();
      while (loop.poll() > 0) {
      }
    }
  }
  [[nodiscard]] std::size_t reads() const {
    std::size_t sum = 0;
    for (const auto& node : nodes) sum += node->reads();
    return sum;
  }
  [[nodiscard]] std::size_t nodes_that_know(const std::string& id) const {
    std::size_t count = 0;
    for (const auto& node : nodes) count += node->open_jobs.count(make_job_key(kHost, id));
    return count;
  }

  asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;
  std::vector<std::unique_ptr<DiscoveringNode>> nodes;
};

class JobDiscoveryFleetTest : public JobDiscoveryTest,
                              public testing::WithParamInterface<std::size_t> {};

/// All nodes start at once. Each slot holder reads every partition once, all together at a limited
/// rate.
TEST_P(JobDiscoveryFleetTest, ReadsOfAllNodesTogetherAreLimited) {
  submit("j");
  add_nodes(GetParam());
  const std::size_t holders = std::min<std::size_t>(GetParam(), store_limits().group_slots);
  const std::size_t first_pass = holders * store_limits().partitions;
  const double pass_seconds = static_cast<double>(first_pass) / kMaxReadsPerSecond;
  std::size_t before = 0;
  std::size_t most = 0;
  for (int second = 0; second < 1 + static_cast<int>(2 * pass_seconds); ++second) {
    run_for(seconds(1));
    most = std::max(most, reads() - before);
    before = reads();
  }
  EXPECT_EQ(nodes_that_know("j"), holders);
  EXPECT_GE(reads(), first_pass);
  // Reads at the edges of a second: at most one more by each node.
  EXPECT_LE(static_cast<double>(most), kMaxReadsPerSecond + static_cast<double>(holders));
  std::printf("reads: %zu in all, %zu in the busiest second\n", reads(), most);
}

INSTANTIATE_TEST_SUITE_P(Nodes, JobDiscoveryFleetTest, testing::Values(1, 11, 89, 300));

/// An empty topic costs each node one read of each partition in five minutes in the end.
TEST_F(JobDiscoveryTest, EmptyPartitionsAreReadEverLessOften) {
  DiscoveringNode& node = add_node("node", 1);
  const std::size_t partitions = store_limits().partitions;
  run_for(seconds(1));
  EXPECT_EQ(node.reads(), partitions);
  run_for(std::chrono::minutes(10));
  const std::size_t before = node.reads();
  EXPECT_LE(before, 7 * partitions);
  run_for(std::chrono::minutes(10));
  EXPECT_LE(node.reads() - before, 2 * partitions);
}

TEST_F(JobDiscoveryTest, JobAcceptedAfterTheFirstReadIsFound) {
  add_nodes(11);
  run_for(seconds(5));
  submit("soon");
  run_for(seconds(20));
  EXPECT_EQ(nodes_that_know("soon"), 11U);
  run_for(std::chrono::minutes(20));
  submit("late");
  run_for(std::chrono::minutes(6));
  EXPECT_EQ(nodes_that_know("late"), 11U);
}

TEST_F(JobDiscoveryTest, JobIsFoundAfterTheLogHasDroppedItsHistory) {
  submit("j");
  model->drop_history();
  add_nodes(3);
  run_for(seconds(3));
  EXPECT_EQ(nodes_that_know("j"), 3U);
}

TEST_F(JobDiscoveryTest, JobIsFoundOnceTheLogAnswers) {
  submit("j");
  DiscoveringNode& node = add_node("node", 1);
  node.log.set_unavailable(true);
  run_for(seconds(30));
  EXPECT_EQ(nodes_that_know("j"), 0U);
  // With backoff, a log that is away gets few calls.
  EXPECT_LE(node.reads(), 60U);
  node.log.set_unavailable(false);
  run_for(seconds(3));
  EXPECT_EQ(nodes_that_know("j"), 1U);
}

TEST_F(JobDiscoveryTest, PartitionThatCannotBeReadDoesNotHoldUpTheOthers) {
  submit("j");
  const std::uint32_t partition = jobs_partition(kHost, store_limits().partitions);
  for (std::uint32_t other = 0; other < store_limits().partitions; ++other) {
    if (other == partition) continue;
    DiscoveringNode& node = add_node("node" + std::to_string(other), 1);
    node.log.set_unavailable(PartitionName{kJobsTopic, other});
  }
  run_for(seconds(5));
  EXPECT_EQ(nodes_that_know("j"), store_limits().partitions - 1);
}

TEST_F(JobDiscoveryTest, NodeWithoutSlotsReadsNothingUntilItHoldsSome) {
  submit("j");
  DiscoveringNode& node = add_node("node", 0);
  run_for(seconds(30));
  EXPECT_EQ(node.reads(), 0U);
  node.held_share = 0.5;
  run_for(seconds(2));
  EXPECT_EQ(nodes_that_know("j"), 1U);
}

/// The route may come back under its host: the partition is then followed, and not read twice.
TEST_F(JobDiscoveryTest, JobOfAHostThatIsFollowedLaterIsReportedOnce) {
  submit("j");
  DiscoveringNode& node = add_node("node", 1);
  run_for(seconds(2));
  EXPECT_EQ(nodes_that_know("j"), 1U);
  node.store.follow_host(kHost);
  run_for(seconds(2));
  EXPECT_EQ(nodes_that_know("j"), 1U);
  submit("next");
  run_for(seconds(3));
  EXPECT_EQ(nodes_that_know("next"), 1U);
}

/// Other nodes take part in the reads of followed partitions only: a node of an older version has
/// not read the others.
TEST_F(JobDiscoveryTest, UnfollowedPartitionsAreNotSharedWithOtherNodes) {
  submit("j");
  DiscoveringNode& node = add_node("node", 1);
  std::size_t shared = 0;
  node.store.set_replica_sharer(
      [&](const std::shared_ptr<PartitionReplica>&, TopicCache&) { ++shared; });
  run_for(seconds(2));
  EXPECT_EQ(nodes_that_know("j"), 1U);
  EXPECT_EQ(shared, 0U);
  node.store.follow_host(kHost);
  EXPECT_EQ(shared, 1U);
}

TEST_F(JobDiscoveryTest, CancellationIsReadWithinSeconds) {
  submit("j");
  DiscoveringNode& node = add_node("node", 1);
  run_for(seconds(2));
  PagedRecordLog log(model, loop.get_executor());
  JobStore other(loop.get_executor(), log, "other");
  const JobKey key = make_job_key(kHost, "j");
  EXPECT_EQ(run_awaitable(loop, other.cancel(kHost, key)), LogStatus::kOk);
  run_for(seconds(2));
  bool cancelled = false;
  node.store.for_each_job(
      [&](const JobKey&, const JobEntry& job) { cancelled = cancelled || job.cancelled; });
  EXPECT_TRUE(cancelled);
}

}  // namespace
}  // namespace stoathold
