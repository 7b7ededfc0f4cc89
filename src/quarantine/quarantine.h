/// @file
/// Quarantines poison requests: requests that make the runners exit which run them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/lift_table.h"
#include "quarantine/prompt_part_exits.h"
#include "quarantine/prompt_part_reports.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/repeated_sends.h"
#include "quarantine/runner_exit_table.h"
#include "quarantine/unproven_exits.h"

namespace stoathold {

/// What a quarantine keeps from the runners.
enum class QuarantineScope : std::uint8_t {
  kRequest,     ///< All copies of one request.
  kPromptPart,  ///< All requests with one prompt part, of one tenant or of all.
};

/// How many trials a quarantined request may get.
enum class TrialLimit : std::uint8_t {
  kBounded,  ///< A few: the caller of an online request is refused instead.
  kNone,     ///< Any number: a batch item has been accepted and has to be run.
};

/// A trial of a quarantine: one run of a request that is quarantined.
struct QuarantineTrial {
  ContentHash key{};  ///< Key of the quarantine.
  QuarantineScope scope = QuarantineScope::kRequest;
  TrialLimit limit = TrialLimit::kBounded;
};

/// A quarantined request, which is sent to no runner except for trials.
struct QuarantinedRequest {
  TimePoint until{};
  std::uint32_t trials = 0;          ///< Trials that were claimed in the log.
  std::uint32_t recorded_exits = 0;  ///< `exits` of its record.
  /// When this node learned of the record or of the latest trial; not set before that.
  TimePoint trials_changed{};
  bool recorded = false;  ///< The log is known to contain its record.
  /// Number of runner starts that had exited with the request, without those of trials.
  std::uint32_t exits = 0;
  std::uint64_t lifted_position = 0;  ///< `Lift::position` of the last lift before it began.
  PartHash part{};                    ///< The prompt part, if this node quarantined one.
};

/// A quarantined request as shown to operators.
struct QuarantineStatus {
  ContentHash content{};
  Duration age{0};
  std::uint32_t exits = 0;      ///< Runners that exited with it, as far as this node knows.
  std::uint32_t trials = 0;     ///< Trials so far.
  bool recorded = false;        ///< The log is known to contain its record.
  Duration next_trial_in{0};    ///< 0: due, or `has_trial_left` is false.
  bool has_trial_left = false;  ///< Whether it will be tried before the quarantine expires.
};

/// Tracks the runner exits of requests and quarantines requests with too many exits. Nodes report
/// exits and quarantines to each other. A quarantine is also recorded in the log, which outlives
/// every node. Used on one thread.
///
/// The log orders the lifts of a request. A quarantine ends at each node that learns of a lift,
/// from the log or from another node, unless it began with knowledge of that lift. So a lift wins
/// over copies of the quarantine that are still under way.
///
/// A quarantine expires after `kQuarantineTime`. After that a single further exit restores it.
///
/// Before that, the request is tried again: a trial is one run of it, by one node of the fleet, at
/// a runner that has just responded. It is claimed in the log first, and counts as an exit. An
/// online request gets no trial once `kMaxRunnerExits` exits are counted. If the request makes
/// progress, its record is deleted, which lifts the quarantine at all nodes.
///
/// Batch items do not make runners exit by themselves. So their exits are evidence against nobody,
/// and there is no limit to their trials of a quarantine that online requests have led to.
///
/// Requests that differ may share a prompt part that makes runners exit. Such a part is quarantined
/// under a key of its own, in the same way: for one tenant as long as only that tenant's requests
/// showed it, since callers choose the ids of parts, and else for all tenants.
class Quarantine {
 public:
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  /// Delay from the record of a quarantine to the first trial. It doubles with each trial.
  static constexpr Duration kFirstTrialDelay = std::chrono::seconds(5);
  /// Maximum delay between two trials without a limit.
  static constexpr Duration kMaxUnlimitedTrialDelay = std::chrono::seconds(10);
  /// Number of exits, trials included, from which on a request is not tried.
  static constexpr std::uint32_t kMaxRunnerExits = 6;
  /// Maximum number of trials of a prompt part.
  static constexpr std::uint32_t kMaxPartTrials = 2;

