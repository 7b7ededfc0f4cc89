#include "platform/record_framing.h"

#include <gtest/gtest.h>

namespace stoathold::platform {
namespace {

std::string with_ends(const std::string& records) {
  return std::string("\0\0\0\0\0\0\0\7", 8) + std::string(8, '\0') + records;
}

TEST(RecordFramingTest, RecordsComeBackWithTheirOffsets) {
  const std::string bytes = with_ends(frame_records({{"a", "1"}, {"b", ""}, {"c", "333"}}));
  ReadResult result;
  ASSERT_TRUE(parse_records(bytes, 4, result));
  EXPECT_EQ(result.end, 7U);
  ASSERT_EQ(result.records.size(), 3U);
  EXPECT_EQ(result.records[0].offset, 4U);
  EXPECT_EQ(result.records[1].value, "");
  EXPECT_EQ(result.records[2].key, "c");
  EXPECT_EQ(result.records[2].offset, 6U);
}

TEST(RecordFramingTest, DamageIsNoticed) {
  const std::string bytes = with_ends(frame_records({{"a", "1"}}));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ReadResult result;
    const bool read = parse_records(bytes.substr(0, size), 0, result);
    EXPECT_EQ(read, size == 16) << size;
  }
}

/// One record whose key is longer than the record made the whole answer malformed, so that a node
/// read the same answer for ever and learned of no later record. The frame of such a record is
/// whole: the records beside it are read with their own offsets, and it comes as one that has no
/// key, which every reader of records calls malformed.
TEST(RecordFramingTest, ARecordWithoutAReadableKeyKeepsItsPlaceAndHidesNoOther) {
  std::string bytes = with_ends(frame_records({{"a", "1"}, {"b", "2"}, {"c", "3"}}));
  constexpr std::size_t kRecord = 7;
  bytes[16 + kRecord + 4] = 9;  // The second key, longer than its record.
  ReadResult result;
  ASSERT_TRUE(parse_records(bytes, 4, result));
  ASSERT_EQ(result.records.size(), 3U);
  EXPECT_EQ(result.records[0].key, "a");
  EXPECT_EQ(result.records[1].key, "");
  EXPECT_EQ(result.records[1].offset, 5U);
  EXPECT_EQ(result.records[1].value, std::string("\11b2"));
  EXPECT_EQ(result.records[2].key, "c");
  EXPECT_EQ(result.records[2].offset, 6U);
}

TEST(RecordFramingTest, AnEmptyRecordKeepsItsPlace) {
  const std::string bytes = with_ends(std::string(4, '\0') + frame_records({{"a", "1"}}));
  ReadResult result;
  ASSERT_TRUE(parse_records(bytes, 4, result));
  ASSERT_EQ(result.records.size(), 2U);
  EXPECT_EQ(result.records[0].key, "");
  EXPECT_EQ(result.records[1].offset, 5U);
}

}  // namespace
}  // namespace stoathold::platform
