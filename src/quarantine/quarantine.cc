#include "quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/saturating_cast.h"

namespace stoathold {
namespace {

/// Number of times a report is sent to other zones, each time to another node, because messages may
/// be lost.
constexpr int kRemoteSends = 3;
/// Number of times a report is sent within the zone.
constexpr int kZoneSends = 2;
/// Maximum number of reports in a message, which must fit into a datagram.
constexpr std::size_t kMaxReportsInMessage = 50;
/// Maximum number of requests with exits observed by this node.
constexpr std::size_t kMaxObservedLocally = 4096;
/// Exits of runs without a response are reported to other zones only from this number of exits of
/// the request on.
constexpr std::size_t kMinExitsForRemoteReport = 2;

}  // namespace

Quarantine::Quarantine(RunnerStarts::LifeSource life_source)
    : exit_table_(std::move(life_source)),
      part_exits_([this](const RunnerStart& start, TimePoint at) {
        return exit_table_.is_refuted(start, at);
      }),
      zone_reports_(kZoneSends, kMaxReportsInMessage),
      remote_reports_(kRemoteSends, kMaxReportsInMessage),
      zone_part_reports_(kZoneSends),
      remote_part_reports_(kRemoteSends),
      zone_notices_(kZoneSends, kMaxNoticesInMessage),
      remote_notices_(kRemoteSends, kMaxNoticesInMessage) {}

bool Quarantine::contains(ContentHash content, TimePoint now) const {
  const auto found = quarantined_.find(content);
  return found != quarantined_.end() && now < found->second.until;
}

Duration Quarantine::time_left(ContentHash content, TimePoint now) const {
  const auto found = quarantined_.find(content);
  return found == quarantined_.end() ? Duration{0}
                                     : std::max(Duration{0}, found->second.until - now);
}

void Quarantine::record_runner_exit(const RunnerExit& exit) {
  if (!exit_table_.add(exit)) return;
  if (observed_locally_.size() >= kMaxObservedLocally) observed_locally_.clear();
  observed_locally_.insert(exit.content);
  const bool begun = exit.stage == RunStage::kResponseStarted;
  log_event(Event::kRunnerEndedWithRequest,
            {{"content", to_hex(value_of(exit.content))},
             {"runner_hash", to_hex(exit.runner)},
             {"restarts", std::to_string(exit.restarts)},
             {"stage", std::string(to_string(exit.stage))},
             {"ends", std::to_string(exit_table_.exit_count(exit.content))},
             {"weight", std::to_string(exit_table_.attributed_weight(exit.content))}});
  add_report({.content = value_of(exit.content),
              .runner = exit.runner,
              .begun = begun,
              .restarts = exit.restarts},
             exit.at);
  evaluate(exit.content, exit.at);
}

void Quarantine::record_closed_run(ContentHash content, const ClosedRun& run, TimePoint now) {
  if (run.is_unproven()) {
    record_unproven_exit(content, run.runner, now);
    return;
  }
  const RunnerStart start = exit_table_.start_of(run);
  record_runner_exit({content, start.runner, run.stage, now, start.restarts});
}

void Quarantine::record_unproven_exit(ContentHash content, std::uint64_t runner, TimePoint now) {
  if (!unproven_exits_.add(content, now)) return;
  log_event(Event::kRunnerEndUnproven,
            {{"content", to_hex(value_of(content))}, {"runner_hash", to_hex(runner)}});
  const RunnerExitReport report{.content = value_of(content), .runner = runner, .proven = false};
  zone_reports_.add(report, now);
  remote_reports_.add(report, now);
  if (report_listener_) report_listener_();
}

void Quarantine::record_progress(ContentHash content, TimePoint now) {
  unproven_exits_.clear(content);
  if (contains(content, now) && progress_handler_) progress_handler_(content);
  const std::size_t exits = exit_table_.exit_count(content);
  if (exits == 0) return;
  exit_table_.clear(content, now);
  on_probation_.erase(content);
  // A single exit never leads to a quarantine.
  if (exits >= kMinExitsForRemoteReport) add_report({.content = value_of(content)}, now);
}

void Quarantine::add_report(const RunnerExitReport& report, TimePoint at) {
  zone_reports_.add(report, at);
  const bool for_other_zones =
      report.runner == 0 || report.begun ||
      exit_table_.exit_count(ContentHash{report.content}) >= kMinExitsForRemoteReport;
  if (for_other_zones) remote_reports_.add(report, at);
  if (report_listener_) report_listener_();
}

std::vector<RunnerExitReport> Quarantine::next_zone_reports(TimePoint now) {
  return next_reports(zone_reports_, now);
}

std::vector<RunnerExitReport> Quarantine::next_remote_reports(TimePoint now) {
  return next_reports(remote_reports_, now);
}

std::vector<RunnerExitReport> Quarantine::next_reports(PendingReports& pending, TimePoint now) {
  std::vector<RunnerExitReport> reports;
  for (auto& entry : pending.next()) {
    entry.message.ms_ago = saturating_milliseconds(now - entry.at);
    reports.push_back(entry.message);
  }
  return reports;
}

void Quarantine::apply_reports(const std::vector<RunnerExitReport>& reports, TimePoint now) {
  for (const auto& report : reports) {
    const ContentHash content{report.content};
    const TimePoint at = now - std::chrono::milliseconds(report.ms_ago);
    if (report.runner == 0) {
      exit_table_.clear(content, at);
      continue;
    }
    if (!report.proven) {
      unproven_exits_.add(content, at);
      continue;
    }
    const RunStage stage = report.begun ? RunStage::kResponseStarted : RunStage::kWaiting;
    if (exit_table_.add({content, report.runner, stage, at, report.restarts})) {
      evaluate(content, now);
    }
  }
}

/// Exits that were under way when the request was quarantined leave fewer trials, also after a
/// restart of all nodes.
void Quarantine::update_exits(ContentHash content) {
  QuarantinedRequest& request = quarantined_.at(content);
  const auto known = static_cast<std::uint32_t>(exit_table_.exit_count(content));
  const std::uint32_t beside_trials = known - std::min(known, request.trials);
  if (beside_trials <= request.exits) return;
  request.exits = beside_trials;
  const bool observed_locally = observed_locally_.contains(content);
  if (observed_locally && quarantined_handler_) quarantined_handler_(content, beside_trials);
}

void Quarantine::evaluate(ContentHash content, TimePoint now) {
  if (contains(content, now)) {
    update_exits(content);
    return;
  }
  const bool recurred =
      on_probation_.contains(content) && exit_table_.attributed_weight(content) > 0;
  if (!recurred && !exit_table_.over_limit(content)) return;
  const bool observed_locally = observed_locally_.contains(content);
  const auto earlier = on_probation_.find(content);
  const std::size_t exits =
      exit_table_.exit_count(content) + (earlier == on_probation_.end() ? 0 : earlier->second);
  start_quarantine(content,
                   {.exits = exits,
                    .weight = exit_table_.attributed_weight(content),
                    .observed_locally = observed_locally},
                   now);
}

void Quarantine::start_quarantine(ContentHash key, const Grounds& grounds, TimePoint now) {
  quarantined_[key] = {.until = now + kQuarantineTime,
                       .trials = grounds.trials,
                       .exits = static_cast<std::uint32_t>(grounds.exits),
                       .lifted_position = lifts_.position(key),
                       .part = grounds.part};
  const bool is_part = grounds.part != PartHash{};
  log_event(Event::kRequestQuarantined,
            {{"content", to_hex(value_of(key))},
             {"scope", is_part ? "prompt_part" : "request"},
             {"ends", std::to_string(grounds.exits)},
             {"weight", std::to_string(grounds.weight)},
             {"source", grounds.observed_locally ? "own" : "other_nodes"}});
  // The record is written by the few nodes that observed exits, not by the many that only received
  // reports.
  if (grounds.observed_locally) {
    observed_locally_.insert(key);
    zone_notices_.add(key, now);
    remote_notices_.add(key, now);
    if (quarantined_handler_) quarantined_handler_(key, grounds.exits);
    if (report_listener_) report_listener_();
  }
  if (change_listener_) change_listener_();
}

void Quarantine::lift(ContentHash content, const Lift& lift) {
  const auto found = quarantined_.find(content);
  if (found == quarantined_.end()) return;
  const bool expiring = found->second.until <= lift.at + kExpiryTolerance;
  if (lift.position > 0 && !expiring) lifts_.add(content, lift);
  end_quarantine(content, lift);
}

void Quarantine::end_quarantine(ContentHash content, const Lift& lift) {
  exit_table_.forget_until(content, lift.at);
  part_exits_.forget(content, lift.at);
  on_probation_.erase(content);
  if (quarantined_.erase(content) == 0) return;
  log_event(Event::kQuarantineEnded, {{"content", to_hex(value_of(content))},
                                      {"reason", "lifted"},
                                      {"position", std::to_string(lift.position)}});
}

void Quarantine::retain_only(const std::set<ContentHash>& contents, const Lift& lift) {
  std::vector<ContentHash> removed;
  for (const auto& [content, request] : quarantined_) {
    if (request.recorded && !contents.contains(content)) removed.push_back(content);
  }
  for (const ContentHash content : removed) this->lift(content, lift);
}

std::vector<ContentHash> Quarantine::expire(TimePoint now) {
  exit_table_.expire(now);
  part_exits_.expire(now);
  unproven_exits_.expire(now);
  lifts_.expire(now, kQuarantineTime);
  std::vector<ContentHash> removed;
  for (const auto& [content, request] : quarantined_) {
    if (now >= request.until) removed.push_back(content);
  }
  for (const ContentHash content : removed) {
    on_probation_[content] = possible_exits(content, quarantined_.at(content));
    quarantined_.erase(content);
    exit_table_.forget(content);
    log_event(Event::kQuarantineEnded,
              {{"content", to_hex(value_of(content))}, {"reason", "time"}});
  }
  return removed;
}

}  // namespace stoathold
