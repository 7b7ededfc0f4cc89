/// @file
/// Keeps requests that end the runners which run them away from all runners.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/runner_end_table.h"

namespace stoathold {

/// One request that no runner is given.
struct QuarantinedRequest {
  TimePoint until{};
  bool recorded = false;  ///< The log is known to hold it.
};

/// What is known of requests that end runners: the ends that nodes have seen, and the requests that
/// these put in quarantine. Nodes report ends to one another; a request in quarantine is a record
/// of the log, which outlasts every node. Used on one thread.
///
/// A request leaves after `kQuarantineTime`. From then on one more end brings it back.
class Quarantine {
 public:
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);

  /// @param last_heard when a runner was last heard; a runner that was heard after its end lives.
  explicit Quarantine(RunnerEndTable::LastHeard last_heard) : ends_(std::move(last_heard)) {}

  /// Called with each request that an end seen by this node puts in quarantine, for the log, and
  /// with the number of runners that have ended with it.
  using QuarantinedHandler = std::function<void(ContentHash, std::size_t ends)>;
  void set_quarantined_handler(QuarantinedHandler handler) {
    quarantined_handler_ = std::move(handler);
  }
  /// Called whenever there is something to report to other nodes.
  void set_report_listener(std::function<void()> listener) {
    report_listener_ = std::move(listener);
  }
  /// Called whenever a request was put in quarantine.
  void set_change_listener(std::function<void()> listener) {
    change_listener_ = std::move(listener);
  }

  /// Whether any request is kept from runners; if none is, nobody need hash one.
  [[nodiscard]] bool empty() const { return quarantined_.empty(); }
  /// Whether the request is kept from runners.
  [[nodiscard]] bool holds(ContentHash content, TimePoint now) const;
  /// How long it still is.
  [[nodiscard]] Duration time_left(ContentHash content, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return quarantined_.size(); }
  /// Requests with ends that are remembered.
  [[nodiscard]] std::size_t suspects() const { return ends_.size(); }

  /// A runner ended with a request of this node.
  void note_end(const RunnerEnd& end);
  /// A request of this node was served, or a batch item got on.
  void note_progress(ContentHash content, TimePoint now);
  /// Whether progress of requests is of interest: it is not while no ends are known.
  [[nodiscard]] bool watches_progress() const { return !ends_.empty(); }

  /// Returns the reports that are due to the nodes of the own zone; each is returned twice.
  [[nodiscard]] std::vector<EndReport> take_zone_reports(TimePoint now);
  /// Returns the reports that are due to nodes of other zones. Each is returned a few times,
  /// since messages get lost.
  [[nodiscard]] std::vector<EndReport> take_remote_reports(TimePoint now);
  /// Takes the reports of another node.
  void take_reports(const std::vector<EndReport>& reports, TimePoint now);

  /// The log holds this record of a request.
  void take_record(ContentHash content, const QuarantineRecord& record, TimePoint now,
                   std::int64_t time_of_day_ms);
  /// The log no longer holds one: an operator has lifted the quarantine. Of one whose time was up
  /// nothing changes: the next end brings it back.
  void lift(ContentHash content);
  /// The log holds just these requests; others that it held before were lifted.
  void keep_only(const std::set<ContentHash>& contents);
  /// Ends quarantines whose time is up, and forgets old ends.
  /// @return the requests that have left.
  std::vector<ContentHash> expire(TimePoint now);

 private:
  struct PendingReport {
    EndReport report;
    TimePoint at{};
    int repeats_left = 0;
  };

  void judge(ContentHash content, TimePoint now);
  void add_report(const EndReport& report, TimePoint at);
  static std::vector<EndReport> take_some(std::vector<PendingReport>& pending, TimePoint now);

  RunnerEndTable ends_;
  std::map<ContentHash, QuarantinedRequest> quarantined_;
  std::set<ContentHash> on_probation_;
  std::set<ContentHash> seen_here_;  ///< Those with an end that this node saw itself.
  std::vector<PendingReport> zone_reports_;
  std::vector<PendingReport> remote_reports_;
  QuarantinedHandler quarantined_handler_;
  std::function<void()> report_listener_;
  std::function<void()> change_listener_;
};

}  // namespace stoathold
