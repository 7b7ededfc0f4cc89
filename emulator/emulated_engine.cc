#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>

#include "base/ids.h"
#include "emulator/admin.h"
#include "emulator/completion.h"
#include "emulator/emulated_service.h"
#include "net/engine_client.h"
#include "net/event_splitter.h"
#include "net/http_target.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr Duration kLoadSamplePeriod = std::chrono::milliseconds(10);

std::string token_event(const std::string& name, const std::string& model,
                        std::uint64_t fingerprint, std::uint32_t token, bool last) {
  std::string event = "id: " + std::to_string(token) + "\ndata: {\"id\":\"chatcmpl-" + name +
                      "\",\"object\":\"chat.completion.chunk\",\"model\":\"" + model +
                      "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" +
                      completion_token(fingerprint, token) + "\"},\"finish_reason\":";
  event += last ? "\"stop\"}]}\n\n" : "null}]}\n\n";
  return event;
}

std::string model_of(const std::string& body) {
  boost::system::error_code error;
  const auto value = json::parse(body, error);
  return error ? std::string() : std::string(value.at("model").as_string());
}

/// Serves chat completions, load reports and model orders from an `EngineModel`.
class EmulatedEngine final : public EmulatedService {
 public:
  EmulatedEngine(const asio::any_io_executor& executor, const std::string& listen,
                 EngineParameters parameters, Duration report_lag)
      : model_(parameters),
        step_timer_(executor),
        report_lag_(report_lag),
        server_(executor, listen, HttpLimits{},
                [this](HttpExchange& exchange) { return serve(exchange); }) {
    server_.start();
  }

  std::string address() const override { return server_.address(); }

 private:
  /// Timer with which `end_step` wakes a stream that waits for tokens.
  struct Waiter {
    explicit Waiter(const asio::any_io_executor& executor)
        : timer(executor, asio::steady_timer::time_point::max()) {}
    asio::steady_timer timer;
  };

  asio::awaitable<void> serve(HttpExchange& exchange) {
    const auto target = exchange.target();
    if (target == "/v1/chat/completions") {
      co_await serve_chat(exchange);
    } else if (target == "/v1/load") {
      co_await serve_load(exchange);
    } else if (target == "/v1/orders") {
      co_await serve_order(exchange);
    } else if (target == "/admin/faults") {
      co_await serve_faults(exchange);
    } else if (target == "/admin/executions") {
      co_await serve_executions(exchange);
    } else {
      co_await exchange.respond(404, "text/plain", "no such resource\n");
    }
  }

  asio::awaitable<void> serve_chat(HttpExchange& exchange) {
    CompletionSpec spec;
    if (refuse_) {
      co_await exchange.respond(503, "application/json", R"({"error":"refused"})");
      co_return;
    }
    if (!parse_completion_spec(exchange.body(), spec)) {
      co_await exchange.respond(400, "application/json", R"({"error":"malformed"})");
      co_return;
    }
    const auto resume = parse_number(exchange.header(kEngineResumeHeader)).value_or(0);
    const bool online = exchange.header(kEnginePriorityHeader) != "batch";
    ++executions_[spec.fingerprint];
    const auto sequence = model_.add(online, spec.prompt, spec.prompt_tokens,
                                     spec.completion_tokens, static_cast<std::uint32_t>(resume));
    co_await stream(exchange, spec, sequence);
    model_.remove(sequence);
    waiters_.erase(sequence->id);
  }

  asio::awaitable<void> stream(HttpExchange& exchange, const CompletionSpec& spec,
                               const std::shared_ptr<Sequence>& sequence) {
    const std::string name(exchange.header(kEngineRequestHeader));
    const std::string model = model_of(exchange.body());
    std::uint32_t sent = sequence->generated;
    auto waiter = std::make_shared<Waiter>(exchange.executor());
    waiters_[sequence->id] = waiter;
    start_stepping();
    const bool started = co_await exchange.start_stream("text/event-stream");
    if (!started) co_return;
    while (sent < spec.completion_tokens) {
      while (sequence->generated == sent) co_await waiter->timer.async_wait(kNoThrow);
      std::string events;
      while (sent < sequence->generated) {
        ++sent;
        events += token_event(name, model, spec.fingerprint, sent, sent == spec.completion_tokens);
      }
      const bool written = co_await exchange.write(events);
      if (!written) co_return;
      if (break_after_tokens_ > 0 && sent >= break_after_tokens_) {
        exchange.abort();
        co_return;
      }
    }
    const bool written = co_await exchange.write(kEndEvent);
    if (!written) co_return;
    co_await exchange.finish_stream();
  }

