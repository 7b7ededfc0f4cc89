/// @file
/// Report of a node to its peers about the requests queued for a service.
#pragma once

#include <cstdint>

namespace stoathold {

/// Online work for one service at the sender. Counters start at 0 with the sender's process and
/// wrap around. Receivers use only differences, so a lost report costs nothing.
struct ServiceBacklog {
  std::uint64_t service = 0;          ///< Hash of the service's name.
  std::uint8_t priority = 0;          ///< 0 is the most urgent.
  std::uint16_t waiting = 0;          ///< Requests that wait for a slot and can still be on time.
  std::uint32_t waiting_slot_ms = 0;  ///< Predicted slot time of the waiting requests.
  std::uint32_t freed_slots = 0;      ///< Slots released by requests.
  std::uint32_t freed_slot_ms = 0;    ///< Total time for which the released slots were held.
  std::uint32_t arrivals = 0;         ///< Requests that arrived, except for booked retries.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, priority, waiting, waiting_slot_ms, freed_slots, freed_slot_ms, arrivals);
  }
};

}  // namespace stoathold
