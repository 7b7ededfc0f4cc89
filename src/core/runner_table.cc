#include "core/runner_table.h"

#include <algorithm>
#include <mutex>

#include "core/policy_switches.h"

namespace stoathold {

RunnerTable::RunnerTable(std::string region, std::string zone, std::uint64_t seed,
                         const Knobs& knobs)
    : region_(std::move(region)), zone_(std::move(zone)), knobs_(knobs), random_(seed) {}

void RunnerTable::on_machine_list(const std::vector<ListedRunner>& runners) {
  const std::scoped_lock lock(mutex_);
  std::vector<RunnerRow> rows;
  for (const auto& listed : runners) {
    const RunnerId id = runner_id_from_name(listed.name);
    RunnerRow row;
    if (const auto found = index_.find(id); found != index_.end()) {
      row = std::move(rows_[found->second]);
    }
    row.id = id;
    row.report.runner = id;
    row.listed = listed;
    rows.push_back(std::move(row));
  }
  rows_ = std::move(rows);
  rebuild_indexes();
}

void RunnerTable::rebuild_indexes() {
  index_.clear();
  services_.clear();
  zone_rows_.clear();
  ++version_;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    const auto& listed = rows_[i].listed;
    index_[rows_[i].id] = i;
    auto& service = services_[listed.service];
    if (listed.zone == zone_) {
      zone_rows_.push_back(i);
      service.zone.push_back(i);
    } else if (listed.region == region_) {
      service.region.push_back(i);
    } else {
      service.elsewhere.push_back(i);
    }
  }
}

void RunnerTable::on_load(const RunnerLoad& load, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  const auto found = index_.find(load.runner);
  if (found == index_.end()) return;
  auto& row = rows_[found->second];
  if (row.report.leaving != load.leaving) ++version_;
  row.report = load;
  row.reported = true;
  row.reported_at = now;
  row.streams_since_report = 0;
}

void RunnerTable::on_foreign_leaving(NodeId source, const std::vector<RunnerId>& runners,
                                     TimePoint now) {
  const std::scoped_lock lock(mutex_);
  leaving_reports_[source] = {runners, now};
  refresh_foreign_leaving(now);
}

void RunnerTable::refresh_foreign_leaving(TimePoint now) {
  std::erase_if(leaving_reports_, [&](const auto& item) {
    return now - item.second.received_at > knobs_.load_report_ttl;
  });
  foreign_leaving_.clear();
  for (const auto& [source, report] : leaving_reports_) {
    foreign_leaving_.insert(report.runners.begin(), report.runners.end());
  }
}

std::vector<RunnerId> RunnerTable::leaving_in_zone() const {
  const std::scoped_lock lock(mutex_);
  std::vector<RunnerId> leaving;
  for (const std::size_t index : zone_rows_) {
    if (rows_[index].report.leaving != 0) leaving.push_back(rows_[index].id);
  }
  std::sort(leaving.begin(), leaving.end());
  return leaving;
}

std::uint32_t RunnerTable::load_of(const RunnerRow& row, TimePoint now) const {
  const bool fresh = row.reported && now - row.reported_at < knobs_.load_report_ttl;
  if (!fresh) return row.own_streams;
  const std::uint32_t reported = row.report.online_streams + row.report.queued;
  return std::max(reported + row.streams_since_report, row.own_streams);
}

bool RunnerTable::is_leaving(const RunnerRow& row) const {
  return row.listed.leaving || row.report.leaving != 0 || foreign_leaving_.contains(row.id);
}

bool RunnerTable::is_eligible(RunnerRow& row, const PickQuery& query, TimePoint now) {
  if (is_leaving(row) && policy_switches().skip_leaving_runners) return false;
  const auto& excluded = query.excluded;
  if (std::find(excluded.begin(), excluded.end(), row.id) != excluded.end()) return false;
  if (row.health == RunnerHealth::kEjected) {
    if (now < row.ejected_until) return false;
    row.health = RunnerHealth::kProbation;
    ++version_;
  }
  return row.health == RunnerHealth::kHealthy || row.own_streams == 0;
}

