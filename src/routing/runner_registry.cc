#include "routing/runner_registry.h"

#include <algorithm>
#include <utility>

namespace stoathold {
namespace {

/// How long an incarnation is kept after its directory entry is gone and its requests have ended.
/// Its health state has expired by then: the longest ejection is 4 s.
constexpr Duration kRetiredLifetime = std::chrono::seconds(10);

/// How long a software version is remembered after its last runner was removed.
constexpr Duration kVersionHistoryLength = std::chrono::hours(1);

const RunnerList::Runners kNoRunners;

const RunnerList::Runners& runners_of(const std::map<std::string, RunnerList>& zones,
                                      const std::string& zone) {
  const auto found = zones.find(zone);
  return found == zones.end() ? kNoRunners : found->second.runners();
}

}  // namespace

void RunnerRegistry::upsert(RunnerRecord record) {
  const auto found = runners_.find(record.id);
  if (found == runners_.end()) {
    add(std::move(record));
    return;
  }
  const std::shared_ptr<Runner> runner = found->second;
  if (runner->record().identity() != record.identity()) {
    unlist(runner);
    add(std::move(record));
    return;
  }
  const RunnerRecord& before = runner->record();
  const bool same_indexes = before.service == record.service && before.zone == record.zone &&
                            before.software_version == record.software_version;
  if (!same_indexes) remove_from_indexes(*runner);
  runner->set_record(std::move(record));
  if (!same_indexes) add_to_indexes(runner);
}

void RunnerRegistry::add(RunnerRecord record) {
  std::shared_ptr<Runner> runner = take_retired(record.identity());
  if (runner) {
    runner->relist(std::move(record));
  } else {
    runner = std::make_shared<Runner>(std::move(record));
  }
  runner->join_index(active_);
  runners_.emplace(runner->record().id, runner);
  add_to_indexes(runner);
}

void RunnerRegistry::add_to_indexes(const std::shared_ptr<Runner>& runner) {
  const RunnerRecord& record = runner->record();
  by_hash_[runner->hash()] = runner.get();
  service_names_.try_emplace(stable_hash(record.service), record.service);
  ServiceRunners& service = by_service_[record.service];
  service.all.add(runner);
  service.by_zone[record.zone].add(runner);
  by_zone_[record.zone].add(runner);
  versions_.add_runner(record.service, record.software_version);
  ++revision_;
}

void RunnerRegistry::remove_from_indexes(const Runner& runner) {
  const RunnerRecord& record = runner.record();
  by_hash_.erase(runner.hash());
  ServiceRunners& service = by_service_[record.service];
  service.all.remove(runner);
  service.by_zone[record.zone].remove(runner);
  by_zone_[record.zone].remove(runner);
  versions_.remove_runner(record.service, record.software_version, monotonic_now());
  ++revision_;
}

void RunnerRegistry::unlist(const std::shared_ptr<Runner>& runner) {
  remove_from_indexes(*runner);
  runner->mark_unlisted();
  runners_.erase(runner->record().id);
}

std::shared_ptr<Runner> RunnerRegistry::take_retired(const RunnerIdentity& identity) {
  const auto found = retired_.find(identity.id);
  if (found == retired_.end()) return nullptr;
  std::shared_ptr<Runner> runner = std::move(found->second.runner);
  retired_.erase(found);
  return runner->record().identity() == identity ? runner : nullptr;
}

void RunnerRegistry::lapse(const std::shared_ptr<Runner>& runner) {
  unlist(runner);
  retired_[runner->record().id] = {runner, monotonic_now()};
}

bool RunnerRegistry::has_available(const std::string& service, SoftwareVersion version,
                                   const std::vector<std::uint64_t>& excluded) const {
  const RunnerList::Runners& runners = for_service(service);
  return std::any_of(runners.begin(), runners.end(), [&](const auto& runner) {
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), runner->hash()) != excluded.end();
    return runner->available() && runner->software_version() == version && !is_excluded;
  });
}

void RunnerRegistry::drop_expired() {
  const TimePoint now = monotonic_now();
  versions_.expire(now - kVersionHistoryLength);
  std::erase_if(retired_, [now](const auto& entry) {
    const Retired& lapsed = entry.second;
    return lapsed.runner->in_flight() == 0 && now - lapsed.since > kRetiredLifetime;
  });
}

void RunnerRegistry::remove(const std::string& id) {
  drop_expired();
  const auto found = runners_.find(id);
  if (found != runners_.end()) lapse(std::shared_ptr<Runner>(found->second));
}

void RunnerRegistry::replace_all(std::vector<RunnerRecord> records) {
  drop_expired();
  std::set<std::string> ids;
  for (auto& record : records) {
    ids.insert(record.id);
    upsert(std::move(record));
  }
  RunnerList::Runners unlisted;
  for (const auto& [id, runner] : runners_) {
    if (!ids.contains(id)) unlisted.push_back(runner);
  }
  for (const auto& runner : unlisted) lapse(runner);
}

std::vector<Runner*> RunnerRegistry::usable(std::uint64_t service, const std::string& zone,
                                            TimePoint now) const {
  std::vector<Runner*> usable;
  const auto name = service_names_.find(service);
  if (name == service_names_.end()) return usable;
  for (const auto& runner : for_service(name->second, zone)) {
    if (runner->usable(now)) usable.push_back(runner.get());
  }
  return usable;
}

bool RunnerRegistry::peers_wait_for(const std::string& service) const {
  return !peer_demand_.empty() && peer_demand_.contains(stable_hash(service));
}

bool RunnerRegistry::peers_wait_urgently_for(const std::string& service) const {
  return !peer_urgent_demand_.empty() && peer_urgent_demand_.contains(stable_hash(service));
}

bool RunnerRegistry::peers_wait_in_time_for(const std::string& service) const {
  if (peers_wait_urgently_for(service)) return true;
  return !peer_yielding_demand_.empty() && peer_yielding_demand_.contains(stable_hash(service));
}

Runner* RunnerRegistry::find_by_hash(std::uint64_t hash) const {
  const auto found = by_hash_.find(hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

std::optional<RunnerLife> RunnerRegistry::life(std::uint64_t hash) const {
  const Runner* runner = find_by_hash(hash);
  const bool has_received = runner != nullptr && runner->last_receive_time() != TimePoint{};
  if (!has_received) return std::nullopt;
  const TimePoint confirmed = confirmation_source_ ? confirmation_source_() : TimePoint{};
  return RunnerLife{.period = runner->live_period(), .listed = confirmed};
}

const RunnerList::Runners& RunnerRegistry::for_service(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNoRunners : found->second.all.runners();
}

const RunnerList::Runners& RunnerRegistry::for_service(const std::string& service,
                                                       const std::string& zone) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNoRunners : runners_of(found->second.by_zone, zone);
}

const RunnerList::Runners& RunnerRegistry::in_zone(const std::string& zone) const {
  return runners_of(by_zone_, zone);
}

}  // namespace stoathold
