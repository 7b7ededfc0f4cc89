#include "core/shard_state.h"

#include <cereal/types/unordered_map.hpp>

#include "core/codec.h"
#include "core/policy_switches.h"

namespace stoathold {

ShardApplyResult ShardState::apply(Offset offset, const ShardEntry& entry) {
  next_offset_ = next_of(offset);
  if (entry.records.size() == 1) {
    if (const auto* claim = std::get_if<LeaseClaimed>(&entry.records.front())) {
      return apply_claim(offset, entry, *claim);
    }
  }
  const LeaseHolder writer{entry.id.writer, entry.id.incarnation};
  const bool from_holder = entry.epoch == epoch_ && writer == holder_;
  if (!from_holder && policy_switches().fence_by_epoch) return ShardApplyResult::kFenced;
  if (entry.id.sequence <= last_sequence_ && policy_switches().drop_repeated_appends) {
    return ShardApplyResult::kDuplicateAppend;
  }
  last_sequence_ = entry.id.sequence;
  for (const auto& record : entry.records) {
    std::visit([&](const auto& typed) { apply_record(offset, typed); }, record);
  }
  return ShardApplyResult::kApplied;
}

ShardApplyResult ShardState::apply_claim(Offset offset, const ShardEntry& entry,
                                         const LeaseClaimed& claim) {
  if (claim.expected_epoch != epoch_) return ShardApplyResult::kFenced;
  epoch_ = Epoch{value_of(offset)};
  holder_ = {entry.id.writer, entry.id.incarnation};
  last_sequence_ = entry.id.sequence;
  pending_.clear();
  return ShardApplyResult::kApplied;
}

void ShardState::apply_record(Offset offset, const ItemsSubmitted& record) {
  if (jobs_.contains(record.job) && policy_switches().one_job_per_key) return;
  auto& submission = pending_[record.job];
  if (submission.attempt != record.attempt) submission = {record.attempt, {}};
  const auto count = static_cast<std::uint32_t>(record.items.size());
  const std::uint32_t expected =
      submission.runs.empty() ? 0
                              : submission.runs.back().first_index + submission.runs.back().count;
  if (record.first_index != expected) return;
  submission.runs.push_back({record.first_index, count, offset});
}

void ShardState::apply_record(Offset /*offset*/, const JobCommitted& record) {
  if (jobs_.contains(record.job) && policy_switches().one_job_per_key) return;
  const auto found = pending_.find(record.job);
  if (found == pending_.end() || found->second.attempt != record.attempt) return;
  std::uint32_t submitted = 0;
  for (const auto& run : found->second.runs) submitted += run.count;
  if (submitted != record.item_count) return;
  JobState job;
  job.specification = record.specification;
  job.item_count = record.item_count;
  job.runs = std::move(found->second.runs);
  job.result_offsets.resize(record.item_count);
  jobs_[record.job] = std::move(job);
  pending_.erase(found);
}

void ShardState::apply_record(Offset /*offset*/, const JobCancelled& record) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end() || found->second.finished()) return;
  found->second.cancelled = true;
}

void ShardState::apply_record(Offset offset, const ItemsCompleted& record) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  if (job.cancelled && policy_switches().stop_cancelled_jobs) return;
  for (const auto& result : record.results) {
    if (result.index >= job.item_count) continue;
    if (job.item_completed(result.index)) {
      if (policy_switches().first_completion_wins) continue;
      --job.completed_count;
    }
    job.result_offsets[result.index] = offset;
    ++job.completed_count;
  }
}

void ShardState::apply_record(Offset /*offset*/, const RequestClaimed& record) {
  if (policy_switches().first_claim_wins) {
    claims_.try_emplace(record.key, record.claimant);
  } else {
    claims_[record.key] = record.claimant;
  }
}

void ShardState::apply_record(Offset /*offset*/, const LeaseClaimed& /*record*/) {}

void ShardState::apply_record(Offset /*offset*/, const LeaseRenewed& /*record*/) {}

void ShardState::apply_record(Offset offset, const LeaseReleased& /*record*/) {
  epoch_ = Epoch{value_of(offset)};
  holder_ = {};
}

const JobState* ShardState::find_job(JobId job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> ShardState::claimant_of(std::uint64_t key) const {
  const auto found = claims_.find(key);
  if (found == claims_.end()) return std::nullopt;
  return found->second;
}

std::string encode_snapshot(const ShardState& state) {
  return encode_value(state);
}

bool decode_snapshot(const std::string& bytes, ShardState& state) {
  return decode_value(bytes, state);
}

}  // namespace stoathold
