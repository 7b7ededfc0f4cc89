/// @file
/// Remembers which quarantines operators have lifted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "quarantine/request_content.h"

namespace stoathold {

/// The end of a quarantine by an operator, who deleted its log record.
struct Lift {
  /// Position in the log behind the deletion; 0: unknown. Orders the lifts of one request.
  std::uint64_t position = 0;
  TimePoint at{};  ///< When this node learned of it.
};

/// The newest lift of each request. Used on one thread.
class LiftTable {
 public:
  /// Adds a lift, unless a newer one of the request is known.
  void add(ContentHash content, const Lift& lift);
  /// Returns the newest lift of the request.
  [[nodiscard]] std::optional<Lift> find(ContentHash content) const;
  /// Returns its position; 0 if there is none.
  [[nodiscard]] std::uint64_t position(ContentHash content) const;
  /// Returns all requests with a lift.
  [[nodiscard]] std::vector<ContentHash> contents() const;
  /// Forgets lifts of this age: no quarantine that began before them is left.
  void expire(TimePoint now, Duration lifetime);

 private:
  std::map<ContentHash, Lift> lifts_;
};

}  // namespace stoathold
