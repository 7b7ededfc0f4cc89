#include "tests/store/list_read_simulation.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

/// Size of a runner's record in the log.
constexpr std::uint64_t kRunnerBytes = 230;

ListReadSetup make_setup(int nodes, int runners) {
  ListReadSetup setup;
  setup.nodes = nodes;
  setup.list_bytes = static_cast<std::uint64_t>(runners) * kRunnerBytes;
  return setup;
}

/// Lower bound of the time in which the store can send the list to all nodes, in seconds.
double min_seconds(const ListReadSetup& setup) {
  return static_cast<double>(setup.list_bytes) * setup.nodes / setup.store_bytes_per_second;
}

ListReadResult run(const ListReadSetup& setup) {
  return ListReadSimulation(setup, adaptive_reads()).run();
}

/// Guards against timeouts when a whole fleet loads the runner list at once. With 295 nodes that
/// each request the list of 3000 runners, 0.7 MB, in a single read with a timeout of 1 s, a store
/// of 80 MB/s needs 2.5 s for the total of 204 MB: every read timed out and was retried with half
/// the size, while the abandoned responses were still transferred. In this simulation the last node
/// had the list after 8.5 s, and 678 MB were transferred. With up to 100 nodes the list loads
/// within 0.3 s and the fault does not appear.
class ListReadSimulationTest : public testing::TestWithParam<std::pair<int, int>> {};

TEST_P(ListReadSimulationTest, LoadTimeIsBoundedByStoreBandwidth) {
  const ListReadSetup setup = make_setup(GetParam().first, GetParam().second);
  const ListReadResult result = run(setup);
  EXPECT_LT(result.last, 1.1 * min_seconds(setup) + 0.1);
  EXPECT_LT(result.transferred_megabytes,
            1.05 * static_cast<double>(setup.list_bytes) * setup.nodes / 1e6);
}

TEST_P(ListReadSimulationTest, StaggeredStartsAddOnlyTheStartWindow) {
  ListReadSetup setup = make_setup(GetParam().first, GetParam().second);
  setup.start_window = 0.5;
  EXPECT_LT(run(setup).last, 1.1 * min_seconds(setup) + 0.6);
}

TEST_P(ListReadSimulationTest, LostResponseCostsOneRetry) {
  ListReadSetup setup = make_setup(GetParam().first, GetParam().second);
  setup.loss_probability = 0.02;
  EXPECT_LT(run(setup).last, 1.1 * min_seconds(setup) + 4);
}

/// Guards against a full backoff after a timed-out read. A node that lost the store waited up to 1
/// s for a response and then up to 1 s more before its retry, so that the last of 61 nodes loaded
/// the list 1.8 s after the store had recovered. The duration of the failed read counts as backoff.
TEST_P(ListReadSimulationTest, ReadsResumePromptlyAfterStoreOutage) {
  ListReadSetup setup = make_setup(GetParam().first, GetParam().second);
  double longest = 0;
  for (const double until : {3.0, 3.2, 3.4, 3.6, 3.8, 4.0, 4.2, 4.4, 4.6, 4.8}) {
    setup.store_outage_end = until;
    longest = std::max(longest, run(setup).last - until);
  }
  EXPECT_LT(longest, 1.1 * min_seconds(setup) + 1.2);
}

TEST_P(ListReadSimulationTest, PartitionedZoneDoesNotDelayOtherZones) {
  ListReadSetup setup = make_setup(GetParam().first, GetParam().second);
  setup.zone_partition_end = 5;
  const ListReadResult result = run(setup);
  EXPECT_LT(result.first, 1.1 * min_seconds(setup) + 0.1);
  EXPECT_LT(result.last, 5 + 1.1 * min_seconds(setup) / 3 + 2);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ListReadSimulationTest,
                         testing::Values(std::pair{9, 90}, std::pair{61, 610}, std::pair{89, 890},
                                         std::pair{295, 3000}, std::pair{420, 2900}));

/// When the node's link is the bottleneck, the read size adapts to its bandwidth.
TEST(ListReadLinkTest, ReadSizeAdaptsToLinkBandwidth) {
  ListReadSetup setup = make_setup(9, 20000);
  setup.link_bytes_per_second = 0.5e6;
  const ListReadResult result = run(setup);
  EXPECT_LT(result.last, 1.1 * static_cast<double>(setup.list_bytes) / 0.5e6);
}

TEST(FullReadLimitsTest, SlowReadReducesNextSize) {
  AdaptiveReadLimits bounds = AdaptiveReadLimits::for_full_read();
  bounds.on_partial_read(64UL * 1024, AdaptiveReadLimits::kTargetReadTime * 2);
  EXPECT_EQ(bounds.bytes, 32UL * 1024);
  bounds.on_partial_read(32UL * 1024, std::chrono::seconds(60));
  EXPECT_EQ(bounds.bytes, AdaptiveReadLimits::kMinFullReadBytes);
}

TEST(FullReadLimitsTest, HandlesZeroDurationAndEmptyResponse) {
  AdaptiveReadLimits bounds = AdaptiveReadLimits::for_full_read();
  bounds.on_partial_read(64UL * 1024, Duration{0});
  EXPECT_EQ(bounds.bytes, 256UL * 1024);
  bounds.on_partial_read(0, Duration{0});
  EXPECT_EQ(bounds.bytes, AdaptiveReadLimits::kMinFullReadBytes);
}

}  // namespace
}  // namespace stoathold
