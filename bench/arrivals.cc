#include "bench/arrivals.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <iostream>

#include "base/random.h"
#include "base/time.h"
#include "net/event_splitter.h"
#include "net/http.h"

namespace stoathold::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kTimeout = std::chrono::seconds(60);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kShortTokens = 32;
constexpr std::uint32_t kReviewTokens = 64;
constexpr std::size_t kShortBytes = 240;
constexpr std::size_t kReviewBytes = 8000;
constexpr double kFirstTokenGoalMs = 490;
constexpr double kInterTokenGoalMs = 46;

/// One planned request.
struct Arrival {
  Duration at{0};
  bool review = false;
};

/// Aggregated results of all requests.
struct Outcomes {
  std::vector<double> first_token_ms;
  std::vector<double> inter_token_ms;
  std::uint32_t completed = 0;
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;
  std::uint32_t within_goal = 0;
};

void plan_poisson(double rate, Duration length, bool review, Random& random,
                  std::vector<Arrival>& plan) {
  double at = 0;
  while (rate > 0) {
    at += -std::log(1.0 - random.unit()) / rate;
    if (at >= to_seconds(length)) return;
    plan.push_back({Duration{static_cast<Duration::rep>(at * 1e6)}, review});
  }
}

std::vector<Arrival> plan_arrivals(const ArrivalOptions& options) {
  Random random(options.seed);
  const Duration length = std::chrono::seconds(options.seconds);
  std::vector<Arrival> plan;
  plan_poisson(options.rate, length, false, random, plan);
  plan_poisson(options.review_rate, length, true, random, plan);
  const Duration period = std::chrono::milliseconds(options.burst_every_ms);
  for (Duration at = period; period.count() > 0 && at < length; at += period) {
    const Duration jitter{static_cast<Duration::rep>(random.below(1'000'000))};
    for (std::uint32_t i = 0; i < options.burst_size; ++i) plan.push_back({at + jitter, false});
  }
  std::sort(plan.begin(), plan.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return plan;
}

std::string body_of(const Arrival& arrival, std::uint64_t number, std::uint64_t seed) {
  std::string prompt = (arrival.review ? "review " : "question ") + std::to_string(seed) + "/" +
                       std::to_string(number) + " ";
  prompt.resize(arrival.review ? kReviewBytes : kShortBytes, 'x');
  const json::object message{{"role", "user"}, {"content", prompt}};
  const json::object body{{"model", "assistant"},
                          {"stream", true},
                          {"max_tokens", arrival.review ? kReviewTokens : kShortTokens},
                          {"messages", json::array{message}}};
  return json::serialize(body);
}

asio::awaitable<void> run_request(std::string target, std::string body, bool review, double link_ms,
                                  Outcomes& outcomes) {
  const auto executor = co_await asio::this_coro::executor;
  const TimePoint planned = monotonic_now();
  HttpCall call;
  call.address = std::move(target);
  call.method = "POST";
  call.target = "/v1/chat/completions";
  call.body = std::move(body);
  call.timeout = kTimeout;
  HttpStream stream(executor);
  const auto [progress, status] = co_await stream.open(call);
  if (status != 200) {
    ++(status == 0 ? outcomes.failed : outcomes.refused);
    co_return;
  }
  EventSplitter splitter(0);
  std::string_view bytes;
  TimePoint last = planned;
  double first_token_ms = 0;
  double max_inter_token_ms = 0;
  while (true) {
    const bool more = co_await stream.read(bytes, kTimeout);
    if (!more) break;
    const std::uint32_t before = splitter.last_token();
    if (splitter.feed(bytes) != SplitStatus::kOk) break;
    if (splitter.last_token() == before) continue;
    const TimePoint now = monotonic_now();
    const double gap_ms = static_cast<double>((now - last).count()) / 1e3;
    last = now;
    if (before == 0) {
      first_token_ms = gap_ms + 2 * link_ms;
      if (!review) outcomes.first_token_ms.push_back(first_token_ms);
      continue;
    }
    if (!review) outcomes.inter_token_ms.push_back(gap_ms);
    max_inter_token_ms = std::max(max_inter_token_ms, gap_ms);
  }
  if (!splitter.finished()) {
    ++outcomes.failed;
    co_return;
  }
  ++outcomes.completed;
  const bool meets_goal =
      first_token_ms <= kFirstTokenGoalMs && max_inter_token_ms <= kInterTokenGoalMs;
  if (!review && meets_goal) ++outcomes.within_goal;
}

asio::awaitable<void> start_all(const ArrivalOptions& options, const std::vector<Arrival>& plan,
                                Outcomes& outcomes) {
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t number = 0;
  for (const auto& arrival : plan) {
    timer.expires_at(start + arrival.at);
    co_await timer.async_wait(kNoThrow);
    std::string target = options.targets[number % options.targets.size()];
    std::string body = body_of(arrival, number, options.seed);
    asio::co_spawn(executor,
                   run_request(std::move(target), std::move(body), arrival.review,
                               static_cast<double>(options.link_delay_ms), outcomes),
                   asio::detached);
    ++number;
  }
}

json::object quantiles(std::vector<double>& values) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double fraction) {
    if (values.empty()) return 0.0;
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
  };
  return {{"count", values.size()}, {"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

}  // namespace

int run_arrivals(const ArrivalOptions& options) {
  asio::io_context context(1);
  Outcomes outcomes;
  const auto plan = plan_arrivals(options);
  asio::co_spawn(context, start_all(options, plan, outcomes), asio::detached);
  context.run();
  const json::object result{{"planned", plan.size()},
                            {"whole", outcomes.completed},
                            {"refused", outcomes.refused},
                            {"broken", outcomes.failed},
                            {"short_within_goal", outcomes.within_goal},
                            {"first_token_ms", quantiles(outcomes.first_token_ms)},
                            {"between_tokens_ms", quantiles(outcomes.inter_token_ms)}};
  std::cout << json::serialize(result) << std::endl;
  return 0;
}

}  // namespace stoathold::bench
