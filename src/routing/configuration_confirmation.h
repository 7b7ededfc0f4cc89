/// @file
/// Confirms that a node's configuration is the newest one before a request is denied based on it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "routing/configuration_position.h"
#include "store/coalesced_read.h"
#include "store/record_log.h"

namespace stoathold {

/// Sources that can confirm a configuration.
struct ConfirmationSources {
  /// Returns the node's position in the configuration log.
  ConfigurationPositionSource position;
  /// Reads that log to its end and applies new records.
  std::function<boost::asio::awaitable<LogStatus>()> read_log;
  /// Queries other nodes and applies the records that they return; returns whether one of them has
  /// read the log.
  std::function<boost::asio::awaitable<bool>()> query_peers;
};

/// A request that a newer configuration allows must not be denied (401, 404) by an older one, since
/// clients do not retry such responses. A node that follows the log is up to date within about 10
/// ms but cannot detect when it no longer is. So a denial requires a recent read of the log. If the
/// log does not respond to this node, another node may read it.
///
/// Concurrent callers share the reads. Not thread-safe. Must outlive its calls.
class ConfigurationConfirmation {
 public:
  explicit ConfigurationConfirmation(ConfirmationSources sources) : sources_(std::move(sources)) {}

  /// Confirms the configuration, and updates it if it is outdated.
  /// @return whether the configuration in force afterwards was recently the newest.
  boost::asio::awaitable<bool> confirm();
  /// Like `confirm`, but without querying other nodes; used for the queries of other nodes.
  boost::asio::awaitable<bool> confirm_by_log();
  /// Returns the node's position, with confirmations by other nodes taken into account.
  [[nodiscard]] ConfigurationPosition position() const;

 private:
  boost::asio::awaitable<LogStatus> query_peers();

  ConfirmationSources sources_;
  CoalescedRead log_reads_;
  CoalescedRead peer_reads_;
  TimePoint confirmed_by_peers_{};
  TimePoint last_failure_{};  ///< When confirmation last failed; the clock's epoch: never.
};

}  // namespace stoathold
