/// @file
/// Remembers which software version began each stream, so that any node can continue it there.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "routing/origin_replicas.h"
#include "routing/runner_registry.h"
#include "routing/stream_origin_table.h"

namespace stoathold {

/// What is known about the origin of a stream.
enum class OriginKnowledge : std::uint8_t {
  kUnknown,
  kRecorded,     ///< A node recorded it.
  kConflicting,  ///< Nodes recorded different origins for one attempt id.
  kSoleVersion,  ///< Not recorded, but only one version of the service can have begun the stream.
};

/// Result of a lookup.
struct OriginLookup {
  OriginKnowledge knowledge = OriginKnowledge::kUnknown;
  StreamOrigin origin;  ///< Unless `kUnknown` or `kConflicting`.
  std::string source;   ///< Address of the node that answered; empty: this node.
};

/// The origins of the streams that began at this node, and copies of those that began at others.
///
/// While only one version of a service has served for as long as a stream can live, whoever takes a
/// stream up knows its origin, and origins are not sent to other nodes. Otherwise each origin is
/// sent to the nodes that `OriginReplicas` selects, without waiting for them, before the first
/// event is delivered. A copy that is lost makes a resumption be refused, never go on wrongly.
/// Not thread-safe; outlives the lookups in flight.
class StreamOrigins {
 public:
  /// Sends a message to the node at an address (`ip:port`).
  using Transport =
      std::function<void(const std::string& address, const StreamOriginMessage& message)>;

  StreamOrigins(boost::asio::any_io_executor executor, const RunnerRegistry& runners);

  /// Sets how messages are sent; without it, origins are known at this node only.
  void set_transport(Transport transport) { transport_ = std::move(transport); }
  /// Sets all nodes; `self` is the address of this one. After a change, the origins of this node's
  /// streams are sent again: some holders may be gone, or new.
  void set_members(const std::vector<MemberName>& members, const std::string& self);
  /// Sets the longest time from the first event of a stream to its last resumption.
  void set_stream_lifetime(Duration lifetime) { lifetime_ = std::max(lifetime, kMinLifetime); }
  [[nodiscard]] Duration stream_lifetime() const { return lifetime_; }

  /// Records the origin of a stream that begins at this node.
  void record(StreamKey stream, const std::string& service, SoftwareVersion version);
  /// Returns the origin of a stream as recorded at this node.
  [[nodiscard]] OriginLookup find_here(StreamKey stream) const;
  /// Returns the origin of a stream as recorded here or at other nodes. A lost message delays the
  /// result by up to `kAnswerTimeout`; nodes that do not answer delay it if no other one knows.
  boost::asio::awaitable<OriginLookup> find(StreamKey stream, std::string service);
  /// Returns the only version that can have begun a stream of the service according to this node,
  /// or nothing. The result is valid for streams that began before the directory's list was last
  /// confirmed.
  [[nodiscard]] std::optional<SoftwareVersion> sole_version(const std::string& service) const;
  /// Returns whether a version is the only one of the service in the whole history of this node.
  [[nodiscard]] bool agrees_with_history(const std::string& service, SoftwareVersion version) const;
  /// Sends the origins that have become necessary to send. Must be called several times a second.
  void send_pending();
  /// Processes a message from the node at an address.
  void handle(const StreamOriginMessage& message, const std::string& sender);

  [[nodiscard]] std::size_t recorded() const { return table_.size(); }
  [[nodiscard]] std::uint64_t evicted() const { return table_.evicted(); }

  /// Time after which a query is sent again, and after which it ends.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(60);
  static constexpr int kQueryRounds = 2;
  /// Lower bound of the stream lifetime: runners may serve for some seconds after their entry is
  /// gone, to nodes that have not noticed.
  static constexpr Duration kMinLifetime = std::chrono::seconds(10);
  /// Age of the directory's list from which on a node does not rely on others to know the same.
  static constexpr Duration kMaxListAge = std::chrono::seconds(8);
  /// Maximum number of origins that are kept, some 100 bytes each.
  static constexpr std::size_t kMaxOrigins = 20000;

 private:
  /// A query that other nodes have not answered completely.
  struct PendingQuery {
    std::set<std::string> unanswered;
    std::string service;
    OriginLookup result;
    Timer* timer = nullptr;
  };

  /// Streams that began at this node and may still be resumed, oldest first.
  struct OwnStreams {
    std::deque<StreamKey> streams;
    std::size_t sent = 0;  ///< Number of the oldest ones whose origin was sent.
  };

  [[nodiscard]] bool must_send(const std::string& service) const;
  void send_unsent(OwnStreams& own);
  [[nodiscard]] StreamOriginEntry make_entry(StreamKey stream,
                                             const StreamOriginTable::Entry& entry,
                                             TimePoint now) const;
  void apply(const StreamOriginReport& report);
  void apply(const StreamOriginQuery& query, const std::string& sender);
  void apply(const StreamOriginAnswer& answer, const std::string& sender);
  void apply_entry(const StreamOriginEntry& entry);
  [[nodiscard]] std::string service_name(std::uint64_t hash) const;
  /// Returns whether another node's claim completes the history that this node knows.
  [[nodiscard]] bool completes_history(const StreamOriginAnswer& answer,
                                       const std::string& service) const;

  boost::asio::any_io_executor executor_;
  const RunnerRegistry& runners_;
  Transport transport_;
  OriginReplicas replicas_;
  Duration lifetime_ = kMinLifetime;
  StreamOriginTable table_;
  std::vector<std::string> members_;               ///< Addresses of the nodes of `replicas_`.
  std::map<std::string, OwnStreams> own_streams_;  ///< By service.
  std::map<std::uint64_t, std::shared_ptr<PendingQuery>> queries_;
  /// Random at the start: answers to queries of an earlier process at this address are ignored.
  std::uint64_t next_query_;
};

}  // namespace stoathold
