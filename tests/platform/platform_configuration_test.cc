#include "platform/platform_configuration.h"

#include <gtest/gtest.h>

#include "platform/runner_entry.h"

namespace stoathold::platform {
namespace {

constexpr const char* kConfiguration = R"({"version":7,"routes":[
 {"name":"r1","host":"A.example","path_prefix":"/x/","kind":"streaming","timeout_ms":5000,
  "target_latency_ms":200,"priority":1,"traffic_split":[{"service":"s1","weight":90},
  {"service":"s2","weight":10}],"max_attempts":2,"session_affinity":true,"resumable":true,
  "gap_target_ms":250,"anonymous_access":true},
 {"name":"r2","host":"b.example","path_prefix":"/y/","kind":"batch","service":"s1",
  "completion_target_ms":20000,"max_attempts":3,"retention_s":60,"max_queued_tokens":1600000},
 {"name":"r3","host":"b.example","path_prefix":"/z/","kind":"of a later release","service":"s1"}],
 "services":[{"name":"s1","health_path":"/health","max_connections":370,"engine":{"slots":17}}],
 "tenants":[{"name":"alder","api_keys":["k1","k2"],"priority":0,"rate_per_s":12.5,"burst":20},
  {"name":"birch","api_keys":["k3"]}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}})";

TEST(PlatformConfigurationTest, ParsesRoutesServicesAndLimits) {
  const auto configuration = parse_configuration(kConfiguration);
  ASSERT_TRUE(configuration);
  EXPECT_EQ(configuration->version, 7U);
  const Route& stream = configuration->routes[0];
  EXPECT_EQ(stream.host, "a.example");
  EXPECT_EQ(stream.services.size(), 2U);
  EXPECT_TRUE(stream.repeatable());
  EXPECT_EQ(stream.event_gap_objective, std::chrono::milliseconds(250));
  const Route& batch = configuration->routes[1];
  EXPECT_EQ(batch.kind, RouteKind::kBatch);
  EXPECT_EQ(batch.item_retention, std::chrono::seconds(60));
  EXPECT_EQ(batch.max_queued_tokens, 1600000U);
  EXPECT_EQ(configuration->services.at("s1").slots, 17U);
  EXPECT_EQ(configuration->limits.body_bytes, 4194304U);
  EXPECT_EQ(configuration->limits.idle_timeout, std::chrono::seconds(15));
}

TEST(PlatformConfigurationTest, ParsesTenants) {
  const auto configuration = parse_configuration(kConfiguration);
  ASSERT_TRUE(configuration);
  const Tenant* alder = configuration->tenants.find_key("k2");
  ASSERT_NE(alder, nullptr);
  EXPECT_EQ(alder->name, "alder");
  EXPECT_EQ(alder->priority, 0U);
  EXPECT_EQ(alder->limit.per_second, 12.5);
  EXPECT_EQ(alder->limit.burst, 20);
  const Tenant* birch = configuration->tenants.find_key("k3");
  ASSERT_NE(birch, nullptr);
  EXPECT_FALSE(birch->priority.has_value());
  EXPECT_TRUE(birch->limit.unlimited());
  EXPECT_TRUE(configuration->routes[0].anonymous_access);
  EXPECT_FALSE(configuration->routes[1].anonymous_access);
}

// Guards against reading a non-numeric version as 0, which ignored the record without a log line.
TEST(PlatformConfigurationTest, RejectsNonNumericVersion) {
  const std::string rest = R"(,"routes":[],"services":[]})";
  for (const char* version : {R"("581")", "true", "null", "[581]"}) {
    EXPECT_FALSE(parse_configuration(std::string(R"({"version":)") + version + rest)) << version;
  }
  EXPECT_TRUE(parse_configuration(R"({"version":581)" + rest));
}

TEST(PlatformConfigurationTest, UnknownRouteKindIsUnsafe) {
  const auto configuration = parse_configuration(kConfiguration);
  ASSERT_TRUE(configuration);
  EXPECT_EQ(configuration->routes[2].kind, RouteKind::kUnsafe);
}

TEST(PlatformConfigurationTest, RejectsMalformedRecords) {
  EXPECT_FALSE(parse_configuration("{"));
  EXPECT_FALSE(parse_configuration("[]"));
  EXPECT_FALSE(parse_configuration(R"({"version":1})"));
  EXPECT_FALSE(parse_runner_entry("r", "nothing").runner);
  EXPECT_FALSE(parse_runner_entry("r", R"({"service":"s"})").runner);
}

TEST(PlatformConfigurationTest, ParsesReadyAndDrainingRunners) {
  const auto ready =
      parse_runner_entry(
          "r1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":17,"state":"ready"})")
          .runner;
  ASSERT_TRUE(ready);
  EXPECT_FALSE(ready->draining);
  EXPECT_EQ(ready->slots, 17U);
  const auto draining =
      parse_runner_entry(
          "r1",
          R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":17,"state":"draining"})")
          .runner;
  ASSERT_TRUE(draining);
  EXPECT_TRUE(draining->draining);
}

}  // namespace
}  // namespace stoathold::platform
