/// @file
/// One incarnation of a runner: its directory record, and this node's view of its load and health.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/runner_life.h"
#include "routing/active_runners.h"
#include "routing/peer_ejections.h"
#include "routing/runner_errors.h"
#include "routing/runner_identity.h"
#include "routing/runner_memory_estimate.h"
#include "routing/runner_speed.h"
#include "routing/software_version.h"

namespace stoathold {

/// A runner as listed by the directory.
struct RunnerRecord {
  std::string id;  ///< Not unique over time: a restarted runner may reuse it.
  std::string service;
  std::string address;  ///< `ip:port`; another runner may have it later.
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  std::optional<RunnerStartTime> start = std::nullopt;  ///< Empty if the runner does not report it.
  std::string software_version{};  ///< Of its software, not of the weights; empty if not reported.

  [[nodiscard]] RunnerIdentity identity() const { return {id, start}; }
};

/// The load that a runner reports with a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Time that work currently takes there in percent of the usual time; empty if not reported.
  std::optional<std::uint32_t> slowness_percent = std::nullopt;
  /// The runner reported a slowness that is out of range or malformed.
  bool invalid_slowness = false;
};

/// Online work takes precedence over batch work, however long the batch work has waited.
enum class WorkClass : std::uint8_t { kOnline, kBatch };

/// How an attempt at a runner ended, as far as it says something about the runner.
enum class AttemptOutcome : std::uint8_t {
  kServed,
  kNotRun,       ///< The runner rejected it.
  kFailed,       ///< Reset, truncated, malformed or timed out.
  kError,        ///< The runner responded with an error of its own.
  kUnreachable,  ///< No connection.
  kAbandoned,    ///< Ended by this node or the caller; says nothing about the runner.
};

/// One incarnation of a runner (the time from a start of its process to the next): its directory
/// record, and what this node knows of its load and health.
class Runner {
 public:
  explicit Runner(RunnerRecord record);

  [[nodiscard]] const RunnerRecord& record() const { return record_; }
  /// Identifies this incarnation of the runner, at this node and at others.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  /// Identifies the runner across restarts. Prefix affinity depends on it, so that a restart does
  /// not move prefixes that other runners cache.
  [[nodiscard]] std::uint64_t affinity_hash() const { return affinity_hash_; }
  /// Updates the directory record.
  /// @param record of the same incarnation.
  void set_record(RunnerRecord record);
  /// Returns the version of its software according to the record.
  [[nodiscard]] SoftwareVersion software_version() const { return software_version_; }

  /// Returns whether the directory lists it.
  [[nodiscard]] bool listed() const { return listed_; }
  /// Marks it as no longer listed by the directory and removes it from the index of active runners.
  void mark_unlisted();
  /// Marks it as listed again and available: any earlier shutdown notice is outdated. The use by
  /// other nodes has to be set again.
  void relist(RunnerRecord record);
  /// Sets the index that it joins while it has reportable state. The index must outlive its time as
  /// a listed runner.
  void join_index(ActiveRunners& index);
  /// Adds it to the index: this node has something new to report about it.
  void mark_reportable();
  /// Returns whether this node has something to report to other nodes about it: its own requests
  /// and loans there, or what it learned from its own attempts.
  [[nodiscard]] bool is_reportable(TimePoint now) const;

  /// Counts an attempt as in flight.
  /// @param tokens prompt tokens that the runner is expected to process for it.
  void begin_attempt(std::uint32_t tokens = 0, WorkClass work = WorkClass::kOnline);
  /// Must be called when the response to an attempt begins: the runner has processed its prompt.
  void record_prompt_processed(std::uint32_t tokens);
  /// Ends an attempt and updates the runner's health by its outcome.
  /// @param unprocessed tokens passed to `begin_attempt` that the runner has not processed.
  void end_attempt(AttemptOutcome outcome, TimePoint now, std::uint32_t unprocessed = 0,
                   WorkClass work = WorkClass::kOnline);
  /// Applies a load report of the runner.
  void apply_load_report(const LoadReport& report, TimePoint now);
  /// Records that bytes were received from the runner.
  /// @param connected when their connection was opened.
  void record_receive(TimePoint now, TimePoint connected) {
    last_receive_time_ = now;
    own_live_period_.record_receive(connected, now);
    live_period_.record_receive(connected, now);
  }
  /// Records bytes that were received over a connection opened just now.
  void record_receive(TimePoint now) { record_receive(now, now); }
  /// Records that another node received bytes from the runner.
  /// @param since start of that node's `own_live_period`.
  void record_peer_receive(TimePoint received, TimePoint since) {
    last_receive_time_ = std::max(last_receive_time_, received);
    live_period_.merge_report(since, received);
  }
  /// Returns the period for which the connections of all nodes show that it has been running.
  [[nodiscard]] const LivePeriod& live_period() const { return live_period_; }
  /// Returns the same for the connections of this node. Only this is reported to other nodes: times
  /// that are passed on become later with each message.
  [[nodiscard]] const LivePeriod& own_live_period() const { return own_live_period_; }
  /// Returns when bytes were last received from it, for any request of this node.
  [[nodiscard]] TimePoint last_receive_time() const { return last_receive_time_; }
  /// Records that the runner announced its shutdown.
  void mark_leaving() { leaving_ = true; }

