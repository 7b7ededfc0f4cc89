#include "routing/configuration_confirmation.h"

#include <algorithm>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// How long a confirmation counts. Bounds what denials cost the log: two calls a second per node.
constexpr Duration kConfirmationLifetime = std::chrono::milliseconds(500);
/// How long a caller waits for the log. A read of it takes some 10 ms.
constexpr Duration kLogPatience = std::chrono::milliseconds(300);
/// How long a caller waits for other nodes after that.
constexpr Duration kPeersPatience = std::chrono::milliseconds(400);
/// How long after a failure callers are refused at once, so that they try another node sooner.
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(300);

bool is_within(TimePoint past, Duration duration) {
  return past != TimePoint{} && monotonic_now() - past <= duration;
}

}  // namespace

ConfigurationPosition ConfigurationConfirmation::position() const {
  ConfigurationPosition position = sources_.position();
  position.confirmed_at = std::max(position.confirmed_at, confirmed_by_peers_);
  return position;
}

asio::awaitable<bool> ConfigurationConfirmation::confirm() {
  if (is_within(position().confirmed_at, kConfirmationLifetime)) co_return true;
  if (is_within(failed_at_, kPauseAfterFailure)) co_return false;
  const bool confirmed = co_await confirm_by_log();
  if (confirmed) co_return true;
  const SharedRead::Read ask = [this] { return ask_peers(); };
  const LogStatus status = co_await peer_reads_.run(ask, monotonic_now() + kPeersPatience);
  if (status != LogStatus::kOk) failed_at_ = monotonic_now();
  co_return status == LogStatus::kOk;
}

asio::awaitable<bool> ConfigurationConfirmation::confirm_by_log() {
  if (is_within(sources_.position().confirmed_at, kConfirmationLifetime)) co_return true;
  const SharedRead::Read read = [this] { return sources_.read_log(); };
  const LogStatus status = co_await log_reads_.run(read, monotonic_now() + kLogPatience);
  co_return status == LogStatus::kOk;
}

asio::awaitable<LogStatus> ConfigurationConfirmation::ask_peers() {
  const TimePoint sent = monotonic_now();
  const bool confirmed = co_await sources_.ask_peers();
  if (!confirmed) co_return LogStatus::kUnknown;
  confirmed_by_peers_ = sent;
  co_return LogStatus::kOk;
}

}  // namespace stoathold
