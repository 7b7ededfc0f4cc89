#include "quarantine/quarantine_check.h"

namespace stoathold {

ContentHash QuarantineCheck::content() {
  if (!content_) content_ = content_hash(parts_);
  return *content_;
}

bool QuarantineCheck::is_quarantined() {
  return !quarantine_.empty() && quarantine_.contains(content(), monotonic_now());
}

bool QuarantineCheck::requires_live_runner() {
  return quarantine_.has_unproven_exits() && quarantine_.requires_live_runner(content());
}

bool QuarantineCheck::is_trial_due() {
  return !quarantine_.empty() && quarantine_.is_trial_due(content(), monotonic_now());
}

Duration QuarantineCheck::retry_after() {
  return quarantine_.retry_after(content(), monotonic_now());
}

void QuarantineCheck::record_run(const FinishedRun& run) {
  const TimePoint now = monotonic_now();
  if (run.progressed) {
    if (quarantine_.watches_progress()) quarantine_.record_progress(content(), now);
    return;
  }
  if (!run.closed_by_runner || run.stage == RunStage::kDelivering) return;
  const ClosedRun closed{.runner = run.runner,
                         .connected = run.connected,
                         .stage = run.stage,
                         .reached_live_runner = run.reached_live_runner};
  quarantine_.record_closed_run(content(), closed, now);
}

}  // namespace stoathold
