#include "routing/runner_speed.h"

#include <algorithm>
#include <cmath>

#include "base/saturating_cast.h"

namespace stoathold {
namespace {

constexpr double kPercent = 100;
/// Age at which a report no longer describes the current state: machines change within this time.
constexpr Duration kSlownessLifetime = std::chrono::milliseconds(600);
/// Bound on the learned relative time: ten times 1.6, the largest known factor between runners.
constexpr double kMaxRelativeTime = 16;
/// Factor by which a single response may at most count as slower or faster than predicted.
constexpr double kMaxRatio = 2;
/// Samples in the learned mean: the first few are averaged, then about the last sixteen, so that a
/// permanent change of a runner is learned within some seconds of work.
constexpr double kSamplesKept = 16;
/// Samples of the mean runner with which a new runner starts.
constexpr double kPriorSamples = 1;
/// Fraction by which each response pulls the learned time back to the mean. Runners' times and the
/// mean are learned from each other, and without it both could drift together.
constexpr double kMeanReversion = 0.002;
/// Cap on the weight of other nodes' samples.
constexpr double kPeerSamplesKept = 64;
/// Reports in a runner's own mean: those of some seconds, which cover many values of slowness.
constexpr double kReportsKept = 64;
/// Reports of the mean runner with which a new runner starts.
constexpr double kPriorReports = 4;
/// Fixed-point scale of the relative time in reports.
constexpr double kRelativeTimeScale = 256;
/// Fraction by which one report moves the mean slowness; some hundred reports arrive per second.
constexpr double kMeanSlownessStep = 1.0 / 256;
/// Rate at which the worst slowness decays towards the reported values.
constexpr double kPeakSlownessDecay = 1.0 / 1024;

/// Decay of older samples per new sample: about the last hundred count.
constexpr double kSampleDecay = 0.99;
/// Bound on the ratio between a sample and the prediction, in both directions.
constexpr double kMaxSampleRatio = 4;
/// Weight of the prior in samples.
constexpr double kPriorWeight = 1;
constexpr double kTokensPerTerm = 1000;
constexpr double kMicrosecondsPerMs = 1000;
/// Prior coefficients in ms: the constant, per 1,000 unprocessed tokens (100 are processed per ms),
/// and for a full runner.
constexpr LatencyRegression::Terms kFirstEventPrior{40, 10, 40};
constexpr LatencyRegression::Terms kEventGapPrior{30, 0, 15};
/// Responses of a route needed before its predictions are reliable enough to detect outliers.
constexpr std::uint64_t kMinSamplesForOutliers = 30;
/// Cap on a machine's slowest speed as a multiple of the mean, whatever a single runner reports.
constexpr double kMaxPeakToMeanSlowness = 4;
/// Response counts are reported in tenths.
constexpr double kResponseCountScale = 10;

std::uint8_t in_tenths(double count) {
  return saturating_cast<std::uint8_t>(static_cast<std::int64_t>(count * kResponseCountScale));
}

double to_ms(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMs;
}

Duration from_ms(double value) {
  return Duration(static_cast<Duration::rep>(value * kMicrosecondsPerMs));
}

LatencyRegression::Terms terms_of(const RunnerWork& work) {
  return {1, work.pending_prompt_tokens / kTokensPerTerm, work.load};
}

double scalar_product(const LatencyRegression::Terms& left, const LatencyRegression::Terms& right) {
  double sum = 0;
  for (std::size_t i = 0; i < LatencyRegression::kTerms; ++i) sum += left[i] * right[i];
  return sum;
}

}  // namespace

void RunnerSpeed::apply_slowness_report(std::uint32_t percent, TimePoint reported, bool own) {
  if (own) {
    own_percent_ = percent;
    own_reported_at_ = reported;
    unshared_ = true;
  }
  if (reported < reported_at_) return;
  const bool is_duplicate = reported == reported_at_ && percent == percent_;
  if (!is_duplicate) {
    reports_ = std::min(reports_ + 1, kReportsKept);
    mean_percent_ += (percent - mean_percent_) / reports_;
  }
  percent_ = percent;
  reported_at_ = reported;
}

double RunnerSpeed::slowness(double mean_of_all, TimePoint now) const {
  const double mean = (mean_of_all * kPriorReports + mean_percent_ / kPercent * reports_) /
                      (kPriorReports + reports_);
  if (reported_at_ == TimePoint{}) return mean;
  const double age = to_seconds(now - reported_at_) / to_seconds(kSlownessLifetime);
  const double freshness = std::clamp(1 - age, 0.0, 1.0);
  return mean + (percent_ / kPercent - mean) * freshness;
}

void RunnerSpeed::learn(double ratio) {
  const double max_step = std::log(kMaxRatio);
  const double step = 1 / (std::min<double>(samples_, kSamplesKept) + 1 + kPriorSamples);
  const double difference = std::log(ratio) - log_relative_time_;
  log_relative_time_ += step * std::clamp(difference, -max_step, max_step);
  log_relative_time_ *= 1 - kMeanReversion;
  ++samples_;
}

void RunnerSpeed::apply_peer_relative_time(double relative_time, std::uint32_t samples) {
  if (samples == 0) return;
  const double bounded = std::clamp(relative_time, 1 / kMaxRelativeTime, kMaxRelativeTime);
  const double weight = std::min<double>(samples, kSamplesKept);
  peer_weight_ = std::min(peer_weight_ + weight, kPeerSamplesKept);
  peer_log_relative_time_ += (std::log(bounded) - peer_log_relative_time_) * weight / peer_weight_;
}

double RunnerSpeed::relative_time() const {
  const double own_weight = std::min<double>(samples_, kSamplesKept);
  const double weight = own_weight + peer_weight_;
  if (weight == 0) return 1;
  const double mean =
      (log_relative_time_ * own_weight + peer_log_relative_time_ * peer_weight_) / weight;
  return std::clamp(std::exp(mean), 1 / kMaxRelativeTime, kMaxRelativeTime);
}

SpeedReport RunnerSpeed::report(std::uint64_t runner, TimePoint now) const {
  SpeedReport report{.runner = runner};
  if (own_reported_at_ != TimePoint{}) {
    report.slowness_percent = static_cast<std::uint16_t>(own_percent_);
    report.slowness_age_ms = saturating_milliseconds(now - own_reported_at_);
  }
  const double parts = std::exp(log_relative_time_) * kRelativeTimeScale;
  report.relative_time = saturating_cast<std::uint16_t>(static_cast<std::int64_t>(parts));
  report.samples = saturating_cast<std::uint8_t>(samples_);
  const OutlierCounts responses = latency_outliers_.own(now);
  report.outlier_responses = in_tenths(responses.outliers);
  report.normal_responses = in_tenths(responses.normal);
  return report;
}

LatencyRegression::LatencyRegression(const Terms& prior) : prior_(prior), solution_(prior) {}

Duration LatencyRegression::expected(const RunnerWork& work) const {
  return from_ms(scalar_product(solution_, terms_of(work)));
}

void LatencyRegression::observe(const RunnerWork& work, Duration time) {
  const Terms terms = terms_of(work);
  const double expected_ms = std::max(1.0, scalar_product(solution_, terms));
  const double sample_ms =
      std::clamp(to_ms(time), expected_ms / kMaxSampleRatio, expected_ms * kMaxSampleRatio);
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t column = 0; column < kTerms; ++column) {
      double& product = products_[row][column];
      product = product * kSampleDecay + terms[row] * terms[column];
    }
    moments_[row] = moments_[row] * kSampleDecay + terms[row] * sample_ms;
  }
  ++samples_;
  solve();
}

