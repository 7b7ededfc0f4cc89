/// @file
/// Report of a node to its peers about rejected callers that were given a retry time.
#pragma once

#include <cstdint>

namespace stoathold {

/// One rejected request, identified by its content, the only part that is the same in a retry.
struct RetryBookingReport {
  std::uint64_t content = 0;   ///< `ContentHash` of the request.
  std::uint64_t service = 0;   ///< Hash of the service's name.
  std::uint16_t after_ms = 0;  ///< Time left until the booked retry; 0 if it is due.
  bool arrived = false;        ///< The retry has arrived; a further copy is not a booked retry.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(content, service, after_ms, arrived);
  }
};

}  // namespace stoathold
