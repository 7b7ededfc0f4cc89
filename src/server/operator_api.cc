#include "server/operator_api.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>

#include "base/event_log.h"
#include "base/timer.h"
#include "net/http_target.h"
#include "server/error_response.h"
#include "server/metrics.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kWatchPeriod = std::chrono::milliseconds(100);
constexpr Duration kWatchKeepAlive = std::chrono::seconds(10);
constexpr std::uint64_t kMaxWatchSeconds = 3600;

std::string_view to_string(MemberState state) {
  switch (state) {
    case MemberState::kStarting:
      return "starting";
    case MemberState::kReady:
      return "ready";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view to_string(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
    case Liveness::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

std::string_view to_string(RunnerHealth health) {
  switch (health) {
    case RunnerHealth::kHealthy:
      return "healthy";
    case RunnerHealth::kEjected:
      return "ejected";
    case RunnerHealth::kProbation:
      return "probation";
  }
  return "unknown";
}

/// Returns the status conditions of a resource as this node sees them, with their reasons.
json::array conditions_of(NodeRuntime& runtime, const Resource& resource) {
  json::array conditions;
  conditions.push_back(
      json::object{{"type", "Accepted"}, {"status", true}, {"reason", "in force at this node"}});
  if (resource.kind != kServiceKind) return conditions;
  std::size_t available = 0;
  std::size_t total = 0;
  for (const auto& runner : runtime.core().runners().list()) {
    if (runner.listed.service != resource.name) continue;
    ++total;
    if (!runner.leaving && runner.health != RunnerHealth::kEjected) ++available;
  }
  const std::string reason =
      std::to_string(available) + " of " + std::to_string(total) + " runners are fit to serve";
  conditions.push_back(
      json::object{{"type", "Available"}, {"status", available > 0}, {"reason", reason}});
  return conditions;
}

json::object to_json(NodeRuntime& runtime, const Resource& resource) {
  boost::system::error_code error;
  auto specification = json::parse(resource.body, error);
  return json::object{{"kind", resource.kind},
                      {"name", resource.name},
                      {"version", value_of(resource.version)},
                      {"spec", error ? json::value() : std::move(specification)},
                      {"status", json::object{{"conditions", conditions_of(runtime, resource)}}}};
}

asio::awaitable<void> respond_json(HttpExchange& exchange, const json::value& body) {
  co_await exchange.respond(200, "application/json", json::serialize(body));
}

asio::awaitable<void> respond_items(HttpExchange& exchange, json::array items) {
  json::object body;
  body["items"] = std::move(items);
  co_await respond_json(exchange, body);
}

asio::awaitable<void> list_resources(NodeRuntime& runtime, HttpExchange& exchange,
                                     const std::string& kind) {
  json::array items;
  for (const auto& resource : runtime.core().configuration().list(kind)) {
    items.push_back(to_json(runtime, resource));
  }
  const auto version = value_of(runtime.core().configuration().next_offset());
  const json::object body{{"items", items}, {"version", version}};
  co_await respond_json(exchange, body);
}

asio::awaitable<void> get_resource(NodeRuntime& runtime, HttpExchange& exchange,
                                   const std::string& kind, const std::string& name) {
  const auto resource = runtime.core().configuration().find(kind, name);
  if (!resource) {
    const auto error =
        not_run_error(ErrorCode::kNotFound, Step::kApply, "no " + kind + " '" + name + "'");
    co_await send_error_response(exchange, error);
    co_return;
  }
  co_await respond_json(exchange, to_json(runtime, *resource));
}

bool parse_put(const std::string& body, ResourceChange& change, Error& error) {
  boost::system::error_code parse_error;
  const auto value = json::parse(body, parse_error);
  const auto* specification =
      !parse_error && value.is_object() ? value.get_object().if_contains("spec") : nullptr;
  if (specification == nullptr) {
    error = not_run_error(ErrorCode::kInvalidResource, Step::kParse,
                          "the body must be a JSON object with 'spec' and 'version'");
    return false;
  }
  if (const auto* version = value.get_object().if_contains("version")) {
    boost::system::error_code number_error;
    change.expected_version = Offset{version->to_number<std::uint64_t>(number_error)};
    if (number_error) {
      error = not_run_error(ErrorCode::kInvalidResource, Step::kParse, "version must be a number");
      return false;
    }
  }
  change.body = json::serialize(*specification);
  const auto faults = check_resource(change.kind, change.name, change.body);
  if (faults.empty()) return true;
  std::string message;
  for (const auto& fault : faults) {
    if (!message.empty()) message += "; ";
    message += fault.field + " " + fault.message;
  }
  error = not_run_error(ErrorCode::kInvalidResource, Step::kParse, message);
  return false;
}

asio::awaitable<void> change_resource(NodeRuntime& runtime, HttpExchange& exchange,
                                      ResourceChange change) {
  const std::string subject = change.kind + "/" + change.name;
  if (!runtime.core().readiness().ready) {
    auto error =
        not_run_error(ErrorCode::kNotReady, Step::kApply, runtime.core().readiness().reason);
    error.retry_after = std::chrono::seconds(1);
    co_await send_error_response(exchange, error);
    co_return;
  }
  const bool deleted = change.deleted;
  const auto outcome = co_await runtime.change_resource(std::move(change), exchange.executor());
  if (!outcome.accepted) {
    log_event(Event::kResourceRefused,
              {{"resource", subject}, {"error", outcome.error.code.message()}});
    co_await send_error_response(exchange, outcome.error);
    co_return;
  }
  const auto version = value_of(outcome.version);
  log_event(Event::kResourceChanged, {{"resource", subject}, {"version", std::to_string(version)}});
  const json::object body{{"resource", subject}, {"version", version}, {"deleted", deleted}};
  co_await respond_json(exchange, body);
}

asio::awaitable<bool> serve_resources(NodeRuntime& runtime, HttpExchange& exchange,
                                      const HttpTarget& target) {
  const auto& path = target.segments;
  const auto method = exchange.method();
  if (path.size() == 2 && method == "GET") {
    co_await list_resources(runtime, exchange, "");
    co_return true;
  }
  if (path.size() == 3 && method == "GET") {
    co_await list_resources(runtime, exchange, path[2]);
    co_return true;
  }
  if (path.size() != 4) co_return false;
  if (method == "GET") {
    co_await get_resource(runtime, exchange, path[2], path[3]);
    co_return true;
  }
  ResourceChange change;
  change.kind = path[2];
  change.name = path[3];
  if (method == "DELETE") {
    change.deleted = true;
    change.expected_version = Offset{target.number("version", 0)};
  } else if (method == "PUT") {
    Error error;
    if (!parse_put(exchange.body(), change, error)) {
      co_await send_error_response(exchange, error);
      co_return true;
    }
  } else {
    co_return false;
  }
  co_await change_resource(runtime, exchange, std::move(change));
  co_return true;
}

using ResourceKey = std::pair<std::string, std::string>;

std::string format_watch_event(std::string_view type, json::object object) {
  return json::serialize(json::object{{"type", type}, {"object", std::move(object)}}) + "\n";
}

/// Formats one event for each resource that differs from `known`, then updates `known`. Resources
/// that are not in `known` are reported only from version `from` on.
std::string format_watch_events(NodeRuntime& runtime, const std::string& kind, Offset from,
                                std::map<ResourceKey, Offset>& known) {
  std::string lines;
  std::map<ResourceKey, Offset> present;
  for (const auto& resource : runtime.core().configuration().list(kind)) {
    const ResourceKey key{resource.kind, resource.name};
    present[key] = resource.version;
    const auto previous = known.find(key);
    const bool changed =
        previous == known.end() ? resource.version >= from : previous->second != resource.version;
    if (!changed) continue;
    const auto type = previous == known.end() ? "ADDED" : "MODIFIED";
    lines += format_watch_event(type, to_json(runtime, resource));
  }
  for (const auto& [key, version] : known) {
    if (present.contains(key)) continue;
    lines += format_watch_event("DELETED", {{"kind", key.first}, {"name", key.second}});
  }
  known = std::move(present);
  return lines;
}

asio::awaitable<void> watch(NodeRuntime& runtime, HttpExchange& exchange,
                            const HttpTarget& target) {
  const std::string kind = target.parameter("kind").value_or("");
  const Offset from{target.number("from", 0)};
  const auto seconds = std::min(target.number("seconds", kMaxWatchSeconds), kMaxWatchSeconds);
  const TimePoint end = monotonic_now() + std::chrono::seconds(seconds);
  std::map<ResourceKey, Offset> known;
  TimePoint last_line = monotonic_now();
  const bool started = co_await exchange.start_stream("application/x-ndjson");
  if (!started) co_return;
  Timer timer(exchange.executor());
  while (monotonic_now() < end && runtime.core().readiness().ready) {
    std::string lines = format_watch_events(runtime, kind, from, known);
    const bool idle = monotonic_now() - last_line > kWatchKeepAlive;
    if (lines.empty() && idle) {
      const auto version = value_of(runtime.core().configuration().next_offset());
      lines = format_watch_event("BOOKMARK", {{"version", version}});
    }
    if (!lines.empty()) {
      last_line = monotonic_now();
      const bool written = co_await exchange.write(lines);
      if (!written) co_return;
    }
    timer.expires_after(kWatchPeriod);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_await exchange.finish_stream();
}

json::array nodes_json(NodeRuntime& runtime) {
  json::array nodes;
  for (const auto& [member, liveness] : runtime.core().membership().list()) {
    nodes.push_back(json::object{{"name", member.name},
                                 {"region", member.region},
                                 {"zone", member.zone},
                                 {"peer_address", member.peer_address},
                                 {"state", to_string(member.state)},
                                 {"liveness", to_string(liveness)}});
  }
  return nodes;
}

json::array runners_json(NodeRuntime& runtime) {
  json::array runners;
  for (const auto& runner : runtime.core().runners().list()) {
    runners.push_back(json::object{{"name", runner.listed.name},
                                   {"zone", runner.listed.zone},
                                   {"service", runner.listed.service},
                                   {"address", runner.listed.address},
                                   {"health", to_string(runner.health)},
                                   {"leaving", runner.leaving},
                                   {"load", runner.load},
                                   {"own_streams", runner.own_streams}});
  }
  return runners;
}

json::array shards_json(NodeRuntime& runtime) {
  json::array shards;
  for (const auto& statistics : runtime.core().shards().statistics()) {
    shards.push_back(json::object{{"shard", value_of(statistics.shard)},
                                  {"owned", statistics.owned},
                                  {"epoch", value_of(statistics.epoch)},
                                  {"next_offset", value_of(statistics.next_offset)},
                                  {"jobs", statistics.jobs},
                                  {"items_handed_out", statistics.assigned},
                                  {"replayed_entries", statistics.replayed_entries},
                                  {"replayed_bytes", statistics.replayed_bytes}});
  }
  return shards;
}

asio::awaitable<void> explain(NodeRuntime& runtime, HttpExchange& exchange,
                              const std::string& name) {
  std::uint64_t number = 0;
  const bool well_formed = parse_hex(name.starts_with("chatcmpl-") ? name.substr(9) : name, number);
  for (const auto& history : runtime.core().online().history()) {
    if (!well_formed || history.id != RequestId{number}) continue;
    json::array lines;
    for (const auto& line : history.lines) lines.emplace_back(line);
    const json::object body{{"request", name},
                            {"service", history.service},
                            {"node", runtime.settings().name},
                            {"history", lines}};
    co_await respond_json(exchange, body);
    co_return;
  }
  const auto error = not_run_error(
      ErrorCode::kNotFound, Step::kForward,
      "this node has no record of request '" + name + "'; ask the node that received it");
  co_await send_error_response(exchange, error);
}

asio::awaitable<bool> serve_health(NodeRuntime& runtime, HttpExchange& exchange) {
  if (exchange.target() == "/healthz") {
    co_await exchange.respond(200, "text/plain", "ok\n");
    co_return true;
  }
  if (exchange.target() == "/readyz") {
    const auto readiness = runtime.core().readiness();
    co_await exchange.respond(readiness.ready ? 200 : 503, "text/plain", readiness.reason + "\n");
    co_return true;
  }
  if (exchange.target() == "/metrics") {
    co_await exchange.respond(200, "text/plain; version=0.0.4", render_metrics(runtime));
    co_return true;
  }
  co_return false;
}

}  // namespace

asio::awaitable<bool> serve_operator(NodeRuntime& runtime, HttpExchange& exchange) {
  const bool healthy = co_await serve_health(runtime, exchange);
  if (healthy) co_return true;
  const auto target = parse_target(exchange.target());
  if (!target || target->segments.size() < 2 || target->segments[0] != "v1") co_return false;
  const auto& path = target->segments;
  if (path[1] == "resources") {
    const bool served = co_await serve_resources(runtime, exchange, *target);
    co_return served;
  }
  if (exchange.method() != "GET") co_return false;
  if (path[1] == "watch") {
    co_await watch(runtime, exchange, *target);
  } else if (path[1] == "nodes") {
    co_await respond_items(exchange, nodes_json(runtime));
  } else if (path[1] == "runners") {
    co_await respond_items(exchange, runners_json(runtime));
  } else if (path[1] == "shards") {
    co_await respond_items(exchange, shards_json(runtime));
  } else if (path[1] == "explain" && path.size() == 3) {
    co_await explain(runtime, exchange, path[2]);
  } else {
    co_return false;
  }
  co_return true;
}

}  // namespace stoathold
