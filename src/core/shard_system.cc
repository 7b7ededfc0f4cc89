#include "core/shard_system.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "core/policy_switches.h"
#include "core/rendezvous.h"

namespace stoathold {
namespace {

/// Set in the tokens of direct reads, which load single entries outside the replica's own reading
/// of the stream.
constexpr std::uint64_t kDirectReadTokenBit = 1ULL << 63U;
}  // namespace

JobStatus status_of(JobId id, const JobState& job) {
  return {id, job.specification, job.item_count, job.completed_count, job.cancelled};
}

ShardSystem::ShardSystem(LeaseHolder self, const Knobs& knobs, const Membership& membership)
    : self_(self), knobs_(knobs), membership_(membership) {
  for (std::uint32_t index = 0; index < knobs.shard_count; ++index) {
    const ShardId shard{index};
    rows_.push_back(std::make_unique<ShardRow>(shard, self, knobs));
    rows_by_stream_[shard_stream_name(shard)] = rows_.back().get();
    rows_by_stream_[snapshot_stream_name(shard)] = rows_.back().get();
  }
  designated_owners_.resize(knobs.shard_count);
}

ShardSystem::ShardRow* ShardSystem::row_of_stream(const std::string& stream) {
  const auto found = rows_by_stream_.find(stream);
  return found == rows_by_stream_.end() ? nullptr : found->second;
}

std::uint64_t ShardSystem::new_direct_read_token() {
  return kDirectReadTokenBit | ++last_direct_read_token_;
}

void ShardSystem::set_draining() {
  const std::scoped_lock lock(mutex_);
  draining_ = true;
}

void ShardSystem::tick(const WeightLookup& weight_of, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  weight_of_ = weight_of;
  const std::uint64_t version = membership_.shard_version();
  if (version != members_version_) {
    members_version_ = version;
    const auto members = membership_.shard_members();
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      designated_owners_[i] = rendezvous_owner(shard_subject(rows_[i]->replica.shard()), members);
    }
  }
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    auto& row = *rows_[i];
    const auto& designated = designated_owners_[i];
    const bool self_is_designated = designated == self_.node;
    if (!self_is_designated && !row.replica.following()) continue;
    LeaseView view;
    view.self_is_designated = self_is_designated && !draining_;
    const NodeId holder = row.replica.state().holder().node;
    view.holder_alive = membership_.may_finish_work(holder) && membership_.reaches_log(holder);
    view.designated_alive = designated && !self_is_designated;
    view.draining = draining_;
    row.replica.tick(view, now, effects);
    process_replica_results(row, now, effects);
    if (row.owned) {
      row.scheduler.expire(now, [this](NodeId node) { return membership_.may_finish_work(node); });
    }
  }
}

void ShardSystem::process_replica_results(ShardRow& row, TimePoint now, Effects& effects) {
  const bool changed = row.replica.take_changed();
  for (const auto& resolved : row.replica.take_resolved())
    complete_operation(row, resolved, effects);
  const bool owns = row.replica.owns();
  if (row.owned && !owns) on_lease_lost(row, effects);
  const bool gained = owns && !row.owned;
  row.owned = owns;
  if (owns && (gained || changed)) {
    auto stopped = row.scheduler.refresh(row.replica.state(), weight_of_);
    for (auto& [node, items] : stopped) {
      membership_.send(node, BatchStop{std::move(items)}, effects);
    }
  }
  process_waiting_reads(row, now, effects);
}

void ShardSystem::on_lease_lost(ShardRow& row, Effects& effects) {
  row.scheduler.clear();
  for (auto& [id, operation] : row.operations) {
    for (const auto& caller : operation.callers) {
      reply_failure(caller, ErrorCode::kShardMoving, Execution::kUnknown, effects);
    }
  }
  row.operations.clear();
  row.submitting.clear();
  row.item_run_reads.clear();
}

void ShardSystem::complete_operation(ShardRow& row, const ResolvedOperation& resolved,
                                     Effects& effects) {
  auto node = row.operations.extract(resolved.operation);
  if (node.empty()) return;
  auto& operation = node.mapped();
  if (const auto* submit = std::get_if<SubmitJobCall>(&operation.request)) {
    row.submitting.erase(submit->job);
  }
  if (!resolved.applied) {
    for (const auto& caller : operation.callers) {
      reply_failure(caller, ErrorCode::kShardMoving, Execution::kNotRun, effects);
    }
    return;
  }
  if (!operation.completed.empty()) {
    membership_.send(operation.returning_node, BatchReturnAck{operation.completed}, effects);
    return;
  }
  const auto& state = row.replica.state();
  for (const auto& caller : operation.callers) {
    if (const auto* claim = std::get_if<ClaimRequestCall>(&operation.request)) {
      reply(caller, ClaimResult{state.claimant_of(claim->key) == claim->claimant}, effects);
      continue;
    }
    const auto* submit = std::get_if<SubmitJobCall>(&operation.request);
    const auto* cancel = std::get_if<CancelJobCall>(&operation.request);
    const JobId id = submit != nullptr ? submit->job : cancel->job;
    const JobState* job = state.find_job(id);
    if (job != nullptr) {
      reply(caller, status_of(id, *job), effects);
    } else if (submit != nullptr && !policy_switches().acknowledge_only_applied) {
      const auto count = static_cast<std::uint32_t>(submit->items.size());
      reply(caller, JobStatus{id, submit->specification, count, 0, false}, effects);
    } else {
      reply_failure(caller, ErrorCode::kShardMoving, Execution::kNotRun, effects);
    }
  }
}