  void start_stepping() {
    if (stepping_ || frozen_ || model_.idle()) return;
    stepping_ = true;
    const Duration time = model_.begin_step() * static_cast<Duration::rep>(slow_factor_);
    step_timer_.expires_after(time);
    step_timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      stepping_ = false;
      for (const auto& sequence : model_.end_step()) {
        const auto found = waiters_.find(sequence->id);
        if (found != waiters_.end()) found->second->timer.cancel();
      }
      start_stepping();
    });
  }

  asio::awaitable<void> serve_load(HttpExchange& exchange) {
    if (frozen_) {
      asio::steady_timer timer(exchange.executor(), std::chrono::seconds(5));
      co_await timer.async_wait(kNoThrow);
    }
    const EngineStatistics statistics = delayed_statistics();
    const json::object body{{"online_streams", statistics.online_running},
                            {"online_queued", statistics.online_queued},
                            {"batch_streams", statistics.batch_running + statistics.batch_queued},
                            {"blocks_used", statistics.blocks_used},
                            {"preemptions", statistics.preemptions},
                            {"prefix_hits", statistics.prefix_hits},
                            {"cache_sequence", statistics.cache_sequence},
                            {"model", loaded_model_},
                            {"leaving", leaving_ ? 1 : 0}};
    co_await exchange.respond(200, "application/json", json::serialize(body));
  }

  /// Returns the statistics as of `report_lag_` ago.
  EngineStatistics delayed_statistics() {
    const TimePoint now = monotonic_now();
    if (samples_.empty() || now - samples_.back().first >= kLoadSamplePeriod) {
      samples_.emplace_back(now, model_.statistics());
    }
    while (samples_.size() > 1 && now - samples_[1].first >= report_lag_) samples_.pop_front();
    return samples_.front().second;
  }

  asio::awaitable<void> serve_order(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    std::uint64_t epoch = 0;
    read_number_field(body, "epoch", epoch);
    if (epoch < order_epoch_) {
      co_await exchange.respond(409, "application/json", R"({"error":"older epoch"})");
      co_return;
    }
    order_epoch_ = epoch;
    const auto* model = body.if_contains("model");
    if (model != nullptr && model->is_string()) loaded_model_ = std::string(model->get_string());
    co_await exchange.respond(200, "application/json", "{}");
  }

  asio::awaitable<void> serve_faults(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    read_flag_field(body, "refuse", refuse_);
    read_flag_field(body, "frozen", frozen_);
    read_flag_field(body, "leaving", leaving_);
    read_number_field(body, "slow_factor", slow_factor_);
    read_number_field(body, "break_after_tokens", break_after_tokens_);
    slow_factor_ = std::max<std::uint64_t>(slow_factor_, 1);
    start_stepping();
    co_await confirm_admin_request(exchange, "engine");
  }

  asio::awaitable<void> serve_executions(HttpExchange& exchange) {
    json::object counts;
    for (const auto& [fingerprint, count] : executions_) counts[to_hex(fingerprint)] = count;
    co_await exchange.respond(200, "application/json", json::serialize(counts));
  }

  EngineModel model_;
  asio::steady_timer step_timer_;
  const Duration report_lag_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
  std::map<std::uint64_t, std::uint64_t> executions_;
  std::deque<std::pair<TimePoint, EngineStatistics>> samples_;
  std::string loaded_model_;
  std::uint64_t order_epoch_ = 0;
  std::uint64_t slow_factor_ = 1;
  std::uint64_t break_after_tokens_ = 0;
  bool stepping_ = false;
  bool refuse_ = false;
  bool frozen_ = false;
  bool leaving_ = false;
  HttpServer server_;
};

}  // namespace

std::unique_ptr<EmulatedService> make_engine(const asio::any_io_executor& executor,
                                             const std::string& listen, EngineParameters parameters,
                                             Duration report_lag) {
  return std::make_unique<EmulatedEngine>(executor, listen, parameters, report_lag);
}

}  // namespace stoathold::emulator
