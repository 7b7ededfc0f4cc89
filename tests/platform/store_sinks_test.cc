#include "platform/store_sinks.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace stoathold::platform {
namespace {

std::string configuration(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}
std::string runner(const std::string& state) {
  return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":")" + state +
         R"("})";
}

class StoreSinksTest : public testing::Test {
 protected:
  boost::asio::io_context loop;
  GatewayContext context{loop.get_executor(), HeaderDialect{}, "z"};
};

TEST_F(StoreSinksTest, VersionNeverDecreasesAndMalformedRecordsAreIgnored) {
  int calls = 0;
  ConfigurationSink sink(context, [&](const ServingConfiguration&) { ++calls; });
  sink.apply({0, "config", configuration(5)});
  sink.apply({1, "config", configuration(4)});
  sink.apply({2, "config", "damaged"});
  sink.apply({3, "other", configuration(9)});
  EXPECT_FALSE(context.configuration);
  sink.on_caught_up();
  EXPECT_EQ(context.configuration->version, 5U);
  sink.apply({4, "config", configuration(3)});
  sink.on_caught_up();
  EXPECT_EQ(context.configuration->version, 5U);
  sink.reset({{7, "config", configuration(6)}}, 8);
  EXPECT_EQ(context.configuration->version, 6U);
  EXPECT_EQ(calls, 2);
}

TEST_F(StoreSinksTest, PeerRecordIsAppliedOnlyIfNewer) {
  ConfigurationSink sink(context, nullptr);
  sink.apply({10, "config", configuration(5)});
  sink.on_caught_up();
  sink.apply_from_peer({9, "", configuration(4)});
  EXPECT_EQ(context.configuration->version, 5U);
  EXPECT_EQ(sink.active_record().offset, 10U);
  sink.apply_from_peer({11, "", configuration(7)});
  EXPECT_EQ(context.configuration->version, 7U);
  EXPECT_EQ(sink.active_record().value, configuration(7));
  // The store delivers the same record later.
  sink.apply({11, "config", configuration(7)});
  EXPECT_EQ(sink.active_record().offset, 11U);
}

// Guards against a starting node that sends requests to runners that were removed long ago, while
// it still reads the list.
TEST_F(StoreSinksTest, RemovedRunnerIsNotUsedDuringInitialRead) {
  RunnerSink sink(context);
  sink.apply({0, "r1", runner("ready")});
  sink.apply({1, "r2", runner("ready")});
  sink.reset({{2, "r2", runner("ready")}, {3, "r3", runner("ready")}}, 4);
  EXPECT_TRUE(context.runners.all().empty());
  sink.apply({4, "r2", runner("draining")});
  sink.apply({5, "r3", ""});
  EXPECT_TRUE(context.runners.all().empty());
  sink.on_caught_up();
  ASSERT_EQ(context.runners.all().size(), 1U);
  EXPECT_FALSE(context.runners.all().at("r2")->available());
}

TEST_F(StoreSinksTest, RunnersAreAddedDrainedAndRemoved) {
  RunnerSink sink(context);
  sink.on_caught_up();
  sink.apply({0, "r1", runner("ready")});
  const auto added_runner = context.runners.all().at("r1");
  EXPECT_TRUE(added_runner->available());
  sink.apply({1, "r1", runner("draining")});
  EXPECT_FALSE(added_runner->available());
  sink.apply({2, "r1", "damaged"});
  EXPECT_FALSE(added_runner->available());
  sink.apply({3, "r1", ""});
  EXPECT_TRUE(context.runners.all().empty());
  sink.apply({4, "r1", runner("ready")});
  sink.reset({{9, "r2", runner("ready")}}, 10);
  EXPECT_TRUE(context.runners.all().contains("r2"));
  EXPECT_FALSE(context.runners.all().contains("r1"));
}

}  // namespace
}  // namespace stoathold::platform
