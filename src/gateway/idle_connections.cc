#include "gateway/idle_connections.h"

#include <utility>

#include "net/beast_helpers.h"

namespace stoathold {
namespace {

constexpr std::size_t kIdlePerAddress = 8;
/// Part of the runner's idle time within which a connection is used again. The rest is for bytes
/// under way: a runner that closes just then would leave the request's fate unknown.
constexpr double kReusePart = 0.6;

/// Whether an idle connection is open and holds no bytes that nobody asked for.
bool is_clean(boost::asio::ip::tcp::socket& socket) {
  return peek_socket(socket) == boost::asio::error::would_block;
}

}  // namespace

bool IdleConnections::IdleConnection::usable(std::uint64_t wanted, Duration max_idle_time) const {
  const TimePoint now = monotonic_now();
  return runner == wanted && now < usable_until && now - idle_since <= max_idle_time;
}

IdleConnections::Socket IdleConnections::take(const std::string& address, std::uint64_t runner,
                                              Duration max_idle_time) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return nullptr;
  auto& list = found->second;
  Socket taken;
  while (!list.empty() && !taken) {
    // Those in front of it have rested longer.
    const bool rested_too_long = monotonic_now() - list.back().idle_since > max_idle_time;
    if (rested_too_long) break;
    IdleConnection last = std::move(list.back());
    list.pop_back();
    const bool usable = last.usable(runner, max_idle_time);
    if (usable && is_clean(*last.socket)) taken = std::move(last.socket);
  }
  if (list.empty()) by_address_.erase(found);
  return taken;
}

void IdleConnections::give(const std::string& address, std::uint64_t runner, Socket socket,
                           Duration keep_alive) {
  auto& list = by_address_[address];
  if (list.size() >= kIdlePerAddress) list.erase(list.begin());
  const TimePoint now = monotonic_now();
  list.push_back({runner, std::move(socket), now + scale(keep_alive, kReusePart), now});
}

bool IdleConnections::has(const std::string& address, std::uint64_t runner,
                          Duration max_idle_time) const {
  const auto found = by_address_.find(address);
  if (found == by_address_.end() || found->second.empty()) return false;
  return found->second.back().usable(runner, max_idle_time);
}

}  // namespace stoathold
