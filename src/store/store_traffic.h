/// @file
/// Counters of calls to the durable log and of the bytes transferred, by call and topic.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "store/record_log.h"

namespace stoathold {

/// A completed call to the log.
struct StoreCall {
  std::string call;   ///< `read`, `newest`, `append`, `join`, `members` or `leave`.
  std::string topic;  ///< Topic, or group for group calls.
  LogStatus status = LogStatus::kUnknown;
  Duration duration{0};
  std::uint64_t bytes_sent = 0;      ///< Size of target and body, without headers.
  std::uint64_t bytes_received = 0;  ///< Size of the body; 0 if it was not received completely.
  bool timed_out = false;            ///< Whether the call timed out without a response.
};

/// Totals of one kind of call to one topic.
struct TrafficCount {
  std::uint64_t calls = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t refused = 0;  ///< Refused by the store, or not sent.

  bool operator==(const TrafficCount&) const = default;
};

/// Counters since process start. Used on one thread.
class StoreTraffic {
 public:
  /// Totals keyed by call and topic.
  using Counts = std::map<std::pair<std::string, std::string>, TrafficCount>;

  /// Adds a completed call to the counters.
  void add(const StoreCall& call);
  /// Returns the totals since process start.
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// Returns the increments since the previous call.
  Counts take_delta();

 private:
  Counts counts_;
  Counts reported_;
};

/// Formats counters as a comma-separated list of `call:topic=calls/bytes sent/bytes received`, with
/// `/timeouts` appended to an entry if there were any.
std::string traffic_text(const StoreTraffic::Counts& counts);

/// Logs the increments since the previous line at a fixed interval; skips the line if there are
/// none. Runs as long as its executor, which `traffic` must outlive.
boost::asio::awaitable<void> log_store_traffic(StoreTraffic& traffic);

}  // namespace stoathold
