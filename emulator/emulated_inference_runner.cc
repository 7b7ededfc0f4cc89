#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>
#include <map>

#include "emulator/admin.h"
#include "emulator/emulated_service.h"
#include "net/http_target.h"
#include "platform/platform_names.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Exit code of a process that was crashed by a request.
constexpr int kCrashExitCode = 3;

/// Maximum length of a request's body in a line about its run.
constexpr std::size_t kMaxLoggedBodyBytes = 40;

constexpr std::uint64_t kNormalPercent = 100;

/// Injected faults, set by tests.
struct RunnerFaults {
  bool not_run = false;           ///< Rejects every request as not run.
  bool silent = false;            ///< Accepts requests and never responds.
  std::uint64_t break_after = 0;  ///< Aborts streams after this many events; 0: never.
  /// This many responses carry the id of another request.
  std::uint64_t misattributed_responses = 0;
  std::uint64_t error_status = 0;        ///< Responds with this status; 0: off.
  std::uint64_t unsigned_responses = 0;  ///< This many responses lack their signature.
  /// Processing time, as a percentage of the normal time.
  std::uint64_t slowness_percent = kNormalPercent;
  std::string invalid_slowness;  ///< Reported instead of `slowness_percent`; empty: off.
};

/// Emulates a runner of the platform: event streams, the check of the expected instance, load
/// headers and stream resumption.
class EmulatedInferenceRunner final : public EmulatedService {
 public:
  EmulatedInferenceRunner(const asio::any_io_executor& executor, const std::string& listen,
                          InferenceRunnerParameters parameters)
      : parameters_(std::move(parameters)),
        dialect_(platform::header_dialect()),
        server_(executor, listen, HttpLimits{},
                [this](HttpExchange& exchange) { return serve(exchange); }) {
    server_.start();
  }

  std::string address() const override { return server_.address(); }

 private:
  asio::awaitable<void> serve(HttpExchange& exchange) {
    if (exchange.target() == "/admin/faults") {
      co_await set_faults(exchange);
    } else if (exchange.target() == "/admin/runs") {
      co_await serve_run_counts(exchange);
    } else if (exchange.target() == "/health") {
      co_await serve_health(exchange);
    } else {
      co_await run(exchange);
    }
  }

  asio::awaitable<void> set_faults(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    read_flag_field(body, "not_run", faults_.not_run);
    read_flag_field(body, "silent", faults_.silent);
    read_number_field(body, "break_after", faults_.break_after);
    read_number_field(body, "foreign_answers", faults_.misattributed_responses);
    read_number_field(body, "error_status", faults_.error_status);
    read_number_field(body, "spoiled_answers", faults_.unsigned_responses);
    read_number_field(body, "slowness_percent", faults_.slowness_percent);
    if (faults_.slowness_percent == 0) faults_.slowness_percent = kNormalPercent;
    read_text_field(body, "false_slowness", faults_.invalid_slowness);
    co_await confirm_admin_request(exchange, parameters_.id);
  }

  asio::awaitable<void> serve_health(HttpExchange& exchange) {
    const std::string_view expected = exchange.header(dialect_.expected_instance);
    const bool is_other = !expected.empty() && expected != parameters_.id;
    std::vector<HttpHeader> headers = response_headers({});
    co_await respond_status(exchange, is_other ? 421 : 200, std::move(headers));
  }

  asio::awaitable<void> serve_run_counts(HttpExchange& exchange) {
    json::object counts;
    for (const auto& [id, count] : runs_) counts[id] = count;
    std::string text = json::serialize(counts);
    co_await exchange.respond(200, "application/json", std::move(text));
  }

  std::string load_header_value() const {
    std::string text = std::to_string(running_) + ",0," + std::to_string(parameters_.slots);
    if (!parameters_.reports_slowness) return text;
    const std::string& invalid_slowness = faults_.invalid_slowness;
    return text + "," +
           (invalid_slowness.empty() ? std::to_string(faults_.slowness_percent) : invalid_slowness);
  }

  /// Returns the interval before the next event.
  Duration event_interval() const {
    return parameters_.event_interval * parameters_.work_time_percent * faults_.slowness_percent /
           (kNormalPercent * kNormalPercent);
  }

  std::vector<HttpHeader> response_headers(const std::string& id) const {
    std::vector<HttpHeader> headers;
    headers.push_back({dialect_.request_id, id});
    headers.push_back({dialect_.instance, parameters_.id});
    headers.push_back({dialect_.load, load_header_value()});
    headers.push_back({"Keep-Alive", "timeout=2"});
    return headers;
  }

  asio::awaitable<void> respond_status(HttpExchange& exchange, int status,
                                       std::vector<HttpHeader> headers) {
    co_await exchange.respond(status, "text/plain", "answer of the runner\n", std::move(headers));
  }

