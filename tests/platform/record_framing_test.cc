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
  std::string wrong_key = bytes;
  wrong_key[20] = 9;  // A key longer than the record.
  ReadResult result;
  EXPECT_FALSE(parse_records(wrong_key, 0, result));
}

}  // namespace
}  // namespace stoathold::platform
