/// @file
/// What a node reports to others about how answers of a route come.
#pragma once

#include <cstdint>

namespace stoathold {

/// The pace of one route's answers.
struct RoutePace {
  std::uint64_t route = 0;                   ///< Hash of its name.
  std::uint32_t event_gap_us = 0;            ///< From one event to the next, microseconds.
  std::uint16_t tokens_per_event_16ths = 0;  ///< Mean tokens in an event, in sixteenths.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(route, event_gap_us, tokens_per_event_16ths);
  }
};

}  // namespace stoathold
