/// @file
/// Combines the core components of a node. Deterministic: uses neither sockets nor a clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/batch_runners.h"
#include "core/configuration_system.h"
#include "core/effects.h"
#include "core/knobs.h"
#include "core/membership.h"
#include "core/online_requests.h"
#include "core/runner_table.h"
#include "core/shard_client.h"
#include "core/shard_system.h"

namespace stoathold {

/// Identity of a node process, fixed at start.
struct NodeIdentity {
  std::string name;
  std::string region;
  std::string zone;
  std::string peer_address;
  Incarnation incarnation{};
};

/// Readiness of a node and the reason for it.
struct Readiness {
  bool ready = false;
  std::string reason;
};

/// The core of a node: a state machine that turns events and the current time into effects.
///
/// The same class runs in a node process and in the fuzzer.
/// Thread safe: every component has its own ranked lock, and no lock is held when a method returns.
///
/// Usage:
/// @code
///   NodeCore core(identity, knobs, seed);
///   Effects effects;
///   core.tick(now, effects);
///   for (const Effect& effect : effects) carry_out(effect);
/// @endcode
class NodeCore {
 public:
  NodeCore(NodeIdentity identity, const Knobs& knobs, std::uint64_t seed);
  NodeCore(const NodeCore&) = delete;
  NodeCore& operator=(const NodeCore&) = delete;

  /// Runs all periodic work that is due. Called about every 20 ms.
  void tick(TimePoint now, Effects& effects);
  void on_peer_message(NodeId sender, const PeerMessage& message, TimePoint now, Effects& effects);
  void on_machine_list(const std::vector<ListedNode>& nodes,
                       const std::vector<ListedRunner>& runners);
  void on_log_appended(const std::string& stream, std::uint64_t token, LogStatus status,
                       Offset offset, TimePoint now, Effects& effects);
  void on_log_read(const std::string& stream, std::uint64_t token, LogStatus status,
                   const std::vector<LogEntry>& entries, Offset head, TimePoint now,
                   Effects& effects);
  void on_log_head(const std::string& stream, std::uint64_t token, LogStatus status, Offset head,
                   TimePoint now, Effects& effects);
  void on_stream_ended(const StreamEnd& end, TimePoint now, Effects& effects);
  /// Applies a load report polled from a runner that this node owns.
  void on_load_report(const RunnerLoad& load, TimePoint now, Effects& effects);

  /// Admits an online request, which ends with a `FinishRequest` effect.
  void admit(const OnlineRequest& request, TimePoint now, Effects& effects);
  /// Cancels the online request of a caller that disconnected.
  void cancel(RequestId request, TimePoint now, Effects& effects);
  /// Calls the owner of a job's shard; an `AnswerCall` effect with the returned call identifier
  /// delivers the response.
  std::uint64_t call_job(JobId job, ShardRequest request, TimePoint now, Effects& effects);
  /// Changes a resource; an `AnswerChange` effect with the returned call identifier delivers the
  /// result.
  std::uint64_t change_resource(ResourceChange change, TimePoint now, Effects& effects);

  /// Starts a planned shutdown: accepts no new work and finishes the work in progress.
  void start_drain(TimePoint now, Effects& effects);
  /// Whether the planned shutdown is complete: no work is in progress and no lease is held.
  [[nodiscard]] bool drained() const;
  /// Announces to peers that this node exits. Must be the last call before the process ends.
  void leave(TimePoint now, Effects& effects);

  [[nodiscard]] Readiness readiness() const;
  [[nodiscard]] RequestId new_request_id();
  [[nodiscard]] const Membership& membership() const { return membership_; }
  [[nodiscard]] const ConfigurationSystem& configuration() const { return configuration_; }
  [[nodiscard]] const RunnerTable& runners() const { return runners_; }
  [[nodiscard]] const ShardSystem& shards() const { return shards_; }
  [[nodiscard]] const BatchRunners& batch() const { return batch_; }
  [[nodiscard]] const OnlineRequests& online() const { return online_; }
  [[nodiscard]] NodeId id() const { return id_; }
  [[nodiscard]] const Knobs& knobs() const { return knobs_; }

 private:
  void handle(NodeId sender, const Heartbeat& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ZoneSummary& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ZoneDigest& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ForeignView& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const DigestRequest& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ConfigurationPull& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ConfigurationEntries& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ConfigurationSnapshot& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ShardCall& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const ShardReply& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const BatchPull& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const BatchAssign& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const BatchReturn& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const BatchReturnAck& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const BatchRenew& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const BatchStop& message, TimePoint now, Effects& effects);
  void handle(NodeId sender, const OnlineNotice& message, TimePoint now, Effects& effects);

  /// Delivers messages to this node, finished calls and online start notices.
  void process_internal_effects(TimePoint now, Effects& effects);
  void deliver_local_messages(TimePoint now, Effects& effects);
  void notify_runner_owners(TimePoint now, Effects& effects);
  void notify_runner_owner(RunnerId runner, TimePoint now, Effects& effects);
  void pull_configuration(NodeId peer, Offset peer_next, TimePoint now, Effects& effects);
  void update_self_state();
  void record_log_status(LogStatus status, TimePoint now);
  /// Returns false once log calls have gone unanswered for `Knobs::log_down_timeout`.
  [[nodiscard]] bool log_reachable(TimePoint now) const;
  /// Expedites heartbeats and summaries when the set of leaving runners changes.
  void expedite_leaving_updates(TimePoint now);
  [[nodiscard]] std::vector<RunnerId> foreign_leaving_runners(TimePoint now) const;
  [[nodiscard]] std::vector<PendingWork> own_pending_work() const;
  [[nodiscard]] std::vector<PendingWork> known_pending_work(TimePoint now) const;
  [[nodiscard]] Heartbeat heartbeat_prototype(TimePoint now) const;
  [[nodiscard]] ZoneSummary summary_prototype(TimePoint now) const;

  /// Leaving runners of another zone, from the latest summary of its relays.
  struct ZoneLeaving {
    std::vector<RunnerId> runners;
    TimePoint received_at;
  };
  struct AdvertisedWork {
    std::vector<PendingWork> work;
    TimePoint received_at;
  };

  const Knobs knobs_;
  const NodeIdentity identity_;
  const NodeId id_;
  Membership membership_;
  ConfigurationSystem configuration_;
  RunnerTable runners_;
  ShardClient caller_;
  OnlineRequests online_;
  BatchRunners batch_;
  ShardSystem shards_;

  mutable RankedMutex mutex_{LockRank::kServer};
  std::unordered_map<NodeId, AdvertisedWork> advertised_work_;
  std::map<std::string, ZoneLeaving> foreign_leaving_;
  std::optional<TimePoint> log_unanswered_since_;
  std::uint64_t checked_runners_version_ = 0;
  TimePoint next_leaving_check_;
  std::vector<RunnerId> announced_zone_leaving_;
  std::vector<RunnerId> announced_foreign_leaving_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_change_ = 0;
  bool draining_ = false;
  bool left_ = false;
};

}  // namespace stoathold
