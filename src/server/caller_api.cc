#include "server/caller_api.h"

#include <boost/json.hpp>
#include <set>

#include "base/event_log.h"
#include "net/http_target.h"
#include "server/chat_request.h"
#include "server/error_response.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kDefaultTenant = "default";
constexpr std::string_view kBatchIdPrefix = "batch_";
constexpr std::size_t kMaxChatBytes = 8ULL * 1024 * 1024;
constexpr std::size_t kMaxItems = 100'000;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint32_t kDefaultMaxTokens = 64;
constexpr std::uint32_t kDefaultPageSize = 100;

std::string tenant_of(const HttpExchange& exchange) {
  const auto tenant = exchange.header(kTenantHeader);
  return std::string(tenant.empty() ? kDefaultTenant : tenant);
}

bool read_online_headers(const HttpExchange& exchange, OnlineRequest& request,
                         std::uint32_t& resume_tokens, Error& error) {
  request.tenant = tenant_of(exchange);
  const auto deadline = exchange.header(kDeadlineHeader);
  if (!deadline.empty()) {
    const auto number = parse_number(deadline);
    if (!number || *number == 0 || *number > kMaxDeadlineMs) {
      error = not_run_error(ErrorCode::kBadRequest, Step::kParse,
                            "x-deadline-ms must be a whole number from 1 to 86400000");
      return false;
    }
    request.deadline = std::chrono::milliseconds(*number);
  }
  const auto unsafe = exchange.header(kUnsafeHeader);
  if (!unsafe.empty() && unsafe != "true" && unsafe != "false") {
    error = not_run_error(ErrorCode::kBadRequest, Step::kParse,
                          "x-unsafe-to-repeat must be true or false");
    return false;
  }
  request.unsafe_to_repeat = unsafe == "true";
  request.idempotency_key = std::string(exchange.header(kIdempotencyHeader));
  const auto last_event = exchange.header(kLastEventHeader);
  if (!last_event.empty()) {
    const auto number = parse_number(last_event);
    if (!number || *number > UINT32_MAX || request.unsafe_to_repeat) {
      error =
          not_run_error(ErrorCode::kBadRequest, Step::kParse,
                        "last-event-id must be the number of a token, of a request that is safe to "
                        "repeat");
      return false;
    }
    resume_tokens = static_cast<std::uint32_t>(*number);
  }
  return true;
}

asio::awaitable<void> serve_chat(NodeRuntime& runtime, HttpExchange& exchange) {
  ChatRequest chat;
  Error error;
  OnlineRequest request;
  std::uint32_t resume_tokens = 0;
  if (exchange.body().size() > kMaxChatBytes) {
    error = not_run_error(ErrorCode::kTooLarge, Step::kParse, "the body is larger than 8 MiB");
    co_await send_error_response(exchange, error);
    co_return;
  }
  if (!parse_chat_request(exchange.body(), chat, error) ||
      !read_online_headers(exchange, request, resume_tokens, error)) {
    co_await send_error_response(exchange, error);
    co_return;
  }
  request.service = chat.model;
  request.prefix = chat.prefix;
  co_await runtime.serve_online(exchange, std::move(request), exchange.body(), chat.wants_stream,
                                resume_tokens);
}

std::string_view batch_status(const JobStatus& status) {
  if (status.cancelled) return "cancelled";
  return status.completed_count == status.item_count ? "completed" : "in_progress";
}

json::object to_json(const JobStatus& status) {
  json::object counts{{"total", status.item_count}, {"completed", status.completed_count}};
  return json::object{{"id", std::string(kBatchIdPrefix) + to_hex(value_of(status.job))},
                      {"object", "batch"},
                      {"status", batch_status(status)},
                      {"service", status.specification.service},
                      {"priority_class", status.specification.priority_class},
                      {"deadline_unix", status.specification.deadline_unix_seconds},
                      {"request_counts", counts}};
}

