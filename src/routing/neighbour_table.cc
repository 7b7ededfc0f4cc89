#include "routing/neighbour_table.h"

#include <algorithm>
#include <functional>

namespace stoathold {
namespace {

/// Number of nodes of a zone that report its loads to other zones. With two, the loss of one is
/// tolerated.
constexpr std::ptrdiff_t kZoneReporters = 2;
/// Maximum number of nodes of a zone up to which each message lists all of them.
constexpr std::size_t kMaxNeighboursReported = 64;
/// Number of nodes that a message lists in a larger zone. All nodes together then still list each
/// node several times a second.
constexpr std::size_t kNeighboursReportedInTurn = 16;
/// Maximum number of nodes that receive one heartbeat.
constexpr std::size_t kMaxHeartbeatReceivers = 64;
/// A node that has sent a message within this time is considered live and is listed in messages.
/// Nodes send a heartbeat at least once a second. In a larger zone it reaches only a part of the
/// nodes, and the time is longer by as much.
constexpr Duration kLivenessTimeout = std::chrono::milliseconds(2500);
/// A node that is not listed and has not been mentioned for this many liveness timeouts is removed.
constexpr int kNeighbourLifetimes = 2;

}  // namespace

bool NeighbourTable::Neighbour::is_live(TimePoint now, Duration timeout) const {
  return last_message != TimePoint{} && now - last_message <= timeout;
}

Duration NeighbourTable::liveness_timeout() const {
  const std::size_t rounds = 1 + neighbours_.size() / (kMaxHeartbeatReceivers + 1);
  return kLivenessTimeout * static_cast<Duration::rep>(rounds);
}

std::vector<NeighbourTable::Endpoint> NeighbourTable::next_heartbeat_receivers() {
  std::vector<Endpoint> receivers;
  const std::size_t count = std::min(neighbours_.size(), kMaxHeartbeatReceivers);
  for (std::size_t i = 0; i < count; ++i) {
    receivers.push_back(neighbours_[next_receiver_++ % neighbours_.size()].endpoint);
  }
  return receivers;
}

std::size_t NeighbourTable::EndpointHash::operator()(const Endpoint& endpoint) const {
  constexpr unsigned kPortBits = 16;
  const auto& address = endpoint.address();
  if (!address.is_v4()) return std::hash<std::string>()(address.to_string()) ^ endpoint.port();
  const std::uint64_t ip = address.to_v4().to_uint();
  return std::hash<std::uint64_t>()((ip << kPortBits) | endpoint.port());
}

NeighbourTable::Neighbour& NeighbourTable::find_or_add(const Endpoint& endpoint) {
  const auto [position, is_new] = positions_.try_emplace(endpoint, neighbours_.size());
  if (is_new) neighbours_.push_back({endpoint});
  return neighbours_[position->second];
}

void NeighbourTable::set_listed(const std::vector<Endpoint>& listed) {
  for (auto& neighbour : neighbours_) neighbour.listed = false;
  for (const auto& endpoint : listed) find_or_add(endpoint).listed = true;
}

void NeighbourTable::record_message(const Endpoint& endpoint, TimePoint now) {
  Neighbour& neighbour = find_or_add(endpoint);
  neighbour.last_message = now;
  neighbour.last_mentioned = now;
}

void NeighbourTable::add_reported(const std::vector<NodeEndpoint>& neighbours, const Endpoint& self,
                                  TimePoint now) {
  for (const auto& reported : neighbours) {
    const Endpoint endpoint(boost::asio::ip::address_v4(reported.ip), reported.port);
    if (endpoint != self) find_or_add(endpoint).last_mentioned = now;
  }
}

void NeighbourTable::expire(TimePoint now) {
  const Duration lifetime = kNeighbourLifetimes * liveness_timeout();
  const auto erased = std::erase_if(neighbours_, [&](const Neighbour& neighbour) {
    return !neighbour.listed && now - neighbour.last_mentioned > lifetime;
  });
  if (erased == 0) return;
  positions_.clear();
  for (std::size_t i = 0; i < neighbours_.size(); ++i) positions_[neighbours_[i].endpoint] = i;
}

bool NeighbourTable::is_zone_reporter(const Endpoint& self, TimePoint now) const {
  const Duration timeout = liveness_timeout();
  const auto lower_addresses =
      std::count_if(neighbours_.begin(), neighbours_.end(), [&](const Neighbour& neighbour) {
        return neighbour.is_live(now, timeout) && neighbour.endpoint < self;
      });
  return lower_addresses < kZoneReporters;
}

std::vector<NeighbourTable::Endpoint> NeighbourTable::zone_reporters(const Endpoint& self,
                                                                     TimePoint now) const {
  const Duration timeout = liveness_timeout();
  std::vector<Endpoint> live{self};
  for (const auto& neighbour : neighbours_) {
    if (neighbour.is_live(now, timeout)) live.push_back(neighbour.endpoint);
  }
  std::sort(live.begin(), live.end());
  live.resize(std::min<std::size_t>(live.size(), kZoneReporters));
  return live;
}

std::vector<NodeEndpoint> NeighbourTable::live_nodes(TimePoint now) const {
  const Duration timeout = liveness_timeout();
  std::vector<NodeEndpoint> reported;
  for (const auto& neighbour : neighbours_) {
    if (!neighbour.is_live(now, timeout) || !neighbour.endpoint.address().is_v4()) continue;
    reported.push_back({neighbour.endpoint.address().to_v4().to_uint(), neighbour.endpoint.port()});
  }
  return reported;
}

std::vector<NodeEndpoint> NeighbourTable::next_reported_nodes(TimePoint now) {
  std::vector<NodeEndpoint> live = live_nodes(now);
  if (live.size() <= kMaxNeighboursReported) return live;
  std::vector<NodeEndpoint> reported;
  for (std::size_t i = 0; i < kNeighboursReportedInTurn; ++i) {
    reported.push_back(live[next_reported_++ % live.size()]);
  }
  return reported;
}

}  // namespace stoathold
