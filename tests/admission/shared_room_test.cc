/// Room that services, tenants and jobs share.
///
/// The load: a service has no runners, or a tenant's items are kept from them, and whatever a node
/// takes up of it stays. The thresholds: a job alone has to get as much as it did when nothing was
/// shared (256 items at a node), and each newcomer at least one turn at once, since without one it
/// gets nothing for as long as the others are stuck.
#include "admission/shared_room.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr double kForOneJob = 256;

RoomHolder holder(std::uint64_t service, std::uint64_t tenant, std::uint64_t job) {
  return {service, service * 1000 + tenant, job};
}

/// Takes one at a time, as long as the holder may.
/// @return how much it took.
int take_all(SharedRoom& room, const RoomHolder& who, int most = 1000) {
  int taken = 0;
  while (taken < most && room.may_take(who)) {
    room.take(who, 1);
    ++taken;
  }
  return taken;
}

TEST(SharedRoomTest, OneJobAloneGetsAllThatWasMeantForOne) {
  SharedRoom room(SharedRoom::size_for_one_job(kForOneJob));
  EXPECT_EQ(take_all(room, holder(1, 1, 1)), kForOneJob);
}

TEST(SharedRoomTest, ManyJobsOfOneServiceLeaveTheOthersRoom) {
  SharedRoom room(SharedRoom::size_for_one_job(kForOneJob));
  for (std::uint64_t job = 0; job < 100; ++job) take_all(room, holder(1, job, job));
  EXPECT_GE(take_all(room, holder(2, 1, 1000)), 3);
  EXPECT_GE(take_all(room, holder(3, 1, 1001)), 1);
}

TEST(SharedRoomTest, OneTenantsStuckJobsLeaveTheOthersRoomAtTheSameService) {
  SharedRoom room(SharedRoom::size_for_one_job(kForOneJob));
  for (std::uint64_t job = 0; job < 10; ++job) take_all(room, holder(1, 1, job), 100);
  EXPECT_GE(take_all(room, holder(1, 2, 1000)), 3);
}

TEST(SharedRoomTest, AStuckJobLeavesTheOthersOfItsTenantRoom) {
  SharedRoom room(SharedRoom::size_for_one_job(kForOneJob));
  take_all(room, holder(1, 1, 1));
  EXPECT_GE(take_all(room, holder(1, 1, 2)), 3);
}

TEST(SharedRoomTest, EachServiceMayBeginHoweverFullTheRoomIs) {
  SharedRoom room(10);
  // A read brings more than was free.
  room.take(holder(1, 1, 1), 20);
  EXPECT_FALSE(room.may_take(holder(1, 2, 2)));
  EXPECT_TRUE(room.may_take(holder(2, 1, 3)));
}

TEST(SharedRoomTest, WhatIsGivenBackIsFreeForOthers) {
  SharedRoom room(9);
  const RoomHolder first = holder(1, 1, 1);
  EXPECT_EQ(take_all(room, first), 6);
  for (int item = 0; item < 6; ++item) room.give_back(first, 1);
  EXPECT_EQ(room.held(), 0);
  EXPECT_EQ(take_all(room, holder(1, 1, 2)), 6);
}

TEST(SharedRoomTest, ARoomThatGrowsLetsMoreIn) {
  SharedRoom room(SharedRoom::size_for_one_job(6));
  const RoomHolder only = holder(1, 1, 1);
  EXPECT_EQ(take_all(room, only), 6);
  room.set_size(SharedRoom::size_for_one_job(kForOneJob));
  EXPECT_EQ(take_all(room, only), kForOneJob - 6);
}

}  // namespace
}  // namespace stoathold
