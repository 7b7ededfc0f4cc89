/// @file
/// What nodes report to one another about the requests that they admitted for tenants.
#pragma once

#include <cstdint>
#include <vector>

namespace stoathold {

/// Requests that one node has admitted for a tenant since its process began.
struct TenantUsage {
  std::uint64_t tenant = 0;    ///< Hash of its name.
  std::uint32_t admitted = 0;  ///< Wraps around; only differences count.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, admitted);
  }
};

/// The same for a node that the sender of a message has heard from.
struct NodeTenantUsage {
  std::uint64_t node = 0;  ///< As in the node's own messages.
  TenantUsage usage;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, usage);
  }
};

/// What a zone's nodes admitted, for the nodes of another zone.
struct ZoneTenantUsage {
  std::uint64_t zone = 0;             ///< Hash of the sender's zone.
  std::vector<std::uint64_t> nodes;   ///< Nodes of the zone that the sender hears.
  std::vector<NodeTenantUsage> uses;  ///< Those that changed lately.
  std::vector<std::uint64_t> left;    ///< Nodes of the zone that have just left as planned.
  bool pass_on = false;               ///< The receiver passes it on inside its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, nodes, uses, left, pass_on);
  }
};

}  // namespace stoathold
