/// @file
/// Fetches the configuration from other nodes when the store does not deliver it.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/http.h"
#include "store/record_log.h"

namespace stoathold {

/// Target of the request for another node's configuration record.
inline constexpr const char* kConfigurationTarget = "/peer/configuration";
/// Response header with the record's offset in the log.
inline constexpr const char* kRecordOffsetHeader = "X-Record-Offset";

/// Target of the request that another node read the log. The response is the newest record, 204 if
/// the caller already has that record, or 503 if the log does not respond.
inline constexpr const char* kConfirmedConfigurationTarget = "/peer/configuration/confirmed";
/// Header of that request: the offset of the record in force at the caller.
inline constexpr const char* kHeldOffsetHeader = "X-Held-Offset";

/// Keeps a node's configuration up to date if the store rejects or does not answer its requests
/// while it serves other nodes. Nodes advertise their version in their digests; a node that stays
/// behind for longer than the store needs to deliver a record requests the record, as stored in the
/// log, from a node that advertised a newer version. Versions only increase, so that an older
/// record has no effect.
///
/// A node that has never read the store sends no requests, since it knows no runners either. Not
/// thread-safe. Must outlive its calls.
class ConfigurationCatchUp {
 public:
  /// Returns the version in force at this node; 0: none yet.
  using CurrentVersion = std::function<std::uint64_t()>;
  /// Applies a record that another node has read from the log.
  using Apply = std::function<void(const StoredRecord&)>;

  ConfigurationCatchUp(const boost::asio::any_io_executor& executor, CurrentVersion current,
                       Apply apply);

  /// Records the version in force at another node, and requests its record if this node has been
  /// behind for too long.
  /// @param address `ip:port` of that node.
  void on_version_advertised(const std::string& address, std::uint64_t version);
  /// Requests the newest record of the log from some of these nodes, one after the other.
  /// @param held_offset offset of the record in force at this node, which need not be sent again.
  /// @return whether one of them has read the log, so that the newest record is in force here.
  boost::asio::awaitable<bool> confirm(std::vector<std::string> addresses,
                                       RecordOffset held_offset);

 private:
  /// Applies the record in a response.
  /// @return false if the response contains no record.
  bool apply_reply(HttpReply& reply);
  boost::asio::awaitable<void> fetch(std::string address);

  boost::asio::any_io_executor executor_;
  HttpClient client_;
  CurrentVersion current_version_;
  Apply apply_;
  bool fetching_ = false;
  std::uint64_t outdated_version_ = 0;  ///< Own version at the time when another node first
                                        ///< advertised a newer one.
  TimePoint outdated_since_{};          ///< When that happened.
};

}  // namespace stoathold
