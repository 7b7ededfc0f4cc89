#include "net/client_connections.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kLater = kStart + std::chrono::seconds(5);

std::uint64_t open_idle(ClientConnections& connections, ClientAddress client,
                        TimePoint idle_since) {
  connections.add_connection(client);
  return connections.mark_idle(client, idle_since);
}

TEST(ClientConnectionsTest, EvictsOldestConnectionOfLargestClient) {
  ClientConnections connections;
  open_idle(connections, 1, kStart);
  const auto oldest = open_idle(connections, 2, kStart);
  open_idle(connections, 2, kStart);
  const auto candidate = connections.select_eviction_candidate(3, kLater);
  ASSERT_TRUE(candidate);
  EXPECT_EQ(candidate->client, 2U);
  EXPECT_EQ(candidate->sequence, oldest);
}

TEST(ClientConnectionsTest, LargestClientEvictsOnlyItsOwn) {
  ClientConnections connections;
  open_idle(connections, 1, kStart);
  connections.add_connection(2);
  connections.add_connection(2);
  EXPECT_FALSE(connections.select_eviction_candidate(2, kLater));
  const auto own = connections.mark_idle(2, kStart);
  const auto candidate = connections.select_eviction_candidate(2, kLater);
  ASSERT_TRUE(candidate);
  EXPECT_EQ(candidate->sequence, own);
}

// All clients may connect through one proxy address.
TEST(ClientConnectionsTest, EvictsOldestOfSingleAddress) {
  ClientConnections connections;
  const auto oldest = open_idle(connections, 1, kStart);
  open_idle(connections, 1, kStart);
  const auto candidate = connections.select_eviction_candidate(1, kLater);
  ASSERT_TRUE(candidate);
  EXPECT_EQ(candidate->sequence, oldest);
}

TEST(ClientConnectionsTest, NewConnectionIsNotIdle) {
  ClientConnections connections;
  open_idle(connections, 1, kStart);
  EXPECT_FALSE(connections.select_eviction_candidate(2, kStart + kMinIdleTime / 2));
}

TEST(ClientConnectionsTest, BusyAndClosedConnectionsAreNotEvicted) {
  ClientConnections connections;
  const auto sequence = open_idle(connections, 1, kStart);
  connections.mark_busy(1, sequence);
  EXPECT_FALSE(connections.select_eviction_candidate(2, kLater));
  connections.remove_connection(1);
  EXPECT_FALSE(connections.select_eviction_candidate(1, kLater));
}

}  // namespace
}  // namespace stoathold
