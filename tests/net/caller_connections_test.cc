#include "net/caller_connections.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kLater = kStart + std::chrono::seconds(5);

std::uint64_t open_idle(CallerConnections& connections, CallerAddress caller, TimePoint since) {
  connections.opened(caller);
  return connections.enter_idle(caller, since);
}

TEST(CallerConnectionsTest, TheOldestOfWhoHoldsMostGoes) {
  CallerConnections connections;
  open_idle(connections, 1, kStart);
  const auto oldest = open_idle(connections, 2, kStart);
  open_idle(connections, 2, kStart);
  const auto choice = connections.choose_for(3, kLater);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->caller, 2U);
  EXPECT_EQ(choice->turn, oldest);
}

TEST(CallerConnectionsTest, WhoHoldsMostPushesOutNobodyElse) {
  CallerConnections connections;
  open_idle(connections, 1, kStart);
  connections.opened(2);
  connections.opened(2);
  EXPECT_FALSE(connections.choose_for(2, kLater));
  const auto own = connections.enter_idle(2, kStart);
  const auto choice = connections.choose_for(2, kLater);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->turn, own);
}

// All callers may come through one address.
TEST(CallerConnectionsTest, BehindOneAddressTheOldestGoes) {
  CallerConnections connections;
  const auto oldest = open_idle(connections, 1, kStart);
  open_idle(connections, 1, kStart);
  const auto choice = connections.choose_for(1, kLater);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->turn, oldest);
}

TEST(CallerConnectionsTest, ANewConnectionIsNotTakenForAnIdleOne) {
  CallerConnections connections;
  open_idle(connections, 1, kStart);
  EXPECT_FALSE(connections.choose_for(2, kStart + kLeastIdleTime / 2));
}

TEST(CallerConnectionsTest, WhatHasEndedOrBegunIsNotChosen) {
  CallerConnections connections;
  const auto turn = open_idle(connections, 1, kStart);
  connections.leave_idle(1, turn);
  EXPECT_FALSE(connections.choose_for(2, kLater));
  connections.closed(1);
  EXPECT_FALSE(connections.choose_for(1, kLater));
}

}  // namespace
}  // namespace stoathold
