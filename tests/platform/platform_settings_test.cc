#include "platform/platform_settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

namespace stoathold::platform {
namespace {

constexpr const char* kCompleteSettings = R"(
node_name: "n1"
zone: "z1"
ip: "127.0.0.1"
listen: {front: "127.0.0.1:81", ready: "127.0.0.1:82"}
internal_ports: [7000, 7010]
new_field: {of: [a, later, release]}
data_dir: null
bounds: {grace_s: 6, status_s: 90, skew_max_ms: 2500}
limits: {memory_mb: 290}
platform: {address: "127.0.0.1:83", parts: 4, record_bytes: 1000, call_bytes: 5000, ttl_min_ms: 700}
)";

class PlatformSettingsTest : public testing::Test {
 protected:
  std::vector<std::string> read(const std::string& text) {
    const std::string path =
        testing::TempDir() + "/settings-" + std::to_string(::getpid()) + ".yaml";
    std::ofstream(path) << text;
    return read_platform_settings(path, settings);
  }

  PlatformSettings settings;
};

TEST_F(PlatformSettingsTest, ParsesFieldsAndIgnoresUnknownOnes) {
  EXPECT_TRUE(read(kCompleteSettings).empty());
  EXPECT_EQ(settings.caller_listen, "127.0.0.1:81");
  EXPECT_EQ(settings.first_peer_port, 7000);
  EXPECT_EQ(settings.stop_grace, std::chrono::seconds(6));
  EXPECT_EQ(settings.clock_skew, std::chrono::milliseconds(2500));
  EXPECT_EQ(settings.store_partitions, 4U);
  EXPECT_EQ(settings.memory_bytes, 290UL * 1024 * 1024);
}

TEST_F(PlatformSettingsTest, ReportsEachMissingField) {
  const auto errors = read("node_name: n1\nzone: z1\n");
  EXPECT_EQ(errors,
            (std::vector<std::string>{"ip: missing", "listen.front: missing",
                                      "listen.ready: missing", "platform.address: missing"}));
}

TEST_F(PlatformSettingsTest, RejectsInvalidYaml) {
  EXPECT_FALSE(read("{{{").empty());
  EXPECT_FALSE(read("just text").empty());
  EXPECT_FALSE(read_platform_settings("/nonexistent", settings).empty());
}

}  // namespace
}  // namespace stoathold::platform
