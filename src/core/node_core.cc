#include "core/node_core.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <tuple>

#include "core/policy_switches.h"

namespace stoathold {
namespace {

constexpr std::uint64_t kCallerSalt = 1;
constexpr std::uint64_t kRunnerSalt = 2;
constexpr std::uint64_t kOnlineSalt = 3;
constexpr std::uint64_t kBatchSalt = 4;
constexpr int kAdvertisedWorkLifetimePeriods = 4;

void limit_entries(std::vector<PendingWork>& work, std::size_t limit) {
  if (work.size() > limit) work.resize(limit);
}

MemberRecord make_member_record(const NodeIdentity& identity) {
  return {node_id_from_name(identity.name),
          identity.incarnation,
          identity.name,
          identity.region,
          identity.zone,
          identity.peer_address,
          MemberState::kStarting};
}

}  // namespace

NodeCore::NodeCore(NodeIdentity identity, const Knobs& knobs, std::uint64_t seed)
    : knobs_(knobs),
      identity_(std::move(identity)),
      id_(node_id_from_name(identity_.name)),
      membership_(make_member_record(identity_), knobs_),
      configuration_(id_, identity_.incarnation, knobs_),
      runners_(identity_.region, identity_.zone, mix_hashes(seed, kRunnerSalt), knobs_),
      caller_(mix_hashes(seed, kCallerSalt), knobs_, membership_),
      online_(mix_hashes(seed, kOnlineSalt), knobs_, configuration_, runners_, caller_),
      batch_(id_, mix_hashes(seed, kBatchSalt), knobs_, membership_, configuration_, runners_),
      shards_({id_, identity_.incarnation}, knobs_, membership_) {}

RequestId NodeCore::new_request_id() {
  const std::scoped_lock lock(mutex_);
  const std::uint64_t start = mix_hashes(value_of(id_), value_of(identity_.incarnation));
  return RequestId{mix_hashes(start, ++last_request_)};
}

Readiness NodeCore::readiness() const {
  {
    const std::scoped_lock lock(mutex_);
    if (draining_) return {false, "draining"};
  }
  if (!configuration_.current()) return {false, "has not yet the newest configuration"};
  return {true, "ready"};
}

void NodeCore::update_self_state() {
  bool draining = false;
  bool left = false;
  {
    const std::scoped_lock lock(mutex_);
    draining = draining_;
    left = left_;
  }
  if (left) {
    membership_.set_self_state(MemberState::kLeft);
  } else if (draining) {
    membership_.set_self_state(MemberState::kDraining);
  } else if (configuration_.current()) {
    membership_.set_self_state(MemberState::kReady);
  }
}

std::vector<PendingWork> NodeCore::own_pending_work() const {
  std::vector<PendingWork> work;
  for (const auto& count : shards_.pending()) {
    if (work.size() >= knobs_.advertised_work_limit) break;
    work.push_back({id_, count.service, count.weight, count.items});
  }
  return work;
}

std::vector<PendingWork> NodeCore::known_pending_work(TimePoint now) const {
  std::vector<PendingWork> work = own_pending_work();
  const std::scoped_lock lock(mutex_);
  for (const auto& [node, advertised] : advertised_work_) {
    if (now - advertised.received_at > knobs_.heartbeat_period * kAdvertisedWorkLifetimePeriods)
      continue;
    work.insert(work.end(), advertised.work.begin(), advertised.work.end());
  }
  const auto precedes = [](const PendingWork& left, const PendingWork& right) {
    return std::tie(right.weight, left.owner, left.service) <
           std::tie(left.weight, right.owner, right.service);
  };
  std::sort(work.begin(), work.end(), precedes);
  const auto is_same_work = [](const PendingWork& left, const PendingWork& right) {
    return left.owner == right.owner && left.service == right.service &&
           left.weight == right.weight;
  };
  work.erase(std::unique(work.begin(), work.end(), is_same_work), work.end());
  return work;
}

Heartbeat NodeCore::heartbeat_prototype(TimePoint now) const {
  Heartbeat heartbeat;
  heartbeat.configuration_next = configuration_.next_offset();
  heartbeat.foreign_view = membership_.foreign_view_if_relay();
  if (heartbeat.foreign_view != 0) heartbeat.foreign_leaving = foreign_leaving_runners(now);
  heartbeat.loads = batch_.owned_loads();
  heartbeat.pending = heartbeat.foreign_view == 0 ? own_pending_work() : known_pending_work(now);
  limit_entries(heartbeat.pending, knobs_.advertised_work_limit);
  return heartbeat;
}

ZoneSummary NodeCore::summary_prototype(TimePoint now) const {
  ZoneSummary summary;
  summary.configuration_next = configuration_.next_offset();
  summary.pending = known_pending_work(now);
  summary.leaving = runners_.leaving_in_zone();
  limit_entries(summary.pending, knobs_.advertised_work_limit);
  return summary;
}

std::vector<RunnerId> NodeCore::foreign_leaving_runners(TimePoint now) const {
  const std::scoped_lock lock(mutex_);
  std::set<RunnerId> leaving;
  for (const auto& [zone, report] : foreign_leaving_) {
    if (now - report.received_at > knobs_.zone_unreachable_timeout) continue;
    leaving.insert(report.runners.begin(), report.runners.end());
  }
  return {leaving.begin(), leaving.end()};
}

void NodeCore::expedite_leaving_updates(TimePoint now) {
  const std::uint64_t version = runners_.version();
  {
    const std::scoped_lock lock(mutex_);
    const bool skip_foreign_check = foreign_leaving_.empty() || now < next_leaving_check_;
    if (version == checked_runners_version_ && skip_foreign_check) return;
    checked_runners_version_ = version;
    next_leaving_check_ = now + knobs_.min_early_send_interval;
  }
  const auto in_zone = runners_.leaving_in_zone();
  const auto foreign = foreign_leaving_runners(now);
  {
    const std::scoped_lock lock(mutex_);
    if (in_zone == announced_zone_leaving_ && foreign == announced_foreign_leaving_) return;
    announced_zone_leaving_ = in_zone;
    announced_foreign_leaving_ = foreign;
  }
  membership_.expedite_sends();
}

void NodeCore::record_log_status(LogStatus status, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  if (status == LogStatus::kOk) {
    log_unanswered_since_.reset();
  } else if (!log_unanswered_since_) {
    log_unanswered_since_ = now;
  }
}

bool NodeCore::log_reachable(TimePoint now) const {
  const std::scoped_lock lock(mutex_);
  return !log_unanswered_since_ || now - *log_unanswered_since_ < knobs_.log_down_timeout;
}

void NodeCore::tick(TimePoint now, Effects& effects) {
  update_self_state();
  const bool log_reached = log_reachable(now);
  membership_.set_self_log_reachable(log_reached);
  expedite_leaving_updates(now);
  membership_.tick(now);
  // While the log is unreachable, every node polls it, to detect when it is available again.
  configuration_.tick(membership_.is_relay() || !log_reached, now, effects);
  const WeightLookup weight_of = [this](const std::string& name) {
    const auto found = configuration_.priority_class(name);
    return found ? found->weight : 1U;
  };
  shards_.tick(weight_of, now, effects);
  caller_.tick(now, effects);
  batch_.tick(known_pending_work(now), now, effects);
  online_.tick(now, effects);
  if (membership_.heartbeat_due(now)) {
    membership_.send_heartbeats(heartbeat_prototype(now), now, effects);
  }
  if (membership_.summary_due(now)) {
    membership_.send_summaries(summary_prototype(now), now, effects);
  }
  process_internal_effects(now, effects);
}

void NodeCore::process_internal_effects(TimePoint now, Effects& effects) {
  deliver_local_messages(now, effects);
  for (const auto& finished : caller_.take_finished()) {
    if (online_.on_call_finished(finished, now, effects)) continue;
    effects.push_back(AnswerCall{finished.call, finished.answer});
  }
  notify_runner_owners(now, effects);
}

void NodeCore::deliver_local_messages(TimePoint now, Effects& effects) {
  for (std::size_t i = 0; i < effects.size(); ++i) {
    auto* send = std::get_if<SendToPeer>(&effects[i]);
    if (send == nullptr || send->target != id_) continue;
    const PeerMessage message = std::move(send->message);
    send->target = NodeId{};
    send->address.clear();
    std::visit([&](const auto& typed) { handle(id_, typed, now, effects); }, message);
  }
  std::erase_if(effects, [](const Effect& effect) {
    const auto* send = std::get_if<SendToPeer>(&effect);
    return send != nullptr && send->address.empty();
  });
}

void NodeCore::notify_runner_owners(TimePoint now, Effects& effects) {
  const std::size_t count = effects.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto* open = std::get_if<OpenStream>(&effects[i]);
    if (open == nullptr || open->stream_class != StreamClass::kOnline) continue;
    const RunnerId runner = open->runner;
    notify_runner_owner(runner, now, effects);
  }
}

