/// Directed tests on the simulated cluster: each injects one fault and checks the recovery.
#include <gtest/gtest.h>

#include "fuzz/simulated_cluster.h"

namespace stoathold::fuzz {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t owned_shard_count(const SimulatedCluster& cluster) {
  std::size_t owned = 0;
  for (std::size_t i = 0; i < cluster.node_count(); ++i) {
    if (cluster.core(i) != nullptr) owned += cluster.core(i)->shards().owned_shards();
  }
  return owned;
}

void expect_no_violations(SimulatedCluster& cluster) {
  for (const auto& violation : cluster.oracle().violations()) ADD_FAILURE() << violation;
}

TEST(RecoveryTest, EveryShardHasOneOwnerAfterStart) {
  SimulatedCluster cluster(1);
  EXPECT_EQ(owned_shard_count(cluster), cluster.core(0)->knobs().shard_count);
}

TEST(RecoveryTest, ShardsOfCrashedNodeHaveOwnersWithinFiveSeconds) {
  for (std::size_t victim = 0; victim < 5; ++victim) {
    SimulatedCluster cluster(victim + 1);
    cluster.crash(victim);
    cluster.run_for(milliseconds(5000));
    EXPECT_EQ(owned_shard_count(cluster), cluster.core((victim + 1) % 5)->knobs().shard_count)
        << victim;
  }
}

TEST(RecoveryTest, NewOwnerReplaysBoundedLogTail) {
  SimulatedCluster cluster(2);
  for (std::uint64_t key = 0; key < 200; ++key) {
    cluster.submit(0, key, 4);
    cluster.run_for(milliseconds(100));
  }
  cluster.run_for(seconds(10));
  cluster.crash(0);
  cluster.crash(1);
  cluster.run_for(seconds(8));
  const auto interval = cluster.core(2)->knobs().snapshot_interval;
  for (std::size_t i = 2; i < cluster.node_count(); ++i) {
    for (const auto& statistics : cluster.core(i)->shards().statistics()) {
      EXPECT_LE(statistics.replayed_entries, 2 * interval);
    }
  }
  cluster.finish();
  expect_no_violations(cluster);
}

TEST(RecoveryTest, NoRetryStormWhenAllEnginesRefuse) {
  SimulatedCluster cluster(3);
  for (std::size_t i = 0; i < 4; ++i) cluster.engine(i).faults().refusing = true;
  for (int i = 0; i < 1000; ++i) {
    cluster.online(static_cast<std::size_t>(i), 4, seconds(5));
    cluster.run_for(milliseconds(10));
  }
  cluster.run_for(seconds(10));
  std::uint64_t dispatches = 0;
  std::uint64_t admitted = 0;
  for (std::size_t i = 0; i < cluster.node_count(); ++i) {
    dispatches += cluster.core(i)->online().counters().dispatches;
    admitted += cluster.core(i)->online().counters().admitted;
  }
  EXPECT_EQ(admitted, 1000U);
  EXPECT_LT(static_cast<double>(dispatches), 1.2 * static_cast<double>(admitted));
}

TEST(RecoveryTest, OnlineRequestsPreemptBatch) {
  SimulatedCluster cluster(4);
  for (std::uint64_t key = 0; key < 8; ++key) cluster.submit(key, key, 60);
  cluster.run_for(seconds(3));
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 6; ++i) cluster.online(static_cast<std::size_t>(i), 6, seconds(20));
    cluster.run_for(milliseconds(400));
  }
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_LT(cluster.engine(i).longest_wait_behind_batch(), milliseconds(150)) << i;
  }
  cluster.finish();
  expect_no_violations(cluster);
}

TEST(RecoveryTest, LogOutageKeepsOnlineRequestsAndFailsNewJobs) {
  SimulatedCluster cluster(5);
  cluster.submit(0, 1, 12);
  cluster.run_for(milliseconds(300));
  cluster.log().faults().outage = true;
  cluster.run_for(seconds(6));
  cluster.submit(1, 2, 5);
  for (int i = 0; i < 50; ++i) cluster.online(static_cast<std::size_t>(i), 4, seconds(5));
  cluster.run_for(seconds(12));
  std::uint64_t completed = 0;
  for (std::size_t i = 0; i < cluster.node_count(); ++i) {
    completed += cluster.core(i)->online().counters().completed;
  }
  EXPECT_EQ(completed, 50U);
  cluster.finish();
  expect_no_violations(cluster);
}

