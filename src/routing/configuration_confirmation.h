/// @file
/// Makes sure that a node's configuration is the newest one before callers are denied by it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "routing/configuration_position.h"
#include "store/record_log.h"
#include "store/shared_read.h"

namespace stoathold {

/// Who can confirm a configuration.
struct ConfirmationSources {
  /// Where the node stands in the log of the configuration.
  ConfigurationPositionSource position;
  /// Reads that log to its end, and puts in force what it brings.
  std::function<boost::asio::awaitable<LogStatus>()> read_log;
  /// Asks other nodes, and puts in force what they bring; returns whether one has read the log.
  std::function<boost::asio::awaitable<bool>()> ask_peers;
};

/// A request that a newer configuration allows must not be denied (401, 404) by an older one: its
/// caller would not come again. A node that follows the log is up to date within some 10 ms, and
/// can't tell when it no longer is. So a denial needs a read of the log that was sent a moment ago.
/// Where the log does not answer this node, another one may read it.
///
/// Callers who overlap share the reads. Used on one thread; outlives its calls.
class ConfigurationConfirmation {
 public:
  explicit ConfigurationConfirmation(ConfirmationSources sources) : sources_(std::move(sources)) {}

  /// Whether the configuration that is in force afterwards was the newest a moment ago.
  boost::asio::awaitable<bool> confirm();
  /// The same without asking other nodes: for those that ask this one.
  boost::asio::awaitable<bool> confirm_by_log();
  /// Where the node stands; other nodes' confirmations count.
  [[nodiscard]] ConfigurationPosition position() const;

 private:
  boost::asio::awaitable<LogStatus> ask_peers();

  ConfirmationSources sources_;
  SharedRead log_reads_;
  SharedRead peer_reads_;
  TimePoint confirmed_by_peers_{};
  TimePoint failed_at_{};  ///< When nobody confirmed last; the clock's start: never.
};

}  // namespace stoathold
