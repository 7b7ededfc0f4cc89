/// @file
/// Queued work, slot release rate and arrivals of each service in the zone.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "admission/arrival_rate_forecaster.h"
#include "admission/backlog_report.h"
#include "base/time.h"

namespace stoathold {

/// Queued work as a number of requests and their predicted slot time.
struct QueuedWork {
  std::uint32_t requests = 0;
  Duration slot_time{0};

  QueuedWork& operator+=(const QueuedWork& other) {
    requests += other.requests;
    slot_time += other.slot_time;
    return *this;
  }
};

/// Statistics of one service in the zone.
struct ServiceStatistics {
  QueuedWork peers;           ///< On-time work at the other nodes of at least the same urgency.
  Duration oldest_report{0};  ///< Age of the oldest of their reports that was counted.
  std::optional<Duration> slot_time;  ///< Mean time a request holds a slot; empty if unknown.
  double slots_freed_per_second = 0;  ///< Slots released by requests.
};

/// Aggregates the latest reports of the zone's nodes, and computes rates from the differences of
/// their counters. Memory is bounded: silent nodes and inactive services are removed. Times passed
/// in must not decrease. Used on one thread.
class ZoneBacklog {
 public:
  /// Records a request for the service that arrived at this node.
  void record_arrival(std::uint64_t service, std::uint8_t priority, TimePoint now);
  /// Records that a request of this node released a slot after holding it for `held`.
  void record_freed_slot(std::uint64_t service, std::uint8_t priority, Duration held,
                         TimePoint now);
  /// Returns this node's report.
  /// @param waiting on-time work that waits here, by service and priority.
  struct Group {
    std::uint64_t service = 0;
    std::uint8_t priority = 0;
    bool operator<(const Group& other) const {
      return std::tie(service, priority) < std::tie(other.service, other.priority);
    }
  };
  [[nodiscard]] std::vector<ServiceBacklog> report(
      const std::map<Group, QueuedWork>& waiting) const;
  /// Applies a report of another node.
  void apply_report(std::uint64_t sender, const std::vector<ServiceBacklog>& report, TimePoint now);

  /// Returns the statistics that apply to work of a priority.
  [[nodiscard]] ServiceStatistics statistics(std::uint64_t service, std::uint8_t priority,
                                             TimePoint now);
  /// Returns the forecaster of a service's arrivals in the zone; null if there were none recently.
  [[nodiscard]] const ArrivalRateForecaster* arrival_forecaster(std::uint64_t service,
                                                                TimePoint now);

 private:
  /// Counts of one time bin.
  struct Bin {
    std::uint32_t arrivals = 0;
    std::uint32_t freed = 0;
    std::uint64_t freed_ms = 0;
  };
  static constexpr std::size_t kBins = 20;
  struct ServiceState {
    std::array<Bin, kBins> bins{};
    std::int64_t current_bin = 0;  ///< Number of the current bin; 0 if there is none yet.
    ArrivalRateForecaster forecaster;

    /// Returns the current bin.
    Bin& bin() { return bins.at(static_cast<std::size_t>(current_bin) % kBins); }
  };
  struct PeerReport {
    TimePoint received{};
    std::vector<ServiceBacklog> entries;
  };

  ServiceState& advance(std::uint64_t service, TimePoint now);
  void record_increases(const PeerReport& before, const std::vector<ServiceBacklog>& after,
                        TimePoint now);
  void expire_peers(TimePoint now);

  std::map<Group, ServiceBacklog> own_counters_;
  std::map<std::uint64_t, PeerReport> peers_;  ///< By sender.
  TimePoint last_expiry_{};                    ///< Of `peers_`.
  std::map<std::uint64_t, ServiceState> services_;
};

}  // namespace stoathold
