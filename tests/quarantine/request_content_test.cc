#include "quarantine/request_content.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr RequestContent kRequest{
    .tenant = "t", .host = "a.example", .target = "/x/1?y=2", .body = "what"};

TEST(RequestContentTest, CopiesHaveTheSameHash) {
  EXPECT_EQ(content_hash(kRequest), content_hash(RequestContent(kRequest)));
}

TEST(RequestContentTest, EachFieldChangesTheHash) {
  RequestContent other = kRequest;
  other.tenant = "u";
  EXPECT_NE(content_hash(kRequest), content_hash(other));
  other = kRequest;
  other.host = "b.example";
  EXPECT_NE(content_hash(kRequest), content_hash(other));
  other = kRequest;
  other.target = "/x/1?y=3";
  EXPECT_NE(content_hash(kRequest), content_hash(other));
  other = kRequest;
  other.body = "who";
  EXPECT_NE(content_hash(kRequest), content_hash(other));
}

TEST(RequestContentTest, BytesMovedBetweenFieldsChangeTheHash) {
  RequestContent left = kRequest;
  left.target = "/x/";
  left.body = "1what";
  RequestContent right = kRequest;
  right.target = "/x/1";
  right.body = "what";
  EXPECT_NE(content_hash(left), content_hash(right));
}

}  // namespace
}  // namespace stoathold
