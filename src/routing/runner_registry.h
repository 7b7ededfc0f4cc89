/// @file
/// The runners that the platform's directory lists, and what this node has seen of each.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "routing/peer_ejections.h"
#include "routing/runner_errors.h"
#include "routing/runner_identity.h"
#include "routing/runner_room.h"
#include "routing/runner_speed.h"

namespace stoathold {

/// A runner as the directory shows it.
struct RunnerRecord {
  std::string id;  ///< The next start of the runner may have the same.
  std::string service;
  std::string address;  ///< `ip:port`; may belong to another runner later.
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  std::optional<RunnerStart> start = std::nullopt;  ///< Nothing if the runner doesn't tell it.

  [[nodiscard]] RunnerIdentity identity() const { return {id, start}; }
};

/// A load report: as the runner saw itself when it answered.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Time that work takes there at this moment against the usual, in 100ths; nothing if the runner
  /// does not say it.
  std::optional<std::uint32_t> slowness_percent = std::nullopt;
  /// It said something else than a slowness that can be.
  bool false_slowness = false;
};

/// Online work goes before batch work, whatever its age.
enum class WorkClass : std::uint8_t { kOnline, kBatch };

/// How an attempt at a runner ended, as far as it is evidence about the runner.
enum class AttemptOutcome : std::uint8_t {
  kServed,
  kNotRun,       ///< The runner turned it away.
  kFailed,       ///< Reset, cut off, spoiled or silent.
  kError,        ///< The runner answered with an error of its own.
  kUnreachable,  ///< No connection.
  kAbandoned,    ///< Ended by us or the caller; no evidence.
};

/// One start of a runner: its record, and the evidence that this node has of its load and health.
class Runner {
 public:
  explicit Runner(RunnerRecord record);

  [[nodiscard]] const RunnerRecord& record() const { return record_; }
  /// What stands for this start of the runner, here and at other nodes.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  /// What stands for the runner whatever its start. Which prompts go to which runner hangs on it,
  /// so that a start moves no prefix that another runner keeps.
  [[nodiscard]] std::uint64_t affinity_hash() const { return affinity_hash_; }
  /// @param record of the same start.
  void set_record(RunnerRecord record) { record_ = std::move(record); }

  /// Whether the directory lists it.
  [[nodiscard]] bool listed() const { return listed_; }
  /// The directory no longer lists it.
  void unlist() { listed_ = false; }
  /// The directory lists it again: what said that it was going away is older.
  void list_again(RunnerRecord record);

  /// @param tokens of the prompt that the runner is expected to read for it.
  void begin_attempt(std::uint32_t tokens = 0, WorkClass work = WorkClass::kOnline);
  /// The attempt's answer began: its prompt has been read.
  void prompt_read(std::uint32_t tokens);
  /// @param unread tokens of those it began with that have not been read.
  void end_attempt(AttemptOutcome outcome, TimePoint now, std::uint32_t unread = 0,
                   WorkClass work = WorkClass::kOnline);
  void take_report(const LoadReport& report, TimePoint now);
  /// Bytes came from the runner.
  void heard(TimePoint now) { last_heard_ = now; }
  /// When bytes last came from it, for any request of this node.
  [[nodiscard]] TimePoint last_heard() const { return last_heard_; }
  /// The runner said that it is going away.
  void mark_leaving() { leaving_ = true; }