TEST(RecoveryTest, ChangeReachesPartitionedZoneAfterHealing) {
  SimulatedCluster cluster(6);
  for (std::size_t other = 0; other < 5; ++other) {
    if (other % 3 != 1) {
      cluster.cut(1, other, true);
      cluster.cut(4, other, true);
    }
  }
  cluster.log().faults().cut_nodes = {1, 4};
  cluster.run_for(seconds(10));
  cluster.change(0, 1, 0, 5);
  cluster.run_for(seconds(3));
  cluster.heal_links();
  cluster.log().faults().cut_nodes.clear();
  cluster.run_for(seconds(6));
  const auto newest = cluster.oracle().newest_version("Service/other-1");
  EXPECT_GT(newest, 0U);
  for (std::size_t i = 0; i < cluster.node_count(); ++i) {
    const auto resource = cluster.core(i)->configuration().find("Service", "other-1");
    ASSERT_TRUE(resource) << i;
    EXPECT_EQ(value_of(resource->version), newest) << i;
  }
}

TEST(RecoveryTest, FrozenRunnerIsEjectedAndRecovers) {
  SimulatedCluster cluster(7);
  cluster.engine(0).faults().frozen = true;
  for (int i = 0; i < 200; ++i) {
    cluster.online(0, 4, seconds(10));
    cluster.run_for(milliseconds(50));
  }
  const auto name = runner_id_from_name(cluster.engine(0).name());
  EXPECT_NE(cluster.core(0)->runners().find(name)->health, RunnerHealth::kHealthy);
  cluster.engine(0).faults().frozen = false;
  cluster.engine(0).apply_faults();
  for (int i = 0; i < 800; ++i) {
    cluster.online(0, 4, seconds(10));
    cluster.run_for(milliseconds(50));
  }
  EXPECT_EQ(cluster.core(0)->runners().find(name)->health, RunnerHealth::kHealthy);
}

TEST(RecoveryTest, RestartedNodeIsReadyOnlyWithNewestConfiguration) {
  SimulatedCluster cluster(8);
  cluster.crash(3);
  cluster.change(0, 1, 0, 7);
  cluster.run_for(seconds(3));
  cluster.log().faults().cut_nodes = {3};
  cluster.restart(3);
  for (int i = 0; i < 100; ++i) {
    cluster.run_for(milliseconds(100));
    if (!cluster.core(3)->readiness().ready) continue;
    EXPECT_TRUE(cluster.core(3)->configuration().find("Service", "other-1"));
    return;
  }
  FAIL() << "the node did not become ready from its peers";
}

TEST(RecoveryTest, NodeWithoutLogAccessLosesItsShards) {
  for (std::size_t victim = 0; victim < 5; ++victim) {
    SimulatedCluster cluster(victim + 20);
    cluster.log().faults().cut_nodes = {victim};
    cluster.run_for(milliseconds(9000));
    EXPECT_EQ(owned_shard_count(cluster) - cluster.core(victim)->shards().owned_shards(),
              cluster.core(0)->knobs().shard_count)
        << victim;
    cluster.log().faults().cut_nodes.clear();
    cluster.finish();
    expect_no_violations(cluster);
  }
}

TEST(RecoveryTest, PlannedShutdownHandsOverShardsWithoutLeaseTimeout) {
  SimulatedCluster cluster(9);
  cluster.drain(2);
  cluster.run_for(milliseconds(2500));
  EXPECT_EQ(cluster.core(2), nullptr) << "the planned shutdown is complete";
  EXPECT_EQ(owned_shard_count(cluster), cluster.core(0)->knobs().shard_count);
  cluster.finish();
  expect_no_violations(cluster);
}

}  // namespace
}  // namespace stoathold::fuzz
