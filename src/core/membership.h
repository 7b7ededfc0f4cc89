/// @file
/// Who is in the fleet: heartbeats inside a zone, digests between zones, direct evidence first.
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

/// A node as the platform's (lagging) machine list names it: a hint where to send heartbeats.
struct ListedNode {
  std::string name;
  std::string region;
  std::string zone;
  std::string peer_address;
  bool leaving = false;
};

/// What this node judges of another member.
enum class Liveness : std::uint8_t {
  kAlive,
  kSuspect,      ///< Silent for a while: gets no new work.
  kDead,         ///< Silent for longer, or said that it left.
  kUnreachable,  ///< Its whole zone is silent: it may be cut off, or gone.
};

/// The membership table and the system that runs over it.
///
/// Inside its zone a node hears every member's heartbeat; only that direct evidence says whether a
/// member lives. Other zones are known through digests that a few relays per zone, chosen by
/// rendezvous hashing, compare by version and send only when they differ. Thread safe.
class Membership {
 public:
  /// @param self this node; its state is changed with `set_self_state`.
  Membership(MemberRecord self, const Knobs& knobs);

  /// Takes the machine list's nodes as hints.
  void on_machine_list(const std::vector<ListedNode>& nodes);
  /// Takes a heartbeat from a member of this zone; asks a relay for other zones' digests when its
  /// view differs from this node's.
  void on_heartbeat(const Heartbeat& heartbeat, TimePoint now, Effects& effects);
  /// Takes a summary of another zone; asks for its digest when the version differs.
  void on_summary(const ZoneSummary& summary, TimePoint now, Effects& effects);
  /// Takes a digest of another zone from that zone's relay.
  void on_digest(const ZoneDigest& digest, TimePoint now);
  /// Takes a relay's view of the other zones.
  void on_foreign_view(NodeId relay, const ForeignView& view, TimePoint now);
  /// Answers a request for digests.
  void on_digest_request(NodeId from, const DigestRequest& request, Effects& effects) const;

  /// Judges silence; returns whether any member's standing changed.
  bool tick(TimePoint now);
  /// Whether heartbeats, or (at a relay) summaries, are due: only then need they be composed.
  [[nodiscard]] bool heartbeat_due(TimePoint now) const;
  [[nodiscard]] bool summary_due(TimePoint now) const;
  /// Appends the heartbeats due now. `prototype` carries the fields of the other systems.
  void send_heartbeats(const Heartbeat& prototype, TimePoint now, Effects& effects);
  /// Appends the summaries due now, if this node is a relay of its zone.
  void send_summaries(const ZoneSummary& prototype, TimePoint now, Effects& effects);

  void set_self_state(MemberState state);
  void set_self_log_reachable(bool reachable);
  /// Makes the next heartbeats and summaries due early, because there is news.
  void hurry();
  /// Makes them due now, whatever was sent before; for the last ones.
  void send_now();
  [[nodiscard]] MemberRecord self() const;
  [[nodiscard]] bool is_relay() const;
  /// Hash of the foreign zones' versions, for heartbeats; 0 if this node is not a relay.
  [[nodiscard]] std::uint64_t foreign_view_if_relay() const;

  /// Members that may own shards: ready and reached by the log, or all that are ready if none is.
  [[nodiscard]] std::vector<NodeId> shard_members() const;
  /// Whether a member says that it reaches the log; true if it is not known.
  [[nodiscard]] bool reaches_log(NodeId node) const;
  /// The ready members of this node's zone only.
  [[nodiscard]] std::vector<NodeId> ready_zone_members() const;
  /// The same, of any zone.
  [[nodiscard]] std::vector<NodeId> ready_members_of(std::string_view zone) const;
  [[nodiscard]] Liveness liveness(NodeId node) const;
  /// Whether a node may still finish what it was given, as far as this node can tell.
  [[nodiscard]] bool may_finish_work(NodeId node) const;
  /// All members known, with this node's judgement of each; for operators.
  [[nodiscard]] std::vector<std::pair<MemberRecord, Liveness>> list() const;
  /// Grows whenever anything that `list` shows may have changed.
  [[nodiscard]] std::uint64_t version() const;
  /// Hash over the shard members; changes when shards may have to move.
  [[nodiscard]] std::uint64_t shard_version() const;
  /// Appends a `SendToPeer` effect if the member's address is known.
  void send(NodeId target, PeerMessage message, Effects& effects) const;
  /// Number of rows and their approximate size in bytes, for the capacity page.
  [[nodiscard]] std::pair<std::size_t, std::size_t> table_size() const;

 private:
  struct MemberEntry {
    MemberRecord record;
    TimePoint last_heard;
    Liveness liveness = Liveness::kAlive;
  };
  struct ForeignZone {
    std::uint64_t version = 0;
    TimePoint last_heard;
    bool reachable = true;
    std::vector<MemberRecord> members;
    std::set<NodeId> vouchers;  ///< Relays of this zone that say they reach it.
  };

  [[nodiscard]] std::vector<MemberRecord> zone_records() const;
  [[nodiscard]] std::vector<NodeId> relays_of(std::string_view zone,
                                              const std::vector<MemberRecord>& members) const;
  [[nodiscard]] bool heartbeat_due_locked(TimePoint now) const;
  [[nodiscard]] bool self_is_relay() const;
  [[nodiscard]] std::uint64_t foreign_view() const;
  /// Addresses of other zones' relays; unless `all`, only those whose turn it is.
  [[nodiscard]] std::vector<std::string> summary_targets(bool all) const;
  void refresh_ready();
  void refresh_shard_members();
  void compare_foreign_view(const Heartbeat& heartbeat, TimePoint now, Effects& effects);
  void store_digest(const ZoneDigest& digest, TimePoint now);
  [[nodiscard]] std::string address_of(NodeId node) const;

  const Knobs& knobs_;
  mutable RankedMutex mutex_{LockRank::kMembership};
  MemberRecord self_;
  std::unordered_map<NodeId, MemberEntry> zone_members_;  ///< Heard directly.
  std::map<std::string, ForeignZone, std::less<>> foreign_zones_;
  std::vector<ListedNode> listed_;
  std::vector<NodeId> ready_;
  std::vector<NodeId> ready_in_zone_;
  std::unordered_map<NodeId, std::string> addresses_;
  std::vector<NodeId> shard_members_;
  std::set<NodeId> without_log_;
  std::uint64_t shard_version_ = 0;
  std::uint64_t version_ = 0;
  TimePoint next_heartbeat_;
  TimePoint next_summary_;
  TimePoint last_heartbeat_;
  TimePoint last_summary_;
  bool heartbeat_news_ = false;
  bool summary_news_ = false;
  std::uint64_t sent_digest_version_ = 0;
  std::uint64_t summary_round_ = 0;
};

}  // namespace stoathold
