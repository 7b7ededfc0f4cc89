#include "routing/stream_origin_table.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr StreamOrigin kOld{1, SoftwareVersion{10}};
constexpr StreamOrigin kNew{1, SoftwareVersion{11}};

StreamOriginTable::Entry entry(const StreamOrigin& origin, Duration lifetime) {
  return {.origin = origin, .expires = kStart + lifetime};
}

TEST(StreamOriginTableTest, FindsOriginUntilItExpires) {
  StreamOriginTable table(10);
  table.record(StreamKey{1}, entry(kOld, seconds(5)), kStart);
  ASSERT_NE(table.find(StreamKey{1}, kStart + seconds(4)), nullptr);
  EXPECT_EQ(table.find(StreamKey{1}, kStart)->origin, kOld);
  EXPECT_EQ(table.find(StreamKey{1}, kStart + seconds(5)), nullptr);
  EXPECT_EQ(table.find(StreamKey{2}, kStart), nullptr);
}

TEST(StreamOriginTableTest, RepeatedRecordExtendsLifetime) {
  StreamOriginTable table(10);
  table.record(StreamKey{1}, entry(kOld, seconds(5)), kStart);
  table.record(StreamKey{1}, entry(kOld, seconds(9)), kStart);
  table.record(StreamKey{1}, entry(kOld, seconds(2)), kStart);
  ASSERT_NE(table.find(StreamKey{1}, kStart + seconds(8)), nullptr);
  EXPECT_FALSE(table.find(StreamKey{1}, kStart + seconds(8))->conflicting);
}

TEST(StreamOriginTableTest, TrustsNoOriginOfAnIdThatIsUsedTwice) {
  StreamOriginTable table(10);
  table.record(StreamKey{1}, entry(kOld, seconds(5)), kStart);
  table.record(StreamKey{1}, entry(kNew, seconds(5)), kStart);
  table.record(StreamKey{1}, entry(kOld, seconds(5)), kStart);
  EXPECT_TRUE(table.find(StreamKey{1}, kStart)->conflicting);
}

TEST(StreamOriginTableTest, IdMayBeUsedAgainAfterItsOriginHasExpired) {
  StreamOriginTable table(10);
  table.record(StreamKey{9}, entry(kOld, seconds(50)), kStart);  // Keeps the next one stored.
  table.record(StreamKey{1}, entry(kOld, seconds(5)), kStart);
  table.record(StreamKey{1}, entry(kNew, seconds(20)), kStart + seconds(6));
  ASSERT_NE(table.find(StreamKey{1}, kStart + seconds(7)), nullptr);
  EXPECT_FALSE(table.find(StreamKey{1}, kStart + seconds(7))->conflicting);
  EXPECT_EQ(table.find(StreamKey{1}, kStart + seconds(7))->origin, kNew);
}

TEST(StreamOriginTableTest, EvictsTheOldestEntryWhenFull) {
  StreamOriginTable table(3);
  for (std::uint64_t key = 1; key <= 5; ++key) {
    table.record(StreamKey{key}, entry(kOld, seconds(5)), kStart);
  }
  EXPECT_EQ(table.size(), 3U);
  EXPECT_EQ(table.evicted(), 2U);
  EXPECT_EQ(table.find(StreamKey{2}, kStart), nullptr);
  EXPECT_NE(table.find(StreamKey{3}, kStart), nullptr);
}

TEST(StreamOriginTableTest, DropsExpiredEntries) {
  StreamOriginTable table(10);
  for (std::uint64_t key = 1; key <= 5; ++key) {
    table.record(StreamKey{key}, entry(kOld, seconds(5)), kStart);
  }
  table.record(StreamKey{6}, entry(kOld, seconds(50)), kStart + seconds(6));
  EXPECT_EQ(table.size(), 1U);
  EXPECT_EQ(table.evicted(), 0U);
}

}  // namespace
}  // namespace stoathold
