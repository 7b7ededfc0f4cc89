// Compares the CPU time per request of a server with and without a memory budget, alternating
// between the two in one run.
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <vector>

#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kRounds = 61;
constexpr int kRequestsPerRound = 1500;
constexpr std::size_t kBodyBytes = 1500;

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicro = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicro * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/// Responds with five events, like a short chat completion.
asio::awaitable<void> respond(HttpExchange& exchange) {
  constexpr int kEvents = 5;
  const std::string event(200, 'e');
  bool open = co_await exchange.start_stream("text/event-stream");
  for (int number = 0; open && number < kEvents; ++number) {
    open = co_await exchange.write_ahead(event);
  }
  co_await exchange.finish_stream();
}

/// A server and one client that sends requests in sequence over one connection, on one event loop.
class LoopbackPair {
 public:
  explicit LoopbackPair(std::uint64_t budget)
      : server_(loop_.get_executor(), "127.0.0.1:0", HttpLimits{}, respond, LoopThreads::kOne),
        client_(loop_.get_executor(), LoopThreads::kOne) {
    budget_.set_limit(budget);
    server_.set_resource_limits({&budget_, 0, {}});
    server_.start();
  }

  /// Runs `kRequestsPerRound` requests and returns the CPU seconds per request.
  double run_round() {
    const double start = cpu_seconds();
    bool done = false;
    asio::co_spawn(loop_, run_requests(), [&](const std::exception_ptr&) { done = true; });
    loop_.restart();
    while (!done && loop_.run_one() > 0) {
    }
    return (cpu_seconds() - start) / kRequestsPerRound;
  }

 private:
  asio::awaitable<void> run_requests() {
    HttpCall call;
    call.address = server_.address();
    call.method = "POST";
    call.target = "/";
    call.body.assign(kBodyBytes, 'b');
    for (int request = 0; request < kRequestsPerRound; ++request) {
      const HttpReply reply = co_await client_.call(call);
      if (!reply.ok()) std::printf("a request failed\n");
    }
  }

  MemoryBudget budget_;
  asio::io_context loop_{1};
  HttpServer server_;
  HttpClient client_;
};

int run() {
  constexpr std::uint64_t kBudget = 100UL * 1024 * 1024;
  LoopbackPair without(0);
  LoopbackPair with(kBudget);
  std::vector<double> ratios;
  std::vector<double> times;
  for (int round = 0; round < kRounds; ++round) {
    // The order alternates, so that neither variant always runs first.
    const bool starts_without_budget = round % 2 == 0;
    const double first_time = starts_without_budget ? without.run_round() : with.run_round();
    const double second_time = starts_without_budget ? with.run_round() : without.run_round();
    ratios.push_back(starts_without_budget ? second_time / first_time : first_time / second_time);
    times.push_back(starts_without_budget ? first_time : second_time);
  }
  const auto middle = static_cast<std::ptrdiff_t>(kRounds / 2);
  std::nth_element(ratios.begin(), ratios.begin() + middle, ratios.end());
  std::nth_element(times.begin(), times.begin() + middle, times.end());
  constexpr double kMicroseconds = 1e6;
  std::printf("without a budget %.1f us a request; with one %.4f times that (medians of %d)\n",
              times[kRounds / 2] * kMicroseconds, ratios[kRounds / 2], kRounds);
  return 0;
}

}  // namespace
}  // namespace stoathold

int main() {
  return stoathold::run();
}
