/// @file
/// Selects the nodes that hold copies of a stream's origin.
#pragma once

#include <string>
#include <vector>

#include "routing/member_name.h"
#include "routing/stream_origin.h"

namespace stoathold {

/// Number of nodes, other than the one where a stream began, that hold a copy of its origin.
inline constexpr std::size_t kOriginCopies = 3;
/// Number of nodes that are asked for an origin. They include the holders of the copies even after
/// nodes have joined or left since the copies were sent.
inline constexpr std::size_t kOriginQueries = 3 * kOriginCopies;

/// Ranks the nodes for a stream by rendezvous hashing, so that any node finds the holders knowing
/// only the stream's key. Consecutive nodes of the ranking are in different zones where possible:
/// the loss of a zone leaves copies.
class OriginReplicas {
 public:
  /// Sets all nodes.
  /// @param self address (`ip:port`) of this node, which is never selected.
  void set_members(const std::vector<MemberName>& members, const std::string& self);
  /// Returns the addresses of the nodes that are sent a copy.
  [[nodiscard]] std::vector<std::string> holders(StreamKey stream) const {
    return select(stream, kOriginCopies);
  }
  /// Returns the addresses of the nodes to ask.
  [[nodiscard]] std::vector<std::string> candidates(StreamKey stream) const {
    return select(stream, kOriginQueries);
  }

 private:
  struct Node {
    std::string address;
    std::uint64_t hash = 0;  ///< Of the address.
  };
  struct Zone {
    std::uint64_t hash = 0;  ///< Of the name.
    std::vector<Node> nodes;
  };

  [[nodiscard]] std::vector<std::string> select(StreamKey stream, std::size_t count) const;

  std::vector<Zone> zones_;  ///< Without this node.
};

}  // namespace stoathold
