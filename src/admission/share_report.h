/// @file
/// What a node reports to others about the slot time that it gave to callers.
#pragma once

#include <cstdint>

namespace stoathold {

/// Slot time that the sender has given to one flow: the requests of one tenant, route and service.
struct ShareUse {
  std::uint64_t flow = 0;     ///< Hash of tenant, route and service.
  std::uint32_t slot_ms = 0;  ///< Since the sender's start; wraps around, only differences count.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(flow, slot_ms);
  }
};

}  // namespace stoathold
