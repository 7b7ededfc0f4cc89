/// @file
/// How fast runners work: what they report of it, and what this node learns from their answers.
///
/// Pure: no clock, no sockets. Used on one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "routing/slow_answers.h"
#include "routing/speed_report.h"

namespace stoathold {

/// Least slowness that a runner may report, in 100ths of the usual time: ten times as fast. Less
/// would let one false figure draw all work to a runner.
inline constexpr std::uint32_t kLeastSlownessPercent = 10;
/// Greatest: work of a second takes 50. More does not differ from a runner that stands still, for
/// which there are timeouts.
inline constexpr std::uint32_t kMostSlownessPercent = 5000;

/// Returns whether a runner may report that slowness.
constexpr bool is_true_slowness(std::uint64_t percent) {
  return percent >= kLeastSlownessPercent && percent <= kMostSlownessPercent;
}

/// What decides, beside the runner, how long an answer takes there.
struct RunnerWork {
  double unread_tokens = 0;  ///< Of prompts there, with those of the request.
  double load = 0;           ///< Requests there per place, before the request.
};

/// Predicted times of an answer.
struct ExpectedTimes {
  Duration first_event{0};  ///< From the sending to the first event.
  Duration event_gap{0};    ///< From one event to the next, once the runner is full.
  Duration longest_gap{0};  ///< The same, when the runner's machine is at its slowest.
};

/// What is known of one start of a runner.
class RunnerSpeed {
 public:
  /// @param percent a true slowness.
  /// @param reported when the runner said so; what is older than the last report counts nothing.
  /// @param own whether it said so to this node, which others should know.
  void take_slowness(std::uint32_t percent, TimePoint reported, bool own);
  /// Returns the time that work takes there now as a multiple of the usual.
  /// A report fades with its age to the runner's own mean: runners built slower report more for
  /// good.
  /// @param usual mean multiple of all runners, for one that has reported little.
  [[nodiscard]] double slowness(double usual, TimePoint now) const;

  /// An answer took so many times as long as the mean runner's would have.
  void learn(double ratio);
  /// Another node has learned that.
  void take_peer(double relative_time, std::uint32_t samples);
  /// Returns the time that work takes there as a multiple of the mean runner's, slowness aside.
  [[nodiscard]] double relative_time() const;

  /// Returns what this node itself knows, to share it with others.
  [[nodiscard]] SpeedReport report(std::uint64_t runner, TimePoint now) const;
  /// Whether it reported its slowness to this node, which has not shared that yet. What was learned
  /// changes slowly and goes along with it.
  [[nodiscard]] bool unshared() const { return unshared_; }
  void mark_shared() { unshared_ = false; }
  /// Answers that took longer than all of this explains.
  [[nodiscard]] SlowAnswers& slow_answers() { return slow_answers_; }
  [[nodiscard]] const SlowAnswers& slow_answers() const { return slow_answers_; }
  /// Answers that the learned time rests on, of this node.
  [[nodiscard]] std::uint32_t samples() const { return samples_; }
  /// When it last reported its slowness; the clock's start: never.
  [[nodiscard]] TimePoint reported_at() const { return reported_at_; }
  [[nodiscard]] std::uint32_t reported_percent() const { return percent_; }

 private:
  std::uint32_t percent_ = 0;
  TimePoint reported_at_{};
  double mean_percent_ = 0;  ///< Of the reports, of which the last ones count.
  double reports_ = 0;       ///< Those that count in it.
  std::uint32_t own_percent_ = 0;
  TimePoint own_reported_at_{};
  double log_time_ = 0;  ///< Logarithm of the relative time that this node has learned.
  std::uint32_t samples_ = 0;
  double peer_log_time_ = 0;
  double peer_weight_ = 0;  ///< Samples, of all other nodes, that count.
  SlowAnswers slow_answers_;
  bool unshared_ = false;
};

/// Learns a time as a linear function of what it depends on. Old samples fade, and a single one is
/// bounded, so that a bad answer moves it little.
class TimeFit {
 public:
  static constexpr std::size_t kTerms = 3;  ///< Constant, unread tokens, load.
  using Terms = std::array<double, kTerms>;

  /// @param prior what is assumed before anything is seen, in ms.
  explicit TimeFit(const Terms& prior);
  void observe(const RunnerWork& work, Duration time);
  [[nodiscard]] Duration expected(const RunnerWork& work) const;
  [[nodiscard]] std::uint64_t samples() const { return samples_; }

 private:
  void solve();

  Terms prior_;
  Terms solution_;
  std::array<Terms, kTerms> products_{};  ///< Faded sums of products of terms.
  Terms moments_{};                       ///< Faded sums of terms times observed ms.
  std::uint64_t samples_ = 0;
};

/// What one node has learned of the times of answers, by route, since requests of one route are
/// alike.
class SpeedModel {
 public:
  /// A runner reported its slowness, to this node or to another.
  void take_slowness(RunnerSpeed& runner, std::uint32_t percent, TimePoint reported, bool own);
  /// Takes another node's report of a runner; what is false in it counts nothing.
  /// @return whether it holds a slowness that the runner reported.
  bool take(RunnerSpeed& runner, const SpeedReport& report, TimePoint now);

  /// The first event of an answer came.
  void observe_first_event(std::uint64_t route, RunnerSpeed& runner, const RunnerWork& work,
                           Duration time, TimePoint now);
  /// Some events of an answer came.
  /// @param gap mean time from one to the next.
  void observe_gap(std::uint64_t route, RunnerSpeed& runner, double load, Duration gap,
                   TimePoint now);

  /// Returns the times that an answer is expected to take at a runner.
  [[nodiscard]] ExpectedTimes expected(std::uint64_t route, const RunnerSpeed& runner,
                                       const RunnerWork& work, TimePoint now) const;

 private:
  struct RouteTimes {
    RouteTimes();
    TimeFit first_event;
    TimeFit event_gap;
  };
  RouteTimes& times_of(std::uint64_t route);
  void learn(TimeFit& fit, RunnerSpeed& runner, const RunnerWork& work, Duration time,
             TimePoint now);

  std::map<std::uint64_t, RouteTimes> routes_;  ///< By hash of the name.
  double usual_slowness_ = 1;  ///< Mean of all runners, as a multiple of the usual time.
  double worst_slowness_ = 1;  ///< That runners reach now and then.
};

}  // namespace stoathold
