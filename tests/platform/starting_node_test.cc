// What a node says by the configuration while it reads the history of it.
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
/// So that a read of 64 kB brings one version.
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

/// A request that was sent to the node, and the version that served it; 0: none.
struct Asked {
  std::string target;
  std::unique_ptr<RecordedExchange> exchange;
};

/// A log of 40 versions, of which the last adds a route and drops another; a node that starts, and
/// a caller that asks it for each route at each step of its reading.
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
  void ask(const std::string& target) {
    std::vector<HttpHeader> headers{{"Host", kHost}, {"X-Request-Id", "id"}};
    asked.push_back({target, std::make_unique<RecordedExchange>(loop.get_executor(), target,
                                                                std::move(headers))});
    boost::asio::co_spawn(loop, gateway.serve(*asked.back().exchange), boost::asio::detached);
  }
  void ask_each() {
    for (const char* target : {kKeptRoute, kAddedRoute, kDroppedRoute}) ask(target);
  }
  void run_for(Duration duration) {
    loop.restart();
    loop.run_for(duration);
  }
  /// One read of the node's is answered.
  void let_a_read_through() {
    log.release();
    run_for(std::chrono::milliseconds(2));
  }
  /// Ends what still waits.
  void finish() {
    running = false;
    for (int step = 0; step < 4; ++step) let_a_read_through();
    run_for(std::chrono::milliseconds(400));
  }
  [[nodiscard]] int denials_of(const std::string& target) const {
    return static_cast<int>(std::count_if(asked.begin(), asked.end(), [&](const Asked& each) {
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
  std::deque<Asked> asked;
  std::vector<std::uint64_t> served_by;  ///< Versions that served a request.
};

// A starting node denied and served by each version of the history as it read it.
TEST_F(StartingNodeTest, NoRequestIsAnsweredByAVersionThatWasReplacedBeforeTheStart) {
  start();
  for (std::uint64_t step = 0; step < kVersions + 2; ++step) {
    ask_each();
    let_a_read_through();
  }
  ask_each();
  run_for(std::chrono::milliseconds(20));
  finish();
  EXPECT_EQ(denials_of(kKeptRoute), 0);
  EXPECT_EQ(denials_of(kAddedRoute), 0);
  EXPECT_GT(denials_of(kDroppedRoute), 0);
  ASSERT_FALSE(served_by.empty());
  EXPECT_EQ(*std::min_element(served_by.begin(), served_by.end()), kVersions);
}

// A starting node read all versions of the history: 72 at once asked the store for 138 MB.
TEST_F(StartingNodeTest, ReadingTheConfigurationCostsOneVersionHoweverManyThereWere) {
  start();
  for (std::uint64_t step = 0; step < kVersions + 2; ++step) let_a_read_through();
  finish();
  ASSERT_TRUE(context.configuration);
  EXPECT_EQ(context.configuration->version, kVersions);
  EXPECT_LT(log.read_of(kConfigurationTopic).bytes, 2 * kPaddingBytes);
}

}  // namespace
}  // namespace stoathold::platform
