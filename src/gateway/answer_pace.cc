#include "gateway/answer_pace.h"

#include <algorithm>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Quantile of the event gaps that predictions use, so that runners slower than most are covered.
constexpr double kGapQuantile = 0.7;
/// Weight of a new response in the moving average of tokens per event.
constexpr double kMeanSmoothing = 0.1;
/// Reports encode the tokens per event in sixteenths, in 16 bits.
constexpr double kReportUnit = 16;
constexpr double kMaxReportedTokens = 4095;
/// Maximum number of routes in one report; more do not fit into the datagram with the loads.
constexpr std::size_t kMaxReportedRoutes = 8;

}  // namespace

AnswerPace::Pace& AnswerPace::pace_of(std::uint64_t route) {
  return paces_.try_emplace(route, Pace{LatencyQuantile(kGapQuantile), {}, false, {}})
      .first->second;
}

void AnswerPace::observe_gap(const std::string& route, Duration gap) {
  pace_of(stable_hash(route)).gap.observe(gap);
}

void AnswerPace::observe_answer(const std::string& route, TokenCount max_tokens,
                                EventCount events) {
  if (max_tokens.value == 0 || events.value == 0) return;
  Pace& pace = pace_of(stable_hash(route));
  const double sample = static_cast<double>(max_tokens.value) / static_cast<double>(events.value);
  double& mean = pace.tokens_per_event.value;
  mean = pace.local ? mean + kMeanSmoothing * (sample - mean) : sample;
  pace.local = true;
}

Duration AnswerPace::expected_rest(const std::string& route, TokenCount max_tokens,
                                   EventCount events) const {
  const auto found = paces_.find(stable_hash(route));
  if (found == paces_.end() || !found->second.tokens_per_event.known()) return Duration{0};
  const Pace& pace = found->second;
  const Duration local_gap = pace.gap.value();
  const Duration gap = local_gap.count() > 0 ? local_gap : pace.reported_gap;
  const double remaining_events =
      pace.tokens_per_event.events_of(max_tokens) - static_cast<double>(events.value);
  return scale(gap, std::max(0.0, remaining_events));
}

std::vector<RoutePace> AnswerPace::learned() const {
  std::vector<RoutePace> reports;
  for (const auto& [route, pace] : paces_) {
    if (!pace.local || reports.size() >= kMaxReportedRoutes) continue;
    const double tokens = std::min(kMaxReportedTokens, pace.tokens_per_event.value);
    reports.push_back({route, static_cast<std::uint32_t>(pace.gap.value().count()),
                       static_cast<std::uint16_t>(tokens * kReportUnit)});
  }
  return reports;
}

void AnswerPace::take(const RoutePace& reported) {
  Pace& pace = pace_of(reported.route);
  pace.reported_gap = Duration(reported.event_gap_us);
  if (!pace.local) pace.tokens_per_event.value = reported.tokens_per_event_16ths / kReportUnit;
}

}  // namespace stoathold
