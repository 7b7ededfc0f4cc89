// API keys, tenants and rate limits at the gateway: access decisions and headers sent to runners.
#include <gtest/gtest.h>

#include "gateway/gateway.h"
#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr const char* kHost = "a.example";
constexpr const char* kKey = "key-of-alder";

/// A gateway on loopback with one runner that has one slot, and two tenants.
class TenantAccessTest : public testing::Test {
 protected:
  TenantAccessTest()
      : context(loop.get_executor(), HeaderDialect{}, "zone"),
        gateway(context, nullptr),
        runner(loop, {{stream_head() + chunk(event(1)) + kLastChunk}}),
        server(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
               [this](HttpExchange& exchange) { return gateway.serve(exchange); }) {
    server.start();
    context.runners.upsert({"r1", "chat", runner.address(), "zone", 1, false});
    configure(tenants());
  }

  static std::vector<Tenant> tenants() {
    return {{"alder", {kKey, "second-key"}, {}, {}}, {"birch", {"key-of-birch"}, {}, {}}};
  }
  static Route route(const std::string& prefix, bool anonymous_access) {
    Route route;
    route.name = prefix;
    route.host = kHost;
    route.path_prefix = prefix;
    route.kind = RouteKind::kStreaming;
    route.resumable = true;
    route.services = {{"chat", 1}};
    route.timeout = std::chrono::seconds(20);
    route.latency_objective = std::chrono::seconds(10);
    route.anonymous_access = anonymous_access;
    return route;
  }
  void configure(std::vector<Tenant> tenants) {
    ServingConfiguration configuration;
    configuration.version = context.configuration ? context.configuration->version + 1 : 1;
    configuration.routes = {route("/x/", false), route("/open/", true)};
    configuration.tenants = TenantDirectory(std::move(tenants));
    context.configuration = std::make_shared<const ServingConfiguration>(configuration);
    context.tenant_limits.set_tenants(configuration.tenants, monotonic_now());
  }
  boost::asio::awaitable<HttpReply> call(std::string target, std::vector<HttpHeader> headers) {
    HttpClient client(loop.get_executor());
    HttpCall request;
    request.address = server.address();
    request.method = "POST";
    request.target = std::move(target);
    request.headers = std::move(headers);
    request.headers.push_back({"Host", kHost});
    request.headers.push_back({"X-Request-Id", "id-1"});
    HttpReply reply = co_await client.call(std::move(request));
    co_return reply;
  }
  HttpReply ask(const std::string& target, const std::string& key) {
    std::vector<HttpHeader> headers{{"X-Tenant", "forged"}};
    if (!key.empty()) headers.push_back({"X-Api-Key", key});
    return run_awaitable(loop, call(target, std::move(headers)));
  }

  boost::asio::io_context loop;
  GatewayContext context;
  Gateway gateway;
  ScriptedRunner runner;
  HttpServer server;
};

TEST_F(TenantAccessTest, RefusesUnknownKeysWithoutReachingARunner) {
  EXPECT_EQ(ask("/x/1", "wrong").status, 401);
  EXPECT_EQ(ask("/x/1", "").status, 401);
  EXPECT_TRUE(runner.requests.empty());
}

TEST_F(TenantAccessTest, RespondsNotFoundOnlyToKnownKeys) {
  EXPECT_EQ(ask("/y/1", kKey).status, 404);
  EXPECT_EQ(ask("/y/1", "wrong").status, 401);
}

TEST_F(TenantAccessTest, WithoutAConfigurationRespondsUnavailableToAnyKey) {
  context.configuration.reset();
  EXPECT_EQ(ask("/x/1", "wrong").status, 503);
}

TEST_F(TenantAccessTest, ForwardsTheTenantButNotTheKey) {
  EXPECT_EQ(ask("/x/1", "second-key").status, 200);
  ASSERT_EQ(runner.requests.size(), 1U);
  EXPECT_NE(runner.requests[0].find("X-Tenant: alder"), std::string::npos);
  EXPECT_EQ(runner.requests[0].find("forged"), std::string::npos);
  EXPECT_EQ(runner.requests[0].find("second-key"), std::string::npos);
}