/// Least squares in which the prior counts as a few samples: coefficients that the samples cannot
/// separate keep their prior proportion. Solved by coordinate descent, which converges since the
/// matrix is positive definite, and which allows each coefficient to be kept from falling below
/// zero.
void LatencyRegression::solve() {
  constexpr int kRounds = 4;  // Starts from the last solution, which a sample changes little.
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t row = 0; row < kTerms; ++row) {
      double residual = moments_[row] + kPriorWeight * prior_[row];
      for (std::size_t column = 0; column < kTerms; ++column) {
        if (column != row) residual -= products_[row][column] * solution_[column];
      }
      solution_[row] = std::max(0.0, residual / (products_[row][row] + kPriorWeight));
    }
  }
}

SpeedModel::RouteLatencyModel::RouteLatencyModel()
    : first_event(kFirstEventPrior), event_gap(kEventGapPrior) {}

SpeedModel::RouteLatencyModel& SpeedModel::latency_model(std::uint64_t route) {
  return routes_[route];
}

void SpeedModel::apply_slowness_report(RunnerSpeed& runner, std::uint32_t percent,
                                       TimePoint reported, bool own) {
  runner.apply_slowness_report(percent, reported, own);
  const double slowness = percent / kPercent;
  mean_slowness_ += (slowness - mean_slowness_) * kMeanSlownessStep;
  peak_slowness_ +=
      (slowness - peak_slowness_) * (slowness > peak_slowness_ ? 1 : kPeakSlownessDecay);
}