  /// @param life_source returns what is known of a runner; one that was running before and after
  /// its reported exit has not exited.
  explicit Quarantine(RunnerStarts::LifeSource life_source);

  /// Called with each request that is quarantined after exits observed by this node, and the number
  /// of runners that exited with it, so that the quarantine is recorded in the log.
  using QuarantinedHandler = std::function<void(ContentHash, std::size_t exits)>;
  void set_quarantined_handler(QuarantinedHandler handler) {
    quarantined_handler_ = std::move(handler);
  }
  /// Called with each quarantined request that made progress at this node, so that its record is
  /// deleted.
  using ProgressHandler = std::function<void(ContentHash)>;
  void set_progress_handler(ProgressHandler handler) { progress_handler_ = std::move(handler); }
  /// Called when there are new reports for other nodes.
  void set_report_listener(std::function<void()> listener) {
    report_listener_ = std::move(listener);
  }
  /// Called after a request has been quarantined.
  void set_change_listener(std::function<void()> listener) {
    change_listener_ = std::move(listener);
  }

  /// Returns whether no request is quarantined; requests need not be hashed then.
  [[nodiscard]] bool empty() const { return quarantined_.empty(); }
  /// Returns whether the request is quarantined.
  [[nodiscard]] bool contains(ContentHash content, TimePoint now) const;
  /// Returns the time until the quarantine expires; 0 if the request is not quarantined.
  [[nodiscard]] Duration time_left(ContentHash content, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return quarantined_.size(); }
  /// Returns the time until the request may be tried or its quarantine expires.
  [[nodiscard]] Duration retry_after(ContentHash content, TimePoint now,
                                     QuarantineScope scope = QuarantineScope::kRequest) const;
  /// Returns whether a trial of the request may be claimed now.
  [[nodiscard]] bool is_trial_due(ContentHash content, TimePoint now,
                                  QuarantineScope scope = QuarantineScope::kRequest,
                                  TrialLimit limit = TrialLimit::kBounded) const;
  /// Returns whether the log does not contain a record with what this node knows of a quarantine.
  [[nodiscard]] bool needs_record(ContentHash content, TimePoint now) const;
  /// Returns the record of a quarantined request.
  [[nodiscard]] QuarantineRecord make_record(ContentHash content, TimePoint now,
                                             std::int64_t time_of_day_ms) const;
  /// Returns the record with which a trial of a quarantined request is claimed.
  [[nodiscard]] QuarantineRecord make_trial_record(ContentHash content, TimePoint now,
                                                   std::int64_t time_of_day_ms) const;
  /// Returns all quarantined requests, for operators.
  [[nodiscard]] std::vector<QuarantineStatus> status(TimePoint now) const;
  /// Number of requests with recorded exits.
  [[nodiscard]] std::size_t suspect_count() const { return exit_table_.size(); }
  /// Number of recorded exits that are evidence against prompt parts.
  [[nodiscard]] std::size_t part_exit_count() const { return part_exits_.size(); }

  /// Records that this node sent the request to a runner.
  void record_send(ContentHash content, TimePoint now) { exit_table_.record_send(content, now); }
  /// Returns whether any exits are recorded; requests need not be hashed otherwise.
  [[nodiscard]] bool has_exits() const { return !exit_table_.empty(); }
  /// Returns the time until the request may be sent again after exits that are not enough for a
  /// quarantine.
  [[nodiscard]] Duration backoff_left(ContentHash content, TimePoint now) const {
    return std::max(Duration{0}, exit_table_.backoff_until(content) - now);
  }

