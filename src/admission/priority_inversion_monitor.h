/// @file
/// Detects priority inversions: a more urgent class of requests that is served less often than a
/// less urgent class of the same service.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// Requests of one route at one service with one priority.
struct RequestClass {
  std::string service;
  std::string route;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.

  auto operator<=>(const RequestClass&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// How a request's wait for a slot ended.
enum class WaitOutcome : std::uint8_t { kInTime, kLate, kNotPlaced };

inline constexpr std::array<WaitOutcome, 3> kWaitOutcomes{WaitOutcome::kInTime, WaitOutcome::kLate,
                                                          WaitOutcome::kNotPlaced};

/// Returns the outcome's name for metrics.
constexpr std::string_view to_string(WaitOutcome outcome) {
  if (outcome == WaitOutcome::kInTime) return "in_time";
  return outcome == WaitOutcome::kLate ? "late" : "not_placed";
}

/// A class whose recent requests were placed less often than those of a less urgent class of the
/// same service.
struct PriorityInversion {
  RequestClass urgent;
  double urgent_placed_fraction = 0;  ///< Fraction of its requests that were placed.
  RequestClass less_urgent;
  double less_urgent_placed_fraction = 0;
};

/// Counts wait outcomes by request class. Used on one thread.
class PriorityInversionMonitor {
 public:
  /// Totals by outcome since the process started, and recent counts.
  struct Counts {
    std::array<std::uint64_t, kWaitOutcomes.size()> total{};
    DecayingCount placed{kDecayTime};
    DecayingCount not_placed{kDecayTime};
  };

  void record(const RequestClass& request_class, WaitOutcome outcome, TimePoint now);
  /// Returns the classes that were placed less often than a less urgent one, by more than chance
  /// explains.
  [[nodiscard]] std::vector<PriorityInversion> inversions(TimePoint now) const;
  [[nodiscard]] const std::map<RequestClass, Counts>& classes() const { return classes_; }

 private:
  /// Time in which counts decay to 1/e: several oscillations of arrivals.
  static constexpr Duration kDecayTime = std::chrono::seconds(10);

  std::map<RequestClass, Counts> classes_;
};

}  // namespace stoathold