bool SpeedModel::apply_report(RunnerSpeed& runner, const SpeedReport& report, TimePoint now) {
  if (report.relative_time > 0) {
    runner.apply_peer_relative_time(report.relative_time / kRelativeTimeScale, report.samples);
  }
  runner.latency_outliers().apply_report({report.outlier_responses / kResponseCountScale,
                                          report.normal_responses / kResponseCountScale},
                                         now);
  if (!is_valid_slowness(report.slowness_percent)) return false;
  const Duration age = std::chrono::milliseconds(report.slowness_age_ms);
  if (now - age > runner.reported_at()) {
    apply_slowness_report(runner, report.slowness_percent, now - age, false);
  }
  return true;
}

void SpeedModel::learn(LatencyRegression& fit, RunnerSpeed& runner, const RunnerWork& work,
                       Duration time, TimePoint now) {
  // Reported slowness is temporary and the runner's own speed is permanent: each is learned with
  // the other factored out.
  const double slowness = runner.slowness(mean_slowness_, now);
  const double mean_ms = std::max(1.0, to_ms(fit.expected(work)));
  if (fit.samples() >= kMinSamplesForOutliers) {
    const double peak = std::min(peak_slowness_, kMaxPeakToMeanSlowness * mean_slowness_);
    const double slowest = std::max(slowness, peak) * runner.relative_time();
    runner.latency_outliers().count(is_latency_outlier(time, from_ms(mean_ms * slowest)), now);
  }
  const double ratio = std::max(0.01, to_ms(time) / slowness / mean_ms);
  fit.observe(work, scale(time, 1 / (slowness * runner.relative_time())));
  runner.learn(ratio);
}

void SpeedModel::observe_first_event(std::uint64_t route, RunnerSpeed& runner,
                                     const RunnerWork& work, Duration time, TimePoint now) {
  learn(latency_model(route).first_event, runner, work, time, now);
}

void SpeedModel::observe_gap(std::uint64_t route, RunnerSpeed& runner, double load, Duration gap,
                             TimePoint now) {
  learn(latency_model(route).event_gap, runner, {.load = load}, gap, now);
}

ExpectedTimes SpeedModel::expected(std::uint64_t route, const RunnerSpeed& runner,
                                   const RunnerWork& work, TimePoint now) const {
  static const RouteLatencyModel kNoSamples;
  const auto found = routes_.find(route);
  const RouteLatencyModel& times = found == routes_.end() ? kNoSamples : found->second;
  const double relative_time = runner.relative_time();
  const double slowness = runner.slowness(mean_slowness_, now);
  // A stream lasts while other requests come and go, so its gaps are predicted for a full runner.
  const Duration gap = times.event_gap.expected({.load = 1});
  return {.first_event = scale(times.first_event.expected(work), relative_time * slowness),
          .event_gap = scale(gap, relative_time * slowness),
          .longest_gap = scale(gap, relative_time * std::max(slowness, peak_slowness_))};
}

}  // namespace stoathold
