#include "routing/runner_speed.h"

#include <algorithm>
#include <cmath>

#include "base/saturated.h"

namespace stoathold {
namespace {

constexpr double kPercent = 100;
/// After this time a report says nothing of the moment: machines change within so long.
constexpr Duration kSlownessLifetime = std::chrono::milliseconds(600);
/// Bounds of the learned time against the mean: ten times a factor of 1.6, the unevenness known.
constexpr double kMostRelativeTime = 16;
/// A single answer counts as at most so many times slower or faster than expected.
constexpr double kMostRatio = 2;
/// Part by which one answer moves the learned time: as a mean of the first few, then of the last
/// sixteen, so that a runner that changes for good is known after some seconds of work.
constexpr double kSamplesKept = 16;
/// Samples of the mean runner that a new one begins with.
constexpr double kPriorSamples = 1;
/// Part by which the learned time falls back to the mean with each answer: runners' times and the
/// mean are learned from one another, and both could drift together.
constexpr double kAnchor = 0.002;
/// Samples of other nodes that count together.
constexpr double kPeerSamplesKept = 64;
/// Reports of a runner of which it has its own mean: those of some seconds, many slownesses.
constexpr double kReportsKept = 64;
/// Reports of the mean runner that a new one begins with.
constexpr double kPriorReports = 4;
/// Parts of a unit in which reports hold the relative time.
constexpr double kReportUnit = 256;
/// Part by which one report moves the mean slowness, of which there are some hundred a second.
constexpr double kUsualStep = 1.0 / 256;
/// How fast the worst slowness falls towards what is reported.
constexpr double kWorstStep = 1.0 / 1024;

/// Sum of the weights of samples: the last hundred or so count.
constexpr double kSampleFading = 0.99;
/// A sample counts as at most so many times the expected time, or as that part of it.
constexpr double kMostSampleRatio = 4;
/// Weight of the prior against samples.
constexpr double kPriorWeight = 1;
constexpr double kTokensPerTerm = 1000;
constexpr double kMicrosecondsPerMs = 1000;
/// What is assumed of answers before any came: milliseconds for the constant, for 1,000 unread
/// tokens (100 are read in a ms) and for a full runner.
constexpr TimeFit::Terms kFirstEventPrior{40, 10, 40};
constexpr TimeFit::Terms kEventGapPrior{30, 0, 15};
/// Answers from which times of a route are known well enough to call one slow beyond explanation.
constexpr std::uint64_t kSamplesToJudge = 30;
/// A machine's slowest moment is taken for at most so many times the mean, whatever one runner
/// says.
constexpr double kMostMoment = 4;
/// Counts of answers are reported in tenths.
constexpr double kAnswerUnit = 10;

std::uint8_t in_tenths(double count) {
  return saturated<std::uint8_t>(static_cast<std::int64_t>(count * kAnswerUnit));
}

double to_ms(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMs;
}

Duration from_ms(double value) {
  return Duration(static_cast<Duration::rep>(value * kMicrosecondsPerMs));
}

TimeFit::Terms terms_of(const RunnerWork& work) {
  return {1, work.unread_tokens / kTokensPerTerm, work.load};
}

double scalar_product(const TimeFit::Terms& left, const TimeFit::Terms& right) {
  double sum = 0;
  for (std::size_t i = 0; i < TimeFit::kTerms; ++i) sum += left[i] * right[i];
  return sum;
}

}  // namespace

void RunnerSpeed::take_slowness(std::uint32_t percent, TimePoint reported, bool own) {
  if (own) {
    own_percent_ = percent;
    own_reported_at_ = reported;
    unshared_ = true;
  }
  if (reported < reported_at_) return;
  const bool doubled = reported == reported_at_ && percent == percent_;
  if (!doubled) {
    reports_ = std::min(reports_ + 1, kReportsKept);
    mean_percent_ += (percent - mean_percent_) / reports_;
  }
  percent_ = percent;
  reported_at_ = reported;
}

double RunnerSpeed::slowness(double usual, TimePoint now) const {
  const double mean =
      (usual * kPriorReports + mean_percent_ / kPercent * reports_) / (kPriorReports + reports_);
  if (reported_at_ == TimePoint{}) return mean;
  const double age = to_seconds(now - reported_at_) / to_seconds(kSlownessLifetime);
  const double freshness = std::clamp(1 - age, 0.0, 1.0);
  return mean + (percent_ / kPercent - mean) * freshness;
}

void RunnerSpeed::learn(double ratio) {
  const double most = std::log(kMostRatio);
  const double step = 1 / (std::min<double>(samples_, kSamplesKept) + 1 + kPriorSamples);
  const double difference = std::log(ratio) - log_time_;
  log_time_ += step * std::clamp(difference, -most, most);
  log_time_ *= 1 - kAnchor;
  ++samples_;
}

void RunnerSpeed::take_peer(double relative_time, std::uint32_t samples) {
  if (samples == 0) return;
  const double bounded = std::clamp(relative_time, 1 / kMostRelativeTime, kMostRelativeTime);
  const double weight = std::min<double>(samples, kSamplesKept);
  peer_weight_ = std::min(peer_weight_ + weight, kPeerSamplesKept);
  peer_log_time_ += (std::log(bounded) - peer_log_time_) * weight / peer_weight_;
}

double RunnerSpeed::relative_time() const {
  const double own_weight = std::min<double>(samples_, kSamplesKept);
  const double weight = own_weight + peer_weight_;
  if (weight == 0) return 1;
  const double mean = (log_time_ * own_weight + peer_log_time_ * peer_weight_) / weight;
  return std::clamp(std::exp(mean), 1 / kMostRelativeTime, kMostRelativeTime);
}

SpeedReport RunnerSpeed::report(std::uint64_t runner, TimePoint now) const {
  SpeedReport report{.runner = runner};
  if (own_reported_at_ != TimePoint{}) {
    report.slowness_percent = static_cast<std::uint16_t>(own_percent_);
    report.slowness_age_ms = saturated_milliseconds(now - own_reported_at_);
  }
  const double parts = std::exp(log_time_) * kReportUnit;
  report.relative_time = saturated<std::uint16_t>(static_cast<std::int64_t>(parts));
  report.samples = saturated<std::uint8_t>(samples_);
  const SlowCounts answers = slow_answers_.own(now);
  report.slow_answers = in_tenths(answers.slow);
  report.usual_answers = in_tenths(answers.usual);
  return report;
}

TimeFit::TimeFit(const Terms& prior) : prior_(prior), solution_(prior) {}

Duration TimeFit::expected(const RunnerWork& work) const {
  return from_ms(scalar_product(solution_, terms_of(work)));
}

void TimeFit::observe(const RunnerWork& work, Duration time) {
  const Terms terms = terms_of(work);
  const double expected_ms = std::max(1.0, scalar_product(solution_, terms));
  const double sample_ms =
      std::clamp(to_ms(time), expected_ms / kMostSampleRatio, expected_ms * kMostSampleRatio);
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t column = 0; column < kTerms; ++column) {
      double& product = products_[row][column];
      product = product * kSampleFading + terms[row] * terms[column];
    }
    moments_[row] = moments_[row] * kSampleFading + terms[row] * sample_ms;
  }
  ++samples_;
  solve();
}

