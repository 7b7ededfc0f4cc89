#include "gateway/response_duration_estimator.h"

#include <algorithm>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Quantile of the event gaps that predictions use. It is above the median, since it is not unusual
/// for a response to come from a runner slower than most.
constexpr double kGapQuantile = 0.7;
/// Weight of a new response in the moving average of tokens per event.
constexpr double kMeanSmoothing = 0.1;
/// Reports encode the tokens per event in sixteenths, in 16 bits.
constexpr double kReportUnit = 16;
constexpr double kMaxReportedTokens = 4095;
/// Maximum number of routes in one report; more do not fit into the datagram with the loads.
constexpr std::size_t kMaxReportedRoutes = 8;

}  // namespace

ResponseDurationEstimator::RouteEstimate& ResponseDurationEstimator::estimate_for(
    std::uint64_t route) {
  return estimates_.try_emplace(route, RouteEstimate{LatencyQuantile(kGapQuantile), {}, false, {}})
      .first->second;
}

void ResponseDurationEstimator::observe_gap(const std::string& route, Duration gap) {
  estimate_for(stable_hash(route)).gap.observe(gap);
}

void ResponseDurationEstimator::observe_response(const std::string& route, TokenCount max_tokens,
                                                 EventCount events) {
  if (max_tokens.value == 0 || events.value == 0) return;
  RouteEstimate& entry = estimate_for(stable_hash(route));
  const double sample = static_cast<double>(max_tokens.value) / static_cast<double>(events.value);
  double& mean = entry.tokens_per_event.value;
  mean = entry.local ? mean + kMeanSmoothing * (sample - mean) : sample;
  entry.local = true;
}

Duration ResponseDurationEstimator::remaining_time(const std::string& route, TokenCount max_tokens,
                                                   EventCount events) const {
  const auto found = estimates_.find(stable_hash(route));
  if (found == estimates_.end() || !found->second.tokens_per_event.known()) return Duration{0};
  const RouteEstimate& entry = found->second;
  const Duration local_gap = entry.gap.value();
  const Duration gap = local_gap.count() > 0 ? local_gap : entry.reported_gap;
  const double remaining_events =
      entry.tokens_per_event.events_of(max_tokens) - static_cast<double>(events.value);
  return scale(gap, std::max(0.0, remaining_events));
}

std::vector<RouteStreamRate> ResponseDurationEstimator::local_estimates() const {
  std::vector<RouteStreamRate> reports;
  for (const auto& [route, entry] : estimates_) {
    if (!entry.local || reports.size() >= kMaxReportedRoutes) continue;
    const double tokens = std::min(kMaxReportedTokens, entry.tokens_per_event.value);
    reports.push_back({route, static_cast<std::uint32_t>(entry.gap.value().count()),
                       static_cast<std::uint16_t>(tokens * kReportUnit)});
  }
  return reports;
}

void ResponseDurationEstimator::apply_report(const RouteStreamRate& report) {
  RouteEstimate& entry = estimate_for(report.route);
  entry.reported_gap = Duration(report.event_gap_us);
  if (!entry.local) entry.tokens_per_event.value = report.tokens_per_event_16ths / kReportUnit;
}

}  // namespace stoathold
