/// @file
/// How new the configuration of a node is, as far as the node can tell.
#pragma once

#include <functional>
#include <string>

#include "base/log_fields.h"
#include "base/time.h"
#include "store/record_log.h"

namespace stoathold {

/// The place of a node in the log of the configuration.
struct ConfigurationPosition {
  RecordOffset next_offset = 0;  ///< Of the first record that was not read.
  RecordOffset end = 0;          ///< Last known end of the log.
  /// When the last read that found nothing unread was sent; the clock's start: never.
  TimePoint confirmed_at{};

  /// Records that the node knows of and has not read.
  [[nodiscard]] RecordOffset behind() const { return end > next_offset ? end - next_offset : 0; }
  /// Milliseconds since the configuration was last confirmed, for logs; `never` if it was not.
  [[nodiscard]] std::string age_text(TimePoint now) const {
    return confirmed_at == TimePoint{} ? "never" : milliseconds_text(now - confirmed_at);
  }
};

/// Returns the position of this node.
using ConfigurationPositionSource = std::function<ConfigurationPosition()>;

}  // namespace stoathold
