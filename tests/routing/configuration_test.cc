#include "routing/configuration.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

Route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

TEST(ConfigurationTest, LongestPrefixOfHostWins) {
  ServingConfiguration configuration;
  configuration.routes = {make_route("short", "a.example", "/x/"),
                          make_route("long", "a.example", "/x/y/"),
                          make_route("other", "b.example", "/x/y/z/")};
  EXPECT_EQ(configuration.find_route("a.example", "/x/y/z/1")->name, "long");
  EXPECT_EQ(configuration.find_route("a.example", "/x/1")->name, "short");
  EXPECT_EQ(configuration.find_route("a.example", "/x"), nullptr);
  EXPECT_EQ(configuration.find_route("c.example", "/x/1"), nullptr);
}

TEST(ConfigurationTest, NormalizesHosts) {
  EXPECT_EQ(normalize_host("A.Example:8080"), "a.example");
  EXPECT_EQ(normalize_host("a.example"), "a.example");
}

TEST(ConfigurationTest, OnlySafeRequestsAndResumableStreamsAreRepeatable) {
  Route route;
  route.kind = RouteKind::kUnsafe;
  EXPECT_FALSE(route.repeatable());
  route.kind = RouteKind::kStreaming;
  EXPECT_FALSE(route.repeatable());
  route.resumable = true;
  EXPECT_TRUE(route.repeatable());
  route.kind = RouteKind::kSafe;
  EXPECT_TRUE(route.repeatable());
}

}  // namespace
}  // namespace stoathold
