/// @file
/// The nodes of the own zone: those that the group lists, and those learned from one another.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/load_messages.h"

namespace stoathold {

/// Returns an endpoint as `ip:port`.
inline std::string address_text(const boost::asio::ip::udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// The group lists only members that hold a slot; in a zone with more nodes than slots most are not
/// listed. So each node also learns the nodes that it hears, and those that its neighbours say they
/// hear. Who is neither listed nor heard of any more is forgotten. Used on one thread.
class NeighbourTable {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// The group lists just these nodes of the zone.
  void set_listed(const std::vector<Endpoint>& listed);
  /// A message came from this node.
  void heard(const Endpoint& endpoint, TimePoint now);
  /// Another node says that it hears these.
  /// @param self own address, which is left out.
  void learn(const std::vector<NodeEndpoint>& neighbours, const Endpoint& self, TimePoint now);
  /// Forgets who is neither listed nor heard of.
  void expire(TimePoint now);

  /// Returns the nodes that this one has heard itself lately, to list them in messages.
  [[nodiscard]] std::vector<NodeEndpoint> heard_lately(TimePoint now) const;
  /// Whether this node reports the zone's loads to other zones: the few with the lowest addresses
  /// do. Nodes that know different neighbours may disagree for a while; then more or fewer report.
  [[nodiscard]] bool is_zone_reporter(const Endpoint& self, TimePoint now) const;
  /// Returns the nodes that report the zone's loads, in the order of their addresses.
  [[nodiscard]] std::vector<Endpoint> zone_reporters(const Endpoint& self, TimePoint now) const;
  /// Calls `visit` with the endpoint of each.
  template <typename Visitor>
  void for_each(const Visitor& visit) const {
    for (const auto& neighbour : neighbours_) visit(neighbour.endpoint);
  }
  [[nodiscard]] std::size_t size() const { return neighbours_.size(); }
  [[nodiscard]] bool empty() const { return neighbours_.empty(); }

 private:
  struct Neighbour {
    Endpoint endpoint;
    bool listed = false;
    TimePoint heard{};      ///< When a message came from it; the start of the clock: never.
    TimePoint mentioned{};  ///< When anything was last heard from it or of it.

    /// Whether a message came from it so lately that it is taken to live.
    [[nodiscard]] bool heard_lately(TimePoint now) const;
  };

  Neighbour& entry(const Endpoint& endpoint);

  std::vector<Neighbour> neighbours_;
};

}  // namespace stoathold
