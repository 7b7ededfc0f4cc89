/// @file
/// Keeps this node's configuration up to date, from the log or from peers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ranked_mutex.h"
#include "core/configuration_state.h"
#include "core/effects.h"
#include "core/knobs.h"

namespace stoathold {

/// Specification of a service and the version of its resource.
struct ServiceView {
  ServiceSpecification specification;
  Offset version{};
};

/// Replicates the configuration to this node and submits changes to it. Thread safe
/// (`LockRank::kConfiguration`).
///
/// Relays read the log; other nodes copy entries from a peer whose heartbeat has a newer offset. A
/// node is current, and may become ready, once it has read the log up to its head and to the
/// highest offset known from peers, or, two heartbeat periods after the first offset from a peer,
/// has reached the highest offset received from peers.
class ConfigurationSystem {
 public:
  ConfigurationSystem(NodeId self, Incarnation incarnation, const Knobs& knobs);

  /// Appends a change to the log. An `AnswerChange` effect completes `call` once the change is
  /// applied.
  void start_change(std::uint64_t call, ResourceChange change, TimePoint now, Effects& effects);
  /// Reads the log if due, resends unanswered appends and fails changes that time out.
  /// @param read_log whether this node polls the log even if it is current and has no open change.
  void tick(bool read_log, TimePoint now, Effects& effects);
  void on_log_appended(std::uint64_t token, LogStatus status, Offset offset, TimePoint now,
                       Effects& effects);
  void on_log_read(std::uint64_t token, LogStatus status, const std::vector<LogEntry>& entries,
                   Offset head, TimePoint now, Effects& effects);
  /// Records a peer's next offset; returns a pull request if the peer is ahead.
  std::optional<ConfigurationPull> on_peer_offset(Offset peer_next, TimePoint now);
  /// Returns entries, or a snapshot if they are no longer kept, for a peer that lags behind.
  [[nodiscard]] std::vector<PeerMessage> on_pull(const ConfigurationPull& pull) const;
  /// Applies entries received from a peer; entries after a gap are ignored.
  void on_entries(const ConfigurationEntries& entries, TimePoint now, Effects& effects);
  /// Replaces the state by a peer's snapshot if the snapshot is newer.
  void on_snapshot(const ConfigurationSnapshot& snapshot, TimePoint now, Effects& effects);

  [[nodiscard]] Offset next_offset() const;
  /// Whether the configuration is current enough for the node to be ready; never reverts to false.
  [[nodiscard]] bool current() const;
  [[nodiscard]] std::optional<ServiceView> service(const std::string& name) const;
  [[nodiscard]] std::vector<std::string> service_names() const;
  [[nodiscard]] std::optional<PriorityClassSpecification> priority_class(
      const std::string& name) const;
  [[nodiscard]] TenantSpecification tenant(const std::string& name) const;
  [[nodiscard]] std::vector<Resource> list(const std::string& kind) const;
  [[nodiscard]] std::optional<Resource> find(const std::string& kind,
                                             const std::string& name) const;

 private:
  struct OpenChange {
    AppendId id;
    std::string bytes;
    TimePoint sent_at;
    TimePoint deadline;
    std::uint64_t token = 0;
  };

  void apply_entry(Offset offset, const std::string& bytes);
  void on_entries_applied(Effects& effects);
  void refresh_views();
  void send_change(OpenChange& change, TimePoint now, Effects& effects);
  void send_read(TimePoint now, Effects& effects);
  void update_current(TimePoint now);

  const NodeId self_;
  const Incarnation incarnation_;
  const Knobs& knobs_;
  mutable RankedMutex mutex_{LockRank::kConfiguration};
  ConfigurationState state_;
  std::deque<LogEntry> recent_entries_;
  std::map<std::uint64_t, OpenChange> changes_;
  std::unordered_map<std::string, ServiceView> services_;
  std::unordered_map<std::string, PriorityClassSpecification> priority_classes_;
  std::unordered_map<std::string, TenantSpecification> tenants_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_token_ = 0;
  std::uint64_t read_token_ = 0;
  bool reread_requested_ = false;
  TimePoint read_sent_at_;
  TimePoint next_poll_;
  bool started_ = false;
  bool current_ = false;
  std::optional<TimePoint> first_peer_offset_time_;
  Offset highest_peer_offset_{};
};

}  // namespace stoathold
