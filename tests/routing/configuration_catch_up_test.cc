#include "routing/configuration_catch_up.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

/// A node that has read version 9 from the store, and a node with an older version.
class ConfigurationCatchUpTest : public testing::Test {
 protected:
  ConfigurationCatchUpTest()
      : peer(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
             [this](HttpExchange& exchange) { return answer(exchange); }),
        catch_up(
            loop.get_executor(), [this] { return version; },
            [this](const StoredRecord& record) {
              applied.push_back(record);
              version = std::max<std::uint64_t>(version, std::stoull(record.value));
            }) {
    peer.start();
  }
  boost::asio::awaitable<void> answer(HttpExchange& exchange) {
    ++calls;
    target = std::string(exchange.target());
    std::vector<HttpHeader> headers{{kRecordOffsetHeader, "41"}};
    const std::string record = status == 204 ? "" : "9";
    co_await exchange.respond(status, "application/json", record, std::move(headers));
  }
  /// Advertises a version repeatedly, every 20 ms as digests do.
  void advertise(std::uint64_t advertised_version, int times) {
    for (int i = 0; i < times; ++i) {
      catch_up.on_version_advertised(peer.address(), advertised_version);
      loop.run_for(std::chrono::milliseconds(20));
    }
  }

  boost::asio::io_context loop;
  std::uint64_t version = 5;
  int status = 200;
  int calls = 0;
  std::string target;
  std::vector<StoredRecord> applied;
  HttpServer peer;
  ConfigurationCatchUp catch_up;
};

TEST_F(ConfigurationCatchUpTest, FetchesNewerVersionFromNodeIfStoreDoesNotDeliverIt) {
  advertise(9, 30);
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_EQ(applied[0].offset, 41U);
  EXPECT_EQ(version, 9U);
  EXPECT_EQ(target, kConfigurationTarget);
  advertise(9, 30);
  EXPECT_EQ(calls, 1);
}

TEST_F(ConfigurationCatchUpTest, WaitsForStoreToDeliver) {
  advertise(9, 3);
  version = 9;
  advertise(9, 30);
  EXPECT_EQ(calls, 0);
}

TEST_F(ConfigurationCatchUpTest, NeverRequestsOlderVersion) {
  version = 12;
  advertise(9, 30);
  EXPECT_EQ(calls, 0);
  EXPECT_EQ(version, 12U);
}

TEST_F(ConfigurationCatchUpTest, NodeWithoutVersionSendsNoRequest) {
  version = 0;
  advertise(9, 30);
  EXPECT_EQ(calls, 0);
}

TEST_F(ConfigurationCatchUpTest, FailedCallChangesNothingAndIsRetried) {
  status = 404;
  advertise(9, 30);
  EXPECT_TRUE(applied.empty());
  EXPECT_EQ(version, 5U);
  status = 200;
  advertise(9, 30);
  EXPECT_EQ(version, 9U);
}

TEST_F(ConfigurationCatchUpTest, AnotherNodeConfirmsNewestRecord) {
  status = 204;
  EXPECT_TRUE(run_awaitable(loop, catch_up.confirm({peer.address()}, RecordOffset{41})));
  EXPECT_EQ(target, kConfirmedConfigurationTarget);
  EXPECT_TRUE(applied.empty());
  status = 200;
  EXPECT_TRUE(run_awaitable(loop, catch_up.confirm({peer.address()}, RecordOffset{40})));
  EXPECT_EQ(version, 9U);
}

TEST_F(ConfigurationCatchUpTest, NodeThatCannotReadLogDoesNotConfirm) {
  status = 503;
  EXPECT_FALSE(run_awaitable(
      loop, catch_up.confirm({peer.address(), peer.address(), peer.address()}, RecordOffset{41})));
  EXPECT_EQ(calls, 2);
  EXPECT_TRUE(applied.empty());
}

}  // namespace
}  // namespace stoathold
