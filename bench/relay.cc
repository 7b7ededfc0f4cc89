#include "bench/relay.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <vector>

#include "base/time.h"
#include "net/engine_client.h"
#include "net/event_splitter.h"
#include "net/http.h"

namespace stoathold::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kTimeout = std::chrono::seconds(30);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> pass_through(const std::string& target, HttpExchange& exchange) {
  HttpCall call;
  call.address = target;
  call.method = "POST";
  call.target = std::string(exchange.target());
  call.body = exchange.body();
  call.timeout = kTimeout;
  HttpStream upstream(exchange.executor());
  const auto [progress, status] = co_await upstream.open(call);
  if (progress != HttpProgress::kAnswered || status != 200) {
    co_await exchange.respond(502, "text/plain", "upstream failed\n");
    co_return;
  }
  const bool started = co_await exchange.start_stream("text/event-stream");
  if (!started) co_return;
  std::string_view bytes;
  while (true) {
    const bool more = co_await upstream.read(bytes, kTimeout);
    if (!more) break;
    const bool written = co_await exchange.write(bytes);
    if (!written) co_return;
  }
  co_await exchange.finish_stream();
}

std::string token_event(std::uint32_t token) {
  return "id: " + std::to_string(token) +
         "\ndata: {\"id\":\"chatcmpl-0\",\"object\":\"chat.completion.chunk\",\"model\":"
         "\"assistant\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"},"
         "\"finish_reason\":null}]}\n\n";
}

asio::awaitable<void> emit_tokens(std::uint32_t tokens, std::uint32_t interval_us,
                                  HttpExchange& exchange) {
  const bool started = co_await exchange.start_stream("text/event-stream");
  if (!started) co_return;
  asio::steady_timer timer(exchange.executor());
  for (std::uint32_t token = 1; token <= tokens; ++token) {
    const std::string event = token_event(token);
    const bool written = co_await exchange.write(event);
    if (!written) co_return;
    if (interval_us == 0) continue;
    timer.expires_after(Duration(interval_us));
    co_await timer.async_wait(kNoThrow);
  }
  co_await exchange.write(kEndEvent);
  co_await exchange.finish_stream();
}

/// Results of all streams; latencies are in microseconds.
struct Samples {
  std::vector<double> first_token;
  std::uint64_t tokens = 0;
  std::uint32_t failed = 0;
};

asio::awaitable<void> run_requests(const StreamLoad& load, std::uint32_t requests,
                                   Samples& samples) {
  const auto executor = co_await asio::this_coro::executor;
  for (std::uint32_t i = 0; i < requests; ++i) {
    HttpCall call;
    call.address = load.target;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.timeout = kTimeout;
    call.body = R"({"model":"assistant","stream":true,"messages":[{"role":"user","content":"q"}]})";
    const TimePoint start = monotonic_now();
    HttpStream stream(executor);
    const auto [progress, status] = co_await stream.open(call);
    EventSplitter splitter(0);
    bool first = true;
    std::string_view bytes;
    while (status == 200) {
      const bool more = co_await stream.read(bytes, kTimeout);
      if (!more) break;
      splitter.feed(bytes);
      if (first && splitter.last_token() > 0) {
        first = false;
        samples.first_token.push_back(static_cast<double>((monotonic_now() - start).count()));
      }
    }
    samples.tokens += splitter.last_token();
    if (!splitter.finished()) ++samples.failed;
    if (load.pause_us > 0) {
      asio::steady_timer timer(executor, Duration(load.pause_us));
      co_await timer.async_wait(kNoThrow);
    }
  }
}

double quantile(std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

}  // namespace

int run_pass_through(const std::string& listen, const std::string& target) {
  asio::io_context context(1);
  HttpServer server(context.get_executor(), listen, HttpLimits{},
                    [&](HttpExchange& exchange) { return pass_through(target, exchange); });
  server.start();
  context.run();
  return 0;
}

int run_token_source(const std::string& listen, std::uint32_t tokens, std::uint32_t interval_us) {
  asio::io_context context(1);
  const auto serve = [&](HttpExchange& exchange) -> asio::awaitable<void> {
    if (exchange.target() == "/v1/load") {
      co_await exchange.respond(200, "application/json", "{}");
      co_return;
    }
    co_await emit_tokens(tokens, interval_us, exchange);
  };
  HttpServer server(context.get_executor(), listen, HttpLimits{}, serve);
  server.start();
  context.run();
  return 0;
}

int run_stream_load(const StreamLoad& load) {
  asio::io_context context(1);
  Samples samples;
  const TimePoint start = monotonic_now();
  for (std::uint32_t i = 0; i < load.streams; ++i) {
    const std::uint32_t share = load.requests / load.streams;
    asio::co_spawn(asio::make_strand(context), run_requests(load, share, samples), asio::detached);
  }
  context.run();
  const double seconds = to_seconds(monotonic_now() - start);
  std::sort(samples.first_token.begin(), samples.first_token.end());
  const json::object result{{"tokens", samples.tokens},
                            {"seconds", seconds},
                            {"failed", samples.failed},
                            {"first_token_us_p50", quantile(samples.first_token, 0.5)},
                            {"first_token_us_p99", quantile(samples.first_token, 0.99)}};
  std::cout << json::serialize(result) << std::endl;
  return samples.failed == 0 ? 0 : 1;
}

}  // namespace stoathold::bench
