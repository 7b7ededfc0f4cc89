#include "routing/latency_outliers.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Time constant of the decay. A runner that only just reached the limit is tried again after half
/// a second, one with twice as many outliers after 2 s.
constexpr Duration kCountDecayTime = std::chrono::seconds(3);
/// Multiple of the predicted time, at the machine's slowest speed, above which a response is an
/// outlier. The latency model itself counts a single response as at most twice the predicted time.
constexpr Duration::rep kOutlierRatio = 3;
/// Delay that a busy node itself may add: machines with a tenth of a core get it every 100 ms.
constexpr Duration kMaxOwnDelay = std::chrono::milliseconds(100);
/// Outliers needed to avoid a runner; a single one may be caused by a network stall.
constexpr double kMinOutliersToAvoid = 2.5;
/// Outliers that keep a runner on probation.
constexpr double kMinOutliersForProbation = 1;
/// Required fraction of outliers among the runner's responses.
constexpr double kMinOutlierFraction = 0.5;
/// Fraction of outliers among the other runners' responses from which on the cause is not the
/// runner.
constexpr double kMaxPeerOutlierFraction = 0.25;
constexpr std::size_t kRunnersPerOutlier = 4;

double outlier_fraction(const OutlierCounts& counts) {
  const double all = counts.outliers + counts.normal;
  return all > 0 ? counts.outliers / all : 0;
}

OutlierVerdict classify(const OutlierCounts& counts, const OutlierCounts& total) {
  if (counts.outliers < kMinOutliersForProbation || outlier_fraction(counts) < kMinOutlierFraction)
    return OutlierVerdict::kNone;
  const OutlierCounts others{total.outliers - counts.outliers, total.normal - counts.normal};
  const bool nothing_to_compare = others.outliers + others.normal < kMinOutliersForProbation;
  if (nothing_to_compare || outlier_fraction(others) >= kMaxPeerOutlierFraction)
    return OutlierVerdict::kNone;
  return counts.outliers >= kMinOutliersToAvoid ? OutlierVerdict::kAvoided
                                                : OutlierVerdict::kOnProbation;
}

}  // namespace

bool is_latency_outlier(Duration time, Duration expected) {
  return time > kOutlierRatio * expected + kMaxOwnDelay;
}

LatencyOutliers::LatencyOutliers()
    : own_outliers_(kCountDecayTime),
      own_normal_(kCountDecayTime),
      reported_outliers_(kCountDecayTime),
      reported_normal_(kCountDecayTime) {}

void LatencyOutliers::count(bool outlier, TimePoint now) {
  (outlier ? own_outliers_ : own_normal_).add(1, now);
}

void LatencyOutliers::apply_report(const OutlierCounts& counts, TimePoint now) {
  if (counts.outliers + counts.normal < reported_outliers_.value(now) + reported_normal_.value(now))
    return;
  reported_outliers_.set(counts.outliers, now);
  reported_normal_.set(counts.normal, now);
}

OutlierCounts LatencyOutliers::own(TimePoint now) const {
  return {own_outliers_.value(now), own_normal_.value(now)};
}

bool LatencyOutliers::is_suspect(TimePoint now) const {
  return own_outliers_.value(now) + reported_outliers_.value(now) >= kMinOutliersForProbation;
}

OutlierCounts LatencyOutliers::all(TimePoint now) const {
  OutlierCounts all = own(now);
  all += {reported_outliers_.value(now), reported_normal_.value(now)};
  return all;
}

std::vector<OutlierVerdict> detect_outliers(const std::vector<OutlierCounts>& counts) {
  OutlierCounts total;
  for (const OutlierCounts& of_runner : counts) total += of_runner;
  std::vector<OutlierVerdict> verdicts;
  std::size_t flagged = 0;
  for (const OutlierCounts& of_runner : counts) {
    verdicts.push_back(classify(of_runner, total));
    if (verdicts.back() != OutlierVerdict::kNone) ++flagged;
  }
  if (flagged * kRunnersPerOutlier > counts.size()) {
    std::fill(verdicts.begin(), verdicts.end(), OutlierVerdict::kNone);
  }
  return verdicts;
}

}  // namespace stoathold
