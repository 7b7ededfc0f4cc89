#include "gateway/headers.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(HeadersTest, ConnectionHeadersAreNotPassedOn) {
  EXPECT_TRUE(is_connection_header("Transfer-Encoding"));
  EXPECT_TRUE(is_connection_header("connection"));
  EXPECT_FALSE(is_connection_header("X-Model"));
  EXPECT_TRUE(names_header("close, X-Hop", "x-hop"));
  EXPECT_FALSE(names_header("close, X-Hop", "x-ho"));
}

TEST(HeadersTest, LoadsAreReadOrRefusedWhole) {
  const auto load = parse_load("3, 0,8");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->running, 3U);
  EXPECT_EQ(load->slots, 8U);
  EXPECT_FALSE(parse_load("3,0"));
  EXPECT_FALSE(parse_load(""));
  EXPECT_FALSE(parse_load("a,b,c"));
}

}  // namespace
}  // namespace stoathold
