#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <map>

#include "emulator/admin.h"
#include "emulator/emulated_service.h"
#include "net/http_target.h"
#include "net/log_client.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::uint64_t kReadLimit = 1000;
constexpr std::size_t kReadBytes = 8ULL * 1024 * 1024;

/// Append-only log in memory, with injected faults.
class EmulatedLog final : public EmulatedService {
 public:
  EmulatedLog(const asio::any_io_executor& executor, const std::string& listen)
      : server_(executor, listen, HttpLimits{},
                [this](HttpExchange& exchange) { return serve(exchange); }) {
    server_.start();
  }

  std::string address() const override { return server_.address(); }

 private:
  asio::awaitable<void> serve(HttpExchange& exchange) {
    if (exchange.target() == "/admin/faults") {
      json::object body;
      const bool readable = co_await read_admin_body(exchange, body);
      if (!readable) co_return;
      read_flag_field(body, "outage", outage_);
      read_number_field(body, "delay_ms", delay_ms_);
      read_number_field(body, "lose_answers", lost_responses_);
      read_number_field(body, "drop_appends", drop_appends_);
      co_await confirm_admin_request(exchange, "log");
      co_return;
    }
    if (exchange.target() == "/admin/figures") {
      co_await serve_statistics(exchange);
      co_return;
    }
    if (delay_ms_ > 0) {
      asio::steady_timer timer(exchange.executor(), std::chrono::milliseconds(delay_ms_));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (outage_) {
      exchange.abort();
      co_return;
    }
    const auto target = parse_target(exchange.target());
    const bool known = target && target->segments.size() == 3 && target->segments[1] == "streams";
    if (!known) {
      co_await exchange.respond(404, "text/plain", "no such stream\n");
    } else if (exchange.method() == "POST") {
      co_await append(exchange, target->segments[2]);
    } else {
      co_await read(exchange, *target);
    }
  }

  asio::awaitable<void> append(HttpExchange& exchange, const std::string& stream) {
    if (drop_appends_ > 0) {
      --drop_appends_;
      exchange.abort();
      co_return;
    }
    auto& entries = streams_[stream];
    entries.push_back(exchange.body());
    ++appends_;
    append_bytes_ += exchange.body().size();
    const std::size_t offset = entries.size();
    if (lost_responses_ > 0) {
      --lost_responses_;
      exchange.abort();
      co_return;
    }
    co_await exchange.respond(200, "text/plain", std::to_string(offset));
  }

  asio::awaitable<void> read(HttpExchange& exchange, const HttpTarget& target) {
    const auto& entries = streams_[target.segments[2]];
    const std::uint64_t from = std::max<std::uint64_t>(target.number("from", 1), 1);
    const std::uint64_t limit = std::min(target.number("limit", kReadLimit), kReadLimit);
    std::vector<LogEntry> page;
    std::size_t bytes = 0;
    for (std::uint64_t at = from; at <= entries.size() && page.size() < limit; ++at) {
      bytes += entries[at - 1].size();
      if (bytes > kReadBytes && !page.empty()) break;
      page.push_back({Offset{at}, entries[at - 1]});
    }
    ++reads_;
    const std::vector<HttpHeader> headers{{kLogHeadHeader, std::to_string(entries.size() + 1)}};
    co_await exchange.respond(200, "application/octet-stream", frame_entries(page), headers);
  }

  asio::awaitable<void> serve_statistics(HttpExchange& exchange) {
    std::size_t bytes = 0;
    for (const auto& [name, entries] : streams_) {
      for (const auto& entry : entries) bytes += entry.size();
    }
    const json::object statistics{{"appends", appends_},
                                  {"append_bytes", append_bytes_},
                                  {"reads", reads_},
                                  {"streams", streams_.size()},
                                  {"stored_bytes", bytes}};
    co_await exchange.respond(200, "application/json", json::serialize(statistics));
  }

  std::map<std::string, std::vector<std::string>> streams_;
  bool outage_ = false;
  std::uint64_t delay_ms_ = 0;
  std::uint64_t lost_responses_ = 0;
  std::uint64_t drop_appends_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t append_bytes_ = 0;
  std::uint64_t reads_ = 0;
  HttpServer server_;
};

}  // namespace

std::unique_ptr<EmulatedService> make_log(const asio::any_io_executor& executor,
                                          const std::string& listen) {
  return std::make_unique<EmulatedLog>(executor, listen);
}

}  // namespace stoathold::emulator
