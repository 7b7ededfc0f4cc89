#include "routing/origin_replicas.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace stoathold {
namespace {

std::string address_of(int node) {
  return "10.0.0." + std::to_string(node) + ":7000";
}

std::vector<MemberName> members(int count, int zones) {
  std::vector<MemberName> names;
  for (int node = 0; node < count; ++node) {
    names.push_back(
        {"n" + std::to_string(node), "z" + std::to_string(node % zones), address_of(node)});
  }
  return names;
}

std::string zone_of(const std::vector<MemberName>& names, const std::string& address) {
  const auto found = std::find_if(names.begin(), names.end(), [&](const MemberName& name) {
    return name.peer_address == address;
  });
  return found == names.end() ? "" : found->zone;
}

TEST(OriginReplicasTest, HoldersAreInDifferentZones) {
  const auto names = members(12, 4);
  OriginReplicas replicas;
  replicas.set_members(names, address_of(0));
  for (std::uint64_t stream = 0; stream < 200; ++stream) {
    const auto holders = replicas.holders(StreamKey{stream});
    ASSERT_EQ(holders.size(), kOriginCopies);
    std::set<std::string> zones;
    for (const auto& holder : holders) zones.insert(zone_of(names, holder));
    EXPECT_EQ(zones.size(), kOriginCopies);
    EXPECT_EQ(std::count(holders.begin(), holders.end(), address_of(0)), 0);
  }
}

TEST(OriginReplicasTest, HoldersInOneZoneAreDifferentNodes) {
  OriginReplicas replicas;
  replicas.set_members(members(5, 1), address_of(0));
  const auto holders = replicas.holders(StreamKey{7});
  EXPECT_EQ(std::set<std::string>(holders.begin(), holders.end()).size(), kOriginCopies);
}

TEST(OriginReplicasTest, SelectsAllOthersOfASmallFleet) {
  OriginReplicas replicas;
  EXPECT_TRUE(replicas.holders(StreamKey{7}).empty());
  replicas.set_members(members(3, 3), address_of(0));
  EXPECT_EQ(replicas.holders(StreamKey{7}).size(), 2U);
  EXPECT_EQ(replicas.candidates(StreamKey{7}).size(), 2U);
}

/// Every node asks a node that was sent a copy, although nodes joined and left in the meantime.
TEST(OriginReplicasTest, HoldersAreAskedAfterChangesOfMembership) {
  const auto before = members(24, 3);
  auto after = before;
  after.erase(after.begin() + 6, after.begin() + 9);
  for (int node = 24; node < 27; ++node) {
    after.push_back({"n" + std::to_string(node), "z" + std::to_string(node % 3), address_of(node)});
  }
  OriginReplicas writer;
  writer.set_members(before, address_of(0));
  OriginReplicas reader;
  reader.set_members(after, address_of(1));
  for (std::uint64_t stream = 0; stream < 1000; ++stream) {
    const auto asked = reader.candidates(StreamKey{stream});
    for (const auto& holder : writer.holders(StreamKey{stream})) {
      if (holder == address_of(1) || zone_of(after, holder).empty()) continue;
      EXPECT_NE(std::find(asked.begin(), asked.end(), holder), asked.end());
    }
  }
}

}  // namespace
}  // namespace stoathold
