#include "server/node_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <system_error>
#include <thread>
#include <vector>

#include "base/event_log.h"
#include "base/signal_mask.h"
#include "base/timer.h"
#include "net/http.h"
#include "server/caller_api.h"
#include "server/error_response.h"
#include "server/node_runtime.h"
#include "server/operator_api.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

asio::awaitable<void> serve(NodeRuntime& runtime, HttpExchange& exchange) {
  bool served = co_await serve_caller(runtime, exchange);
  if (!served) served = co_await serve_operator(runtime, exchange);
  if (served) co_return;
  const Error error = not_run_error(ErrorCode::kNotFound, Step::kParse, "no such resource");
  co_await send_error_response(exchange, error);
}

void run_until_stopped(const NodeSettings& settings) {
  asio::io_context context(static_cast<int>(settings.worker_threads));
  NodeRuntime runtime(settings, context.get_executor());
  HttpServer server(context.get_executor(), settings.listen, HttpLimits{},
                    [&runtime](HttpExchange& exchange) { return serve(runtime, exchange); });
  log_event(Event::kNodeStarted, {{"node", settings.name},
                                  {"zone", settings.zone},
                                  {"listen", server.address()},
                                  {"peer_listen", runtime.peer_address()}});
  runtime.start();
  server.start();
  asio::signal_set signals(context, SIGTERM, SIGINT);
  Timer shutdown_timer(context);
  signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
    if (error) return;
    runtime.drain([&] {
      // Leaves time to send the leave message and the last responses.
      constexpr auto kShutdownDelay = std::chrono::milliseconds(200);
      shutdown_timer.expires_after(kShutdownDelay);
      shutdown_timer.async_wait([&](boost::system::error_code) { context.stop(); });
    });
  });
  std::vector<std::thread> workers;
  for (std::uint32_t i = 1; i < settings.worker_threads; ++i) {
    workers.emplace_back([&context] { context.run(); });
  }
  // SIGHUP stays blocked: this process does not reload its settings.
  unblock_signals({SIGTERM, SIGINT});
  context.run();
  block_signals();
  for (auto& worker : workers) worker.join();
}

}  // namespace

int run_node(const NodeSettings& settings) {
  try {
    run_until_stopped(settings);
  } catch (const std::system_error& failure) {
    log_event(Event::kSettingsRefused, {{"reason", failure.what()}});
    return 1;
  }
  log_event(Event::kNodeStopped, {{"node", settings.name}});
  return 0;
}

}  // namespace stoathold
