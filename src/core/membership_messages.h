/// @file
/// Messages that exchange membership, runner loads, pending work and the configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "core/log_records.h"

namespace stoathold {

/// State of a member, as reported by itself.
enum class MemberState : std::uint8_t {
  kStarting,  ///< Not ready: lacks the newest configuration known to its peers.
  kReady,
  kDraining,  ///< Accepts no new work and finishes the work in progress.
  kLeft,      ///< Announced its exit.
};

/// One member of the fleet, as distributed in heartbeats and digests.
struct MemberRecord {
  NodeId id{};
  Incarnation incarnation{};
  std::string name;
  std::string region;
  std::string zone;
  std::string peer_address;  ///< `ip:port` of the peer protocol.
  MemberState state = MemberState::kStarting;
  bool log_reachable = true;  ///< False if its log calls get no response; then it owns no shards.

  bool operator==(const MemberRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, name, region, zone, peer_address, state, log_reachable);
  }
};

/// Batch items waiting at a shard owner. Runner owners use it to choose where to pull from.
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

/// Load of one runner, as known to its owner.
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

/// Periodic message to all members of the sender's zone.
struct Heartbeat {
  MemberRecord sender;
  Offset configuration_next{};            ///< Next configuration offset the sender would apply.
  std::uint64_t foreign_view = 0;         ///< Hash of a relay's view of other zones; 0 if no relay.
  std::vector<RunnerLoad> loads;          ///< Loads of the runners that the sender owns.
  std::vector<PendingWork> pending;       ///< Of the sender; from a relay, also of other nodes.
  std::vector<RunnerId> foreign_leaving;  ///< From a relay: leaving runners of other zones.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, configuration_next, foreign_view, loads, pending, foreign_leaving);
  }
};

/// Periodic message between relays of different zones, with the version of the zone's digest.
struct ZoneSummary {
  NodeId sender{};
  std::string zone;
  std::uint64_t digest_version = 0;
  Offset configuration_next{};
  std::vector<PendingWork> pending;
  std::vector<RunnerId> leaving;  ///< Leaving runners of the zone.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, zone, digest_version, configuration_next, pending, leaving);
  }
};

/// Members of one zone, sent when the receiver's version differs.
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

/// A relay's response within its zone: the zones it reaches and the digests the requester lacks.
struct ForeignView {
  std::vector<ZoneVersion> reachable;
  std::vector<ZoneDigest> digests;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reachable, digests);
  }
};

/// Requests the digests of other zones that differ from `known`, or the digest of the receiver's
/// own zone.
struct DigestRequest {
  std::vector<ZoneVersion> known;
  bool own_zone_only = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, own_zone_only);
  }
};

/// Requests configuration entries starting at `from`.
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

/// The complete configuration state, for a peer whose next offset is older than the entries kept.
struct ConfigurationSnapshot {
  std::string state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state);
  }
};

}  // namespace stoathold
