#include "routing/configuration_confirmation.h"

#include <algorithm>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Time for which a confirmation is valid. Limits the load of denials on the log to two calls per
/// second and node.
constexpr Duration kConfirmationLifetime = std::chrono::milliseconds(500);
/// Maximum time a caller waits for the log. A read takes about 10 ms.
constexpr Duration kLogTimeout = std::chrono::milliseconds(300);
/// Maximum time a caller then waits for other nodes.
constexpr Duration kPeersTimeout = std::chrono::milliseconds(400);
/// Time after a failure during which callers fail immediately, so that they try another node
/// sooner.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(300);

bool is_recent(TimePoint time_point, Duration duration) {
  return time_point != TimePoint{} && monotonic_now() - time_point <= duration;
}

}  // namespace

ConfigurationPosition ConfigurationConfirmation::position() const {
  ConfigurationPosition position = sources_.position();
  position.confirmed_at = std::max(position.confirmed_at, confirmed_by_peers_);
  return position;
}

asio::awaitable<bool> ConfigurationConfirmation::confirm() {
  if (is_recent(position().confirmed_at, kConfirmationLifetime)) co_return true;
  if (is_recent(last_failure_, kFailureBackoff)) co_return false;
  const bool confirmed = co_await confirm_by_log();
  if (confirmed) co_return true;
  const CoalescedRead::Read query = [this] { return query_peers(); };
  const LogStatus status = co_await peer_reads_.run(query, monotonic_now() + kPeersTimeout);
  if (status != LogStatus::kOk) last_failure_ = monotonic_now();
  co_return status == LogStatus::kOk;
}

asio::awaitable<bool> ConfigurationConfirmation::confirm_by_log() {
  if (is_recent(sources_.position().confirmed_at, kConfirmationLifetime)) co_return true;
  const CoalescedRead::Read read = [this] { return sources_.read_log(); };
  const LogStatus status = co_await log_reads_.run(read, monotonic_now() + kLogTimeout);
  co_return status == LogStatus::kOk;
}

asio::awaitable<LogStatus> ConfigurationConfirmation::query_peers() {
  const TimePoint sent = monotonic_now();
  const bool confirmed = co_await sources_.query_peers();
  if (!confirmed) co_return LogStatus::kUnknown;
  confirmed_by_peers_ = sent;
  co_return LogStatus::kOk;
}

}  // namespace stoathold
