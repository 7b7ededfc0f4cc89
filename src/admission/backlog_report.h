/// @file
/// What a node reports to others about work that waits for a service.
#pragma once

#include <cstdint>

namespace stoathold {

/// Online work for one service at the sender.
struct ServiceBacklog {
  std::uint64_t service = 0;          ///< Hash of its name.
  std::uint8_t priority = 0;          ///< 0 is the most urgent.
  std::uint16_t waiting = 0;          ///< Requests that wait for a slot.
  std::uint32_t waiting_slot_ms = 0;  ///< Slot time that they are predicted to take.
  std::uint32_t freed_slots = 0;      ///< Slots that the sender gave back since its start; wraps.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, priority, waiting, waiting_slot_ms, freed_slots);
  }
};

}  // namespace stoathold
