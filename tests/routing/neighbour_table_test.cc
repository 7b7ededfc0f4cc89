#include "routing/neighbour_table.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint16_t kPort = 7000;

NeighbourTable::Endpoint endpoint(std::uint32_t ip) {
  return {boost::asio::ip::address_v4(ip), kPort};
}

TEST(NeighbourTableTest, ReportsOnlyNodesThatSentMessages) {
  NeighbourTable table;
  table.set_listed({endpoint(1)});
  table.add_reported({{2, kPort}, {9, kPort}}, endpoint(9), kStart);
  EXPECT_EQ(table.size(), 2U);  // Without the node itself.
  EXPECT_TRUE(table.live_nodes(kStart).empty());
  table.record_message(endpoint(2), kStart);
  ASSERT_EQ(table.live_nodes(kStart).size(), 1U);
  EXPECT_EQ(table.live_nodes(kStart).front().ip, 2U);
  EXPECT_TRUE(table.live_nodes(kStart + std::chrono::seconds(4)).empty());
}

TEST(NeighbourTableTest, RemovesNodesNeitherListedNorMentioned) {
  NeighbourTable table;
  table.set_listed({endpoint(1)});
  table.record_message(endpoint(2), kStart);
  table.expire(kStart + std::chrono::seconds(4));
  EXPECT_EQ(table.size(), 2U);
  table.expire(kStart + std::chrono::seconds(6));
  EXPECT_EQ(table.size(), 1U);
  table.set_listed({});
  table.expire(kStart + std::chrono::seconds(6));
  EXPECT_TRUE(table.empty());
}

TEST(NeighbourTableTest, LowestLiveAddressesReportZone) {
  NeighbourTable table;
  table.record_message(endpoint(1), kStart);
  table.record_message(endpoint(2), kStart);
  table.record_message(endpoint(8), kStart);
  EXPECT_FALSE(table.is_zone_reporter(endpoint(5), kStart));
  // When they are no longer live, the nodes with the next addresses report.
  const TimePoint later = kStart + std::chrono::seconds(3);
  table.record_message(endpoint(2), later);
  EXPECT_TRUE(table.is_zone_reporter(endpoint(5), later));
}

TEST(NeighbourTableTest, ReturnsZoneReporters) {
  NeighbourTable table;
  table.record_message(endpoint(1), kStart);
  table.record_message(endpoint(8), kStart);
  const std::vector<NeighbourTable::Endpoint> both{endpoint(1), endpoint(5)};
  EXPECT_EQ(table.zone_reporters(endpoint(5), kStart), both);
  const TimePoint later = kStart + std::chrono::seconds(3);
  EXPECT_EQ(table.zone_reporters(endpoint(5), later), std::vector{endpoint(5)});
}

}  // namespace
}  // namespace stoathold
