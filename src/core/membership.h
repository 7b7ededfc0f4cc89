/// @file
/// Fleet membership: heartbeats within a zone, digests between zones.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ranked_mutex.h"
#include "base/time.h"
#include "core/effects.h"
#include "core/knobs.h"
#include "core/peer_messages.h"

namespace stoathold {

/// A node in the platform's machine list. The list lags behind, so an entry is only a hint where to
/// send heartbeats.
struct ListedNode {
  std::string name;
  std::string region;
  std::string zone;
  std::string peer_address;
  bool leaving = false;
};

/// Liveness of a member as determined by this node.
enum class Liveness : std::uint8_t {
  kAlive,
  kSuspect,      ///< No heartbeat for `Knobs::suspect_timeout`: gets no new work.
  kDead,         ///< No heartbeat for `Knobs::dead_timeout`, or announced its exit.
  kUnreachable,  ///< Nothing received from its zone: partitioned or down.
};

/// Membership table of the fleet and its failure detector.
///
/// Within a zone every node receives every member's heartbeat, and only directly received
/// heartbeats determine whether a member is alive. Other zones are known through digests, exchanged
/// by a few relays per zone that are chosen by rendezvous hashing. Relays compare digest versions
/// and send a digest only if the versions differ. Thread safe.
class Membership {
 public:
  /// @param self record of this node; `set_self_state` changes its state.
  Membership(MemberRecord self, const Knobs& knobs);

  /// Stores the nodes of the machine list as hints.
  void on_machine_list(const std::vector<ListedNode>& nodes);
  /// Applies a heartbeat from a member of this zone. If it comes from a relay whose view of other
  /// zones differs from this node's, requests their digests from that relay.
  void on_heartbeat(const Heartbeat& heartbeat, TimePoint now, Effects& effects);
  /// Applies a summary of another zone and requests the zone's digest if the version differs.
  void on_summary(const ZoneSummary& summary, TimePoint now, Effects& effects);
  /// Applies a digest of another zone, received from that zone's relay.
  void on_digest(const ZoneDigest& digest, TimePoint now);
  /// Applies a relay's view of the other zones.
  void on_foreign_view(NodeId relay, const ForeignView& view, TimePoint now);
  /// Answers a request for digests.
  void on_digest_request(NodeId from, const DigestRequest& request, Effects& effects) const;

  /// Updates the liveness of members and zones from the time since their last message.
  /// @return whether any liveness changed.
  bool tick(TimePoint now);
  /// Whether heartbeats or, at a relay, summaries are due. Lets the caller skip building messages
  /// that would not be sent.
  [[nodiscard]] bool heartbeat_due(TimePoint now) const;
  [[nodiscard]] bool summary_due(TimePoint now) const;
  /// Appends the heartbeats due now. `prototype` holds the fields filled in by other components.
  void send_heartbeats(const Heartbeat& prototype, TimePoint now, Effects& effects);
  /// Appends the summaries due now, if this node is a relay of its zone.
  void send_summaries(const ZoneSummary& prototype, TimePoint now, Effects& effects);

  void set_self_state(MemberState state);
  void set_self_log_reachable(bool reachable);
  /// Makes the next heartbeats and summaries due early, limited by
  /// `Knobs::min_early_send_interval`.
  void expedite_sends();
  /// Makes heartbeats and summaries due immediately, without that limit. For the last ones before
  /// the node exits.
  void make_sends_due();
  [[nodiscard]] MemberRecord self() const;
  [[nodiscard]] bool is_relay() const;
  /// Returns a hash of the other zones' digest versions for heartbeats; 0 if this node is not a
  /// relay.
  [[nodiscard]] std::uint64_t foreign_view_if_relay() const;

  /// Returns the members that may own shards: the ready members that can reach the log, or all
  /// ready members if none can.
  [[nodiscard]] std::vector<NodeId> shard_members() const;
  /// Whether a member reports that it can reach the log; true for an unknown member.
  [[nodiscard]] bool reaches_log(NodeId node) const;
  /// Returns the ready and alive members of this node's zone.
  [[nodiscard]] std::vector<NodeId> ready_zone_members() const;
  /// Returns the ready members of `zone`; empty if the zone is unreachable.
  [[nodiscard]] std::vector<NodeId> ready_members_of(std::string_view zone) const;
  [[nodiscard]] Liveness liveness(NodeId node) const;
  /// Whether a node is alive or suspect, and so may still finish its assigned work.
  [[nodiscard]] bool may_finish_work(NodeId node) const;
  /// Returns all known members and their liveness, for operators.
  [[nodiscard]] std::vector<std::pair<MemberRecord, Liveness>> list() const;
  /// Returns a counter that increases whenever the result of `list` may have changed.
  [[nodiscard]] std::uint64_t version() const;
  /// Returns a hash of the shard members. It changes when shards may need new owners.
  [[nodiscard]] std::uint64_t shard_version() const;
  /// Appends a `SendToPeer` effect; does nothing if the address of `target` is unknown.
  void send(NodeId target, PeerMessage message, Effects& effects) const;
  /// Returns the number of members and their approximate size in bytes, for the capacity report.
  [[nodiscard]] std::pair<std::size_t, std::size_t> table_size() const;

 private:
  struct MemberEntry {
    MemberRecord record;
    TimePoint last_receive_time;
    Liveness liveness = Liveness::kAlive;
  };
  struct ForeignZone {
    std::uint64_t version = 0;
    TimePoint last_receive_time;
    bool reachable = true;
    std::vector<MemberRecord> members;
    /// Relays of this node's zone that report the foreign zone as reachable.
    std::set<NodeId> confirming_relays;
  };

  [[nodiscard]] std::vector<MemberRecord> zone_records() const;
  [[nodiscard]] std::vector<NodeId> relays_of(std::string_view zone,
                                              const std::vector<MemberRecord>& members) const;
  [[nodiscard]] bool heartbeat_due_locked(TimePoint now) const;
  [[nodiscard]] bool self_is_relay() const;
  [[nodiscard]] std::uint64_t foreign_view() const;
  /// Returns the addresses of other zones' relays: all of them, or only those scheduled for the
  /// current summary round.
  [[nodiscard]] std::vector<std::string> summary_targets(bool to_all_relays) const;
  void refresh_ready();
  void refresh_shard_members();
  void compare_foreign_view(const Heartbeat& heartbeat, TimePoint now, Effects& effects);
  void store_digest(const ZoneDigest& digest, TimePoint now);
  [[nodiscard]] std::string address_of(NodeId node) const;

  const Knobs& knobs_;
  mutable RankedMutex mutex_{LockRank::kMembership};
  MemberRecord self_;
  std::unordered_map<NodeId, MemberEntry> zone_members_;  ///< Members that sent heartbeats.
  std::map<std::string, ForeignZone, std::less<>> foreign_zones_;
  std::vector<ListedNode> listed_;
  std::vector<NodeId> ready_;
  std::vector<NodeId> ready_in_zone_;
  std::unordered_map<NodeId, std::string> addresses_;
  std::vector<NodeId> shard_members_;
  std::set<NodeId> log_unreachable_members_;
  std::uint64_t shard_version_ = 0;
  std::uint64_t version_ = 0;
  TimePoint next_heartbeat_;
  TimePoint next_summary_;
  TimePoint last_heartbeat_;
  TimePoint last_summary_;
  bool expedite_heartbeat_ = false;
  bool expedite_summary_ = false;
  std::uint64_t sent_digest_version_ = 0;
  std::uint64_t summary_round_ = 0;
};

}  // namespace stoathold
