#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <map>

#include "emulator/admin.h"
#include "emulator/stand_in.h"
#include "net/http_target.h"
#include "platform/platform_names.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Of a process that a request has crashed.
constexpr int kCrashExitCode = 3;

constexpr std::uint64_t kUsualPercent = 100;

/// Faults of the next requests, set by tests.
struct RunnerFaults {
  bool not_run = false;               ///< Turns every request away.
  bool silent = false;                ///< Takes requests and never answers.
  std::uint64_t break_after = 0;      ///< Cuts streams off after so many events; 0: never.
  std::uint64_t foreign_answers = 0;  ///< So many answers carry another request's id.
  std::uint64_t error_status = 0;     ///< Answers with this status; 0: serves.
  std::uint64_t spoiled_answers = 0;  ///< So many answers lack their signature.
  std::uint64_t slowness_percent = kUsualPercent;  ///< Of the time that work takes at the moment.
  std::string false_slowness;  ///< Reported in the place of the slowness; empty: the truth.
};

/// A runner as the platform shows it: event streams, expected instance, load, resumption.
class InferenceRunnerStandIn final : public StandIn {
 public:
  InferenceRunnerStandIn(const asio::any_io_executor& executor, const std::string& listen,
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
      co_await tell_runs(exchange);
    } else {
      co_await run(exchange);
    }
  }

  asio::awaitable<void> set_faults(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin(exchange, body);
    if (!readable) co_return;
    take_flag(body, "not_run", faults_.not_run);
    take_flag(body, "silent", faults_.silent);
    take_number(body, "break_after", faults_.break_after);
    take_number(body, "foreign_answers", faults_.foreign_answers);
    take_number(body, "error_status", faults_.error_status);
    take_number(body, "spoiled_answers", faults_.spoiled_answers);
    take_number(body, "slowness_percent", faults_.slowness_percent);
    if (faults_.slowness_percent == 0) faults_.slowness_percent = kUsualPercent;
    take_text(body, "false_slowness", faults_.false_slowness);
    co_await answer_admin(exchange, parameters_.id);
  }

  asio::awaitable<void> tell_runs(HttpExchange& exchange) {
    json::object answer;
    for (const auto& [id, count] : runs_) answer[id] = count;
    std::string text = json::serialize(answer);
    co_await exchange.respond(200, "application/json", std::move(text));
  }

  std::string load_text() const {
    std::string text = std::to_string(running_) + ",0," + std::to_string(parameters_.slots);
    if (!parameters_.reports_slowness) return text;
    const std::string& lie = faults_.false_slowness;
    return text + "," + (lie.empty() ? std::to_string(faults_.slowness_percent) : lie);
  }

  /// Time before the next event.
  Duration gap() const {
    return parameters_.gap * parameters_.time_percent * faults_.slowness_percent /
           (kUsualPercent * kUsualPercent);
  }

  std::vector<HttpHeader> head_of(const std::string& id) const {
    std::vector<HttpHeader> headers;
    headers.push_back({dialect_.request_id, id});
    headers.push_back({dialect_.instance, parameters_.id});
    headers.push_back({dialect_.load, load_text()});
    headers.push_back({"Keep-Alive", "timeout=2"});
    return headers;
  }

  asio::awaitable<void> answer_status(HttpExchange& exchange, int status,
                                      std::vector<HttpHeader> headers) {
    co_await exchange.respond(status, "text/plain", "answer of the runner\n", std::move(headers));
  }

  asio::awaitable<void> run(HttpExchange& exchange) {
    const std::string id(exchange.header(dialect_.request_id));
    std::vector<HttpHeader> headers = head_of(id);
    if (exchange.header(dialect_.expected_instance) != parameters_.id) {
      co_await answer_status(exchange, 421, std::move(headers));
      co_return;
    }
    if (faults_.not_run) {
      headers.push_back({dialect_.not_run, "1"});
      co_await answer_status(exchange, 503, std::move(headers));
      co_return;
    }
    ++runs_[id];
    if (faults_.foreign_answers > 0) {
      --faults_.foreign_answers;
      std::vector<HttpHeader> foreign = head_of("another-request");
      foreign.push_back({dialect_.response_signature, "foreign"});
      co_await answer_status(exchange, 200, std::move(foreign));
    }
    if (faults_.error_status > 0) {
      headers.push_back({dialect_.response_signature, "signed"});
      const int status = static_cast<int>(faults_.error_status);
      co_await answer_status(exchange, status, std::move(headers));
      co_return;
    }
    const bool signed_answer = faults_.spoiled_answers == 0;
    if (!signed_answer) --faults_.spoiled_answers;
    if (signed_answer) headers.push_back({dialect_.response_signature, "signed-" + id});
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
    headers.push_back({"Content-Type", "text/event-stream"});
    ResponseHead head;
    head.headers = std::move(headers);
    bool open = co_await exchange.start_response(head);
    const bool crashes =
        !parameters_.crash_body.empty() && exchange.body() == parameters_.crash_body;
    if (crashes) std::_Exit(kCrashExitCode);
    const std::string echo = exchange.body().substr(0, parameters_.event_bytes);
    const std::uint64_t done = parse_number(exchange.header(dialect_.last_event_id)).value_or(0);
    std::uint64_t made = 0;
    for (std::uint64_t event = done + 1; open && event <= parameters_.events; ++event) {
      timer.expires_after(gap());
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + echo + "#" + std::to_string(event) + "\n\n";
      if (faults_.break_after > 0 && made++ >= faults_.break_after) {
        // Partway through an event, as a runner that dies does.
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

std::unique_ptr<StandIn> make_inference_runner(const asio::any_io_executor& executor,
                                               const std::string& listen,
                                               InferenceRunnerParameters parameters) {
  return std::make_unique<InferenceRunnerStandIn>(executor, listen, std::move(parameters));
}

}  // namespace stoathold::emulator
