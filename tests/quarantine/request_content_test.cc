#include "quarantine/request_content.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr RequestContent kQuestion{
    .tenant = "t", .host = "a.example", .target = "/x/1?y=2", .body = "what"};

TEST(RequestContentTest, CopiesOfARequestAreRecognised) {
  EXPECT_EQ(content_hash(kQuestion), content_hash(RequestContent(kQuestion)));
}

TEST(RequestContentTest, EveryPartTellsRequestsApart) {
  RequestContent other = kQuestion;
  other.tenant = "u";
  EXPECT_NE(content_hash(kQuestion), content_hash(other));
  other = kQuestion;
  other.host = "b.example";
  EXPECT_NE(content_hash(kQuestion), content_hash(other));
  other = kQuestion;
  other.target = "/x/1?y=3";
  EXPECT_NE(content_hash(kQuestion), content_hash(other));
  other = kQuestion;
  other.body = "who";
  EXPECT_NE(content_hash(kQuestion), content_hash(other));
}

TEST(RequestContentTest, BytesThatMoveBetweenPartsMakeAnotherRequest) {
  RequestContent left = kQuestion;
  left.target = "/x/";
  left.body = "1what";
  RequestContent right = kQuestion;
  right.target = "/x/1";
  right.body = "what";
  EXPECT_NE(content_hash(left), content_hash(right));
}

}  // namespace
}  // namespace stoathold