bool ShardSystem::on_log_appended(const std::string& stream, std::uint64_t token, LogStatus status,
                                  Offset offset, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  ShardRow* row = row_of_stream(stream);
  if (row == nullptr) return false;
  row->replica.on_appended(token, status, offset, now, effects);
  process_replica_results(*row, now, effects);
  return true;
}

bool ShardSystem::on_log_read(const std::string& stream, std::uint64_t token, LogStatus status,
                              const std::vector<LogEntry>& entries, Offset head, TimePoint now,
                              Effects& effects) {
  const std::scoped_lock lock(mutex_);
  ShardRow* row = row_of_stream(stream);
  if (row == nullptr) return false;
  if ((token & kDirectReadTokenBit) != 0)
    return on_direct_read(*row, token, status, entries, effects);
  row->replica.on_read(token, status, entries, head, now, effects);
  process_replica_results(*row, now, effects);
  return true;
}

bool ShardSystem::on_log_head(const std::string& stream, std::uint64_t token, LogStatus status,
                              Offset head, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  ShardRow* row = row_of_stream(stream);
  if (row == nullptr) return false;
  row->replica.on_head(token, status, head, effects);
  return true;
}

bool ShardSystem::on_direct_read(ShardRow& row, std::uint64_t token, LogStatus status,
                                 const std::vector<LogEntry>& entries, Effects& effects) {
  ShardEntry entry;
  const bool readable =
      status == LogStatus::kOk && !entries.empty() && decode(entries.front().bytes, entry);
  if (auto run = row.item_run_reads.extract(token); !run.empty()) {
    if (readable && entries.front().offset == run.mapped()) {
      row.scheduler.load_run(run.mapped(), entry);
    }
    row.item_run_read_sent_at = TimePoint{};
    return true;
  }
  auto read = row.page_reads.extract(token);
  if (read.empty()) return true;
  const auto [page_id, offset] = read.mapped();
  if (readable && entries.front().offset == offset) {
    add_to_results_page(row, page_id, offset, entry, effects);
    return true;
  }
  if (auto page = row.pages.extract(page_id); !page.empty()) {
    reply_failure(page.mapped().caller, ErrorCode::kLogUnavailable, Execution::kNotRun, effects);
  }
  return true;
}

void ShardSystem::on_call(NodeId caller, const ShardCall& call, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const CallReference reference{caller, call.call};
  if (value_of(call.shard) >= rows_.size()) {
    reply_failure(reference, ErrorCode::kBadRequest, Execution::kNotRun, effects);
    return;
  }
  auto& row = *rows_[value_of(call.shard)];
  if (!row.owned) {
    reply_failure(reference, ErrorCode::kShardMoving, Execution::kNotRun, effects);
    return;
  }
  const bool writes = std::holds_alternative<SubmitJobCall>(call.request) ||
                      std::holds_alternative<CancelJobCall>(call.request) ||
                      std::holds_alternative<ClaimRequestCall>(call.request);
  if (writes && row.replica.log_down(now)) {
    reply_failure(reference, ErrorCode::kLogUnavailable, Execution::kNotRun, effects);
    return;
  }
  if (const auto* submit = std::get_if<SubmitJobCall>(&call.request)) {
    serve_submit(row, reference, *submit, now, effects);
  } else if (const auto* cancel = std::get_if<CancelJobCall>(&call.request)) {
    serve_cancel(row, reference, *cancel, now, effects);
  } else if (const auto* claim = std::get_if<ClaimRequestCall>(&call.request)) {
    serve_claim(row, reference, *claim, now, effects);
  } else {
    serve_read(row, reference, call.request, now, effects);
  }
  process_replica_results(row, now, effects);
}

