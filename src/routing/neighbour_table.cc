#include "routing/neighbour_table.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Nodes of a zone that report its loads to other zones: the loss of one leaves the other.
constexpr std::ptrdiff_t kZoneReporters = 2;
/// Most nodes listed in one message.
constexpr std::size_t kMaxNeighboursReported = 64;
/// A node that was heard within this time is listed in messages. Nodes send something at least once
/// a second.
constexpr Duration kHeardLately = std::chrono::milliseconds(2500);
/// A node that is not listed and of which nothing was heard for this time is forgotten.
constexpr Duration kLifetime = std::chrono::seconds(5);

}  // namespace

bool NeighbourTable::Neighbour::heard_lately(TimePoint now) const {
  return heard != TimePoint{} && now - heard <= kHeardLately;
}

NeighbourTable::Neighbour& NeighbourTable::entry(const Endpoint& endpoint) {
  const auto found =
      std::find_if(neighbours_.begin(), neighbours_.end(),
                   [&](const Neighbour& neighbour) { return neighbour.endpoint == endpoint; });
  if (found != neighbours_.end()) return *found;
  neighbours_.push_back({endpoint});
  return neighbours_.back();
}

void NeighbourTable::set_listed(const std::vector<Endpoint>& listed) {
  for (auto& neighbour : neighbours_) neighbour.listed = false;
  for (const auto& endpoint : listed) entry(endpoint).listed = true;
}

void NeighbourTable::heard(const Endpoint& endpoint, TimePoint now) {
  Neighbour& neighbour = entry(endpoint);
  neighbour.heard = now;
  neighbour.mentioned = now;
}

void NeighbourTable::learn(const std::vector<NodeEndpoint>& neighbours, const Endpoint& self,
                           TimePoint now) {
  for (const auto& reported : neighbours) {
    const Endpoint endpoint(boost::asio::ip::address_v4(reported.ip), reported.port);
    if (endpoint != self) entry(endpoint).mentioned = now;
  }
}

void NeighbourTable::expire(TimePoint now) {
  std::erase_if(neighbours_, [now](const Neighbour& neighbour) {
    return !neighbour.listed && now - neighbour.mentioned > kLifetime;
  });
}

bool NeighbourTable::is_zone_reporter(const Endpoint& self, TimePoint now) const {
  const auto before =
      std::count_if(neighbours_.begin(), neighbours_.end(), [&](const Neighbour& neighbour) {
        return neighbour.heard_lately(now) && neighbour.endpoint < self;
      });
  return before < kZoneReporters;
}

std::vector<NeighbourTable::Endpoint> NeighbourTable::zone_reporters(const Endpoint& self,
                                                                     TimePoint now) const {
  std::vector<Endpoint> live{self};
  for (const auto& neighbour : neighbours_) {
    if (neighbour.heard_lately(now)) live.push_back(neighbour.endpoint);
  }
  std::sort(live.begin(), live.end());
  live.resize(std::min<std::size_t>(live.size(), kZoneReporters));
  return live;
}

std::vector<NodeEndpoint> NeighbourTable::heard_lately(TimePoint now) const {
  std::vector<NodeEndpoint> reported;
  for (const auto& neighbour : neighbours_) {
    if (!neighbour.heard_lately(now) || !neighbour.endpoint.address().is_v4()) continue;
    reported.push_back({neighbour.endpoint.address().to_v4().to_uint(), neighbour.endpoint.port()});
    if (reported.size() >= kMaxNeighboursReported) break;
  }
  return reported;
}

}  // namespace stoathold
