#include "server/node_state_logger.h"

#include "base/event_log.h"

namespace stoathold {

void NodeStateLogger::log_changes(NodeCore& core) {
  const auto readiness = core.readiness();
  if (readiness.ready && !logged_ready_) log_event(Event::kNodeReady, {{"node", node_name_}});
  logged_ready_ = readiness.ready;
  log_member_changes(core);
  log_lease_changes(core);
  log_runner_changes(core);
  const Offset offset = core.configuration().next_offset();
  if (offset != logged_configuration_) {
    logged_configuration_ = offset;
    log_event(Event::kConfigurationApplied, {{"next_offset", std::to_string(value_of(offset))}});
  }
}

void NodeStateLogger::log_member_changes(NodeCore& core) {
  const std::uint64_t version = core.membership().version();
  if (version == logged_membership_version_) return;
  logged_membership_version_ = version;
  for (const auto& [member, liveness] : core.membership().list()) {
    const auto [position, inserted] = logged_liveness_.try_emplace(member.id, liveness);
    if (!inserted && position->second == liveness) continue;
    position->second = liveness;
    Event event = Event::kMemberAlive;
    if (liveness == Liveness::kSuspect) event = Event::kMemberSuspected;
    if (liveness == Liveness::kDead) event = Event::kMemberDead;
    if (liveness == Liveness::kUnreachable) event = Event::kMemberUnreachable;
    log_event(event, {{"member", member.name}, {"zone", member.zone}});
  }
}

void NodeStateLogger::log_lease_changes(NodeCore& core) {
  for (const auto& statistics : core.shards().statistics()) {
    auto& owned = logged_ownership_[statistics.shard];
    if (owned == statistics.owned) continue;
    owned = statistics.owned;
    log_event(owned ? Event::kLeaseGained : Event::kLeaseLost,
              {{"shard", std::to_string(value_of(statistics.shard))},
               {"epoch", std::to_string(value_of(statistics.epoch))},
               {"replayed_entries", std::to_string(statistics.replayed_entries)}});
  }
}

void NodeStateLogger::log_runner_changes(NodeCore& core) {
  const std::uint64_t version = core.runners().version();
  if (version == logged_runner_version_) return;
  logged_runner_version_ = version;
  for (const auto& runner : core.runners().list()) {
    auto& health = logged_health_[runner.id];
    if (health == runner.health) continue;
    if (runner.health == RunnerHealth::kEjected) {
      log_event(Event::kRunnerEjected, {{"runner", runner.listed.name}});
    } else if (runner.health == RunnerHealth::kHealthy) {
      log_event(Event::kRunnerRecovered, {{"runner", runner.listed.name}});
    }
    health = runner.health;
  }
}

}  // namespace stoathold
