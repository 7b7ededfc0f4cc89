/// @file
/// What waits for each service in the zone, how fast slots come free, and what arrives.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "admission/arrival_swing.h"
#include "admission/backlog_report.h"
#include "base/time.h"

namespace stoathold {

/// Work that waits, as its number of requests and the slot time that it will take.
struct QueuedWork {
  std::uint32_t requests = 0;
  Duration slot_time{0};

  QueuedWork& operator+=(const QueuedWork& other) {
    requests += other.requests;
    slot_time += other.slot_time;
    return *this;
  }
};

/// Figures of one service in the zone.
struct ServiceFigures {
  QueuedWork peers;                   ///< In time, at least as urgent, at the other nodes.
  Duration oldest_report{0};          ///< Age of the oldest of their reports that counts.
  std::optional<Duration> slot_time;  ///< Mean for which a request holds a slot; nothing: unknown.
  double freed_per_second = 0;        ///< Slots that requests gave back.
};

/// Sums of the newest reports of the zone's nodes, and rates from their counters' differences.
/// Memory is bounded: nodes that are silent and services without news are forgotten. Times passed
/// in rise. Used on one thread.
class ZoneBacklog {
 public:
  /// A request for the service came to this node.
  void count_arrival(std::uint64_t service, std::uint8_t priority, TimePoint now);
  /// A request of this node gave a slot back that it had held for so long.
  void count_freed(std::uint64_t service, std::uint8_t priority, Duration held, TimePoint now);
  /// Returns this node's report.
  /// @param waiting what waits here in time, by service and priority.
  struct Group {
    std::uint64_t service = 0;
    std::uint8_t priority = 0;
    bool operator<(const Group& other) const {
      return std::tie(service, priority) < std::tie(other.service, other.priority);
    }
  };
  [[nodiscard]] std::vector<ServiceBacklog> report(
      const std::map<Group, QueuedWork>& waiting) const;
  /// Takes a report of another node.
  void take(std::uint64_t sender, const std::vector<ServiceBacklog>& report, TimePoint now);

  /// Returns the figures for work of a priority.
  [[nodiscard]] ServiceFigures figures(std::uint64_t service, std::uint8_t priority, TimePoint now);
  /// Returns the swing of a service's arrivals in the zone; null: none came lately.
  [[nodiscard]] const ArrivalSwing* swing(std::uint64_t service, TimePoint now);

 private:
  /// Counts over the last seconds, in bins.
  struct Bin {
    std::uint32_t arrivals = 0;
    std::uint32_t freed = 0;
    std::uint64_t freed_ms = 0;
  };
  static constexpr std::size_t kBins = 20;
  struct ServiceState {
    std::array<Bin, kBins> bins{};
    std::int64_t current_bin = 0;  ///< Number of the bin that counts now; 0: none yet.
    ArrivalSwing swing;

    /// The bin that counts now.
    Bin& bin() { return bins.at(static_cast<std::size_t>(current_bin) % kBins); }
  };
  struct PeerReport {
    TimePoint received{};
    std::vector<ServiceBacklog> entries;
  };

  ServiceState& advance(std::uint64_t service, TimePoint now);
  void count_differences(const PeerReport& before, const std::vector<ServiceBacklog>& after,
                         TimePoint now);
  void forget_silent(TimePoint now);

  std::map<Group, ServiceBacklog> own_;
  std::map<std::uint64_t, PeerReport> peers_;  ///< By sender.
  std::map<std::uint64_t, ServiceState> services_;
};

}  // namespace stoathold
