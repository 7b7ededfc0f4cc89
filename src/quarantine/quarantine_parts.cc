// Quarantine of prompt parts: evidence, the decision, and what nodes report to each other.
#include "base/event_log.h"
#include "base/ids.h"
#include "quarantine/quarantine.h"

namespace stoathold {

void Quarantine::record_part_exit(PromptPartExit exit) {
  exit.observed_locally = true;
  const TimePoint at = exit.at;
  const PromptPartExit copy = exit;
  if (!part_exits_.add(std::move(exit))) return;
  zone_part_reports_.add(copy);
  remote_part_reports_.add(copy);
  restore_recurred_parts(copy, at);
  evaluate_parts(at);
  if (report_listener_) report_listener_();
}

void Quarantine::record_served_parts(const std::vector<PartHash>& parts, std::uint64_t tenant,
                                     TimePoint now) {
  bool has_news = false;
  for (const PartHash part : parts) {
    std::set<ContentHash> keys = own_keys_of(part);
    keys.insert(part_key(part));
    keys.insert(tenant_part_key(part, tenant));
    for (const ContentHash key : keys) lift_served(key, now);
    if (!part_exits_.record_served(part, now)) continue;
    zone_part_reports_.add_served(part, now);
    remote_part_reports_.add_served(part, now);
    has_news = true;
  }
  if (!has_news) return;
  evaluate_parts(now);
  if (report_listener_) report_listener_();
}

void Quarantine::lift_served(ContentHash key, TimePoint now) {
  on_probation_.erase(key);
  if (contains(key, now) && progress_handler_) progress_handler_(key);
}

std::set<ContentHash> Quarantine::own_keys_of(PartHash part) const {
  std::set<ContentHash> keys;
  for (const auto& [key, request] : quarantined_) {
    if (request.part == part && observed_locally_.contains(key)) keys.insert(key);
  }
  return keys;
}

void Quarantine::apply_part_reports(const PromptPartReports& reports, TimePoint now) {
  for (const ServedPartReport& report : reports.served) {
    const PartHash part{report.part};
    part_exits_.record_reported_served(part, now - std::chrono::milliseconds(report.ms_ago));
    // The nodes that decided lift the quarantine; the others would only repeat it.
    for (const ContentHash key : own_keys_of(part)) lift_served(key, now);
  }
  for (const PromptPartExitReport& report : reports.exits) {
    PromptPartExit exit{.start = {report.runner, report.restarts},
                        .content = ContentHash{report.content},
                        .tenant = report.tenant,
                        .parts = {},
                        .at = now - std::chrono::milliseconds(report.ms_ago)};
    for (const std::uint64_t part : report.parts) exit.parts.push_back(PartHash{part});
    if (exit.parts.size() > kMaxPartsPerReport) exit.parts.resize(kMaxPartsPerReport);
    const PromptPartExit copy = exit;
    if (part_exits_.add(std::move(exit))) restore_recurred_parts(copy, now);
  }
  if (!reports.exits.empty()) evaluate_parts(now);
}

void Quarantine::restore_recurred_parts(const PromptPartExit& exit, TimePoint now) {
  for (const PartHash part : exit.parts) {
    for (const ContentHash key : {part_key(part), tenant_part_key(part, exit.tenant)}) {
      const auto earlier = on_probation_.find(key);
      if (earlier == on_probation_.end() || contains(key, now)) continue;
      start_quarantine(
          key,
          {.exits = earlier->second + 1, .observed_locally = exit.observed_locally, .part = part},
          now);
    }
  }
}

void Quarantine::evaluate_parts(TimePoint now) {
  if (part_exits_.empty()) return;
  for (const PoisonPart& found : part_exits_.find_poison_parts(now)) {
    const bool one_tenant = found.tenants.size() == 1;
    const ContentHash key =
        one_tenant ? tenant_part_key(found.part, *found.tenants.begin()) : part_key(found.part);
    if (contains(key, now)) continue;
    start_quarantine(key,
                     {.exits = found.exits,
                      .observed_locally = found.observed_locally,
                      .part = found.part,
                      .trials = one_tenant ? 0 : tenant_trials(found)},
                     now);
  }
}

std::uint32_t Quarantine::tenant_trials(const PoisonPart& part) const {
  std::uint32_t trials = 0;
  for (const std::uint64_t tenant : part.tenants) {
    const auto found = quarantined_.find(tenant_part_key(part.part, tenant));
    if (found != quarantined_.end()) trials += found->second.trials;
  }
  return trials;
}

}  // namespace stoathold
