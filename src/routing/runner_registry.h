/// @file
/// The runners listed by the platform's directory, indexed for selection and for messages.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "quarantine/runner_life.h"
#include "routing/active_runners.h"
#include "routing/runner.h"
#include "routing/runner_list.h"
#include "routing/version_history.h"

namespace stoathold {

/// All known runners, with one incarnation of each. A record of another incarnation replaces the
/// current one whichever has the later start time: records arrive in the order of the directory.
/// Used on one thread. Requests share the ownership of their runners.
class RunnerRegistry {
 public:
  /// Adds a runner or updates its record.
  void upsert(RunnerRecord record);
  /// Removes a runner that the directory no longer lists.
  void remove(const std::string& id);
  /// Replaces the set of runners by the directory's complete list.
  void replace_all(std::vector<RunnerRecord> records);

  /// Returns the runners of a service.
  [[nodiscard]] const RunnerList::Runners& for_service(const std::string& service) const;
  /// Returns the runners of a service in a zone.
  [[nodiscard]] const RunnerList::Runners& for_service(const std::string& service,
                                                       const std::string& zone) const;
  /// Returns the runners of all services in a zone.
  [[nodiscard]] const RunnerList::Runners& in_zone(const std::string& zone) const;
  /// Returns the listed runners that this node uses or has something to report about.
  [[nodiscard]] const ActiveRunners& active() const { return active_; }
  /// Drops from `active` the runners that no longer have reportable state. Called periodically.
  void drop_idle_runners(TimePoint now) { active_.drop_idle(now); }
  /// Returns the runners of a zone that may receive work for a service.
  /// @param service hash of its name.
  [[nodiscard]] std::vector<Runner*> usable(std::uint64_t service, const std::string& zone,
                                            TimePoint now) const;
  [[nodiscard]] const std::map<std::string, std::shared_ptr<Runner>>& all() const {
    return runners_;
  }
  /// Returns the incarnation with this hash, or null. Valid until the registry changes.
  [[nodiscard]] Runner* find_by_hash(std::uint64_t hash) const;
  /// Returns what is known about how long the incarnation with this hash has been running, or
  /// nothing if it is not listed or has sent no bytes.
  [[nodiscard]] std::optional<RunnerLife> life(std::uint64_t hash) const;
  /// Sets the function that returns when the directory's list was last known to be current.
  void set_confirmation_source(std::function<TimePoint()> source) {
    confirmation_source_ = std::move(source);
  }
  /// Returns that time; zero if it is not known.
  [[nodiscard]] TimePoint confirmed_at() const {
    return confirmation_source_ ? confirmation_source_() : TimePoint{};
  }
  /// Returns the software versions that the directory has listed.
  [[nodiscard]] const VersionHistory& versions() const { return versions_; }
  /// Must be called when the directory's list is first known, and when entries of runners that came
  /// and went may have been skipped.
  void restart_version_history() { versions_.restart(monotonic_now()); }
  /// Returns whether a runner of a service and software version accepts new work.
  /// @param excluded `Runner::hash` of runners that do not count.
  [[nodiscard]] bool has_available(const std::string& service, SoftwareVersion version,
                                   const std::vector<std::uint64_t>& excluded = {}) const;
  /// Returns a number that grows whenever runners are added or removed.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Sets the services, by hash of their names, for which online work waits at other nodes of the
  /// zone.
  void set_peer_demand(std::set<std::uint64_t> services) { peer_demand_ = std::move(services); }
  /// Sets those of them with waiting work that can still be on time and does not yield.
  void set_peer_urgent_demand(std::set<std::uint64_t> services) {
    peer_urgent_demand_ = std::move(services);
  }
  /// Sets those of them with waiting work that can still be on time but yields to the former.
  void set_peer_yielding_demand(std::set<std::uint64_t> services) {
    peer_yielding_demand_ = std::move(services);
  }
  /// Returns whether on-time online work for the service that does not yield waits at another node.
  [[nodiscard]] bool peers_wait_urgently_for(const std::string& service) const;
  /// Sets the number of requests, by hash of their service, that wait at other nodes of the zone
  /// and can still be on time.
  void set_peers_waiting(std::map<std::uint64_t, std::uint32_t> waiting) {
    peers_waiting_ = std::move(waiting);
  }
  /// Returns the number of requests that wait at other nodes for the service with this hash.
  [[nodiscard]] std::uint32_t peers_waiting(std::uint64_t service) const {
    const auto found = peers_waiting_.find(service);
    return found == peers_waiting_.end() ? 0 : found->second;
  }
  /// Sets whether zones lend slots to one another. Online work then goes to other zones only on
  /// borrowed slots.
  void set_lending(bool lending) { lending_ = lending; }
  [[nodiscard]] bool lending() const { return lending_; }
  /// Sets the zones whose nodes answer loan requests.
  void set_lending_zones(std::set<std::string> zones) { lending_zones_ = std::move(zones); }
  [[nodiscard]] bool zone_lends(const std::string& zone) const {
    return lending_zones_.contains(zone);
  }
  /// Returns whether online work for the service that can still be on time waits at another node.
  [[nodiscard]] bool peers_wait_in_time_for(const std::string& service) const;
  /// Returns whether online work for the service waits at another node of the zone.
  [[nodiscard]] bool peers_wait_for(const std::string& service) const;

 private:
  /// An incarnation that the directory dropped. Its state is kept for a while because only its
  /// directory entry may have expired.
  struct Retired {
    std::shared_ptr<Runner> runner;
    TimePoint since{};
  };

  /// The runners of one service.
  struct ServiceRunners {
    RunnerList all;
    std::map<std::string, RunnerList> by_zone;
  };

  void add(RunnerRecord record);
  /// Adds a runner to the indexes, or removes it, by its current record.
  void add_to_indexes(const std::shared_ptr<Runner>& runner);
  void remove_from_indexes(const Runner& runner);
  /// Removes a runner from the listed ones and from the indexes.
  void unlist(const std::shared_ptr<Runner>& runner);
  void lapse(const std::shared_ptr<Runner>& runner);
  /// Removes the incarnation from the retired ones and returns it; null if it is not there.
  std::shared_ptr<Runner> take_retired(const RunnerIdentity& identity);
  void drop_expired();

  ActiveRunners active_;
  std::map<std::string, std::shared_ptr<Runner>> runners_;  ///< By id.
  std::map<std::string, Retired> retired_;                  ///< By id.
  std::map<std::string, ServiceRunners> by_service_;
  std::map<std::string, RunnerList> by_zone_;
  std::unordered_map<std::uint64_t, Runner*> by_hash_;
  std::unordered_map<std::uint64_t, std::string> service_names_;  ///< By their hash.
  VersionHistory versions_;
  std::uint64_t revision_ = 1;
  std::function<TimePoint()> confirmation_source_;  ///< Null: the list is never confirmed.
  std::set<std::uint64_t> peer_demand_;
  std::set<std::uint64_t> peer_urgent_demand_;
  std::set<std::uint64_t> peer_yielding_demand_;
  std::map<std::uint64_t, std::uint32_t> peers_waiting_;  ///< By hash of the service.
  bool lending_ = false;
  std::set<std::string> lending_zones_;
};

}  // namespace stoathold
