// Responses of a starting node while it reads the history of the configuration.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <deque>

#include "gateway/gateway.h"
#include "platform/platform_names.h"
#include "platform/store_sinks.h"
#include "tests/jobs/paged_record_log.h"
#include "tests/platform/recorded_exchange.h"

namespace stoathold::platform {
namespace {

namespace json = boost::json;

constexpr const char* kHost = "a.example";
constexpr const char* kKeptRoute = "/kept/";
constexpr const char* kAddedRoute = "/added/";
constexpr const char* kDroppedRoute = "/dropped/";
constexpr std::uint64_t kVersions = 40;
/// Padding that makes a read of 64 kB return one version.
constexpr std::size_t kPaddingBytes = 60UL * 1024;

json::object route(const std::string& prefix) {
  return {{"name", prefix},        {"host", kHost},
          {"path_prefix", prefix}, {"kind", "batch"},
          {"service", "chat"},     {"timeout_ms", 20000},
          {"max_attempts", 1},     {"completion_target_ms", 20000}};
}

std::string configuration(std::uint64_t version, const std::vector<std::string>& prefixes) {
  json::array routes;
  for (const auto& prefix : prefixes) routes.push_back(route(prefix));
  json::object object{{"version", version},
                      {"routes", std::move(routes)},
                      {"services", json::array{}},
                      {"padding", std::string(kPaddingBytes, 'p')}};
  return json::serialize(object);
}

/// A request sent to the node, with its recorded exchange.
struct SentRequest {
  std::string target;
  std::unique_ptr<RecordedExchange> exchange;
};

/// Sets up a log of 40 versions, the last of which adds one route and removes another, a starting
/// node, and a caller that requests each route after each read of the node.
class StartingNodeTest : public testing::Test {
 protected:
  StartingNodeTest()
      : context(loop.get_executor(), HeaderDialect{}, "z"),
        gateway(context,
                [this](HttpExchange& exchange, auto configuration, const Route&, const Caller&) {
                  return submit(exchange, configuration->version);
                }),
        log(model, loop.get_executor()),
        sink(context, nullptr),
        replica(std::make_shared<PartitionReplica>(log, kPartition, sink, ReplicaScope::kNewest)) {
    for (std::uint64_t version = 1; version < kVersions; ++version) {
      append(version, {kKeptRoute, kDroppedRoute});
    }
    append(kVersions, {kKeptRoute, kAddedRoute});
    log.hold_reads(kConfigurationTopic);
  }

  void append(std::uint64_t version, const std::vector<std::string>& prefixes) {
    model->append(kPartition, {{kConfigurationKey, configuration(version, prefixes)}}, {});
  }
  boost::asio::awaitable<void> submit(HttpExchange& exchange, std::uint64_t version) {
    served_by.push_back(version);
    co_await exchange.respond(202, "application/json", "{}");
  }
  void start() {
    boost::asio::co_spawn(loop, replica->follow([this] { return running; }), boost::asio::detached);
  }
  void send_request(const std::string& target) {
    std::vector<HttpHeader> headers{{"Host", kHost}, {"X-Request-Id", "id"}};
    sent_requests.push_back({target, std::make_unique<RecordedExchange>(loop.get_executor(), target,
                                                                        std::move(headers))});
    boost::asio::co_spawn(loop, gateway.serve(*sent_requests.back().exchange),
                          boost::asio::detached);
  }
  void request_each_route() {
    for (const char* target : {kKeptRoute, kAddedRoute, kDroppedRoute}) send_request(target);
  }
  void run_for(Duration duration) {
    loop.restart();
    loop.run_for(duration);
  }
  /// Completes one pending read of the node.
  void release_one_read() {
    log.release();
    run_for(std::chrono::milliseconds(2));
  }
  /// Completes all pending operations.
  void finish() {
    running = false;
    for (int step = 0; step < 4; ++step) release_one_read();
    run_for(std::chrono::milliseconds(400));
  }
  [[nodiscard]] int count_denials(const std::string& target) const {
    return static_cast<int>(
        std::count_if(sent_requests.begin(), sent_requests.end(), [&](const SentRequest& each) {
          return each.target == target && each.exchange->status == 404;
        }));
  }

  static inline const PartitionName kPartition{kConfigurationTopic, 0};
  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model = std::make_shared<emulator::LogModel>();
  GatewayContext context;
  Gateway gateway;
  PagedRecordLog log;
  ConfigurationSink sink;
  std::shared_ptr<PartitionReplica> replica;
  bool running = true;
  std::deque<SentRequest> sent_requests;
  std::vector<std::uint64_t> served_by;  ///< Versions that served a request.
};

// Guards against a starting node that applies each historical version as it reads it: requests were
// rejected or served according to outdated versions.
TEST_F(StartingNodeTest, NoRequestIsServedByAVersionReplacedBeforeTheStart) {
  start();
  for (std::uint64_t step = 0; step < kVersions + 2; ++step) {
    request_each_route();
    release_one_read();
  }
  request_each_route();
  run_for(std::chrono::milliseconds(20));
  finish();
  EXPECT_EQ(count_denials(kKeptRoute), 0);
  EXPECT_EQ(count_denials(kAddedRoute), 0);
  EXPECT_GT(count_denials(kDroppedRoute), 0);
  ASSERT_FALSE(served_by.empty());
  EXPECT_EQ(*std::min_element(served_by.begin(), served_by.end()), kVersions);
}

// Guards against a starting node that reads every historical version: 72 nodes that started
// together requested 138 MB from the store.
TEST_F(StartingNodeTest, ReadsOnlyTheNewestVersion) {
  start();
  for (std::uint64_t step = 0; step < kVersions + 2; ++step) release_one_read();
  finish();
  ASSERT_TRUE(context.configuration);
  EXPECT_EQ(context.configuration->version, kVersions);
  EXPECT_LT(log.reads_of_topics(kConfigurationTopic).bytes, 2 * kPaddingBytes);
}

}  // namespace
}  // namespace stoathold::platform