void NodeCore::notify_runner_owner(RunnerId runner, TimePoint now, Effects& effects) {
  const auto owner = batch_.owner_of(runner);
  if (!owner) return;
  const OnlineNotice notice{runner};
  if (*owner == id_) {
    batch_.on_online_notice(notice, now, effects);
  } else {
    membership_.send(*owner, notice, effects);
  }
}

void NodeCore::on_machine_list(const std::vector<ListedNode>& nodes,
                               const std::vector<ListedRunner>& runners) {
  membership_.on_machine_list(nodes);
  runners_.on_machine_list(runners);
}

void NodeCore::on_log_appended(const std::string& stream, std::uint64_t token, LogStatus status,
                               Offset offset, TimePoint now, Effects& effects) {
  record_log_status(status, now);
  if (stream == kConfigurationStream) {
    configuration_.on_log_appended(token, status, offset, now, effects);
  } else {
    shards_.on_log_appended(stream, token, status, offset, now, effects);
  }
  process_internal_effects(now, effects);
}

void NodeCore::on_log_read(const std::string& stream, std::uint64_t token, LogStatus status,
                           const std::vector<LogEntry>& entries, Offset head, TimePoint now,
                           Effects& effects) {
  record_log_status(status, now);
  if (stream == kConfigurationStream) {
    configuration_.on_log_read(token, status, entries, head, now, effects);
  } else {
    shards_.on_log_read(stream, token, status, entries, head, now, effects);
  }
  process_internal_effects(now, effects);
}

