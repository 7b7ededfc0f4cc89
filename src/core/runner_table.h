/// @file
/// A node's table of runners, and the selection of a runner for a request.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/ranked_mutex.h"
#include "base/time.h"
#include "core/knobs.h"
#include "core/peer_messages.h"

namespace stoathold {

/// A runner's entry in the platform's machine list. The list lags behind the actual state.
struct ListedRunner {
  std::string name;
  std::string region;
  std::string zone;
  std::string address;  ///< `ip:port` of its engine.
  std::string service;
  bool leaving = false;
};

/// Health of a runner as judged by this node from the outcomes of its own requests (passive health
/// checking).
enum class RunnerHealth : std::uint8_t {
  kHealthy,
  kEjected,    ///< Receives no requests until its ejection ends.
  kProbation,  ///< Receives one request at a time until one succeeds.
};

/// Effect of a stream's outcome on its runner's health.
enum class StreamResult : std::uint8_t {
  kSucceeded,
  kFailed,
  kNeutral,  ///< Ended by the caller or the deadline; no effect.
};

/// Input of `RunnerTable::pick`.
struct PickQuery {
  std::string service;
  std::uint32_t slots = 1;         ///< Concurrent streams per runner, a setting of the service.
  std::uint64_t prefix = 0;        ///< Hash of the prompt prefix, for prefix-cache affinity.
  std::vector<RunnerId> excluded;  ///< Runners on which this request already failed.
};

/// Why a runner was picked; recorded for `explain`.
enum class PickReason : std::uint8_t { kAffinity, kLessLoaded, kOtherZone, kNone };

/// Result of a pick. `reason` is `kNone` if no runner is eligible or all eligible ones are full.
struct Pick {
  RunnerId runner{};
  std::string address;
  PickReason reason = PickReason::kNone;
  bool all_full = false;  ///< Eligible runners exist, but none has a free slot.
};

/// A runner's entry, health and load on this node, for operators and for the runner's owner.
struct RunnerView {
  RunnerId id{};
  ListedRunner listed;
  RunnerHealth health = RunnerHealth::kHealthy;
  bool leaving = false;
  std::uint32_t load = 0;
  std::uint32_t own_streams = 0;
};

/// Keeps the listed runners with their load and health, and picks one for each request. Thread safe
/// (`LockRank::kRunnerTable`).
class RunnerTable {
 public:
  RunnerTable(std::string region, std::string zone, std::uint64_t seed, const Knobs& knobs);

  /// Applies a machine list; runners missing from it are removed.
  void on_machine_list(const std::vector<ListedRunner>& runners);
  /// Applies a load report from the runner's owner (on the owner: from the runner itself).
  void on_load(const RunnerLoad& load, TimePoint now);

  /// Replaces the set of leaving runners of other zones as reported by one source. A report expires
  /// after `Knobs::load_report_ttl`.
  void on_foreign_leaving(NodeId source, const std::vector<RunnerId>& runners, TimePoint now);
  /// Runners of this zone that their owners report as leaving, in ascending order.
  [[nodiscard]] std::vector<RunnerId> leaving_in_zone() const;

  /// Picks a runner in this zone, else in this region, else in another region. Among eligible
  /// runners it takes the one that rendezvous hashing selects for the prefix, unless that one's
  /// load exceeds a random alternative's by more than `Knobs::max_affinity_load_difference`.
  [[nodiscard]] Pick pick(const PickQuery& query, TimePoint now);
  /// Counts a stream that this node opened.
  void on_stream_started(RunnerId runner);
  /// Uncounts a stream and updates the runner's health. A runner is ejected after
  /// `Knobs::eject_after_failures` consecutive failures, or a single one on probation; each
  /// ejection doubles its duration up to a limit.
  void on_stream_ended(RunnerId runner, StreamResult result, TimePoint now);

  [[nodiscard]] std::optional<RunnerView> find(RunnerId runner) const;
  [[nodiscard]] std::vector<RunnerView> list() const;
  /// Increases when the machine list, a leaving mark or a runner's health changes, so that callers
  /// can skip work while it stays the same.
  [[nodiscard]] std::uint64_t version() const;
  /// Runners of this node's zone, the ones whose ownership its nodes divide.
  [[nodiscard]] std::vector<RunnerId> zone_runners() const;
  /// Returns the number of entries and their approximate size in bytes.
  [[nodiscard]] std::pair<std::size_t, std::size_t> table_size() const;

 private:
  struct RunnerRow {
    RunnerId id{};
    ListedRunner listed;
    RunnerLoad report;
    TimePoint reported_at;
    bool reported = false;
    std::uint32_t streams_since_report = 0;
    std::uint32_t own_streams = 0;
    std::uint32_t failures = 0;
    TimePoint ejected_until;
    Duration eject_time{0};
    RunnerHealth health = RunnerHealth::kHealthy;
  };

  /// Returns the reported streams plus those started since the report; only this node's own streams
  /// if the report is stale.
  [[nodiscard]] std::uint32_t load_of(const RunnerRow& row, TimePoint now) const;
  /// Returns whether the machine list, the runner's owner or a relay of another zone marks the
  /// runner as leaving.
  [[nodiscard]] bool is_leaving(const RunnerRow& row) const;
  /// Returns whether a request may go to the runner; moves it to probation when its ejection ends.
  [[nodiscard]] bool is_eligible(RunnerRow& row, const PickQuery& query, TimePoint now);
  [[nodiscard]] std::optional<Pick> pick_among(const std::vector<std::size_t>& rows,
                                               const PickQuery& query, PickReason remote_reason,
                                               bool& all_full, TimePoint now);
  void rebuild_indexes();
  void refresh_foreign_leaving(TimePoint now);

  const std::string region_;
  const std::string zone_;
  const Knobs& knobs_;
  mutable RankedMutex mutex_{LockRank::kRunnerTable};
  Random random_;
  std::vector<RunnerRow> rows_;
  std::vector<std::size_t> zone_rows_;
  std::uint64_t version_ = 1;
  std::unordered_map<RunnerId, std::size_t> index_;
  /// Per service: rows of this zone, of the rest of this region, and of other regions.
  struct ServiceIndex {
    std::vector<std::size_t> zone;
    std::vector<std::size_t> region;
    std::vector<std::size_t> elsewhere;
  };
  std::unordered_map<std::string, ServiceIndex> services_;
  struct LeavingReport {
    std::vector<RunnerId> runners;
    TimePoint received_at;
  };
  std::map<NodeId, LeavingReport> leaving_reports_;
  std::set<RunnerId> foreign_leaving_;
};

}  // namespace stoathold
