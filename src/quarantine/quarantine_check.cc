#include "quarantine/quarantine_check.h"

#include <algorithm>

#include "base/ids.h"

namespace stoathold {

void QuarantineCheck::set_service(std::string_view service) {
  if (service_ == service) return;
  service_ = service;
  part_hashes_.reset();
}

ContentHash QuarantineCheck::content() {
  if (!content_) content_ = content_hash(parts_);
  return *content_;
}

const std::vector<PartHash>& QuarantineCheck::part_hashes() {
  if (!part_hashes_) {
    part_hashes_.emplace();
    if (!service_.empty()) part_hashes_ = hash_prompt_parts(prompt_prefix_, service_);
  }
  return *part_hashes_;
}

std::uint64_t QuarantineCheck::tenant() const {
  return stable_hash(parts_.tenant);
}

bool QuarantineCheck::visit_quarantines(
    TimePoint now, const std::function<bool(const AppliedQuarantine&)>& visit) {
  if (quarantine_.empty()) return false;
  if (quarantine_.contains(content(), now) && visit({.key = content()})) return true;
  const std::vector<PartHash>& hashes = part_hashes();
  for (std::size_t index = 0; index < hashes.size(); ++index) {
    for (const ContentHash key :
         {part_key(hashes[index]), tenant_part_key(hashes[index], tenant())}) {
      const AppliedQuarantine applied{key, QuarantineScope::kPromptPart, index};
      if (quarantine_.contains(key, now) && visit(applied)) return true;
    }
  }
  return false;
}

bool QuarantineCheck::is_quarantined() {
  return visit_quarantines(monotonic_now(), [](const AppliedQuarantine&) { return true; });
}

bool QuarantineCheck::is_backing_off() {
  if (source_ == RequestSource::kBatchItem || !quarantine_.has_exits()) return false;
  return quarantine_.backoff_left(content(), monotonic_now()) > Duration{0};
}

void QuarantineCheck::record_send() {
  if (quarantine_.has_exits()) quarantine_.record_send(content(), monotonic_now());
}

bool QuarantineCheck::requires_live_runner() {
  return quarantine_.has_unproven_exits() && quarantine_.requires_live_runner(content());
}

/// A request to which several quarantines apply tests all of them, so all must allow it.
bool QuarantineCheck::is_trial_due() {
  const TimePoint now = monotonic_now();
  const auto prevents_trial = [&](const AppliedQuarantine& applied) {
    return !quarantine_.is_trial_due(applied.key, now, applied.scope, trial_limit());
  };
  return is_quarantined() && !visit_quarantines(now, prevents_trial);
}

std::vector<QuarantineTrial> QuarantineCheck::trials() {
  std::vector<QuarantineTrial> trials;
  visit_quarantines(monotonic_now(), [&](const AppliedQuarantine& applied) {
    trials.push_back({applied.key, applied.scope, trial_limit()});
    return false;
  });
  return trials;
}

Duration QuarantineCheck::retry_after() {
  const TimePoint now = monotonic_now();
  Duration longest = is_backing_off() ? quarantine_.backoff_left(content(), now) : Duration{0};
  visit_quarantines(now, [&](const AppliedQuarantine& applied) {
    longest = std::max(longest, quarantine_.retry_after(applied.key, now, applied.scope));
    return false;
  });
  return longest;
}

std::string QuarantineCheck::quarantined_parts_text() {
  std::vector<std::size_t> indices;
  visit_quarantines(monotonic_now(), [&](const AppliedQuarantine& applied) {
    if (applied.scope == QuarantineScope::kPromptPart) indices.push_back(applied.part);
    return false;
  });
  const std::vector<std::string_view> ids = split_prompt_parts(prompt_prefix_);
  std::string prefix;
  for (const std::size_t index : indices) prefix += std::string(ids[index]) + ":,";
  return prompt_parts_text(prefix);
}

void QuarantineCheck::record_first_event() {
  if (!quarantine_.watches_parts()) return;
  quarantine_.record_served_parts(part_hashes(), tenant(), monotonic_now());
}

void QuarantineCheck::record_run(const FinishedRun& run) {
  const TimePoint now = monotonic_now();
  if (run.delivered_events) record_first_event();
  if (run.progressed) {
    if (quarantine_.watches_progress()) quarantine_.record_progress(content(), now);
    return;
  }
  if (!run.closed_by_runner || run.stage == RunStage::kDelivering) return;
  if (source_ == RequestSource::kBatchItem) return;
  const ClosedRun closed{.runner = run.runner,
                         .connected = run.connected,
                         .stage = run.stage,
                         .reached_live_runner = run.reached_live_runner};
  quarantine_.record_closed_run(content(), closed, now);
  if (!closed.is_unproven()) record_part_exit(closed, now);
}

void QuarantineCheck::record_part_exit(const ClosedRun& run, TimePoint now) {
  if (part_hashes().empty()) return;
  quarantine_.record_part_exit({.start = quarantine_.start_of(run),
                                .content = content(),
                                .tenant = tenant(),
                                .parts = part_hashes(),
                                .at = now});
}

}  // namespace stoathold
