/// @file
/// What a node reports to others about work that waits for a service.
#pragma once

#include <cstdint>

namespace stoathold {

/// Online work for one service at the sender. Counters count from the sender's start and wrap
/// around: only differences count, so that a lost report costs nothing.
struct ServiceBacklog {
  std::uint64_t service = 0;          ///< Hash of its name.
  std::uint8_t priority = 0;          ///< 0 is the most urgent.
  std::uint16_t waiting = 0;          ///< Requests that wait for a slot and can be in time.
  std::uint32_t waiting_slot_ms = 0;  ///< Slot time that they are predicted to take.
  std::uint32_t freed_slots = 0;      ///< Slots that requests gave back.
  std::uint32_t freed_slot_ms = 0;    ///< Time for which those were held.
  std::uint32_t arrivals = 0;  ///< Requests that came, without those that came back as asked.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, priority, waiting, waiting_slot_ms, freed_slots, freed_slot_ms, arrivals);
  }
};

}  // namespace stoathold