  /// Whether it may be given new work at all.
  [[nodiscard]] bool available() const { return listed_ && !record_.draining && !leaving_; }
  /// Whether it failed lately, here or at other nodes, and is given no work until a pause is over.
  /// After the pause one request at a time is tried there until the runner is heard again.
  [[nodiscard]] bool ejected(TimePoint now) const;
  /// Whether it may be given new work now.
  [[nodiscard]] bool usable(TimePoint now) const { return available() && !ejected(now); }
  /// Another node of the zone reports failed attempts at this runner.
  void take_peer_ejection(const PeerEjection& ejection, TimePoint now);
  /// Another node of the zone reports what answers it had from this runner.
  void take_answer_counts(std::uint64_t node, const AnswerCounts& counts, TimePoint now) {
    errors_.take_report(node, counts, now);
  }
  /// Returns what answers this node had from it, if other nodes should know.
  [[nodiscard]] std::optional<AnswerCounts> answer_counts(TimePoint now) const {
    return errors_.own_report(now);
  }
  /// Whether it fails much of what it is given, though it answers.
  [[nodiscard]] bool suspect(TimePoint now) const {
    return errors_.suspect(now) || (failed_by_errors_ && own_failure_stands());
  }
  /// What this node's own failed attempts say, to report it to other nodes; nothing if the runner
  /// is not ejected by them.
  /// @return the report without its reporter.
  [[nodiscard]] std::optional<PeerEjection> own_ejection(TimePoint now) const;
  /// Requests expected to be at the runner, running and waiting, per slot.
  [[nodiscard]] double load(TimePoint now) const;
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
  /// What it holds for this node, and how much more it may be given.
  [[nodiscard]] RunnerRoom& room() { return room_; }
  [[nodiscard]] const RunnerRoom& room() const { return room_; }
  /// Other nodes come first for a slot that has come free: until then it counts as taken.
  void reserve_for_others(TimePoint until, TimePoint now);
  /// Whether the nodes of the zone have more requests there than it has places.
  [[nodiscard]] bool overcommitted() const { return in_flight_ + peer_in_flight_ > slots(); }
  /// This node lends that many slots here to nodes of other zones; they count as taken.
  void set_lent(std::uint32_t slots) { lent_ = slots; }
  [[nodiscard]] std::uint32_t lent() const { return lent_; }
  /// This node has borrowed slots of the runner's zone.
  /// @param reclaimed whether none is to be used for a further request.
  void set_borrowed(std::uint32_t slots, TimePoint until, bool reclaimed) {
    borrowed_ = slots;
    borrowed_until_ = until;
    borrowed_reclaimed_ = reclaimed;
  }
  /// Returns the borrowed slots that this node may use for further requests.
  [[nodiscard]] std::uint32_t unused_borrowed(TimePoint now) const;
  /// Returns the requests of this node there that its lender does not count.
  [[nodiscard]] std::uint32_t in_flight_beyond_loan(TimePoint now) const;
  /// Those of `in_flight` that are online requests.
  [[nodiscard]] std::uint32_t online_in_flight() const { return in_flight_ - batch_in_flight_; }
  /// Those of `in_flight` that are batch items.
  [[nodiscard]] std::uint32_t batch_in_flight() const { return batch_in_flight_; }
  /// A batch item of this node at the runner was asked to give its slot back, or has done so.
  void begin_yield() { ++yielding_; }
  void end_yield() { --yielding_; }
  /// Batch items there, of all nodes of the zone, that could be asked to give a slot back.
  [[nodiscard]] std::uint32_t preemptible() const {
    return batch_in_flight_ - std::min(batch_in_flight_, yielding_) + peer_batch_in_flight_;
  }
  /// Prompt tokens that this node has sent and that have not been read yet.
  [[nodiscard]] std::uint32_t backlog_tokens() const { return backlog_tokens_; }
  /// The same of all nodes that report to this one.
  [[nodiscard]] std::uint32_t total_backlog() const { return backlog_tokens_ + peer_backlog_; }
  /// What the other nodes of the zone have there.
  void set_peer_use(std::uint32_t in_flight, std::uint32_t backlog_tokens,
                    std::uint32_t batch_in_flight = 0) {
    peer_in_flight_ = in_flight;
    peer_batch_in_flight_ = batch_in_flight;
    peer_backlog_ = backlog_tokens;
  }
  /// Nodes of the runner's own zone, which know its load best, have reported it.
  /// @param load requests there per place.
  void take_zone_load(double load, TimePoint now);
  /// Whether that was reported just now.
  [[nodiscard]] bool zone_load_known(TimePoint now) const;
  /// Adds differences to it.
  void change_peer_use(std::int64_t in_flight, std::int64_t backlog_tokens,
                       std::int64_t batch_in_flight) {
    peer_batch_in_flight_ = static_cast<std::uint32_t>(peer_batch_in_flight_ + batch_in_flight);
    peer_in_flight_ = static_cast<std::uint32_t>(peer_in_flight_ + in_flight);
    peer_backlog_ = static_cast<std::uint32_t>(peer_backlog_ + backlog_tokens);
  }
  [[nodiscard]] std::uint32_t slots() const;
  /// Whether its load is known here although others may use it: it reported it just now, or it
  /// reports none at all.
  [[nodiscard]] bool load_known(TimePoint now) const;
  /// Milliseconds since it reported its load, for logs; `never` if it has not.
  [[nodiscard]] std::string load_age_text(TimePoint now) const;
  /// How fast it works.
  [[nodiscard]] RunnerSpeed& speed() { return speed_; }
  [[nodiscard]] const RunnerSpeed& speed() const { return speed_; }
  /// Failed attempts since the last served one.
  [[nodiscard]] std::uint32_t failures() const { return failures_; }

