/// @file
/// Test fixture: a gateway on loopback with scripted runners, and a caller.
#pragma once

#include <gtest/gtest.h>

#include "gateway/gateway.h"
#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {

inline constexpr const char* kHost = "a.example";

/// A response as the caller received it.
struct CallerView {
  bool complete = false;  ///< The response ended regularly.
  int status = 0;
  std::string body;
  std::string retry_after;
  std::string transfer_encoding;
};

/// A gateway on loopback with scripted runners, and a caller.
class GatewayFixture : public testing::Test {
 protected:
  GatewayFixture()
      : context(loop.get_executor(), HeaderDialect{}, "zone", memory),
        gateway(context, nullptr),
        server(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
               [this](HttpExchange& exchange) { return gateway.serve(exchange); }) {
    server.start();
  }

  /// Adds a runner. Runners are selected in the order in which they are added.
  void add_runner(ScriptedRunner& runner, const std::string& version = "") {
    const std::string id = "r" + std::to_string(context.runners.all().size() + 1);
    RunnerRecord record{id, "chat", runner.address(), "zone", slots, false};
    record.software_version = version;
    context.runners.upsert(std::move(record));
    // Runners that were added earlier have less load and are preferred.
    for (std::size_t i = 1; i < context.runners.all().size(); ++i) {
      context.runners.all().at(id)->begin_attempt();
    }
  }
  void configure(RouteKind kind, bool resumable, std::uint32_t max_attempts = 2) {
    ServingConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.name = "r";
    route.host = kHost;
    route.path_prefix = "/x/";
    route.kind = kind;
    route.services = {{"chat", 1}};
    route.timeout = std::chrono::seconds(100);
    route.latency_objective = std::chrono::seconds(10);
    route.event_gap_objective = event_gap_objective;
    route.max_attempts = max_attempts;
    route.resumable = resumable;
    configuration.routes.push_back(route);
    configuration.services["chat"] = {.name = "chat", .health_path = health_path};
    context.configuration = std::make_shared<const ServingConfiguration>(configuration);
  }
  CallerView ask(const std::string& target = "/x/1") { return run_awaitable(loop, call(target)); }
  boost::asio::awaitable<CallerView> call(std::string target) {
    HttpClient client(loop.get_executor());
    HttpCall request;
    request.address = server.address();
    request.method = "POST";
    request.target = std::move(target);
    request.body = body;
    request.headers = {{"Host", kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", deadline_ms}};
    request.headers.insert(request.headers.end(), more_headers.begin(), more_headers.end());
    request.timeout = std::chrono::seconds(100);
    const HttpReply reply = co_await client.call(std::move(request));
    CallerView view;
    view.complete = reply.progress == HttpProgress::kAnswered;
    view.status = reply.status;
    view.body = reply.body;
    view.retry_after = std::string(reply.header("Retry-After"));
    view.transfer_encoding = std::string(reply.header("Transfer-Encoding"));
    co_return view;
  }

  std::string health_path;  ///< Of the service; empty: runners cannot be probed.
  Duration event_gap_objective = std::chrono::seconds(10);
  std::uint32_t slots = 10;  ///< Slots of each runner that is added.
  std::string id = "id-1";
  std::vector<HttpHeader> more_headers;
  std::string deadline_ms = "15000";
  std::string body = "question";
  /// Must outlive the loop, whose coroutines hold reservations.
  std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>();
  boost::asio::io_context loop;
  GatewayContext context;
  Gateway gateway;
  HttpServer server;
};

}  // namespace stoathold
