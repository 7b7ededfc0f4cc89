/// @file
/// Calls to the durable log and the bytes that they cost, by call and topic.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "store/record_log.h"

namespace stoathold {

/// One call to the log that has ended.
struct StoreCall {
  std::string call;   ///< read, newest, append, join, members, leave.
  std::string topic;  ///< Or the group.
  LogStatus status = LogStatus::kUnknown;
  Duration duration{0};
  std::uint64_t bytes_sent = 0;      ///< Of the target and the body, without headers.
  std::uint64_t bytes_answered = 0;  ///< Of a body that came whole; of one that did not, none.
  bool timed_out = false;            ///< Given up without an answer when its time was over.
};

/// What calls of one kind to one topic came to.
struct TrafficCount {
  std::uint64_t calls = 0;
  std::uint64_t time_outs = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_answered = 0;
  std::uint64_t refused = 0;  ///< Turned away by the store, or not sent at all.

  bool operator==(const TrafficCount&) const = default;
};

/// Counts since the start of the process. Used on one thread.
class StoreTraffic {
 public:
  /// By call and topic.
  using Counts = std::map<std::pair<std::string, std::string>, TrafficCount>;

  void add(const StoreCall& call);
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// Returns what was added since the last time that this was asked.
  Counts take_changes();

 private:
  Counts counts_;
  Counts told_;
};

/// Returns counts as one text, for each call and topic
/// `call:topic=calls/bytes sent/bytes answered`, and `/time outs` if there were any.
std::string traffic_text(const StoreTraffic::Counts& counts);

/// Writes one line at a steady pace with what was added since the last; none if nothing was. Goes
/// on for as long as its executor does; `traffic` outlives that.
boost::asio::awaitable<void> log_store_traffic(StoreTraffic& traffic);

}  // namespace stoathold
