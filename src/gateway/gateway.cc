#include "gateway/gateway.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/log_fields.h"
#include "base/timer.h"
#include "gateway/online_request.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// How long a request waits for the first configuration. A node that has just started has it after
/// one or two calls to the store, some 50 ms. The limit is short enough for another node to serve
/// the refused request in time.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(300);
/// Interval between checks for the first configuration.
constexpr Duration kConfigurationPoll = std::chrono::milliseconds(5);
/// Retry-After, in seconds, of a node that has no configuration yet or cannot confirm that its
/// configuration is the newest.
constexpr const char* kNotReadyRetryAfter = "0.3";

/// Retry-After is truncated to hundredths of a second; adding one keeps it from being too early.
constexpr double kRetryRoundingSeconds = 0.01;
constexpr int kNotFound = 404;

std::string_view kind_name(RouteKind kind) {
  switch (kind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    case RouteKind::kStreaming:
      return "streaming";
    case RouteKind::kBatch:
      break;
  }
  return "batch";
}

}  // namespace

Gateway::Gateway(GatewayContext& context, BatchSubmissionHandler submit_batch)
    : context_(context), submit_batch_(std::move(submit_batch)) {}

asio::awaitable<void> Gateway::wait_for_configuration() {
  const TimePoint until = monotonic_now() + kConfigurationWait;
  Timer timer(context_.executor);
  while (!context_.configuration && monotonic_now() < until) {
    timer.expires_after(kConfigurationPoll);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> Gateway::serve(HttpExchange& exchange) {
  if (!context_.configuration) co_await wait_for_configuration();
  auto configuration = context_.configuration;
  if (!configuration) {
    co_await refuse_not_ready(exchange, "no_configuration");
    co_return;
  }
  CallerCheck check = check_caller(*configuration, context_.dialect, exchange);
  if (!check.allowed()) {
    const bool confirmed = co_await context_.confirm_configuration();
    if (!confirmed) {
      log_unconfirmed_denial(exchange, check);
      co_await refuse_not_ready(exchange, "configuration_unconfirmed");
      co_return;
    }
    configuration = context_.configuration;
    check = check_caller(*configuration, context_.dialect, exchange);
  }
  if (!check.allowed()) {
    co_await refuse(exchange, *configuration, check);
    co_return;
  }
  if (exchange.header(context_.dialect.request_id).empty()) {
    co_await exchange.respond(400, "application/json", R"({"error":"no_request_id"})");
    co_return;
  }
  co_await serve_route(exchange, configuration, check);
}

asio::awaitable<void> Gateway::refuse_not_ready(HttpExchange& exchange, const char* reason) {
  ++context_.metrics.refusals[reason];
  std::vector<HttpHeader> headers{{"Retry-After", kNotReadyRetryAfter}};
  co_await exchange.respond(503, "application/json", R"({"error":"not_ready"})",
                            std::move(headers));
}

void Gateway::log_unconfirmed_denial(const HttpExchange& exchange, const CallerCheck& check) {
  const ConfigurationPosition position = context_.configuration_position();
  log_event(Event::kDenialUnconfirmed,
            {{"request", std::string(exchange.header(context_.dialect.request_id))},
             {"host", normalize_host(exchange.header("Host"))},
             {"reason", check.reason},
             {"configuration", std::to_string(context_.configuration->version)},
             {"behind", std::to_string(position.unread_records())},
             {"confirmed_ms", position.age_text(monotonic_now())}});
}

asio::awaitable<void> Gateway::refuse(HttpExchange& exchange,
                                      const ServingConfiguration& configuration,
                                      const CallerCheck& check) {
  ++context_.metrics.refusals[check.reason];
  const Event event = check.status == kNotFound ? Event::kNoRoute : Event::kCallerRefused;
  const ConfigurationPosition position = context_.configuration_position();
  log_event(event, {{"request", std::string(exchange.header(context_.dialect.request_id))},
                    {"host", normalize_host(exchange.header("Host"))},
                    {"reason", check.reason},
                    {"key_hash", key_fingerprint(check.caller.key)},
                    {"configuration", std::to_string(configuration.version)},
                    {"behind", std::to_string(position.unread_records())},
                    {"confirmed_ms", position.age_text(monotonic_now())}});
  std::string body = std::string(R"({"error":")") + check.reason + R"("})";
  co_await exchange.respond(check.status, "application/json", std::move(body));
}

AdmissionDecision Gateway::admit(const Tenant* tenant) {
  if (tenant == nullptr) return {};
  const AdmissionDecision decision = context_.tenant_limits.admit(*tenant, monotonic_now());
  context_.metrics.count_tenant_request(tenant->name, decision.admitted ? "admitted" : "refused");
  return decision;
}

asio::awaitable<void> Gateway::refuse_over_limit(HttpExchange& exchange,
                                                 const ServingConfiguration& configuration,
                                                 const CallerCheck& check, Duration retry_after) {
  ++context_.metrics.refusals["tenant_limit"];
  log_event(Event::kTenantOverLimit,
            {{"request", std::string(exchange.header(context_.dialect.request_id))},
             {"tenant", check.caller.tenant},
             {"retry_after_ms", milliseconds_text(retry_after)},
             {"silent_nodes", std::to_string(context_.tenant_limits.silent_nodes())},
             {"configuration", std::to_string(configuration.version)}});
  const double seconds = to_seconds(retry_after) + kRetryRoundingSeconds;
  std::vector<HttpHeader> headers{{"Retry-After", decimal_text(seconds)}};
  co_await exchange.respond(429, "application/json", R"({"error":"tenant_limit"})",
                            std::move(headers));
}

asio::awaitable<void> Gateway::serve_route(
    HttpExchange& exchange, std::shared_ptr<const ServingConfiguration> configuration,
    const CallerCheck& check) {
  const Route& route = *check.route;
  if (route.kind == RouteKind::kBatch) {
    co_await submit_batch_(exchange, configuration, route, check.caller);
    co_return;
  }
  const AdmissionDecision decision = admit(check.tenant);
  if (!decision.admitted) {
    co_await refuse_over_limit(exchange, *configuration, check, decision.retry_after);
    co_return;
  }
  const TimePoint start = monotonic_now();
  const auto request =
      std::make_shared<OnlineRequest>(context_, exchange, configuration, route, check.caller);
  const RequestOutcome outcome = co_await request->serve();
  if (outcome == RequestOutcome::kRefused) {
    context_.tenant_limits.refund(check.caller.tenant, monotonic_now());
  }
  const std::string kind(kind_name(route.kind));
  ++context_.metrics.requests[{kind, std::string(to_string(outcome))}];
  if (outcome == RequestOutcome::kServed) {
    context_.startup.mark_reached(StartupStep::kFirstRequestServed, monotonic_now());
  }
  const Event event =
      outcome == RequestOutcome::kServed ? Event::kRequestServed : Event::kRequestEnded;
  const auto response_delay = request->response_delay();
  const bool in_time = response_delay && *response_delay <= route.latency_objective;
  log_event(event, {{"request", request->id()},
                    {"route", route.name},
                    {"tenant", check.caller.tenant},
                    {"outcome", std::string(to_string(outcome))},
                    {"configuration", std::to_string(configuration->version)},
                    {"runs", std::to_string(request->runs())},
                    {"in_time", in_time ? "yes" : "no"},
                    {"answer_ms", response_delay ? milliseconds_text(*response_delay) : "none"},
                    {"duration_ms", milliseconds_text(monotonic_now() - start)}});
}

}  // namespace stoathold
