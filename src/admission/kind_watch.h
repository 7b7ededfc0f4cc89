/// @file
/// Watches whether a more urgent kind of request of a service is served less than a less urgent
/// one.
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

/// Requests of one route at one service, with one priority.
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

/// A kind that was placed less than a less urgent one of its service, in the last seconds.
struct KindInversion {
  KindOfRequest urgent;
  double urgent_served = 0;  ///< Part of its requests that were placed.
  KindOfRequest other;
  double other_served = 0;
};

/// Counts by kind. Used on one thread.
class KindWatch {
 public:
  /// Counts since the start, by outcome.
  struct Counts {
    std::array<std::uint64_t, kKindOutcomes.size()> total{};
    DecayingCount placed{kWatched};
    DecayingCount not_placed{kWatched};
  };

  void count(const KindOfRequest& kind, KindOutcome outcome, TimePoint now);
  /// Returns the kinds that were placed less than a less urgent one by more than a chance makes.
  [[nodiscard]] std::vector<KindInversion> inversions(TimePoint now) const;
  [[nodiscard]] const std::map<KindOfRequest, Counts>& kinds() const { return kinds_; }

 private:
  /// Time in which requests are forgotten to 1/e: some swings of arrivals.
  static constexpr Duration kWatched = std::chrono::seconds(10);

  std::map<KindOfRequest, Counts> kinds_;
};

}  // namespace stoathold
