#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>

#include "base/ids.h"
#include "emulator/admin.h"
#include "emulator/emulated_service.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;

/// Serves the machine list that was set last, after a delay.
class EmulatedMachineList final : public EmulatedService {
 public:
  EmulatedMachineList(const asio::any_io_executor& executor, const std::string& listen,
                      Duration lag)
      : lag_(lag), server_(executor, listen, HttpLimits{}, [this](HttpExchange& exchange) {
          return serve(exchange);
        }) {
    lists_.emplace_back(TimePoint{}, R"({"machines":[]})");
    server_.start();
  }

  std::string address() const override { return server_.address(); }

 private:
  asio::awaitable<void> serve(HttpExchange& exchange) {
    if (exchange.target() == "/admin/machines" && exchange.method() == "PUT") {
      lists_.emplace_back(monotonic_now() + lag_, exchange.body());
      co_await confirm_admin_request(exchange, "machines");
      co_return;
    }
    while (lists_.size() > 1 && lists_[1].first <= monotonic_now()) lists_.pop_front();
    const std::string& list = lists_.front().second;
    const std::string etag = to_hex(stable_hash(list));
    if (exchange.header("if-none-match") == etag) {
      co_await exchange.respond(304, "application/json", "");
      co_return;
    }
    const std::vector<HttpHeader> headers{{"etag", etag}};
    co_await exchange.respond(200, "application/json", list, headers);
  }

  const Duration lag_;
  /// Each list with the time from which it is served.
  std::deque<std::pair<TimePoint, std::string>> lists_;
  HttpServer server_;
};

/// Serves weight fetches at a limited rate; responds with status 429 above it.
class EmulatedWeightStore final : public EmulatedService {
 public:
  EmulatedWeightStore(const asio::any_io_executor& executor, const std::string& listen,
                      std::uint32_t per_minute)
      : period_(std::chrono::minutes(1) / std::max<std::uint32_t>(per_minute, 1)),
        server_(executor, listen, HttpLimits{},
                [this](HttpExchange& exchange) { return serve(exchange); }) {
    server_.start();
  }

  std::string address() const override { return server_.address(); }

 private:
  asio::awaitable<void> serve(HttpExchange& exchange) {
    const TimePoint now = monotonic_now();
    if (now < next_grant_) {
      const auto wait = std::chrono::ceil<std::chrono::seconds>(next_grant_ - now);
      const std::vector<HttpHeader> headers{{"retry-after", std::to_string(wait.count())}};
      co_await exchange.respond(429, "text/plain", "later\n", headers);
      co_return;
    }
    next_grant_ = now + period_;
    co_await exchange.respond(200, "application/octet-stream", "weights");
  }

  const Duration period_;
  TimePoint next_grant_;
  HttpServer server_;
};

}  // namespace

std::unique_ptr<EmulatedService> make_machine_list(const asio::any_io_executor& executor,
                                                   const std::string& listen, Duration lag) {
  return std::make_unique<EmulatedMachineList>(executor, listen, lag);
}

std::unique_ptr<EmulatedService> make_weight_store(const asio::any_io_executor& executor,
                                                   const std::string& listen,
                                                   std::uint32_t per_minute) {
  return std::make_unique<EmulatedWeightStore>(executor, listen, per_minute);
}

}  // namespace stoathold::emulator
