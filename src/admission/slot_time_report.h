/// @file
/// Report of a node to its peers about the slot time that it granted to tenants.
#pragma once

#include <cstdint>

namespace stoathold {

/// Slot time that the sender has granted to one tenant at one service.
struct SlotTimeReport {
  std::uint64_t service = 0;  ///< Hash of the service and the class of work.
  std::uint64_t tenant = 0;   ///< Hash of the tenant's name.
  std::uint32_t slot_ms = 0;  ///< Since the sender's start; wraps, only differences are used.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, tenant, slot_ms);
  }
};

}  // namespace stoathold
