/// @file
/// The nodes of this node's zone: members listed by the group and nodes discovered by messages.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/load_messages.h"

namespace stoathold {

/// Returns an endpoint as `ip:port`.
inline std::string address_text(const boost::asio::ip::udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Table of the other nodes of the zone. The group lists only members that hold a slot of the
/// group; in a zone with more nodes than slots most nodes are not listed. So each node also adds
/// the nodes from which it receives messages, and those from which its neighbours report to receive
/// messages. A node that is neither listed nor mentioned any more is removed. Not thread-safe.
class NeighbourTable {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// Replaces the set of nodes of the zone that the group lists.
  void set_listed(const std::vector<Endpoint>& listed);
  /// Records that a message was received from a node.
  void record_message(const Endpoint& endpoint, TimePoint now);
  /// Adds nodes that another node reports as live.
  /// @param self address of this node, which is skipped.
  void add_reported(const std::vector<NodeEndpoint>& neighbours, const Endpoint& self,
                    TimePoint now);
  /// Removes nodes that are neither listed nor recently mentioned.
  void expire(TimePoint now);

  /// Returns the nodes from which this node has recently received a message.
  [[nodiscard]] std::vector<NodeEndpoint> live_nodes(TimePoint now) const;
  /// Returns the live nodes to list in the next message. If they do not fit, consecutive calls
  /// return different ones, so that the receivers learn of all of them.
  [[nodiscard]] std::vector<NodeEndpoint> next_reported_nodes(TimePoint now);
  /// Whether this node reports the zone's loads to other zones, which the few live nodes with the
  /// lowest addresses do. While nodes know different neighbours, more or fewer nodes may report.
  [[nodiscard]] bool is_zone_reporter(const Endpoint& self, TimePoint now) const;
  /// Returns the nodes that report the zone's loads, ordered by address.
  [[nodiscard]] std::vector<Endpoint> zone_reporters(const Endpoint& self, TimePoint now) const;
  /// Returns the nodes that receive the next heartbeat: all of a small zone; in a larger one each
  /// call returns the next ones in turn, so that their number does not grow with the zone.
  [[nodiscard]] std::vector<Endpoint> next_heartbeat_receivers();
  /// Calls `visit` with the endpoint of each node.
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
    TimePoint
        last_message{};  ///< When a message was last received from it; the clock's epoch: never.
    TimePoint
        last_mentioned{};  ///< When it last sent a message or was last reported by another node.

    /// Whether a message was received from it recently enough to consider it live.
    [[nodiscard]] bool is_live(TimePoint now, Duration timeout) const;
  };

  struct EndpointHash {
    std::size_t operator()(const Endpoint& endpoint) const;
  };

  Neighbour& find_or_add(const Endpoint& endpoint);
  /// Returns the time without a message after which a node is not considered live.
  [[nodiscard]] Duration liveness_timeout() const;

  std::vector<Neighbour> neighbours_;
  std::unordered_map<Endpoint, std::size_t, EndpointHash> positions_;  ///< In `neighbours_`.
  std::size_t next_reported_ = 0;  ///< Position among the live nodes of the next one to report.
  std::size_t next_receiver_ = 0;  ///< Position of the next receiver of a heartbeat.
};

}  // namespace stoathold
