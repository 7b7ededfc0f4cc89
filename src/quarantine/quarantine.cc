#include "quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/saturated.h"

namespace stoathold {
namespace {

/// How often a report is sent to other zones: to another node there each time, as messages get
/// lost.
constexpr int kRemoteSends = 3;
/// How often it is sent inside the zone.
constexpr int kZoneSends = 2;
/// Reports that wait to be sent, at most; more are left out, the newest first.
constexpr std::size_t kMaxPendingReports = 256;
/// Most entries of one message: it stays below the size of a datagram.
constexpr std::size_t kMaxReportsInMessage = 60;
/// Requests of which it is remembered that this node saw an end.
constexpr std::size_t kMaxSeenHere = 4096;
/// Ends with a request from which on other zones hear of those whose runs had not begun.
constexpr std::size_t kEndsReportedToZones = 2;

}  // namespace

bool Quarantine::holds(ContentHash content, TimePoint now) const {
  const auto found = quarantined_.find(content);
  return found != quarantined_.end() && now < found->second.until;
}

Duration Quarantine::time_left(ContentHash content, TimePoint now) const {
  const auto found = quarantined_.find(content);
  return found == quarantined_.end() ? Duration{0}
                                     : std::max(Duration{0}, found->second.until - now);
}

void Quarantine::note_end(const RunnerEnd& end) {
  if (!ends_.add(end)) return;
  if (seen_here_.size() >= kMaxSeenHere) seen_here_.clear();
  seen_here_.insert(end.content);
  const bool begun = end.stage == RunStage::kBegun;
  log_event(Event::kRunnerEndedWithRequest,
            {{"content", to_hex(value_of(end.content))},
             {"runner_hash", to_hex(end.runner)},
             {"stage", std::string(to_string(end.stage))},
             {"ends", std::to_string(ends_.ends_of(end.content))},
             {"weight", std::to_string(ends_.weight_against(end.content))}});
  add_report({.content = value_of(end.content), .runner = end.runner, .begun = begun}, end.at);
  judge(end.content, end.at);
}

void Quarantine::note_progress(ContentHash content, TimePoint now) {
  const std::size_t ends = ends_.ends_of(content);
  if (ends == 0) return;
  ends_.clear(content, now);
  on_probation_.erase(content);
  // A single end puts no request in quarantine anywhere.
  if (ends >= kEndsReportedToZones) add_report({.content = value_of(content)}, now);
}

void Quarantine::add_report(const EndReport& report, TimePoint at) {
  if (zone_reports_.size() < kMaxPendingReports) zone_reports_.push_back({report, at, kZoneSends});
  const bool for_zones = report.runner == 0 || report.begun ||
                         ends_.ends_of(ContentHash{report.content}) >= kEndsReportedToZones;
  if (for_zones && remote_reports_.size() < kMaxPendingReports) {
    remote_reports_.push_back({report, at, kRemoteSends});
  }
  if (report_listener_) report_listener_();
}

std::vector<EndReport> Quarantine::take_zone_reports(TimePoint now) {
  return take_some(zone_reports_, now);
}

std::vector<EndReport> Quarantine::take_remote_reports(TimePoint now) {
  return take_some(remote_reports_, now);
}

std::vector<EndReport> Quarantine::take_some(std::vector<PendingReport>& pending, TimePoint now) {
  std::vector<EndReport> reports;
  for (auto& entry : pending) {
    if (reports.size() >= kMaxReportsInMessage) break;
    entry.report.ms_ago = saturated_milliseconds(now - entry.at);
    reports.push_back(entry.report);
    --entry.repeats_left;
  }
  std::erase_if(pending, [](const PendingReport& entry) { return entry.repeats_left == 0; });
  return reports;
}

void Quarantine::take_reports(const std::vector<EndReport>& reports, TimePoint now) {
  for (const auto& report : reports) {
    const ContentHash content{report.content};
    const TimePoint at = now - std::chrono::milliseconds(report.ms_ago);
    if (report.runner == 0) {
      ends_.clear(content, at);
      continue;
    }
    const RunStage stage = report.begun ? RunStage::kBegun : RunStage::kWaiting;
    if (ends_.add({content, report.runner, stage, at})) {
      judge(content, now);
    }
  }
}

void Quarantine::judge(ContentHash content, TimePoint now) {
  if (holds(content, now)) return;
  const bool again = on_probation_.contains(content) && ends_.weight_against(content) > 0;
  if (!again && !ends_.over_limit(content)) return;
  const bool seen_here = seen_here_.contains(content);
  quarantined_[content] = {.until = now + kQuarantineTime};
  const std::size_t ends = ends_.ends_of(content);
  log_event(Event::kRequestQuarantined, {{"content", to_hex(value_of(content))},
                                         {"ends", std::to_string(ends)},
                                         {"weight", std::to_string(ends_.weight_against(content))},
                                         {"source", seen_here ? "own" : "other_nodes"}});
  // The nodes that saw the ends write it; they are few, and those who only heard of them are many.
  if (seen_here && quarantined_handler_) quarantined_handler_(content, ends);
  if (change_listener_) change_listener_();
}

void Quarantine::take_record(ContentHash content, const QuarantineRecord& record, TimePoint now,
                             std::int64_t time_of_day_ms) {
  const std::int64_t age_ms = std::max<std::int64_t>(0, time_of_day_ms - record.since_ms);
  const TimePoint until = now + kQuarantineTime - std::chrono::milliseconds(age_ms);
  if (until <= now) return;
  const bool known = holds(content, now);
  QuarantinedRequest& request = quarantined_[content];
  request.recorded = true;
  if (known) return;
  request.until = until;
  log_event(Event::kRequestQuarantined, {{"content", to_hex(value_of(content))},
                                         {"ends", std::to_string(record.ends)},
                                         {"source", "log"}});
  if (change_listener_) change_listener_();
}

void Quarantine::lift(ContentHash content) {
  if (quarantined_.erase(content) == 0) return;
  ends_.forget(content);
  on_probation_.erase(content);
  log_event(Event::kQuarantineEnded,
            {{"content", to_hex(value_of(content))}, {"reason", "lifted"}});
}

void Quarantine::keep_only(const std::set<ContentHash>& contents) {
  std::vector<ContentHash> gone;
  for (const auto& [content, request] : quarantined_) {
    if (request.recorded && !contents.contains(content)) gone.push_back(content);
  }
  for (const ContentHash content : gone) lift(content);
}

std::vector<ContentHash> Quarantine::expire(TimePoint now) {
  ends_.expire(now);
  std::vector<ContentHash> gone;
  for (const auto& [content, request] : quarantined_) {
    if (now >= request.until) gone.push_back(content);
  }
  for (const ContentHash content : gone) {
    quarantined_.erase(content);
    ends_.forget(content);
    on_probation_.insert(content);
    log_event(Event::kQuarantineEnded,
              {{"content", to_hex(value_of(content))}, {"reason", "time"}});
  }
  return gone;
}

}  // namespace stoathold