  /// Records that a runner exited while it had a request of this node.
  void record_runner_exit(const RunnerExit& exit);
  /// Records that a runner closed the connection of a run of this node, which it may have done by
  /// exiting. The start of the runner is inferred from the connection. If the runner may have
  /// exited before, this is not held against the request.
  void record_closed_run(ContentHash content, const ClosedRun& run, TimePoint now);
  /// Records that a request of this node was served or that a batch item made progress.
  void record_progress(ContentHash content, TimePoint now);
  /// Returns the start of a runner that a closed run belonged to.
  [[nodiscard]] RunnerStart start_of(const ClosedRun& run) const {
    return exit_table_.start_of(run);
  }
  /// Records that a runner exited while it had a request of this node, before the first event of
  /// the response, as evidence against the parts of the prompt.
  void record_part_exit(PromptPartExit exit);
  /// Records that a runner delivered events of a request of this node with these prompt parts.
  /// @param tenant hash of the tenant's name.
  void record_served_parts(const std::vector<PartHash>& parts, std::uint64_t tenant, TimePoint now);
  /// Returns whether served parts need to be recorded.
  [[nodiscard]] bool watches_parts() const { return !part_exits_.empty() || !quarantined_.empty(); }
  /// Quarantines the prompt parts that explain the known exits. To be called periodically, since
  /// evidence is only used after `PromptPartExits::kSettleTime`.
  void evaluate_parts(TimePoint now);
  /// Returns whether progress needs to be recorded, which is only the case if there are recorded
  /// exits.
  [[nodiscard]] bool watches_progress() const {
    return !exit_table_.empty() || !unproven_exits_.empty() || !quarantined_.empty();
  }
  /// Returns whether any request needs a proof that its runner is running; requests need not be
  /// hashed otherwise.
  [[nodiscard]] bool has_unproven_exits() const { return !unproven_exits_.empty(); }
  /// Returns whether the request may only be sent to a runner that has just responded, so that an
  /// exit of the runner is evidence.
  [[nodiscard]] bool requires_live_runner(ContentHash content) const {
    return unproven_exits_.contains(content);
  }

  /// Returns the reports to send to the nodes of the own zone; each report is returned twice.
  [[nodiscard]] std::vector<RunnerExitReport> next_zone_reports(TimePoint now);
  /// Returns the reports to send to nodes of other zones. Each report is returned several times,
  /// because messages may be lost.
  [[nodiscard]] std::vector<RunnerExitReport> next_remote_reports(TimePoint now);
  /// Applies the reports of another node.
  void apply_reports(const std::vector<RunnerExitReport>& reports, TimePoint now);

  /// Returns the reports about prompt parts to send to the nodes of the own zone.
  [[nodiscard]] PromptPartReports next_zone_part_reports(TimePoint now) {
    return zone_part_reports_.next(now);
  }
  /// Returns the same for one node of each other zone.
  [[nodiscard]] PromptPartReports next_remote_part_reports(TimePoint now) {
    return remote_part_reports_.next(now);
  }
  /// Returns whether there are such reports for the own zone that have not been sent yet.
  [[nodiscard]] bool has_unsent_zone_part_reports() const {
    return zone_part_reports_.has_unsent();
  }
  /// Returns the same for the other zones.
  [[nodiscard]] bool has_unsent_remote_part_reports() const {
    return remote_part_reports_.has_unsent();
  }
  /// Applies the reports of another node about prompt parts.
  void apply_part_reports(const PromptPartReports& reports, TimePoint now);

  /// Returns the notices of quarantines that this node decided, to send to the nodes of the own
  /// zone; each one is returned twice.
  [[nodiscard]] std::vector<QuarantineNotice> next_zone_notices(TimePoint now);
  /// Returns the same for one node of each other zone; each one is returned several times.
  [[nodiscard]] std::vector<QuarantineNotice> next_remote_notices(TimePoint now);
  /// Returns notices of all quarantines and lifts in turn, as many as fit into one message, to be
  /// sent periodically: messages may be lost, and nodes may start while the log is unavailable.
  [[nodiscard]] std::vector<QuarantineNotice> next_refresh_notices(TimePoint now);
  /// Applies the notices of another node.
  /// @return those that were news to this node.
  std::vector<QuarantineNotice> apply_notices(const std::vector<QuarantineNotice>& notices,
                                              TimePoint now);

  /// Applies a record from the log.
  void apply_record(ContentHash content, const QuarantineRecord& record, TimePoint now,
                    std::int64_t time_of_day_ms);
  /// Lifts a quarantine whose log record was deleted by an operator. Has no effect on an expired
  /// quarantine, which the next exit still restores.
  /// @param lift one with a position is announced to other nodes.
  void lift(ContentHash content, const Lift& lift = {});
  /// Lifts all recorded quarantines except these, the ones that the log still contains.
  void retain_only(const std::set<ContentHash>& contents, const Lift& lift = {});
  /// Ends expired quarantines and forgets old exits.
  /// @return the requests that are no longer quarantined.
  std::vector<ContentHash> expire(TimePoint now);