std::string text_field(const json::object& object, std::string_view field) {
  const auto* value = object.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool parse_item(const json::value& value, std::size_t index, BatchItem& item, Error& error) {
  const auto fail = [&](const std::string& message) {
    error = not_run_error(ErrorCode::kBadRequest, Step::kParse,
                          "items[" + std::to_string(index) + "]" + message);
    return false;
  };
  if (!value.is_object()) return fail(" must be an object");
  const auto& object = value.get_object();
  item.custom_id = text_field(object, "custom_id");
  item.prompt = text_field(object, "prompt");
  if (item.prompt.empty()) return fail(".prompt must be a non-empty string");
  item.max_tokens = kDefaultMaxTokens;
  if (const auto* tokens = object.if_contains("max_tokens")) {
    boost::system::error_code number_error;
    item.max_tokens = tokens->to_number<std::uint32_t>(number_error);
    if (number_error || item.max_tokens == 0) return fail(".max_tokens must be at least 1");
  }
  return true;
}

bool parse_batch(const std::string& body, SubmitJobCall& call, Error& error) {
  boost::system::error_code parse_error;
  const auto value = json::parse(body, parse_error);
  const auto* items =
      !parse_error && value.is_object() ? value.get_object().if_contains("items") : nullptr;
  if (!is_utf8(body) || items == nullptr || !items->is_array() || items->get_array().empty()) {
    error = not_run_error(ErrorCode::kBadRequest, Step::kParse,
                          "the body must be a JSON object with a non-empty array 'items'");
    return false;
  }
  if (items->get_array().size() > kMaxItems) {
    error = not_run_error(ErrorCode::kTooLarge, Step::kParse, "a job holds at most 100000 items");
    return false;
  }
  const auto& object = value.get_object();
  call.specification.service = text_field(object, "service");
  call.specification.priority_class = text_field(object, "priority_class");
  if (const auto* deadline = object.if_contains("deadline_unix")) {
    boost::system::error_code number_error;
    call.specification.deadline_unix_seconds = deadline->to_number<std::uint64_t>(number_error);
    if (number_error) {
      error = not_run_error(ErrorCode::kBadRequest, Step::kParse, "deadline_unix must be a number");
      return false;
    }
  }
  std::size_t index = 0;
  for (const auto& item : items->get_array()) {
    call.items.emplace_back();
    if (!parse_item(item, index++, call.items.back(), error)) return false;
  }
  return true;
}

Error shard_call_error(const CallFailure& failure, Step step) {
  Error error;
  error.code = make_error_code(static_cast<ErrorCode>(failure.code));
  error.step = step;
  error.peer = "job shard owner";
  error.execution = static_cast<Execution>(failure.execution);
  const auto code = static_cast<ErrorCode>(failure.code);
  const bool is_permanent = code == ErrorCode::kNotFound || code == ErrorCode::kBadRequest;
  error.retry_after = is_permanent ? Duration{0} : Duration{std::chrono::seconds(2)};
  return error;
}

asio::awaitable<void> submit_batch(NodeRuntime& runtime, HttpExchange& exchange) {
  SubmitJobCall call;
  Error error;
  if (!parse_batch(exchange.body(), call, error)) {
    co_await send_error_response(exchange, error);
    co_return;
  }
  if (!runtime.core().configuration().service(call.specification.service)) {
    const auto code =
        runtime.core().configuration().current() ? ErrorCode::kUnknownModel : ErrorCode::kNotReady;
    co_await send_error_response(
        exchange,
        not_run_error(code, Step::kAdmit, "no service '" + call.specification.service + "'"));
    co_return;
  }
  if (!runtime.core().readiness().ready) {
    error = not_run_error(ErrorCode::kDraining, Step::kAdmit, runtime.core().readiness().reason);
    error.retry_after = std::chrono::seconds(1);
    co_await send_error_response(exchange, error);
    co_return;
  }
  call.specification.tenant = tenant_of(exchange);
  std::string key(exchange.header(kIdempotencyHeader));
  if (key.empty()) key = "generated-" + to_hex(value_of(runtime.core().new_request_id()));
  call.job = job_id_from_key(call.specification.tenant, key);
  const JobId job = call.job;
  const auto response = co_await runtime.call_job(job, std::move(call), exchange.executor());
  if (const auto* status = std::get_if<JobStatus>(&response)) {
    log_event(Event::kJobAccepted,
              {{"job", to_hex(value_of(job))}, {"items", std::to_string(status->item_count)}});
    co_await exchange.respond(200, "application/json", json::serialize(to_json(*status)));
  } else {
    co_await send_error_response(exchange,
                                 shard_call_error(std::get<CallFailure>(response), Step::kAppend));
  }
}

asio::awaitable<void> respond_job_status(NodeRuntime& runtime, HttpExchange& exchange, JobId job,
                                         ShardRequest request) {
  const bool is_cancel = std::holds_alternative<CancelJobCall>(request);
  const auto response = co_await runtime.call_job(job, std::move(request), exchange.executor());
  if (const auto* status = std::get_if<JobStatus>(&response)) {
    if (is_cancel) log_event(Event::kJobCancelled, {{"job", to_hex(value_of(job))}});
    co_await exchange.respond(200, "application/json", json::serialize(to_json(*status)));
  } else {
    co_await send_error_response(exchange,
                                 shard_call_error(std::get<CallFailure>(response), Step::kForward));
  }
}

asio::awaitable<void> respond_job_results(NodeRuntime& runtime, HttpExchange& exchange, JobId job,
                                          const HttpTarget& target) {
  JobResultsCall call;
  call.job = job;
  call.first_index = static_cast<std::uint32_t>(target.number("after", 0));
  call.limit = static_cast<std::uint32_t>(target.number("limit", kDefaultPageSize));
  const auto response = co_await runtime.call_job(job, call, exchange.executor());
  const auto* page = std::get_if<JobResults>(&response);
  if (page == nullptr) {
    co_await send_error_response(exchange,
                                 shard_call_error(std::get<CallFailure>(response), Step::kReadLog));
    co_return;
  }
  json::array data;
  for (const auto& result : page->results) {
    data.push_back(
        json::object{{"index", result.index}, {"text", result.text}, {"tokens", result.tokens}});
  }
  json::object body{{"object", "list"},
                    {"data", std::move(data)},
                    {"next_after", page->next_index},
                    {"has_more", page->next_index < page->item_count}};
  co_await exchange.respond(200, "application/json", json::serialize(body));
}

asio::awaitable<bool> serve_batches(NodeRuntime& runtime, HttpExchange& exchange,
                                    const HttpTarget& target) {
  const auto& path = target.segments;
  const bool is_post = exchange.method() == "POST";
  if (path.size() == 2 && is_post) {
    co_await submit_batch(runtime, exchange);
    co_return true;
  }
  if (path.size() < 3 || !path[2].starts_with(kBatchIdPrefix)) co_return false;
  std::uint64_t number = 0;
  if (!parse_hex(std::string_view(path[2]).substr(kBatchIdPrefix.size()), number)) co_return false;
  const JobId job{number};
  if (path.size() == 3 && !is_post) {
    co_await respond_job_status(runtime, exchange, job, JobStatusCall{job});
  } else if (path.size() == 4 && path[3] == "cancel" && is_post) {
    co_await respond_job_status(runtime, exchange, job, CancelJobCall{job});
  } else if (path.size() == 4 && path[3] == "results" && !is_post) {
    co_await respond_job_results(runtime, exchange, job, target);
  } else {
    co_return false;
  }
  co_return true;
}

asio::awaitable<void> list_models(NodeRuntime& runtime, HttpExchange& exchange) {
  json::array data;
  for (const auto& name : runtime.core().configuration().service_names()) {
    data.push_back(json::object{{"id", name}, {"object", "model"}, {"owned_by", "stoathold"}});
  }
  const json::object body{{"object", "list"}, {"data", data}};
  co_await exchange.respond(200, "application/json", json::serialize(body));
}

}  // namespace

asio::awaitable<bool> serve_caller(NodeRuntime& runtime, HttpExchange& exchange) {
  const auto target = parse_target(exchange.target());
  if (!target || target->segments.size() < 2 || target->segments[0] != "v1") co_return false;
  const auto& path = target->segments;
  const bool is_post = exchange.method() == "POST";
  if (path[1] == "chat" && path.size() == 3 && path[2] == "completions" && is_post) {
    co_await serve_chat(runtime, exchange);
    co_return true;
  }
  if (path[1] == "batches") {
    const bool served = co_await serve_batches(runtime, exchange, *target);
    co_return served;
  }
  if (path[1] == "models" && path.size() == 2 && !is_post) {
    co_await list_models(runtime, exchange);
    co_return true;
  }
  co_return false;
}

}  // namespace stoathold