 private:
  void eject(TimePoint now, bool by_errors);
  void note_error(TimePoint now);
  /// Whether this node's last attempts failed and nothing has refuted that: that the runner was
  /// heard, or, if it answers with errors, that it served a request.
  [[nodiscard]] bool own_failure_stands() const;

  RunnerRecord record_;
  std::uint64_t hash_;
  std::uint64_t affinity_hash_;
  bool listed_ = true;
  bool leaving_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t batch_in_flight_ = 0;
  std::uint32_t failures_ = 0;
  TimePoint ejected_until_{};
  TimePoint failed_at_{};  ///< The failed attempt that last ejected it; the clock's start: none.
  bool failed_by_errors_ = false;  ///< The last failed attempts were answered with errors.
  TimePoint last_served_{};
  RunnerErrors errors_;
  RunnerSpeed speed_;
  RunnerRoom room_;
  PeerEjections peer_ejections_;
  LoadReport report_;
  TimePoint report_time_{};
  TimePoint last_heard_{};
  std::uint32_t known_at_report_ = 0;  ///< In flight from the nodes known, when the report came.
  std::uint32_t backlog_tokens_ = 0;
  double zone_load_ = 0;  ///< Load that the nodes of its zone reported.
  TimePoint zone_load_time_{};
  std::uint32_t own_at_zone_load_ = 0;  ///< Requests of this node there, when they reported it.
  std::uint32_t peer_in_flight_ = 0;
  std::uint32_t peer_backlog_ = 0;
  std::uint32_t peer_batch_in_flight_ = 0;
  [[nodiscard]] std::uint32_t reserved(TimePoint now) const;
  void note_full(TimePoint now);
  [[nodiscard]] std::uint32_t borrowed(TimePoint now) const;
  std::vector<TimePoint> reserved_until_;
  std::uint32_t lent_ = 0;
  std::uint32_t borrowed_ = 0;
  TimePoint borrowed_until_{};
  bool borrowed_reclaimed_ = false;
  std::uint32_t yielding_ = 0;  ///< Own batch items there that were asked to yield.
};

/// All runners known, one start of each. A record of another start takes the place of the one
/// before, whichever start seems older by its clock: records come in the order of the directory.
/// Used on one thread; a start lives on while a request holds it.
class RunnerRegistry {
 public:
  /// Adds a runner or changes what is known of it.
  void upsert(RunnerRecord record);
  /// The directory dropped a runner.
  void remove(const std::string& id);
  /// The directory holds just these runners.
  void replace_all(std::vector<RunnerRecord> records);

