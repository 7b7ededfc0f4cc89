/// @file
/// Brings a node up to date with the configuration when the store does not: from other nodes.
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

/// Target of the call by which a node asks another for its configuration record.
inline constexpr const char* kConfigurationTarget = "/peer/configuration";
/// Header of the answer: the record's offset in the log.
inline constexpr const char* kRecordOffsetHeader = "X-Record-Offset";

/// Target of the call by which a node asks another to read the log for it. The answer is the newest
/// record, 204 if that is the one which the caller has, or 503 if the log does not answer.
inline constexpr const char* kConfirmedConfigurationTarget = "/peer/configuration/confirmed";
/// Header of that call: the offset of the record that the caller has in force.
inline constexpr const char* kHeldOffsetHeader = "X-Held-Offset";

/// The store may turn some nodes away or be silent to them while it serves the others. Nodes
/// advertise in their digests which version they have in force; a node that falls behind for longer
/// than the store needs to deliver asks the one that advertised more for the record, as it lies in
/// the log. Versions only rise, so that an older record changes nothing.
///
/// A node that has never read the store asks nobody: it knows no runners either. Used on one
/// thread; outlives its calls.
class ConfigurationCatchUp {
 public:
  /// Returns the version in force here; 0: none yet.
  using CurrentVersion = std::function<std::uint64_t()>;
  /// Takes a record that another node has read from the log.
  using Apply = std::function<void(const StoredRecord&)>;

  ConfigurationCatchUp(const boost::asio::any_io_executor& executor, CurrentVersion current,
                       Apply apply);

  /// Another node has this version in force.
  /// @param address `ip:port` of that node.
  void advertised(const std::string& address, std::uint64_t version);
  /// Asks some of these nodes, one after the other, for the record that the log now holds.
  /// @param in_force offset of the record in force here; the answer need not repeat it.
  /// @return whether one of them has read the log, so that its record, or this, is the newest.
  boost::asio::awaitable<bool> confirm(std::vector<std::string> addresses, RecordOffset in_force);

 private:
  /// Returns whether the answer is a record, which is then applied.
  bool take(HttpReply& reply);
  boost::asio::awaitable<void> fetch(std::string address);

  boost::asio::any_io_executor executor_;
  HttpClient client_;
  CurrentVersion current_;
  Apply apply_;
  bool fetching_ = false;
  std::uint64_t behind_at_ = 0;  ///< Own version when another node first advertised a newer one.
  TimePoint behind_since_{};     ///< When that was.
};

}  // namespace stoathold
