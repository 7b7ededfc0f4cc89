/// @file
/// Messages by which nodes learn of one another, of loads and of the configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "core/log_records.h"

namespace stoathold {

/// What a member says of itself.
enum class MemberState : std::uint8_t {
  kStarting,  ///< Not ready: has not yet the newest configuration its peers know.
  kReady,
  kDraining,  ///< Takes no new work; finishes what is in progress.
  kLeft,      ///< Said that it exits.
};

/// One member of the fleet as spread by heartbeats and digests.
struct MemberRecord {
  NodeId id{};
  Incarnation incarnation{};
  std::string name;
  std::string region;
  std::string zone;
  std::string peer_address;  ///< `ip:port` of the peer protocol.
  MemberState state = MemberState::kStarting;
  bool log_reachable = true;  ///< False: it gets no answers from the log, so it owns no shards.

  bool operator==(const MemberRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, name, region, zone, peer_address, state, log_reachable);
  }
};

/// Batch work that waits at a shard owner: what pullers choose by.
struct PendingWork {
  NodeId owner{};
  std::string service;
  std::uint32_t weight = 0;
  std::uint32_t items = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, service, weight, items);
  }
};

/// Load of one runner as its owner knows it.
struct RunnerLoad {
  RunnerId runner{};
  std::uint32_t online_streams = 0;
  std::uint32_t batch_streams = 0;
  std::uint32_t queued = 0;
  std::uint8_t leaving = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(runner, online_streams, batch_streams, queued, leaving);
  }
};

/// Periodic message inside a zone.
struct Heartbeat {
  MemberRecord sender;
  Offset configuration_next{};            ///< Next configuration offset the sender would apply.
  std::uint64_t foreign_view = 0;         ///< Hash of what it knows of other zones; 0 if no relay.
  std::vector<RunnerLoad> loads;          ///< Of the runners it owns.
  std::vector<PendingWork> pending;       ///< Its own, and as a relay also other zones'.
  std::vector<RunnerId> foreign_leaving;  ///< From a relay: other zones' runners that leave.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, configuration_next, foreign_view, loads, pending, foreign_leaving);
  }
};

/// Periodic message between relays of different zones: says what the zone's digest hashes to.
struct ZoneSummary {
  NodeId sender{};
  std::string zone;
  std::uint64_t digest_version = 0;
  Offset configuration_next{};
  std::vector<PendingWork> pending;
  std::vector<RunnerId> leaving;  ///< Runners of the zone that leave.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, zone, digest_version, configuration_next, pending, leaving);
  }
};

/// Members of one zone, sent when a receiver's version differs.
struct ZoneDigest {
  std::string zone;
  std::uint64_t version = 0;
  std::vector<MemberRecord> members;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, version, members);
  }
};

/// Version of one zone's digest that the sender holds.
struct ZoneVersion {
  std::string zone;
  std::uint64_t version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, version);
  }
};

/// A relay's answer inside its zone: the zones it reaches, and the digests that the asker lacks.
struct ForeignView {
  std::vector<ZoneVersion> reachable;
  std::vector<ZoneDigest> digests;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reachable, digests);
  }
};

/// Asks for the foreign digests that differ from `known`, or for the receiver's own zone's digest.
struct DigestRequest {
  std::vector<ZoneVersion> known;
  bool own_zone_only = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, own_zone_only);
  }
};

/// Asks a peer for configuration entries from an offset on.
struct ConfigurationPull {
  Offset from{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

/// Raw log entries of the configuration stream, in order.
struct ConfigurationEntries {
  Offset first{};
  std::vector<std::string> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, entries);
  }
};

/// The whole folded configuration, for a peer whose next offset is too old for entries.
struct ConfigurationSnapshot {
  std::string state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state);
  }
};

}  // namespace stoathold