 private:
  /// Maximum number of notices in a message, which must fit into a datagram.
  static constexpr std::size_t kMaxNoticesInMessage = 40;
  /// A quarantine that ends this soon is left to expire: it is not adopted from other nodes, and
  /// the deletion of its record is no lift, since nodes delete the records of expired quarantines,
  /// at different times because their clocks differ.
  static constexpr Duration kExpiryTolerance = std::chrono::seconds(5);

  using PendingReports = RepeatedSends<RunnerExitReport>;
  using PendingNotices = RepeatedSends<ContentHash>;

  /// Returns the number of runners that exited with the request, including those that trials under
  /// way may end.
  [[nodiscard]] std::uint32_t possible_exits(ContentHash content,
                                             const QuarantinedRequest& request) const;
  [[nodiscard]] bool has_trial_left(ContentHash content, const QuarantinedRequest& request,
                                    QuarantineScope scope) const;
  /// Returns when the next trial of a recorded quarantine is due.
  [[nodiscard]] static TimePoint next_trial(const QuarantinedRequest& request, TrialLimit limit);
  void update_exits(ContentHash content);
  /// What led to a quarantine.
  struct Grounds {
    std::size_t exits = 0;
    std::uint32_t weight = 0;  ///< `RunnerExitTable::attributed_weight`; 0 for prompt parts.
    bool observed_locally = false;
    PartHash part{};           ///< The prompt part; not set if a request is quarantined.
    std::uint32_t trials = 0;  ///< Trials of the part before, for single tenants.
  };
  void start_quarantine(ContentHash key, const Grounds& grounds, TimePoint now);
  /// Quarantines the parts of an exit whose quarantine had expired.
  void restore_recurred_parts(const PromptPartExit& exit, TimePoint now);
  /// Ends the quarantine of a prompt part that was served.
  void lift_served(ContentHash key, TimePoint now);
  /// Returns how many trials were claimed while a part was quarantined for these tenants.
  [[nodiscard]] std::uint32_t tenant_trials(const PoisonPart& part) const;
  /// Returns the keys under which this node has quarantined a part.
  [[nodiscard]] std::set<ContentHash> own_keys_of(PartHash part) const;
  void evaluate(ContentHash content, TimePoint now);
  void record_unproven_exit(ContentHash content, std::uint64_t runner, TimePoint now);
  void add_report(const RunnerExitReport& report, TimePoint at);
  static std::vector<RunnerExitReport> next_reports(PendingReports& pending, TimePoint now);
  /// Returns the notice of what is known about a request; nothing if nothing is.
  [[nodiscard]] std::optional<QuarantineNotice> make_notice(ContentHash content,
                                                            TimePoint now) const;
  std::vector<QuarantineNotice> next_notices(PendingNotices& pending, TimePoint now);
  /// Applies a lift that another node knows.
  /// @return whether it was news.
  bool adopt_lift(const QuarantineNotice& notice, TimePoint now);
  /// Quarantines a request that another node has quarantined.
  /// @return whether it was not quarantined here.
  bool adopt_quarantine(const QuarantineNotice& notice, TimePoint now);
  /// Ends a quarantine, if there is one, and forgets the exits that led to it.
  void end_quarantine(ContentHash content, const Lift& lift);

  RunnerExitTable exit_table_;
  PromptPartExits part_exits_;
  UnprovenExits unproven_exits_;
  std::map<ContentHash, QuarantinedRequest> quarantined_;
  /// Requests whose quarantine expired, with the exits that it counted.
  std::map<ContentHash, std::uint32_t> on_probation_;
  std::set<ContentHash> observed_locally_;  ///< Requests with an exit observed by this node itself.
  LiftTable lifts_;
  PendingReports zone_reports_;
  PendingReports remote_reports_;
  PendingPartReports zone_part_reports_;
  PendingPartReports remote_part_reports_;
  PendingNotices zone_notices_;
  PendingNotices remote_notices_;
  ContentHash last_refreshed_{};
  QuarantinedHandler quarantined_handler_;
  ProgressHandler progress_handler_;
  std::function<void()> report_listener_;
  std::function<void()> change_listener_;
};

}  // namespace stoathold
