// Trials of quarantined requests: when one is due, and what operators see of a quarantine.
#include <algorithm>

#include "base/event_log.h"
#include "base/ids.h"
#include "quarantine/quarantine.h"

namespace stoathold {
namespace {

/// A trial that is due is claimed by one caller only; the others wait for its result.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

}  // namespace

std::uint32_t Quarantine::possible_exits(ContentHash content,
                                         const QuarantinedRequest& request) const {
  const auto known = static_cast<std::uint32_t>(exit_table_.exit_count(content));
  return std::max(known, request.exits + request.trials);
}

/// The parts of prompts are bounded by trials alone: many different requests may have been under
/// way when a part was quarantined.
bool Quarantine::has_trial_left(ContentHash content, const QuarantinedRequest& request,
                                QuarantineScope scope) const {
  if (!request.recorded) return false;
  if (scope == QuarantineScope::kPromptPart) return request.trials < kMaxPartTrials;
  return possible_exits(content, request) < kMaxRunnerExits;
}

TimePoint Quarantine::next_trial(const QuarantinedRequest& request, TrialLimit limit) {
  const Duration delay = kFirstTrialDelay * (1U << std::min(request.trials, kMaxRunnerExits));
  const bool is_unlimited = limit == TrialLimit::kNone;
  return request.trials_changed + (is_unlimited ? std::min(delay, kMaxUnlimitedTrialDelay) : delay);
}

bool Quarantine::is_trial_due(ContentHash content, TimePoint now, QuarantineScope scope,
                              TrialLimit limit) const {
  if (!contains(content, now)) return false;
  const QuarantinedRequest& request = quarantined_.at(content);
  const bool is_allowed =
      limit == TrialLimit::kNone ? request.recorded : has_trial_left(content, request, scope);
  return is_allowed && now >= next_trial(request, limit);
}

Duration Quarantine::retry_after(ContentHash content, TimePoint now, QuarantineScope scope) const {
  const Duration left = time_left(content, now);
  const auto found = quarantined_.find(content);
  if (found == quarantined_.end() || !has_trial_left(content, found->second, scope)) return left;
  const TimePoint due = next_trial(found->second, TrialLimit::kBounded);
  return std::min(left, std::max(kMinRetryAfter, due - now));
}

bool Quarantine::needs_record(ContentHash content, TimePoint now) const {
  if (!contains(content, now)) return false;
  const QuarantinedRequest& request = quarantined_.at(content);
  return !request.recorded || request.exits > request.recorded_exits;
}

QuarantineRecord Quarantine::make_record(ContentHash content, TimePoint now,
                                         std::int64_t time_of_day_ms) const {
  const QuarantinedRequest& request = quarantined_.at(content);
  const Duration age = now + kQuarantineTime - request.until;
  const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return {.since_ms = time_of_day_ms - age_ms, .exits = request.exits, .trials = request.trials};
}

QuarantineRecord Quarantine::make_trial_record(ContentHash content, TimePoint now,
                                               std::int64_t time_of_day_ms) const {
  const QuarantinedRequest& request = quarantined_.at(content);
  QuarantineRecord record = make_record(content, now, time_of_day_ms);
  record.exits = possible_exits(content, request) - request.trials;
  ++record.trials;
  return record;
}

std::vector<QuarantineStatus> Quarantine::status(TimePoint now) const {
  std::vector<QuarantineStatus> all;
  for (const auto& [content, request] : quarantined_) {
    const auto known = static_cast<std::uint32_t>(exit_table_.exit_count(content));
    all.push_back(
        {.content = content,
         .age = now + kQuarantineTime - request.until,
         .exits = std::max(known, request.exits),
         .trials = request.trials,
         .recorded = request.recorded,
         .next_trial_in = std::max(Duration{0}, next_trial(request, TrialLimit::kBounded) - now),
         .has_trial_left = has_trial_left(content, request, QuarantineScope::kRequest)});
  }
  return all;
}

void Quarantine::apply_record(ContentHash content, const QuarantineRecord& record, TimePoint now,
                              std::int64_t time_of_day_ms) {
  const std::int64_t age_ms = std::max<std::int64_t>(0, time_of_day_ms - record.since_ms);
  const TimePoint until = now + kQuarantineTime - std::chrono::milliseconds(age_ms);
  if (until <= now) return;
  const bool known = contains(content, now);
  QuarantinedRequest& request = quarantined_[content];
  const bool is_first_record = !request.recorded;
  request.recorded = true;
  request.recorded_exits = record.exits;
  request.exits = std::max(request.exits, record.exits);
  if (is_first_record || record.trials > request.trials) {
    request.trials = std::max(request.trials, record.trials);
    request.trials_changed = now;
  }
  if (known) return;
  request.until = until;
  log_event(Event::kRequestQuarantined, {{"content", to_hex(value_of(content))},
                                         {"ends", std::to_string(record.exits)},
                                         {"source", "log"}});
  if (change_listener_) change_listener_();
}

}  // namespace stoathold