  [[nodiscard]] const std::vector<std::shared_ptr<Runner>>& of_service(
      const std::string& service) const;
  /// Returns a zone's runners of a service, by the hash of its name, that may be given work.
  [[nodiscard]] std::vector<Runner*> usable(std::uint64_t service, const std::string& zone,
                                            TimePoint now) const;
  [[nodiscard]] const std::map<std::string, std::shared_ptr<Runner>>& all() const {
    return runners_;
  }
  /// Returns the start of a runner that has this hash, or null. Valid until the registry changes.
  [[nodiscard]] Runner* find_hash(std::uint64_t hash) const;
  /// Returns when anything last came from the start of a runner that has this hash; nothing if it
  /// is not listed, or was never heard.
  [[nodiscard]] std::optional<TimePoint> last_heard(std::uint64_t hash) const;
  /// Rises whenever a runner comes or goes.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Services, by the hash of their names, for which online work waits at other nodes of the zone.
  void set_peer_demand(std::set<std::uint64_t> services) { peer_demand_ = std::move(services); }
  /// Services, by the hash of their names, for which online work waits at other nodes of the zone
  /// that can still be in time.
  void set_peer_urgent_demand(std::set<std::uint64_t> services) {
    peer_urgent_demand_ = std::move(services);
  }
  /// Those for which work waits that can still be in time and leaves slots to the former.
  void set_peer_yielding_demand(std::set<std::uint64_t> services) {
    peer_yielding_demand_ = std::move(services);
  }
  /// Whether online work for the service waits at another node that leaves slots to nobody.
  [[nodiscard]] bool peers_wait_urgently_for(const std::string& service) const;
  /// Requests that can still be in time and wait at other nodes of the zone, by the hash of their
  /// service.
  void set_peers_waiting(std::map<std::uint64_t, std::uint32_t> waiting) {
    peers_waiting_ = std::move(waiting);
  }
  /// Returns how many wait at other nodes for the service with this hash.
  [[nodiscard]] std::uint32_t peers_waiting(std::uint64_t service) const {
    const auto found = peers_waiting_.find(service);
    return found == peers_waiting_.end() ? 0 : found->second;
  }
  /// Whether zones lend one another slots: online work goes to other zones on borrowed slots only.
  void set_lending(bool lending) { lending_ = lending; }
  [[nodiscard]] bool lending() const { return lending_; }
  /// Zones whose nodes answer requests for slots.
  void set_lending_zones(std::set<std::string> zones) { lending_zones_ = std::move(zones); }
  [[nodiscard]] bool zone_lends(const std::string& zone) const {
    return lending_zones_.contains(zone);
  }
  /// Whether online work for the service that can still be in time waits at another node.
  [[nodiscard]] bool peers_wait_in_time_for(const std::string& service) const;
  /// Whether online work for the service waits at another node of the zone.
  [[nodiscard]] bool peers_wait_for(const std::string& service) const;

 private:
  /// A start that the directory dropped. Its entry may only have lapsed, so what is known of it is
  /// kept for a while.
  struct Lapsed {
    std::shared_ptr<Runner> runner;
    TimePoint since{};
  };

  void add(RunnerRecord record);
  void lapse(const std::shared_ptr<Runner>& runner);
  /// Returns the start if it is among those that lapsed, and takes it out.
  std::shared_ptr<Runner> take_lapsed(const RunnerIdentity& identity);
  void forget_long_lapsed();
  void index();

  std::map<std::string, std::shared_ptr<Runner>> runners_;  ///< By id.
  std::map<std::string, Lapsed> lapsed_;                    ///< By id.
  std::map<std::string, std::vector<std::shared_ptr<Runner>>> by_service_;
  std::unordered_map<std::uint64_t, Runner*> by_hash_;
  std::unordered_map<std::uint64_t, std::string> service_names_;  ///< By their hash.
  std::uint64_t revision_ = 1;
  std::set<std::uint64_t> peer_demand_;
  std::set<std::uint64_t> peer_urgent_demand_;
  std::set<std::uint64_t> peer_yielding_demand_;
  std::map<std::uint64_t, std::uint32_t> peers_waiting_;  ///< By hash of the service.
  bool lending_ = false;
  std::set<std::string> lending_zones_;
};

}  // namespace stoathold
