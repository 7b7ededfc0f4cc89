#include "platform/record_framing.h"

#include <gtest/gtest.h>

namespace stoathold::platform {
namespace {

std::string with_response_header(const std::string& records) {
  return std::string("\0\0\0\0\0\0\0\7", 8) + std::string(8, '\0') + records;
}

TEST(RecordFramingTest, DecodesRecordsWithOffsets) {
  const std::string bytes =
      with_response_header(frame_records({{"a", "1"}, {"b", ""}, {"c", "333"}}));
  ReadResult result;
  ASSERT_TRUE(parse_records(bytes, 4, result));
  EXPECT_EQ(result.end, 7U);
  ASSERT_EQ(result.records.size(), 3U);
  EXPECT_EQ(result.records[0].offset, 4U);
  EXPECT_EQ(result.records[1].value, "");
  EXPECT_EQ(result.records[2].key, "c");
  EXPECT_EQ(result.records[2].offset, 6U);
}

TEST(RecordFramingTest, RejectsTruncatedResponses) {
  const std::string bytes = with_response_header(frame_records({{"a", "1"}}));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ReadResult result;
    const bool read = parse_records(bytes.substr(0, size), 0, result);
    EXPECT_EQ(read, size == 16) << size;
  }
}

/// Guards against rejecting a whole response because of one record whose key length exceeds the
/// record: the node then read the same response forever and received no later records. The frame of
/// such a record is complete, so the other records keep their offsets, and it is returned with an
/// empty key, which every sink treats as malformed.
TEST(RecordFramingTest, UndecodableKeyDoesNotAffectOtherRecords) {
  std::string bytes = with_response_header(frame_records({{"a", "1"}, {"b", "2"}, {"c", "3"}}));
  constexpr std::size_t kRecordBytes = 7;
  bytes[16 + kRecordBytes + 4] = 9;  // Key length of the second record, longer than the record.
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

/// Guards against memory of many times the response. The other records are read by the next call.
TEST(RecordFramingTest, RecordsBeyondTheLimitAreLeft) {
  constexpr std::size_t kLengthBytes = 4;
  const std::string empty_records(kLengthBytes * (kMaxReplyRecords + 1), '\0');
  ReadResult result;
  ASSERT_TRUE(parse_records(with_response_header(empty_records), 4, result));
  ASSERT_EQ(result.records.size(), kMaxReplyRecords);
  EXPECT_EQ(result.records.back().offset, 4 + kMaxReplyRecords - 1);
}

TEST(RecordFramingTest, EmptyRecordKeepsItsOffset) {
  const std::string bytes =
      with_response_header(std::string(4, '\0') + frame_records({{"a", "1"}}));
  ReadResult result;
  ASSERT_TRUE(parse_records(bytes, 4, result));
  ASSERT_EQ(result.records.size(), 2U);
  EXPECT_EQ(result.records[0].key, "");
  EXPECT_EQ(result.records[1].offset, 5U);
}

}  // namespace
}  // namespace stoathold::platform