void ShardSystem::serve_submit(ShardRow& row, const CallReference& caller,
                               const SubmitJobCall& call, TimePoint now, Effects& effects) {
  if (const auto* job = row.replica.state().find_job(call.job)) {
    if (policy_switches().one_job_per_key) {
      reply(caller, status_of(call.job, *job), effects);
      return;
    }
  }
  if (const auto found = row.submitting.find(call.job); found != row.submitting.end()) {
    row.operations.at(found->second).callers.push_back(caller);
    return;
  }
  const std::uint64_t operation = new_operation();
  std::vector<ShardRecord> records;
  for (std::size_t first = 0; first < call.items.size(); first += knobs_.items_per_record) {
    const std::size_t last = std::min(call.items.size(), first + knobs_.items_per_record);
    ItemsSubmitted run{call.job, operation, static_cast<std::uint32_t>(first), {}};
    run.items.assign(call.items.begin() + static_cast<std::ptrdiff_t>(first),
                     call.items.begin() + static_cast<std::ptrdiff_t>(last));
    records.emplace_back(std::move(run));
  }
  const auto count = static_cast<std::uint32_t>(call.items.size());
  records.emplace_back(JobCommitted{call.job, operation, count, call.specification});
  SubmitJobCall stored_request{call.job, call.specification, {}};
  if (!policy_switches().acknowledge_only_applied) stored_request.items = call.items;
  row.operations[operation] = {{caller}, std::move(stored_request), {}, {}};
  row.submitting[call.job] = operation;
  row.replica.append(std::move(records), operation);
  row.replica.flush(now, effects);
}

void ShardSystem::serve_cancel(ShardRow& row, const CallReference& caller,
                               const CancelJobCall& call, TimePoint now, Effects& effects) {
  const auto* job = row.replica.state().find_job(call.job);
  if (job == nullptr) {
    serve_read(row, caller, call, now, effects);
    return;
  }
  if (job->finished()) {
    reply(caller, status_of(call.job, *job), effects);
    return;
  }
  const std::uint64_t operation = new_operation();
  row.operations[operation] = {{caller}, call, {}, {}};
  row.replica.append({JobCancelled{call.job}}, operation);
  row.replica.flush(now, effects);
}

void ShardSystem::serve_claim(ShardRow& row, const CallReference& caller,
                              const ClaimRequestCall& call, TimePoint now, Effects& effects) {
  const auto claimant = row.replica.state().claimant_of(call.key);
  if (claimant && policy_switches().first_claim_wins) {
    reply(caller, ClaimResult{*claimant == call.claimant}, effects);
    return;
  }
  const std::uint64_t operation = new_operation();
  row.operations[operation] = {{caller}, call, {}, {}};
  row.replica.append({RequestClaimed{call.key, call.claimant}}, operation);
  row.replica.flush(now, effects);
}

void ShardSystem::serve_read(ShardRow& row, const CallReference& caller,
                             const ShardRequest& request, TimePoint now, Effects& effects) {
  const std::uint64_t ticket = row.replica.request_barrier(now, effects);
  row.reads.push_back({caller, request, ticket, now});
}

void ShardSystem::reply(const CallReference& caller, ShardAnswer answer, Effects& effects) const {
  membership_.send(caller.caller, ShardReply{caller.call, std::move(answer)}, effects);
}

void ShardSystem::reply_failure(const CallReference& caller, ErrorCode code, Execution execution,
                                Effects& effects) const {
  const auto number = static_cast<std::uint8_t>(execution);
  reply(caller, CallFailure{static_cast<int>(code), number}, effects);
}

std::uint32_t ShardSystem::owned_shards() const {
  const std::scoped_lock lock(mutex_);
  const auto owned = [](const auto& row) { return row->owned; };
  return static_cast<std::uint32_t>(std::count_if(rows_.begin(), rows_.end(), owned));
}

std::vector<PendingCount> ShardSystem::pending() const {
  const std::scoped_lock lock(mutex_);
  std::map<std::pair<std::uint32_t, std::string>, std::uint32_t> sums;
  for (const auto& row : rows_) {
    if (!row->owned) continue;
    for (const auto& count : row->scheduler.pending()) {
      sums[{count.weight, count.service}] += count.items;
    }
  }
  std::vector<PendingCount> counts;
  for (auto position = sums.rbegin(); position != sums.rend(); ++position) {
    counts.push_back({position->first.second, position->first.first, position->second});
  }
  return counts;
}

std::vector<ShardStatistics> ShardSystem::statistics() const {
  const std::scoped_lock lock(mutex_);
  std::vector<ShardStatistics> statistics;
  for (const auto& row : rows_) {
    const auto& replica = row->replica;
    if (!replica.following()) continue;
    statistics.push_back({replica.shard(), row->owned, replica.state().epoch(),
                          replica.state().next_offset(), replica.state().jobs().size(),
                          row->scheduler.assigned_count(), replica.replayed_entries(),
                          replica.replayed_bytes()});
  }
  return statistics;
}

}  // namespace stoathold
