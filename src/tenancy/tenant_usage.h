/// @file
/// Messages in which nodes report the requests that they admitted for tenants.
#pragma once

#include <cstdint>
#include <vector>

namespace stoathold {

/// Requests that one node has admitted for a tenant since its process started.
struct TenantUsage {
  std::uint64_t tenant = 0;    ///< Hash of the tenant's name.
  std::uint32_t admitted = 0;  ///< Wraps around; only differences are used.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, admitted);
  }
};

/// Usage at a node from which the sender has received reports.
struct NodeTenantUsage {
  std::uint64_t node = 0;  ///< Id of the node, as in its own messages.
  TenantUsage usage;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, usage);
  }
};

/// Usage at the nodes of a zone, reported to another zone.
struct ZoneTenantUsage {
  std::uint64_t zone = 0;               ///< Hash of the sender's zone.
  std::vector<std::uint64_t> nodes;     ///< Nodes of the zone that the sender hears from.
  std::vector<NodeTenantUsage> usages;  ///< Recently changed counters.
  std::vector<std::uint64_t> departed;  ///< Nodes of the zone that recently left as planned.
  bool forward = false;                 ///< The receiver forwards the report within its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, nodes, usages, departed, forward);
  }
};

}  // namespace stoathold
