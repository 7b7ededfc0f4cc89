// Handlers of the peer protocol's messages.
#include <algorithm>
#include <mutex>
#include <set>
#include <tuple>

#include "core/node_core.h"
#include "core/policy_switches.h"

namespace stoathold {

void NodeCore::on_peer_message(NodeId sender, const PeerMessage& message, TimePoint now,
                               Effects& effects) {
  std::visit([&](const auto& typed) { handle(sender, typed, now, effects); }, message);
  process_internal_effects(now, effects);
}

void NodeCore::pull_configuration(NodeId peer, Offset peer_next, TimePoint now, Effects& effects) {
  const auto pull = configuration_.on_peer_offset(peer_next, now);
  if (pull) membership_.send(peer, *pull, effects);
}

void NodeCore::handle(NodeId sender, const Heartbeat& message, TimePoint now, Effects& effects) {
  membership_.on_heartbeat(message, now, effects);
  for (const auto& load : message.loads) runners_.on_load(load, now);
  if (message.foreign_view != 0) {
    runners_.on_foreign_leaving(sender, message.foreign_leaving, now);
  }
  {
    const std::scoped_lock lock(mutex_);
    advertised_work_[sender] = {message.pending, now};
  }
  pull_configuration(sender, message.configuration_next, now, effects);
}

void NodeCore::handle(NodeId sender, const ZoneSummary& message, TimePoint now, Effects& effects) {
  membership_.on_summary(message, now, effects);
  runners_.on_foreign_leaving(sender, message.leaving, now);
  {
    const std::scoped_lock lock(mutex_);
    foreign_leaving_[message.zone] = {message.leaving, now};
    advertised_work_[sender] = {message.pending, now};
  }
  pull_configuration(sender, message.configuration_next, now, effects);
}

void NodeCore::handle(NodeId /*sender*/, const ZoneDigest& message, TimePoint now,
                      Effects& /*effects*/) {
  membership_.on_digest(message, now);
}

void NodeCore::handle(NodeId sender, const ForeignView& message, TimePoint now,
                      Effects& /*effects*/) {
  membership_.on_foreign_view(sender, message, now);
}

void NodeCore::handle(NodeId sender, const DigestRequest& message, TimePoint /*now*/,
                      Effects& effects) {
  membership_.on_digest_request(sender, message, effects);
}

void NodeCore::handle(NodeId sender, const ConfigurationPull& message, TimePoint /*now*/,
                      Effects& effects) {
  for (auto& answer : configuration_.on_pull(message)) {
    membership_.send(sender, std::move(answer), effects);
  }
}

void NodeCore::handle(NodeId /*sender*/, const ConfigurationEntries& message, TimePoint now,
                      Effects& effects) {
  configuration_.on_entries(message, now, effects);
}

void NodeCore::handle(NodeId /*sender*/, const ConfigurationSnapshot& message, TimePoint now,
                      Effects& effects) {
  configuration_.on_snapshot(message, now, effects);
}

void NodeCore::handle(NodeId sender, const ShardCall& message, TimePoint now, Effects& effects) {
  shards_.on_call(sender, message, now, effects);
}

void NodeCore::handle(NodeId /*sender*/, const ShardReply& message, TimePoint now,
                      Effects& /*effects*/) {
  caller_.on_reply(message, now);
}

void NodeCore::handle(NodeId sender, const BatchPull& message, TimePoint now, Effects& effects) {
  shards_.on_pull(sender, message, now, effects);
}

void NodeCore::handle(NodeId sender, const BatchAssign& message, TimePoint now, Effects& effects) {
  batch_.on_assign(sender, message, now, effects);
}

void NodeCore::handle(NodeId sender, const BatchReturn& message, TimePoint now, Effects& effects) {
  shards_.on_return(sender, message, now, effects);
}

void NodeCore::handle(NodeId /*sender*/, const BatchReturnAck& message, TimePoint /*now*/,
                      Effects& /*effects*/) {
  batch_.on_return_ack(message);
}

void NodeCore::handle(NodeId sender, const BatchRenew& message, TimePoint now, Effects& effects) {
  shards_.on_renew(sender, message, now, effects);
}

void NodeCore::handle(NodeId /*sender*/, const BatchStop& message, TimePoint /*now*/,
                      Effects& effects) {
  batch_.on_stop(message, effects);
}

void NodeCore::handle(NodeId /*sender*/, const OnlineNotice& message, TimePoint now,
                      Effects& effects) {
  batch_.on_online_notice(message, now, effects);
}

}  // namespace stoathold
