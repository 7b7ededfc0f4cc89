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

TEST(HeadersTest, AFourthFigureIsTheSlownessOfTheMoment) {
  EXPECT_EQ(parse_load("3,0,8,250")->slowness_percent, 250U);
  EXPECT_EQ(parse_load("3,0,8, 100 ")->slowness_percent, 100U);
  EXPECT_EQ(parse_load("3,0,8,100,7")->slowness_percent, 100U);
  // Three figures are a whole report.
  EXPECT_FALSE(parse_load("3,0,8")->slowness_percent);
  EXPECT_FALSE(parse_load("3,0,8")->false_slowness);
}

// A figure that cannot be would send all work to its runner, or none: it counts as not said, and
// the load beside it holds.
TEST(HeadersTest, AFalseSlownessIsLeftOutAndTheLoadHolds) {
  for (const char* text :
       {"3,0,8,0", "3,0,8,9", "3,0,8,5001", "3,0,8,1000000000", "3,0,8,-100", "3,0,8,slow",
        "3,0,8,100ms", "3,0,8,", "3,0,8,1e3", "3,0,8,1.5", "3,0,8,99999999999999999999999"}) {
    const auto load = parse_load(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->running, 3U) << text;
    EXPECT_FALSE(load->slowness_percent) << text;
    EXPECT_TRUE(load->false_slowness) << text;
  }
  EXPECT_EQ(parse_load("3,0,8,10")->slowness_percent, 10U);
  EXPECT_EQ(parse_load("3,0,8,5000")->slowness_percent, 5000U);
}

}  // namespace
}  // namespace stoathold