  /// Returns whether it accepts new work: it is listed, not draining and not shutting down.
  [[nodiscard]] bool available() const { return listed_ && !record_.draining && !leaving_; }
  /// Returns whether it is ejected because of recent failures seen by this node or others. After
  /// the ejection, one request at a time is tried there until the runner responds again.
  [[nodiscard]] bool ejected(TimePoint now) const;
  /// Returns whether it may receive new work now.
  [[nodiscard]] bool usable(TimePoint now) const { return available() && !ejected(now); }
  /// Applies another node's report of failed attempts at this runner.
  void apply_peer_ejection(const PeerEjection& ejection, TimePoint now);
  /// Applies another node's counts of responses from this runner.
  void apply_peer_response_counts(std::uint64_t node, const ResponseCounts& counts, TimePoint now) {
    errors_.apply_report(node, counts, now);
  }
  /// Returns this node's counts of responses from it if they are worth reporting to other nodes.
  [[nodiscard]] std::optional<ResponseCounts> own_response_counts(TimePoint now) const {
    return errors_.own_report(now);
  }
  /// Returns whether it fails a large part of its requests although it responds.
  [[nodiscard]] bool has_high_error_rate(TimePoint now) const {
    return errors_.has_high_error_rate(now) || (failed_by_errors_ && own_failure_is_current());
  }
  /// Returns the ejection caused by this node's own failed attempts, to be reported to other nodes,
  /// or nothing if there is none.
  /// @return the report without its reporter.
  [[nodiscard]] std::optional<PeerEjection> own_ejection(TimePoint now) const;
  /// Returns the expected number of requests at the runner, running and waiting, per slot.
  [[nodiscard]] double load(TimePoint now) const;
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
  /// Returns the estimate of the memory that requests of this node use there, and of what is left.
  [[nodiscard]] RunnerMemoryEstimate& memory() { return memory_; }
  [[nodiscard]] const RunnerMemoryEstimate& memory() const { return memory_; }
  /// Counts a free slot as taken until other nodes, which have precedence, have had time to use it.
  void reserve_for_others(TimePoint until, TimePoint now);
  /// Returns whether the nodes of the zone have more requests there than it has slots.
  [[nodiscard]] bool overcommitted() const { return in_flight_ + peer_in_flight_ > slots(); }
  /// Sets how many slots this node lends here to nodes of other zones; they count as taken.
  void set_lent(std::uint32_t slots);
  [[nodiscard]] std::uint32_t lent() const { return lent_; }
  /// Sets how many slots of the runner this node has borrowed from the runner's zone.
  /// @param reclaimed whether no further request may use one.
  void set_borrowed(std::uint32_t slots, TimePoint until, bool reclaimed) {
    borrowed_ = slots;
    borrowed_until_ = until;
    borrowed_reclaimed_ = reclaimed;
  }
  /// Returns the number of borrowed slots that further requests of this node may use.
  [[nodiscard]] std::uint32_t unused_borrowed(TimePoint now) const;
  /// Returns the number of requests of this node there that the lender does not count.
  [[nodiscard]] std::uint32_t in_flight_beyond_loan(TimePoint now) const;
  /// Returns how many of `in_flight` are online requests.
  [[nodiscard]] std::uint32_t online_in_flight() const { return in_flight_ - batch_in_flight_; }
  /// Returns how many of `in_flight` are batch items.
  [[nodiscard]] std::uint32_t batch_in_flight() const { return batch_in_flight_; }
  /// `begin_yield` counts a batch item of this node that was asked to give up its slot there,
  /// `end_yield` one that has done so.
  void begin_yield() { ++yielding_; }
  void end_yield() { --yielding_; }
  /// Returns the number of batch items there, of all nodes of the zone, that can be asked to yield.
  [[nodiscard]] std::uint32_t preemptible() const {
    return batch_in_flight_ - std::min(batch_in_flight_, yielding_) + peer_batch_in_flight_;
  }
  /// Returns the prompt tokens sent by this node that the runner has not processed yet.
  [[nodiscard]] std::uint32_t backlog_tokens() const { return backlog_tokens_; }
  /// Returns the same for all nodes that report to this one.
  [[nodiscard]] std::uint32_t total_backlog() const { return backlog_tokens_ + peer_backlog_; }
  /// Sets the use of the runner by the other nodes of the zone.
  void set_peer_use(std::uint32_t in_flight, std::uint32_t backlog_tokens,
                    std::uint32_t batch_in_flight = 0) {
    peer_in_flight_ = in_flight;
    peer_batch_in_flight_ = batch_in_flight;
    peer_backlog_ = backlog_tokens;
  }
  /// Applies the load reported by nodes of the runner's own zone, which know it best.
  /// @param load requests per slot.
  void apply_zone_load(double load, TimePoint now);
  /// Returns whether such a report is recent.
  [[nodiscard]] bool zone_load_known(TimePoint now) const;
  /// Applies changes to the use by the other nodes of the zone.
  void change_peer_use(std::int64_t in_flight, std::int64_t backlog_tokens,
                       std::int64_t batch_in_flight) {
    peer_batch_in_flight_ = static_cast<std::uint32_t>(peer_batch_in_flight_ + batch_in_flight);
    peer_in_flight_ = static_cast<std::uint32_t>(peer_in_flight_ + in_flight);
    peer_backlog_ = static_cast<std::uint32_t>(peer_backlog_ + backlog_tokens);
  }
  [[nodiscard]] std::uint32_t slots() const;
  /// Returns whether its load is known although other zones may use it: the runner or its zone has
  /// reported it recently, or the runner responds without ever reporting its load.
  [[nodiscard]] bool load_known(TimePoint now) const;
  /// Returns the milliseconds since its last load report, for logs; `never` if there was none.
  [[nodiscard]] std::string load_age_text(TimePoint now) const;
  /// Returns the model of its speed.
  [[nodiscard]] RunnerSpeed& speed() { return speed_; }
  [[nodiscard]] const RunnerSpeed& speed() const { return speed_; }
  /// Returns the number of failed attempts since the last successful one.
  [[nodiscard]] std::uint32_t failures() const { return failures_; }

