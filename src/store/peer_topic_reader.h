/// @file
/// Reads followed topics through other nodes instead of from the log itself.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/timer.h"
#include "net/http.h"
#include "store/record_log.h"

namespace stoathold {

/// Counters of the reads of followed topics since process start.
struct TopicReadCounts {
  std::uint64_t from_log = 0;       ///< No other node was to be asked.
  std::uint64_t from_peer = 0;      ///< Answered by another node.
  std::uint64_t peer_failures = 0;  ///< Not answered by another node that was asked.
};

/// Reads partitions from other nodes that have read them, and from the log if none of them answers.
/// The bandwidth of the log does not suffice for a long topic that all nodes of a large fleet read
/// at the same time.
///
/// A node that fails, or whose information is too old, is reported to the failure listener, and the
/// same read goes to another node or to the log at once. A node that has read nothing of a
/// partition yet is an exception: it waits for other nodes for some seconds before it reads the
/// log. Not thread-safe. The log must outlive it.
class PeerTopicReader final : public RecordReader {
 public:
  /// Returns the address (`ip:port`) of the node to read from; nothing: read from the log.
  using Source = std::function<std::optional<std::string>()>;
  /// Called when the node at an address has failed.
  using FailureListener = std::function<void(const std::string& address)>;
  /// Sends a call to another node.
  using Call = std::function<boost::asio::awaitable<HttpReply>(HttpCall)>;

  PeerTopicReader(const boost::asio::any_io_executor& executor, RecordReader& log, Source source,
                  FailureListener failure_listener);
  /// @param call replaces the HTTP client, e.g. in tests without sockets.
  PeerTopicReader(const boost::asio::any_io_executor& executor, RecordReader& log, Source source,
                  FailureListener failure_listener, Call call);

  /// Holds reads back until `begin` is called, at most for `limit`: a node that has just started
  /// does not know yet from which nodes it can read.
  void hold(Duration limit);
  /// Lets reads begin.
  void begin();

  boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                          std::uint64_t max_bytes, Duration wait) override;
  boost::asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                                 Duration page_timeout) override;
  [[nodiscard]] const TopicReadCounts& counts() const { return counts_; }

 private:
  /// Reads from the nodes of the source, one after the other.
  /// @return status `kNotDone` if the read is to be retried later; nothing if the log has to be
  /// read.
  boost::asio::awaitable<std::optional<ReadResult>> read_from_sources(PartitionName partition,
                                                                      RecordOffset from,
                                                                      std::uint64_t max_bytes,
                                                                      Duration wait);
  boost::asio::awaitable<std::optional<ReadResult>> read_from(std::string address,
                                                              PartitionName partition,
                                                              RecordOffset from,
                                                              std::uint64_t max_bytes,
                                                              Duration wait);

  /// Returns whether to wait for nodes that have not read the partition themselves yet.
  bool may_wait_for_load(const PartitionName& partition);
  /// Waits until reads are not held back any more.
  boost::asio::awaitable<void> wait_until_begun();

  Call call_;
  Timer hold_timer_;
  bool held_ = false;
  RecordReader& log_;
  Source source_;
  FailureListener failure_listener_;
  TopicReadCounts counts_;
  /// When a node first answered that it is still reading, by partition.
  std::map<PartitionName, TimePoint> loading_since_;
};

}  // namespace stoathold
