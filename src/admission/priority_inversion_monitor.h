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
struct KindOfRequest {
  std::string service;
  std::string route;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.

  auto operator<=>(const KindOfRequest&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// How a request's wait for a slot ended.
enum class KindOutcome : std::uint8_t { kInTime, kLate, kNotPlaced };

inline constexpr std::array<KindOutcome, 3> kKindOutcomes{KindOutcome::kInTime, KindOutcome::kLate,
                                                          KindOutcome::kNotPlaced};

/// Returns the outcome's name for metrics.
constexpr std::string_view to_string(KindOutcome outcome) {
  if (outcome == KindOutcome::kInTime) return "in_time";
  return outcome == KindOutcome::kLate ? "late" : "not_placed";
}

/// A class whose recent requests were placed less often than those of a less urgent class of the
/// same service.
struct KindInversion {
  KindOfRequest urgent;
  double urgent_served = 0;  ///< Fraction of its requests that were placed.
  KindOfRequest other;
  double other_served = 0;
};

/// Counts wait outcomes by request class. Used on one thread.
class KindWatch {
 public:
  /// Totals by outcome since the process started, and recent counts.
  struct Counts {
    std::array<std::uint64_t, kKindOutcomes.size()> total{};
    DecayingCount placed{kDecayTime};
    DecayingCount not_placed{kDecayTime};
  };

  void count(const KindOfRequest& request_class, KindOutcome outcome, TimePoint now);
  /// Returns the classes that were placed less often than a less urgent one, by more than chance
  /// explains.
  [[nodiscard]] std::vector<KindInversion> inversions(TimePoint now) const;
  [[nodiscard]] const std::map<KindOfRequest, Counts>& kinds() const { return classes_; }

 private:
  /// Time in which counts decay to 1/e: several oscillations of arrivals.
  static constexpr Duration kDecayTime = std::chrono::seconds(10);

  std::map<KindOfRequest, Counts> classes_;
};

}  // namespace stoathold
