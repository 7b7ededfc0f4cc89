/// @file
/// Counters of the datagrams that a node exchanges with other nodes, by purpose.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Totals of one kind of message.
struct PeerMessageCount {
  std::uint64_t messages_sent = 0;  ///< One for each receiver.
  std::uint64_t bytes_sent = 0;     ///< Size of the payload, without headers.
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;

  bool operator==(const PeerMessageCount&) const = default;
};

/// Counters since process start. Not thread-safe.
class PeerTraffic {
 public:
  /// Totals keyed by purpose, as returned by `purpose_of`.
  using Counts = std::map<std::string_view, PeerMessageCount>;

  void add_sent(std::string_view purpose, std::size_t bytes);
  void add_received(std::string_view purpose, std::size_t bytes);
  /// Returns the totals since process start.
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// Logs the increments since the previous line, at most once in `kLogInterval`; skips the line if
  /// there are none.
  void log_periodically(TimePoint now);

  static constexpr Duration kLogInterval = std::chrono::seconds(5);

 private:
  Counts counts_;
  Counts logged_;
  TimePoint last_logged_{};
};

/// Formats counters as a comma-separated list of
/// `purpose=messages sent/bytes sent/messages received/bytes received`.
std::string peer_traffic_text(const PeerTraffic::Counts& counts);

}  // namespace stoathold
