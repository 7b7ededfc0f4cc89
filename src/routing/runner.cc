#include "routing/runner.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/log_fields.h"

namespace stoathold {
namespace {

/// Consecutive failures after which a runner is ejected.
constexpr std::uint32_t kFailuresToEject = 2;
/// Duration of the first ejection; it doubles with each further failure.
constexpr Duration kInitialEjection = std::chrono::milliseconds(500);
constexpr Duration kMaxEjection = std::chrono::seconds(4);
constexpr std::uint32_t kMaxEjectionDoublings = 4;
/// Pause after a runner rejected work as full.
constexpr Duration kFullRejectionPause = std::chrono::milliseconds(50);
/// Age up to which a load report has full weight. The weight then falls to zero at
/// `kReportMaxAge`.
constexpr Duration kReportFullWeightAge = std::chrono::milliseconds(500);
/// Age up to which a report is evidence of free slots at a runner that other zones also use.
constexpr Duration kReportTrustedAge = std::chrono::milliseconds(1000);
constexpr Duration kReportMaxAge = std::chrono::milliseconds(2500);
/// Age up to which a load reported by the runner's own zone counts. Reports arrive four times a
/// second.
constexpr Duration kZoneLoadMaxAge = std::chrono::milliseconds(700);

/// Returns the milliseconds since `time`, for logs; `never` if it is zero.
std::string age_text(TimePoint time, TimePoint now) {
  if (time == TimePoint{}) return "never";
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
  return std::to_string(age.count());
}

}  // namespace

Runner::Runner(RunnerRecord record)
    : record_(std::move(record)),
      hash_(record_.identity().hash()),
      affinity_hash_(stable_hash(record_.id)),
      software_version_(stoathold::software_version(record_.software_version)) {}

void Runner::set_record(RunnerRecord record) {
  record_ = std::move(record);
  software_version_ = stoathold::software_version(record_.software_version);
}

void Runner::mark_unlisted() {
  listed_ = false;
  if (active_ != nullptr) active_->remove(*this);
  active_ = nullptr;
}

void Runner::relist(RunnerRecord record) {
  set_record(std::move(record));
  listed_ = true;
  leaving_ = false;
  set_peer_use(0, 0);
}

void Runner::join_index(ActiveRunners& index) {
  active_ = &index;
  if (in_flight_ > 0 || lent_ > 0) mark_reportable();
}

void Runner::mark_reportable() {
  if (active_ != nullptr) active_->add(*this);
}

bool Runner::is_reportable(TimePoint now) const {
  if (in_flight_ > 0 || lent_ > 0 || speed_.samples() > 0 || speed_.has_unshared_report()) {
    return true;
  }
  return own_ejection(now).has_value() || own_response_counts(now).has_value();
}

void Runner::set_lent(std::uint32_t slots) {
  lent_ = slots;
  if (slots > 0) mark_reportable();
}

std::uint32_t Runner::slots() const {
  return std::max<std::uint32_t>(1, record_.slots);
}

void Runner::begin_attempt(std::uint32_t tokens, WorkClass work) {
  ++in_flight_;
  mark_reportable();
  if (work == WorkClass::kBatch) ++batch_in_flight_;
  backlog_tokens_ += tokens;
}

void Runner::record_prompt_processed(std::uint32_t tokens) {
  backlog_tokens_ -= std::min(backlog_tokens_, tokens);
}

void Runner::end_attempt(AttemptOutcome outcome, TimePoint now, std::uint32_t unprocessed,
                         WorkClass work) {
  record_prompt_processed(unprocessed);
  --in_flight_;
  if (work == WorkClass::kBatch) --batch_in_flight_;
  switch (outcome) {
    case AttemptOutcome::kServed:
      if (ejected_until_ != TimePoint{} && failures_ > 0) {
        log_event(Event::kRunnerRecovered,
                  {{"runner", record_.id}, {"failures", std::to_string(failures_)}});
      }
      failures_ = 0;
      ejected_until_ = {};
      failed_at_ = {};
      last_served_ = now;
      errors_.count(false, now);
      break;
    case AttemptOutcome::kError:
      record_error(now);
      break;
    case AttemptOutcome::kNotRun:
      record_full_rejection(now);
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnreachable: {
      // Failures seen by other nodes count: otherwise each node would begin with the shortest
      // ejection.
      failures_ =
          std::max(failures_, peer_ejections_.failures(last_receive_time_, last_served_)) + 1;
      if (failures_ < kFailuresToEject && outcome == AttemptOutcome::kFailed) break;
      eject(now, false);
      break;
    }
    case AttemptOutcome::kAbandoned:
      break;
  }
}

/// A runner that has free slots is full only for requests of that size. Without free slots, or if
/// that is unknown, it is full for all.
void Runner::record_full_rejection(TimePoint now) {
  const bool reported = report_time_ != TimePoint{} && now - report_time_ < kReportFullWeightAge;
  if (!reported || report_.running + report_.waiting >= report_.slots) {
    ejected_until_ = std::max(ejected_until_, now + kFullRejectionPause);
    return;
  }
  memory_.record_rejection(now);
  log_event(Event::kRunnerMemoryFull, {{"runner", record_.id},
                                       {"held_tokens", std::to_string(memory_.held_tokens())},
                                       {"running", std::to_string(report_.running)},
                                       {"slots", std::to_string(report_.slots)}});
}

/// Ejects the runner if its error rate is high, and again at each further error until it has served
/// a request.
void Runner::record_error(TimePoint now) {
  errors_.count(true, now);
  if (!has_high_error_rate(now)) return;
  failures_ = std::max(failures_, peer_ejections_.failures(last_receive_time_, last_served_)) + 1;
  eject(now, true);
}

void Runner::eject(TimePoint now, bool by_errors) {
  failed_by_errors_ = by_errors;
  const std::uint32_t doublings = std::min<std::uint32_t>(failures_ - 1, kMaxEjectionDoublings);
  const Duration pause = std::min(kInitialEjection * (1U << doublings), kMaxEjection);
  ejected_until_ = now + pause;
  failed_at_ = now;
  log_event(Event::kRunnerEjected, {{"runner", record_.id},
                                    {"address", record_.address},
                                    {"failures", std::to_string(failures_)},
                                    {"by_errors", by_errors ? "yes" : "no"},
                                    {"pause_ms", milliseconds_text(pause)}});
}

bool Runner::own_failure_is_current() const {
  return failed_at_ > (failed_by_errors_ ? last_served_ : last_receive_time_);
}

bool Runner::ejected(TimePoint now) const {
  if (now < ejected_until_) return true;
  const bool own_failure = own_failure_is_current();
  const TimePoint peers_until =
      peer_ejections_.ejected_until(last_receive_time_, last_served_, own_failure);
  if (now < peers_until || errors_.has_high_error_rate(now)) return true;
  const bool on_trial = own_failure || peers_until != TimePoint{};
  return on_trial && in_flight_ + peer_in_flight_ > 0;
}

void Runner::apply_peer_ejection(const PeerEjection& ejection, TimePoint now) {
  const bool before = ejected(now);
  peer_ejections_.add_report(ejection, now);
  if (before || !ejected(now)) return;
  log_event(Event::kRunnerEjectedByPeers, {{"runner", record_.id},
                                           {"address", record_.address},
                                           {"failures", std::to_string(ejection.failures)},
                                           {"reported_age_ms", age_text(ejection.failed_at, now)}});
}

std::optional<PeerEjection> Runner::own_ejection(TimePoint now) const {
  if (now >= ejected_until_ || !own_failure_is_current()) return std::nullopt;
  return PeerEjection{.failed_at = failed_at_,
                      .until = ejected_until_,
                      .failures = failures_,
                      .by_errors = failed_by_errors_};
}

void Runner::apply_load_report(const LoadReport& report, TimePoint now) {
  report_ = report;
  report_time_ = now;
  known_in_flight_at_report_ = in_flight_ + peer_in_flight_ + lent_;
}

void Runner::apply_zone_load(double load, TimePoint now) {
  zone_load_ = load;
  zone_load_time_ = now;
  own_in_flight_at_zone_load_ = in_flight_;
}

bool Runner::zone_load_known(TimePoint now) const {
  return zone_load_time_ != TimePoint{} && now - zone_load_time_ < kZoneLoadMaxAge;
}

bool Runner::load_known(TimePoint now) const {
  if (zone_load_known(now)) return true;
  const bool ever_reported = report_time_ != TimePoint{};
  const bool ever_answered = last_receive_time_ != TimePoint{};
  if (!ever_reported) return ever_answered;
  return now - report_time_ < kReportTrustedAge;
}

std::string Runner::load_age_text(TimePoint now) const {
  return age_text(report_time_, now);
}

std::uint32_t Runner::reserved(TimePoint now) const {
  return static_cast<std::uint32_t>(std::count_if(reserved_until_.begin(), reserved_until_.end(),
                                                  [now](TimePoint until) { return until > now; }));
}

void Runner::reserve_for_others(TimePoint until, TimePoint now) {
  std::erase_if(reserved_until_, [now](TimePoint end) { return end <= now; });
  reserved_until_.push_back(until);
}

std::uint32_t Runner::borrowed(TimePoint now) const {
  return now < borrowed_until_ ? borrowed_ : 0;
}

std::uint32_t Runner::unused_borrowed(TimePoint now) const {
  if (borrowed_reclaimed_) return 0;
  const std::uint32_t slots = borrowed(now);
  return slots - std::min(slots, online_in_flight());
}

std::uint32_t Runner::in_flight_beyond_loan(TimePoint now) const {
  return in_flight_ - std::min(online_in_flight(), borrowed(now));
}

double Runner::load(TimePoint now) const {
  const double known = in_flight_ + peer_in_flight_ + lent_ + reserved(now);
  double expected = known;
  const Duration age = now - report_time_;
  if (age < kReportMaxAge && report_time_ != TimePoint{}) {
    const double fading = to_seconds(kReportMaxAge - kReportFullWeightAge);
    const double freshness = std::min(1.0, to_seconds(kReportMaxAge - age) / fading);
    const double reported = report_.running + report_.waiting;
    const double others = std::max(0.0, reported - known_in_flight_at_report_);
    expected = known + others * freshness;
  }
  const double load = expected / slots();
  if (!zone_load_known(now)) return load;
  const double begun_since =
      in_flight_ > own_in_flight_at_zone_load_ ? in_flight_ - own_in_flight_at_zone_load_ : 0;
  return std::max(load, zone_load_ + begun_since / slots());
}

}  // namespace stoathold
