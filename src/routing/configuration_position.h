/// @file
/// Position of a node in the configuration log: how recent its configuration is known to be.
#pragma once

#include <functional>
#include <string>

#include "base/log_fields.h"
#include "base/time.h"
#include "store/record_log.h"

namespace stoathold {

/// Position of a node in the configuration log.
struct ConfigurationPosition {
  RecordOffset next_offset = 0;  ///< Offset of the first unread record.
  RecordOffset end = 0;          ///< Last known end of the log.
  /// When the last read that found no unread record was sent; the clock's epoch: never.
  TimePoint confirmed_at{};

  /// Returns the number of known records that the node has not read.
  [[nodiscard]] RecordOffset unread_records() const {
    return end > next_offset ? end - next_offset : 0;
  }
  /// Returns the milliseconds since the configuration was last confirmed, for logs; `never` if it
  /// has not been confirmed.
  [[nodiscard]] std::string age_text(TimePoint now) const {
    return confirmed_at == TimePoint{} ? "never" : milliseconds_text(now - confirmed_at);
  }
};

/// Returns the position of this node.
using ConfigurationPositionSource = std::function<ConfigurationPosition()>;

}  // namespace stoathold