  /// Returns whether the prompt contains the part that crashes this runner. The last part is the
  /// request's own.
  bool has_crash_part(std::string_view prompt_prefix) const {
    if (parameters_.crash_part.empty()) return false;
    while (true) {
      const std::size_t comma = prompt_prefix.find(',');
      if (comma == std::string_view::npos) return false;
      const std::string_view part = prompt_prefix.substr(0, comma);
      if (part.substr(0, part.find(':')) == parameters_.crash_part) return true;
      prompt_prefix.remove_prefix(comma + 1);
    }
  }

  bool crashes_on(const HttpExchange& exchange) const {
    const auto& bodies = parameters_.crash_bodies;
    const bool has_crash_body =
        std::find(bodies.begin(), bodies.end(), exchange.body()) != bodies.end();
    return has_crash_body || has_crash_part(exchange.header(dialect_.prompt_prefix));
  }

  /// Writes a line `EVENT TIME_MS REQUEST DEADLINE_MS BODY`, with the time of day and the time left
  /// that the request names.
  void log_run(std::string_view event, const HttpExchange& exchange) const {
    if (!parameters_.logs_runs) return;
    const auto time_of_day = std::chrono::system_clock::now().time_since_epoch();
    const auto time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(time_of_day).count();
    std::cout << event << ' ' << time_ms << ' ' << exchange.header(dialect_.request_id) << ' '
              << exchange.header(dialect_.deadline_ms) << ' '
              << exchange.body().substr(0, kMaxLoggedBodyBytes) << std::endl;
  }

  [[noreturn]] void crash(const HttpExchange& exchange) const {
    log_run("crash", exchange);
    std::_Exit(kCrashExitCode);
  }

  asio::awaitable<void> run(HttpExchange& exchange) {
    const std::string id(exchange.header(dialect_.request_id));
    std::vector<HttpHeader> headers = response_headers(id);
    if (exchange.header(dialect_.expected_instance) != parameters_.id) {
      co_await respond_status(exchange, 421, std::move(headers));
      co_return;
    }
    if (faults_.not_run) {
      headers.push_back({dialect_.not_run, "1"});
      co_await respond_status(exchange, 503, std::move(headers));
      co_return;
    }
    ++runs_[id];
    log_run("run", exchange);
    if (faults_.misattributed_responses > 0) {
      --faults_.misattributed_responses;
      std::vector<HttpHeader> misattributed = response_headers("another-request");
      misattributed.push_back({dialect_.response_signature, "foreign"});
      co_await respond_status(exchange, 200, std::move(misattributed));
    }
    if (faults_.error_status > 0) {
      headers.push_back({dialect_.response_signature, "signed"});
      const int status = static_cast<int>(faults_.error_status);
      co_await respond_status(exchange, status, std::move(headers));
      co_return;
    }
    const bool is_signed = faults_.unsigned_responses == 0;
    if (!is_signed) --faults_.unsigned_responses;
    if (is_signed) headers.push_back({dialect_.response_signature, "signed-" + id});
    ++running_;
    co_await stream_events(exchange, std::move(headers));
    --running_;
  }

  asio::awaitable<void> stream_events(HttpExchange& exchange, std::vector<HttpHeader> headers) {
    asio::steady_timer timer(exchange.executor());
    while (faults_.silent) {
      timer.expires_after(std::chrono::milliseconds(10));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (parameters_.silent_crash_delay && crashes_on(exchange)) {
      timer.expires_after(*parameters_.silent_crash_delay);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      crash(exchange);
    }
    headers.push_back({"Content-Type", "text/event-stream"});
    ResponseHead head;
    head.headers = std::move(headers);
    if (parameters_.ends_with_connection) head.framing = BodyFraming::kUntilClose;
    bool open = co_await exchange.start_response(head);
    if (crashes_on(exchange)) crash(exchange);
    const std::string& version = parameters_.software_version;
    const std::string echo =
        (version.empty() ? "" : version + "|") + exchange.body().substr(0, parameters_.event_bytes);
    const std::uint64_t resumed_events =
        parse_number(exchange.header(dialect_.last_event_id)).value_or(0);
    std::uint64_t sent = 0;
    for (std::uint64_t event = resumed_events + 1; open && event <= parameters_.events; ++event) {
      timer.expires_after(event_interval());
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + echo + "#" + std::to_string(event) + "\n\n";
      if (faults_.break_after > 0 && sent++ >= faults_.break_after) {
        // A runner that crashes leaves an incomplete event.
        co_await exchange.write(std::string_view(text).substr(0, text.size() / 2));
        exchange.abort();
        co_return;
      }
      open = co_await exchange.write(text);
    }
    if (open) co_await exchange.finish_stream();
  }

  InferenceRunnerParameters parameters_;
  HeaderDialect dialect_;
  RunnerFaults faults_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint32_t running_ = 0;
  HttpServer server_;
};

}  // namespace

std::unique_ptr<EmulatedService> make_inference_runner(const asio::any_io_executor& executor,
                                                       const std::string& listen,
                                                       InferenceRunnerParameters parameters) {
  return std::make_unique<EmulatedInferenceRunner>(executor, listen, std::move(parameters));
}

}  // namespace stoathold::emulator