void NodeCore::on_log_head(const std::string& stream, std::uint64_t token, LogStatus status,
                           Offset head, TimePoint now, Effects& effects) {
  record_log_status(status, now);
  shards_.on_log_head(stream, token, status, head, effects);
  process_internal_effects(now, effects);
}

void NodeCore::on_stream_ended(const StreamEnd& end, TimePoint now, Effects& effects) {
  if (is_online_stream(end.stream)) {
    online_.on_stream_ended(end, now, effects);
  } else {
    batch_.on_stream_ended(end, now, effects);
  }
  process_internal_effects(now, effects);
}

void NodeCore::on_load_report(const RunnerLoad& load, TimePoint now, Effects& effects) {
  runners_.on_load(load, now);
  batch_.on_load_report(load, now, effects);
  process_internal_effects(now, effects);
}

void NodeCore::admit(const OnlineRequest& request, TimePoint now, Effects& effects) {
  online_.admit(request, now, effects);
  process_internal_effects(now, effects);
}

void NodeCore::cancel(RequestId request, TimePoint now, Effects& effects) {
  online_.cancel(request, effects);
  process_internal_effects(now, effects);
}

std::uint64_t NodeCore::call_job(JobId job, ShardRequest request, TimePoint now, Effects& effects) {
  const ShardId shard = shard_of(value_of(job), knobs_);
  const auto call = caller_.start(shard, std::move(request), knobs_.call_timeout, now, effects);
  process_internal_effects(now, effects);
  return call;
}

std::uint64_t NodeCore::change_resource(ResourceChange change, TimePoint now, Effects& effects) {
  std::uint64_t call = 0;
  {
    const std::scoped_lock lock(mutex_);
    call = ++last_change_;
  }
  configuration_.start_change(call, std::move(change), now, effects);
  return call;
}

void NodeCore::start_drain(TimePoint now, Effects& effects) {
  {
    const std::scoped_lock lock(mutex_);
    draining_ = true;
  }
  online_.set_draining();
  batch_.set_draining(effects);
  shards_.set_draining();
  update_self_state();
  process_internal_effects(now, effects);
}

bool NodeCore::drained() const {
  if (!policy_switches().finish_before_exit) return true;
  return online_.open_requests() == 0 && caller_.open_calls() == 0 && batch_.idle() &&
         shards_.owned_shards() == 0;
}

void NodeCore::leave(TimePoint now, Effects& effects) {
  {
    const std::scoped_lock lock(mutex_);
    left_ = true;
  }
  update_self_state();
  membership_.make_sends_due();
  membership_.send_heartbeats(heartbeat_prototype(now), now, effects);
  membership_.send_summaries(summary_prototype(now), now, effects);
  deliver_local_messages(now, effects);
}

}  // namespace stoathold
