#include "gateway/headers.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(HeadersTest, RecognizesHopByHopHeaders) {
  EXPECT_TRUE(is_connection_header("Transfer-Encoding"));
  EXPECT_TRUE(is_connection_header("connection"));
  EXPECT_FALSE(is_connection_header("X-Model"));
  EXPECT_TRUE(names_header("close, X-Hop", "x-hop"));
  EXPECT_FALSE(names_header("close, X-Hop", "x-ho"));
}

TEST(HeadersTest, ParsesOrRejectsALoadReport) {
  const auto load = parse_load("3, 0,8");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->running, 3U);
  EXPECT_EQ(load->slots, 8U);
  EXPECT_FALSE(parse_load("3,0"));
  EXPECT_FALSE(parse_load(""));
  EXPECT_FALSE(parse_load("a,b,c"));
}

TEST(HeadersTest, ParsesTheFourthNumberAsSlowness) {
  EXPECT_EQ(parse_load("3,0,8,250")->slowness_percent, 250U);
  EXPECT_EQ(parse_load("3,0,8, 100 ")->slowness_percent, 100U);
  EXPECT_EQ(parse_load("3,0,8,100,7")->slowness_percent, 100U);
  // A report may consist of three numbers.
  EXPECT_FALSE(parse_load("3,0,8")->slowness_percent);
  EXPECT_FALSE(parse_load("3,0,8")->invalid_slowness);
}

// An impossible slowness would attract all work to its runner or keep all work away from it. It is
// therefore ignored, while the load in the same header is used.
TEST(HeadersTest, IgnoresAnInvalidSlownessButKeepsTheLoad) {
  for (const char* text :
       {"3,0,8,0", "3,0,8,9", "3,0,8,5001", "3,0,8,1000000000", "3,0,8,-100", "3,0,8,slow",
        "3,0,8,100ms", "3,0,8,", "3,0,8,1e3", "3,0,8,1.5", "3,0,8,99999999999999999999999"}) {
    const auto load = parse_load(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->running, 3U) << text;
    EXPECT_FALSE(load->slowness_percent) << text;
    EXPECT_TRUE(load->invalid_slowness) << text;
  }
  EXPECT_EQ(parse_load("3,0,8,10")->slowness_percent, 10U);
  EXPECT_EQ(parse_load("3,0,8,5000")->slowness_percent, 5000U);
}

}  // namespace
}  // namespace stoathold