std::optional<Pick> RunnerTable::pick_among(const std::vector<std::size_t>& rows,
                                            const PickQuery& query, PickReason remote_reason,
                                            bool& all_full, TimePoint now) {
  const RunnerRow* preferred = nullptr;
  std::uint64_t preferred_rank = 0;
  const RunnerRow* alternative = nullptr;
  std::uint64_t eligible_count = 0;
  for (const std::size_t index : rows) {
    auto& row = rows_[index];
    if (!is_eligible(row, query, now)) continue;
    if (load_of(row, now) >= query.slots) {
      all_full = true;
      continue;
    }
    const std::uint64_t rank = mix_hashes(query.prefix, value_of(row.id));
    if (preferred == nullptr || rank > preferred_rank) {
      preferred = &row;
      preferred_rank = rank;
    }
    ++eligible_count;
    if (random_.below(eligible_count) == 0) alternative = &row;
  }
  if (preferred == nullptr) return std::nullopt;
  const bool keep =
      load_of(*preferred, now) <= load_of(*alternative, now) + knobs_.max_affinity_load_difference;
  const RunnerRow& chosen = keep ? *preferred : *alternative;
  PickReason reason = keep ? PickReason::kAffinity : PickReason::kLessLoaded;
  if (remote_reason != PickReason::kNone) reason = remote_reason;
  return Pick{chosen.id, chosen.listed.address, reason, false};
}

Pick RunnerTable::pick(const PickQuery& query, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  Pick no_pick;
  const auto found = services_.find(query.service);
  if (found == services_.end()) return no_pick;
  const auto& service = found->second;
  bool all_full = false;
  if (auto pick = pick_among(service.zone, query, PickReason::kNone, all_full, now)) return *pick;
  for (const auto* rows : {&service.region, &service.elsewhere}) {
    if (auto pick = pick_among(*rows, query, PickReason::kOtherZone, all_full, now)) return *pick;
  }
  no_pick.all_full = all_full;
  return no_pick;
}

void RunnerTable::on_stream_started(RunnerId runner) {
  const std::scoped_lock lock(mutex_);
  const auto found = index_.find(runner);
  if (found == index_.end()) return;
  ++rows_[found->second].own_streams;
  ++rows_[found->second].streams_since_report;
}

void RunnerTable::on_stream_ended(RunnerId runner, StreamResult result, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  const auto found = index_.find(runner);
  if (found == index_.end()) return;
  auto& row = rows_[found->second];
  if (row.own_streams > 0) --row.own_streams;
  if (result == StreamResult::kNeutral) return;
  if (result == StreamResult::kSucceeded) {
    if (row.health != RunnerHealth::kHealthy) ++version_;
    row.failures = 0;
    row.eject_time = Duration{0};
    row.health = RunnerHealth::kHealthy;
    return;
  }
  ++row.failures;
  const bool failed_on_probation = row.health == RunnerHealth::kProbation;
  if (row.failures < knobs_.eject_after_failures && !failed_on_probation) return;
  const Duration doubled = std::max(row.eject_time * 2, knobs_.eject_time);
  row.eject_time = std::min(doubled, knobs_.max_eject_time);
  row.ejected_until = now + row.eject_time;
  row.health = RunnerHealth::kEjected;
  ++version_;
}

std::uint64_t RunnerTable::version() const {
  const std::scoped_lock lock(mutex_);
  return version_;
}

std::optional<RunnerView> RunnerTable::find(RunnerId runner) const {
  const std::scoped_lock lock(mutex_);
  const auto found = index_.find(runner);
  if (found == index_.end()) return std::nullopt;
  const auto& row = rows_[found->second];
  return RunnerView{row.id,
                    row.listed,
                    row.health,
                    is_leaving(row),
                    row.report.online_streams + row.report.queued,
                    row.own_streams};
}

std::vector<RunnerView> RunnerTable::list() const {
  std::vector<RunnerId> ids;
  {
    const std::scoped_lock lock(mutex_);
    for (const auto& row : rows_) ids.push_back(row.id);
  }
  std::vector<RunnerView> views;
  for (const RunnerId id : ids) {
    if (auto view = find(id)) views.push_back(std::move(*view));
  }
  return views;
}

std::vector<RunnerId> RunnerTable::zone_runners() const {
  const std::scoped_lock lock(mutex_);
  std::vector<RunnerId> runners;
  for (const std::size_t index : zone_rows_) runners.push_back(rows_[index].id);
  return runners;
}

std::pair<std::size_t, std::size_t> RunnerTable::table_size() const {
  const std::scoped_lock lock(mutex_);
  constexpr std::size_t kIndexBytes = 48;
  return {rows_.size(), rows_.size() * (sizeof(RunnerRow) + kIndexBytes)};
}

}  // namespace stoathold