 private:
  void eject(TimePoint now, bool by_errors);
  void record_error(TimePoint now);
  /// Returns whether this node's last attempts failed and nothing since has refuted that. Received
  /// bytes refute it, or, if the runner responded with errors, a successful request.
  [[nodiscard]] bool own_failure_is_current() const;

  RunnerRecord record_;
  ActiveRunners* active_ = nullptr;  ///< Null while it is not listed.
  std::uint64_t hash_;
  std::uint64_t affinity_hash_;
  SoftwareVersion software_version_;
  bool listed_ = true;
  bool leaving_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t batch_in_flight_ = 0;
  std::uint32_t failures_ = 0;
  TimePoint ejected_until_{};
  TimePoint failed_at_{};          ///< Failed attempt that caused the last ejection; zero: none.
  bool failed_by_errors_ = false;  ///< The last ejection was caused by error responses.
  TimePoint last_served_{};
  RunnerErrors errors_;
  RunnerSpeed speed_;
  RunnerMemoryEstimate memory_;
  PeerEjections peer_ejections_;
  LoadReport report_;
  TimePoint report_time_{};
  TimePoint last_receive_time_{};
  LivePeriod own_live_period_;
  LivePeriod live_period_;
  /// Requests in flight from known nodes at the time of `report_`.
  std::uint32_t known_in_flight_at_report_ = 0;
  std::uint32_t backlog_tokens_ = 0;
  double zone_load_ = 0;  ///< Load reported by the nodes of its zone.
  TimePoint zone_load_time_{};
  /// Requests of this node there when `zone_load_` was reported.
  std::uint32_t own_in_flight_at_zone_load_ = 0;
  std::uint32_t peer_in_flight_ = 0;
  std::uint32_t peer_backlog_ = 0;
  std::uint32_t peer_batch_in_flight_ = 0;
  [[nodiscard]] std::uint32_t reserved(TimePoint now) const;
  void record_full_rejection(TimePoint now);
  [[nodiscard]] std::uint32_t borrowed(TimePoint now) const;
  std::vector<TimePoint> reserved_until_;
  std::uint32_t lent_ = 0;
  std::uint32_t borrowed_ = 0;
  TimePoint borrowed_until_{};
  bool borrowed_reclaimed_ = false;
  std::uint32_t yielding_ = 0;  ///< Batch items of this node there that were asked to yield.
};

}  // namespace stoathold
