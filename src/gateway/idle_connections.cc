#include "gateway/idle_connections.h"

#include <charconv>
#include <utility>

#include "net/beast_helpers.h"

namespace stoathold {
namespace {

constexpr std::size_t kMaxIdlePerAddress = 8;
/// Fraction of the runner's keep-alive time during which a connection is reused. The rest is a
/// margin for bytes in transit: if the runner closed the connection while a request is being sent,
/// it would be unknown whether the request ran.
constexpr double kReuseFraction = 0.6;

/// Returns whether an idle connection is open and has no unsolicited bytes to read.
bool is_clean(boost::asio::ip::tcp::socket& socket) {
  return peek_socket(socket) == boost::asio::error::would_block;
}

/// Assumed if a runner does not announce its keep-alive timeout.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(1);

}  // namespace

Duration parse_keep_alive(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t found = value.find(kTimeout);
  if (found == std::string_view::npos) return kDefaultKeepAlive;
  std::uint32_t seconds = 0;
  const char* begin = value.data() + found + kTimeout.size();
  const auto result = std::from_chars(begin, value.data() + value.size(), seconds);
  return result.ec == std::errc{} ? Duration(std::chrono::seconds(seconds)) : kDefaultKeepAlive;
}

bool IdleConnections::IdleConnection::usable(std::uint64_t expected_runner,
                                             Duration max_idle_time) const {
  const TimePoint now = monotonic_now();
  return runner == expected_runner && now < usable_until && now - idle_since <= max_idle_time;
}

IdleConnections::Connection IdleConnections::take(const std::string& address, std::uint64_t runner,
                                                  Duration max_idle_time) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return {};
  auto& list = found->second;
  Connection taken;
  while (!list.empty() && !taken.socket) {
    // Connections closer to the front have been idle longer.
    const bool idle_too_long = monotonic_now() - list.back().idle_since > max_idle_time;
    if (idle_too_long) break;
    IdleConnection last = std::move(list.back());
    list.pop_back();
    const bool usable = last.usable(runner, max_idle_time);
    if (usable && is_clean(*last.connection.socket)) taken = std::move(last.connection);
  }
  if (list.empty()) by_address_.erase(found);
  return taken;
}

void IdleConnections::put(const std::string& address, std::uint64_t runner, Connection connection,
                          Duration keep_alive) {
  auto& list = by_address_[address];
  if (list.size() >= kMaxIdlePerAddress) list.erase(list.begin());
  const TimePoint now = monotonic_now();
  list.push_back({runner, std::move(connection), now + scale(keep_alive, kReuseFraction), now});
}

bool IdleConnections::has_usable(const std::string& address, std::uint64_t runner,
                                 Duration max_idle_time) const {
  const auto found = by_address_.find(address);
  if (found == by_address_.end() || found->second.empty()) return false;
  return found->second.back().usable(runner, max_idle_time);
}

}  // namespace stoathold