TEST_F(TenantAccessTest, AnonymousAccessNeedsNoKeyAndForwardsNoTenant) {
  EXPECT_EQ(ask("/open/1", "").status, 200);
  ASSERT_EQ(runner.requests.size(), 1U);
  EXPECT_EQ(runner.requests[0].find("X-Tenant"), std::string::npos);
}

TEST_F(TenantAccessTest, RefusesARevokedKeyOnAnExistingConnection) {
  EXPECT_EQ(ask("/x/1", kKey).status, 200);
  configure({{"alder", {"second-key"}, {}, {}}});
  EXPECT_EQ(ask("/x/1", kKey).status, 401);
  EXPECT_EQ(ask("/x/1", "second-key").status, 200);
}

TEST_F(TenantAccessTest, TheLastKeyOfATenantCanBeRevoked) {
  configure({{"alder", {}, {}, {}}, {"birch", {"key-of-birch"}, {}, {}}});
  EXPECT_EQ(ask("/x/1", kKey).status, 401);
  EXPECT_EQ(ask("/x/1", "key-of-birch").status, 200);
}

TEST_F(TenantAccessTest, ARequestWhoseKeyIsRevokedWhileItWaitsReachesNoRunner) {
  const auto full = context.runners.all().at("r1");
  full->begin_attempt();
  boost::asio::steady_timer timer(loop, std::chrono::milliseconds(60));
  timer.async_wait([&](boost::system::error_code) {
    configure({{"birch", {"key-of-birch"}, {}, {}}});
    full->end_attempt(AttemptOutcome::kAbandoned, monotonic_now());
    context.placement.capacity_changed();
  });
  EXPECT_EQ(ask("/x/1", kKey).status, 401);
  EXPECT_TRUE(runner.requests.empty());
  EXPECT_EQ(full->in_flight(), 0U);
}

TEST_F(TenantAccessTest, RefusesRequestsOverTheLimitWithRetryAfter) {
  context.tenant_limits.on_node_heard(7, monotonic_now());
  configure({{"alder", {kKey}, {}, {0.01, 1}}});
  EXPECT_EQ(ask("/x/1", kKey).status, 200);
  const HttpReply refused = ask("/x/1", kKey);
  EXPECT_EQ(refused.status, 429);
  // The limit is one request in 100 s, so a retry after that time is admitted.
  const double retry_after = std::stod(std::string(refused.header("Retry-After")));
  EXPECT_GT(retry_after, 90);
  EXPECT_LE(retry_after, 101);
  EXPECT_EQ(runner.requests.size(), 1U);
  EXPECT_EQ((context.metrics.tenant_requests[{"alder", "refused"}]), 1U);
}

TEST_F(TenantAccessTest, RequestsThatWereNotRunDoNotCountAgainstTheLimit) {
  configure({{"alder", {kKey}, {}, {0.01, 1}}});
  context.runners.remove("r1");
  EXPECT_EQ(ask("/x/1", kKey).status, 503);
  EXPECT_EQ(ask("/x/1", kKey).status, 503);
}

TEST_F(TenantAccessTest, ATenantsPriorityOverridesThatOfTheRoute) {
  configure({{"alder", {kKey}, 3, {}}});
  const auto check_of = [&](const std::string& key) {
    return context.configuration->tenants.identify(key, false).tenant->priority;
  };
  EXPECT_EQ(check_of(kKey), 3U);
}

/// No runner can be sent the name of such a tenant, so trying others would only delay the refusal.
TEST_F(TenantAccessTest, RequestWithAHeaderTooLongForRunnersIsRefusedAndReturnsItsSlot) {
  constexpr std::size_t kNameBytes = 70'000;
  configure({{std::string(kNameBytes, 't'), {kKey}, {}, {}}});
  EXPECT_EQ(ask("/x/1", kKey).status, 431);
  EXPECT_EQ(runner.connections, 0);
  EXPECT_EQ(context.runners.all().at("r1")->in_flight(), 0U);
}

}  // namespace
}  // namespace stoathold
