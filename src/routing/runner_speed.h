/// @file
/// Latency prediction: the speed that runners report, and what this node learns from their
/// responses.
///
/// The clock is passed in; performs no I/O. Used on one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "routing/latency_outliers.h"
#include "routing/speed_report.h"

namespace stoathold {

/// Least slowness that a runner may report, in percent of the usual time: ten times as fast. A
/// smaller one would let a single false report attract all work to a runner.
inline constexpr std::uint32_t kMinSlownessPercent = 10;
/// Greatest slowness that a runner may report: one second of work takes 50. A slower runner does
/// not differ from one that hangs, for which there are timeouts.
inline constexpr std::uint32_t kMaxSlownessPercent = 5000;

/// Returns whether a reported slowness is in range.
constexpr bool is_valid_slowness(std::uint64_t percent) {
  return percent >= kMinSlownessPercent && percent <= kMaxSlownessPercent;
}

/// The load-dependent inputs of a latency prediction.
struct RunnerWork {
  /// Unprocessed prompt tokens at the runner, with those of the request.
  double pending_prompt_tokens = 0;
  double load = 0;  ///< Requests per slot, without the request.
};

/// Predicted latency of a response.
struct ExpectedTimes {
  Duration first_event{0};  ///< From sending to the first event.
  Duration event_gap{0};    ///< Between events while the runner is full.
  Duration longest_gap{0};  ///< The same at the slowest speed of the runner's machine.
};

/// Speed of one incarnation of a runner.
class RunnerSpeed {
 public:
  /// Applies a slowness report of the runner.
  /// @param percent a valid slowness.
  /// @param reported time of the report; reports older than the last one are ignored.
  /// @param own whether this node received it from the runner, and should share it with other
  /// nodes.
  void apply_slowness_report(std::uint32_t percent, TimePoint reported, bool own);
  /// Returns the current time of work there as a multiple of the usual time. The last report fades
  /// with its age to the runner's own mean, since runners that are slower by design always report
  /// more.
  /// @param mean_of_all mean slowness of all runners, assumed for a runner with few reports.
  [[nodiscard]] double slowness(double mean_of_all, TimePoint now) const;

  /// Learns from a response that took `ratio` times as long as the mean runner's would have.
  void learn(double ratio);
  /// Applies the relative time that another node has learned.
  void apply_peer_relative_time(double relative_time, std::uint32_t samples);
  /// Returns the time of work there relative to the mean runner, apart from slowness.
  [[nodiscard]] double relative_time() const;

  /// Returns what this node itself knows of the runner, to be shared with other nodes.
  [[nodiscard]] SpeedReport report(std::uint64_t runner, TimePoint now) const;
  /// Returns whether this node has received a slowness report that it has not shared yet. The
  /// learned time changes slowly and is shared along with it.
  [[nodiscard]] bool has_unshared_report() const { return unshared_; }
  void mark_shared() { unshared_ = false; }
  /// Returns the tracker of responses slower than all of this predicts.
  [[nodiscard]] LatencyOutliers& latency_outliers() { return latency_outliers_; }
  [[nodiscard]] const LatencyOutliers& latency_outliers() const { return latency_outliers_; }
  /// Returns the number of responses of this node from which the relative time was learned.
  [[nodiscard]] std::uint32_t samples() const { return samples_; }
  /// Returns when the runner last reported its slowness; zero: never.
  [[nodiscard]] TimePoint reported_at() const { return reported_at_; }
  [[nodiscard]] std::uint32_t reported_percent() const { return percent_; }

 private:
  std::uint32_t percent_ = 0;
  TimePoint reported_at_{};
  double mean_percent_ = 0;  ///< Mean over about the last `kReportsKept` reports.
  double reports_ = 0;       ///< Weight of that mean: number of reports, capped.
  std::uint32_t own_percent_ = 0;
  TimePoint own_reported_at_{};
  double log_relative_time_ = 0;  ///< Logarithm of the relative time learned by this node.
  std::uint32_t samples_ = 0;
  double peer_log_relative_time_ = 0;
  double peer_weight_ = 0;  ///< Number of samples of all other nodes, capped.
  LatencyOutliers latency_outliers_;
  bool unshared_ = false;
};

/// Linear regression of a response time on the runner's work. Old samples decay, and the effect of
/// a single sample is bounded, so that an outlier changes little.
class LatencyRegression {
 public:
  static constexpr std::size_t kTerms = 3;  ///< Constant, unprocessed tokens, load.
  using Terms = std::array<double, kTerms>;

  /// @param prior coefficients assumed before the first sample, in ms.
  explicit LatencyRegression(const Terms& prior);
  void observe(const RunnerWork& work, Duration time);
  [[nodiscard]] Duration expected(const RunnerWork& work) const;
  [[nodiscard]] std::uint64_t samples() const { return samples_; }

 private:
  void solve();

  Terms prior_;
  Terms solution_;
  std::array<Terms, kTerms> products_{};  ///< Decaying sums of products of terms.
  Terms moments_{};                       ///< Decaying sums of terms times observed ms.
  std::uint64_t samples_ = 0;
};

/// The response times that one node has learned, per route, because requests of a route are alike.
class SpeedModel {
 public:
  /// Applies a slowness that the runner reported to this node or another one.
  void apply_slowness_report(RunnerSpeed& runner, std::uint32_t percent, TimePoint reported,
                             bool own);
  /// Applies another node's report of a runner and ignores invalid values in it.
  /// @return whether it holds a valid slowness reported by the runner.
  bool apply_report(RunnerSpeed& runner, const SpeedReport& report, TimePoint now);

  /// Learns from the time to the first event of a response.
  void observe_first_event(std::uint64_t route, RunnerSpeed& runner, const RunnerWork& work,
                           Duration time, TimePoint now);
  /// Learns from the time between events of a response.
  /// @param gap mean time between events.
  void observe_gap(std::uint64_t route, RunnerSpeed& runner, double load, Duration gap,
                   TimePoint now);

  /// Returns the predicted latency of a response at a runner.
  [[nodiscard]] ExpectedTimes expected(std::uint64_t route, const RunnerSpeed& runner,
                                       const RunnerWork& work, TimePoint now) const;

 private:
  struct RouteLatencyModel {
    RouteLatencyModel();
    LatencyRegression first_event;
    LatencyRegression event_gap;
  };
  RouteLatencyModel& latency_model(std::uint64_t route);
  void learn(LatencyRegression& fit, RunnerSpeed& runner, const RunnerWork& work, Duration time,
             TimePoint now);

  std::map<std::uint64_t, RouteLatencyModel> routes_;  ///< By hash of the name.
  double mean_slowness_ = 1;  ///< Mean over all runners, as a multiple of the usual time.
  double peak_slowness_ = 1;  ///< Slowness that runners reach from time to time.
};

}  // namespace stoathold
