/// @file
/// What a node reports to others about the slot time that it gave to callers.
#pragma once

#include <cstdint>

namespace stoathold {

/// Slot time that the sender has given to one tenant at one service.
struct ShareUse {
  std::uint64_t service = 0;  ///< Hash of the service and the class of work.
  std::uint64_t tenant = 0;   ///< Hash of the tenant's name.
  std::uint32_t slot_ms = 0;  ///< Since the sender's start; wraps around, only differences count.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, tenant, slot_ms);
  }
};

}  // namespace stoathold
