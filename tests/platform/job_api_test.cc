// Access control of the batch job API by key and tenant, with an in-process log.
#include "platform/job_api.h"

#include <gtest/gtest.h>

#include "platform/platform_names.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold::platform {
namespace {

constexpr const char* kHost = "drafts.example";

/// Runs a node that serves the job API for two tenants, one of which has two keys.
class JobApiTest : public testing::Test {
 protected:
  JobApiTest()
      : context(loop.get_executor(), header_dialect(), "zone"),
        log(std::make_shared<emulator::LogModel>(), small_limits()),
        store(loop.get_executor(), log, "writer", short_timeouts()),
        api(context, store, nullptr),
        server(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
               [this](HttpExchange& exchange) { return serve(exchange); }) {
    server.start();
    configure({{"alder", {"a1", "a2"}, {}, {}}, {"birch", {"b1"}, {}, {}}});
  }

  boost::asio::awaitable<void> serve(HttpExchange& exchange) {
    if (JobApi::handles(exchange.target())) {
      co_await api.serve(exchange);
      co_return;
    }
    Caller caller;
    caller.tenant = "alder";
    const auto configuration = context.configuration;
    co_await api.submit(exchange, configuration, configuration->routes[0], caller);
  }
  void configure(std::vector<Tenant> tenants) {
    ServingConfiguration next;
    next.version = context.configuration ? context.configuration->version + 1 : 1;
    Route route;
    route.name = "drafts";
    route.host = kHost;
    route.path_prefix = "/drafts/";
    route.kind = RouteKind::kBatch;
    next.routes = {route};
    next.tenants = TenantDirectory(std::move(tenants));
    context.configuration = std::make_shared<const ServingConfiguration>(next);
  }
  HttpReply call(const std::string& method, const std::string& target, const std::string& key,
                 std::string body = {}, const std::string& wait_ms = "0") {
    HttpCall request;
    request.address = server.address();
    request.method = method;
    request.target = target;
    request.body = std::move(body);
    request.headers = {
        {"Host", kHost}, {"Stoathold-Attempt-Id", "j1"}, {"Stoathold-Max-Wait-Ms", wait_ms}};
    if (!key.empty()) request.headers.push_back({"Stoathold-Key", key});
    HttpClient client(loop.get_executor());
    return run_awaitable(loop, client.call(std::move(request)));
  }
  int submit() {
    return call("POST", "/drafts/1", "a1",
                R"({"items":[{"id":"i1","path":"/drafts/2","headers":{},"body":"YWJj",)"
                R"("token_count":10}]})")
        .status;
  }

  boost::asio::io_context loop;
  GatewayContext context;
  FaultyRecordLog log;
  JobStore store;
  JobApi api;
  HttpServer server;
};

TEST_F(JobApiTest, JobIsVisibleToEveryKeyOfItsTenant) {
  ASSERT_EQ(submit(), 202);
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "a1").status, 200);
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "a2").status, 200);
  EXPECT_EQ(call("GET", "/api/items/j1?id=i1", "a2").body, "abc");
}

TEST_F(JobApiTest, JobIsNotVisibleToOtherCallers) {
  ASSERT_EQ(submit(), 202);
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "b1").status, 404);
  EXPECT_EQ(call("GET", "/api/items/j1?id=i1", "b1").status, 404);
  EXPECT_EQ(call("DELETE", "/api/lots/j1", "b1").status, 404);
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "wrong").status, 401);
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "").status, 401);
  EXPECT_EQ(call("DELETE", "/api/lots/j1", "").status, 401);
}

TEST_F(JobApiTest, JobOutlivesTheKeyThatSubmittedIt) {
  ASSERT_EQ(submit(), 202);
  configure({{"alder", {"a2"}, {}, {}}});
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "a1").status, 401);
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "a2").status, 200);
  EXPECT_EQ(call("DELETE", "/api/lots/j1", "a2").status, 200);
  EXPECT_EQ(call("DELETE", "/api/lots/j1", "a2").status, 200);
}

// Guards against a 404 response to a held read whose key is revoked meanwhile: access must be
// checked with the tenant at the start of the call, since the key no longer maps to one.
TEST_F(JobApiTest, HeldReadSurvivesRevocationOfItsKey) {
  ASSERT_EQ(submit(), 202);
  boost::asio::steady_timer timer(loop, std::chrono::milliseconds(30));
  timer.async_wait([&](boost::system::error_code) { configure({{"alder", {"a2"}, {}, {}}}); });
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "a1", {}, "1000").status, 200);
}

TEST_F(JobApiTest, RespondsUnavailableBeforeTheFirstConfiguration) {
  ASSERT_EQ(submit(), 202);
  context.configuration.reset();
  EXPECT_EQ(call("GET", "/api/lots/j1?after_rev=0", "a1").status, 503);
}

}  // namespace
}  // namespace stoathold::platform
