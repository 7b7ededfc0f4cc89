#include "gateway/response_end.h"

#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/log_fields.h"
#include "gateway/runner_probe.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

constexpr Duration kProbeConnectTimeout = std::chrono::milliseconds(500);
/// Maximum time for a probe, with the time to connect.
constexpr Duration kProbeDeadline = std::chrono::milliseconds(1500);
constexpr int kMisdirected = 421;

}  // namespace

/// Any response but 421 shows that the runner with this id is running: one that is full or leaving
/// rejects a probe. Without a health path there is nothing to ask for, and the runner
/// counts as running.
asio::awaitable<bool> ResponseEndCheck::is_running(const Runner& runner, std::string host) {
  std::optional<UpstreamProbe> probe = make_runner_probe(context_, runner, host);
  if (!probe) co_return true;
  const auto exchange = std::make_shared<UpstreamExchange>(context_.pool);
  probe_ = exchange;
  exchange->set_deadline(monotonic_now() + kProbeDeadline);
  UpstreamTarget target{runner.record().address, runner.hash()};
  const int status =
      co_await exchange->send_probe(std::move(target), std::move(*probe), kProbeConnectTimeout);
  exchange->release();
  probe_.reset();
  const bool is_running = status != 0 && status != kMisdirected;
  if (!is_running) {
    log_event(Event::kResponseCutOff,
              {{"runner", runner.record().id}, {"probe", std::to_string(status)}});
  }
  co_return is_running;
}

asio::awaitable<ResponseEnd> ResponseEndCheck::check(const UpstreamHead& head, const Runner& runner,
                                                     std::string host,
                                                     std::optional<std::uint64_t> last_event,
                                                     Proof proof) {
  if (head.framing != BodyFraming::kUntilClose) co_return ResponseEnd::kComplete;
  const bool running = co_await is_running(runner, std::move(host));
  if (!running) co_return ResponseEnd::kCutOff;
  if (proof == Proof::kOneRun) co_return ResponseEnd::kComplete;
  if (!last_event) co_return ResponseEnd::kUnconfirmed;
  const bool ended_here_before = std::exchange(ended_at_, last_event) == last_event;
  co_return ended_here_before ? ResponseEnd::kComplete : ResponseEnd::kUnconfirmed;
}

void ResponseEndCheck::cancel() {
  if (probe_) probe_->cancel();
}

}  // namespace stoathold