/// Least squares with the prior as a few samples: what the samples do not tell apart keeps the
/// proportion that was assumed. Solved term by term, each given the others, which converges since
/// the products are positive definite, and keeps every term from falling below zero.
void TimeFit::solve() {
  constexpr int kRounds = 4;  // Begun from the solution before, which one sample changes little.
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t row = 0; row < kTerms; ++row) {
      double rest = moments_[row] + kPriorWeight * prior_[row];
      for (std::size_t column = 0; column < kTerms; ++column) {
        if (column != row) rest -= products_[row][column] * solution_[column];
      }
      solution_[row] = std::max(0.0, rest / (products_[row][row] + kPriorWeight));
    }
  }
}

SpeedModel::RouteTimes::RouteTimes() : first_event(kFirstEventPrior), event_gap(kEventGapPrior) {}

SpeedModel::RouteTimes& SpeedModel::times_of(std::uint64_t route) {
  return routes_[route];
}

void SpeedModel::take_slowness(RunnerSpeed& runner, std::uint32_t percent, TimePoint reported,
                               bool own) {
  runner.take_slowness(percent, reported, own);
  const double slowness = percent / kPercent;
  usual_slowness_ += (slowness - usual_slowness_) * kUsualStep;
  worst_slowness_ += (slowness - worst_slowness_) * (slowness > worst_slowness_ ? 1 : kWorstStep);
}

bool SpeedModel::take(RunnerSpeed& runner, const SpeedReport& report, TimePoint now) {
  if (report.relative_time > 0) {
    runner.take_peer(report.relative_time / kReportUnit, report.samples);
  }
  runner.slow_answers().take_report(
      {report.slow_answers / kAnswerUnit, report.usual_answers / kAnswerUnit}, now);
  if (!is_true_slowness(report.slowness_percent)) return false;
  const Duration age = std::chrono::milliseconds(report.slowness_age_ms);
  if (now - age > runner.reported_at()) {
    take_slowness(runner, report.slowness_percent, now - age, false);
  }
  return true;
}

void SpeedModel::learn(TimeFit& fit, RunnerSpeed& runner, const RunnerWork& work, Duration time,
                       TimePoint now) {
  // Reported slowness passes and the runner's own speed stays: each is learned without the other.
  const double slowness = runner.slowness(usual_slowness_, now);
  const double mean_ms = std::max(1.0, to_ms(fit.expected(work)));
  if (fit.samples() >= kSamplesToJudge) {
    const double moment = std::min(worst_slowness_, kMostMoment * usual_slowness_);
    const double slowest = std::max(slowness, moment) * runner.relative_time();
    runner.slow_answers().count(is_beyond_explanation(time, from_ms(mean_ms * slowest)), now);
  }
  const double ratio = std::max(0.01, to_ms(time) / slowness / mean_ms);
  fit.observe(work, scale(time, 1 / (slowness * runner.relative_time())));
  runner.learn(ratio);
}

void SpeedModel::observe_first_event(std::uint64_t route, RunnerSpeed& runner,
                                     const RunnerWork& work, Duration time, TimePoint now) {
  learn(times_of(route).first_event, runner, work, time, now);
}

void SpeedModel::observe_gap(std::uint64_t route, RunnerSpeed& runner, double load, Duration gap,
                             TimePoint now) {
  learn(times_of(route).event_gap, runner, {.load = load}, gap, now);
}

ExpectedTimes SpeedModel::expected(std::uint64_t route, const RunnerSpeed& runner,
                                   const RunnerWork& work, TimePoint now) const {
  static const RouteTimes kUnseen;
  const auto found = routes_.find(route);
  const RouteTimes& times = found == routes_.end() ? kUnseen : found->second;
  const double relative_time = runner.relative_time();
  const double slowness = runner.slowness(usual_slowness_, now);
  // A stream lasts while other work comes and goes there.
  const Duration gap = times.event_gap.expected({.load = 1});
  return {.first_event = scale(times.first_event.expected(work), relative_time * slowness),
          .event_gap = scale(gap, relative_time * slowness),
          .longest_gap = scale(gap, relative_time * std::max(slowness, worst_slowness_))};
}

}  // namespace stoathold
