/// @file
/// Node-to-node report of the rate at which responses of a route are streamed.
#pragma once

#include <cstdint>

namespace stoathold {

/// Streaming rate of one route's responses.
struct RouteStreamRate {
  std::uint64_t route = 0;                   ///< Hash of its name.
  std::uint32_t event_gap_us = 0;            ///< Time between two events in microseconds.
  std::uint16_t tokens_per_event_16ths = 0;  ///< Mean tokens per event, in sixteenths.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(route, event_gap_us, tokens_per_event_16ths);
  }
};

}  // namespace stoathold
