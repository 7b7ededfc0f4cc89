#include "core/shard_replica.h"

#include <utility>

#include "core/policy_switches.h"

namespace stoathold {
namespace {

constexpr std::uint32_t kReadLimit = 256;
/// A live holder that stops writing to the log loses its lease after this multiple of
/// `Knobs::lease_timeout`.
constexpr int kSilentHolderFactor = 6;

}  // namespace

ShardReplica::ShardReplica(ShardId shard, LeaseHolder self, const Knobs& knobs)
    : shard_(shard),
      self_(self),
      knobs_(knobs),
      stream_(shard_stream_name(shard)),
      snapshot_stream_(snapshot_stream_name(shard)) {}

bool ShardReplica::owns() const {
  return phase_ == Phase::kFollowing && state_.holder() == self_ && !releasing_;
}

bool ShardReplica::log_down(TimePoint now) const {
  return pending_append_ && now - pending_append_->first_sent_at > knobs_.log_down_timeout;
}

void ShardReplica::tick(const LeaseView& view, TimePoint now, Effects& effects) {
  if (!view.self_is_designated) designated_since_.reset();
  if (view.self_is_designated && !designated_since_) designated_since_ = now;
  const bool holds = state_.holder() == self_ && phase_ == Phase::kFollowing;
  if (phase_ == Phase::kIdle) {
    if (view.self_is_designated) start_following(now, effects);
    return;
  }
  if (phase_ != Phase::kFollowing) {
    if (now - read_sent_at_ > knobs_.log_retry_period * 2) start_following(now, effects);
    return;
  }
  if (!view.self_is_designated && !holds && !pending_append_) {
    stop_following();
    return;
  }
  const bool read_lost = read_token_ != 0 && now - read_sent_at_ > knobs_.log_retry_period * 2;
  if (read_lost) read_token_ = 0;
  if (read_token_ == 0 && (now >= next_poll_ || read_lost)) send_read(now, effects);
  if (holds) {
    maintain_lease(view, now, effects);
  } else {
    claim_lease_if_allowed(view, now, effects);
  }
  if (pending_append_ && now - pending_append_->sent_at >= knobs_.log_retry_period) {
    send_pending_append(now, effects);
  }
}

void ShardReplica::start_following(TimePoint now, Effects& effects) {
  phase_ = Phase::kSnapshotHead;
  caught_up_ = false;
  read_sent_at_ = now;
  read_token_ = new_token();
  effects.push_back(ReadLogHead{snapshot_stream_, read_token_});
}

void ShardReplica::stop_following() {
  phase_ = Phase::kIdle;
  state_ = ShardState();
  queue_.clear();
  caught_up_ = false;
  releasing_ = false;
  read_token_ = 0;
}

void ShardReplica::on_head(std::uint64_t token, LogStatus status, Offset head, Effects& effects) {
  if (token != read_token_ || phase_ != Phase::kSnapshotHead || status != LogStatus::kOk) return;
  if (value_of(head) <= 1) {
    phase_ = Phase::kFollowing;
    state_ = ShardState();
    read_token_ = 0;
    next_poll_ = TimePoint{};
    return;
  }
  phase_ = Phase::kSnapshotBody;
  read_token_ = new_token();
  effects.push_back(ReadFromLog{snapshot_stream_, Offset{value_of(head) - 1}, 1, read_token_});
}

void ShardReplica::send_read(TimePoint now, Effects& effects) {
  read_token_ = new_token();
  read_sent_at_ = now;
  next_poll_ = now + knobs_.shard_poll_period;
  ++started_reads_;
  effects.push_back(ReadFromLog{stream_, state_.next_offset(), kReadLimit, read_token_});
}

std::uint64_t ShardReplica::request_barrier(TimePoint now, Effects& effects) {
  if (read_token_ != 0) {
    reread_requested_ = true;
    return started_reads_ + 1;
  }
  send_read(now, effects);
  return started_reads_;
}

void ShardReplica::on_read(std::uint64_t token, LogStatus status,
                           const std::vector<LogEntry>& entries, Offset head, TimePoint now,
                           Effects& effects) {
  if (token != read_token_ || read_token_ == 0) return;
  read_token_ = 0;
  if (phase_ == Phase::kSnapshotBody) {
    if (status != LogStatus::kOk) return;
    ShardState snapshot;
    const bool usable = !entries.empty() && decode_snapshot(entries.front().bytes, snapshot);
    state_ = usable ? std::move(snapshot) : ShardState();
    phase_ = Phase::kFollowing;
    changed_ = true;
    replayed_entries_ = 0;
    replayed_bytes_ = usable ? entries.front().bytes.size() : 0;
    last_change_ = now;
    send_read(now, effects);
    return;
  }
  if (status != LogStatus::kOk) return;
  for (const auto& entry : entries) {
    if (!caught_up_) {
      ++replayed_entries_;
      replayed_bytes_ += entry.bytes.size();
    }
    if (entry.offset == state_.next_offset()) apply_entry(entry, now);
  }
  discard_if_fenced();
  const bool at_tail = state_.next_offset() >= head;
  last_successful_read_ = now;
  if (at_tail) {
    caught_up_ = true;
    last_tail_read_ = started_reads_;
  }
  if (!at_tail || reread_requested_) {
    reread_requested_ = false;
    send_read(now, effects);
  }
  flush(now, effects);
}

void ShardReplica::apply_entry(const LogEntry& entry, TimePoint now) {
  ShardEntry decoded;
  if (!decode(entry.bytes, decoded)) {
    state_.skip(entry.offset);
    return;
  }
  apply_decoded(entry.offset, decoded, now);
}

void ShardReplica::apply_decoded(Offset offset, const ShardEntry& entry, TimePoint now) {
  const ShardApplyResult result = state_.apply(offset, entry);
  changed_ = true;
  ++entries_since_snapshot_;
  last_change_ = now;
  const bool own = entry.id.writer == self_.node && entry.id.incarnation == self_.incarnation;
  if (own && pending_append_ && entry.id.sequence == pending_append_->sequence)
    resolve_pending_append(result);
}

void ShardReplica::resolve_pending_append(ShardApplyResult result) {
  const bool applied = result != ShardApplyResult::kFenced;
  for (const std::uint64_t operation : pending_append_->operations) {
    resolved_.push_back({operation, applied});
  }
  pending_append_.reset();
  pending_append_records_ = 0;
}

void ShardReplica::discard_if_fenced() {
  if (state_.holder() == self_) return;
  releasing_ = false;
  for (const auto& queued : queue_) {
    if (queued.operation != 0) resolved_.push_back({queued.operation, false});
  }
  queue_.clear();
  if (!pending_append_) return;
  const auto* claim = std::get_if<LeaseClaimed>(&pending_append_->entry.records.front());
  const bool claim_undecided = claim != nullptr && claim->expected_epoch == state_.epoch();
  if (!claim_undecided) resolve_pending_append(ShardApplyResult::kFenced);
}

bool ShardReplica::may_claim(const LeaseView& view) const {
  const auto& holder = state_.holder();
  if (value_of(holder.node) == 0) return true;
  if (holder.node == self_.node) return true;
  const Duration silence = last_successful_read_ - last_change_;
  if (!view.holder_alive) return silence >= knobs_.lease_timeout;
  return silence >= knobs_.lease_timeout * kSilentHolderFactor;
}

void ShardReplica::claim_lease_if_allowed(const LeaseView& view, TimePoint now, Effects& effects) {
  if (!view.self_is_designated || !caught_up_ || pending_append_) return;
  if (now - *designated_since_ < knobs_.ownership_settle_time || !may_claim(view)) return;
  start_append({LeaseClaimed{state_.epoch()}}, {}, state_.epoch(), now, effects);
}

void ShardReplica::maintain_lease(const LeaseView& view, TimePoint now, Effects& effects) {
  if (releasing_) return;
  const bool must_release = view.draining || (!view.self_is_designated && view.designated_alive);
  if (must_release && !pending_append_ && queue_.empty()) {
    releasing_ = true;
    start_append({LeaseReleased{}}, {}, state_.epoch(), now, effects);
    return;
  }
  write_snapshot_if_due(effects);
  if (!pending_append_ && queue_.empty() && now - last_append_ >= knobs_.lease_renew_period) {
    start_append({LeaseRenewed{}}, {}, state_.epoch(), now, effects);
    return;
  }
  flush(now, effects);
}

void ShardReplica::write_snapshot_if_due(Effects& effects) {
  if (entries_since_snapshot_ < knobs_.snapshot_interval) return;
  entries_since_snapshot_ = 0;
  effects.push_back(AppendToLog{snapshot_stream_, encode_snapshot(state_), new_token()});
}

void ShardReplica::append(std::vector<ShardRecord> records, std::uint64_t operation) {
  for (std::size_t i = 0; i < records.size(); ++i) {
    const bool last = i + 1 == records.size();
    queue_.push_back({std::move(records[i]), last ? operation : 0});
  }
}

void ShardReplica::flush(TimePoint now, Effects& effects) {
  if (pending_append_ || queue_.empty() || !owns()) return;
  std::vector<ShardRecord> records;
  std::vector<std::uint64_t> operations;
  while (!queue_.empty() && records.size() < knobs_.records_per_entry) {
    auto& queued = queue_.front();
    records.push_back(std::move(queued.record));
    if (queued.operation != 0) operations.push_back(queued.operation);
    queue_.pop_front();
  }
  if (!policy_switches().acknowledge_only_applied) {
    for (const std::uint64_t operation : operations) resolved_.push_back({operation, true});
    operations.clear();
  }
  start_append(std::move(records), std::move(operations), state_.epoch(), now, effects);
}

void ShardReplica::start_append(std::vector<ShardRecord> records,
                                std::vector<std::uint64_t> operations, Epoch epoch, TimePoint now,
                                Effects& effects) {
  PendingAppend next;
  next.sequence = ++last_sequence_;
  next.entry.id = {self_.node, self_.incarnation, next.sequence};
  next.entry.epoch = epoch;
  next.entry.records = std::move(records);
  next.bytes = encode(next.entry);
  next.operations = std::move(operations);
  next.first_sent_at = now;
  pending_append_records_ = next.entry.records.size();
  pending_append_ = std::move(next);
  send_pending_append(now, effects);
}

void ShardReplica::send_pending_append(TimePoint now, Effects& effects) {
  pending_append_->sent_at = now;
  pending_append_->token = new_token();
  last_append_ = now;
  effects.push_back(AppendToLog{stream_, pending_append_->bytes, pending_append_->token});
}

void ShardReplica::on_appended(std::uint64_t token, LogStatus status, Offset offset, TimePoint now,
                               Effects& effects) {
  if (!pending_append_ || token != pending_append_->token || status != LogStatus::kOk) return;
  if (offset == state_.next_offset()) {
    const ShardEntry entry = pending_append_->entry;
    apply_decoded(offset, entry, now);
    discard_if_fenced();
    flush(now, effects);
    return;
  }
  if (offset < state_.next_offset()) return;
  if (read_token_ == 0) {
    send_read(now, effects);
  } else {
    reread_requested_ = true;
  }
}

std::vector<ResolvedOperation> ShardReplica::take_resolved() {
  return std::exchange(resolved_, {});
}

bool ShardReplica::take_changed() {
  return std::exchange(changed_, false);
}

}  // namespace stoathold
