#include "gateway/answer_pace.h"

#include <algorithm>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Quantile of the time between events that counts: a slower runner than most is no surprise.
constexpr double kGapQuantile = 0.7;
/// Part by which one answer moves the mean of the tokens in an event.
constexpr double kMeanStep = 0.1;
/// Reports hold the tokens of an event in sixteenths, in 16 bits.
constexpr double kReportUnit = 16;
constexpr double kMostReported = 4095;
/// Routes in one report; more do not fit beside the loads.
constexpr std::size_t kMostRoutes = 8;

}  // namespace

AnswerPace::Pace& AnswerPace::pace_of(std::uint64_t route) {
  return paces_.try_emplace(route, Pace{LatencyQuantile(kGapQuantile), {}, false, {}})
      .first->second;
}

void AnswerPace::observe_gap(const std::string& route, Duration gap) {
  pace_of(stable_hash(route)).gap.observe(gap);
}

void AnswerPace::observe_answer(const std::string& route, TokenCount allowed, EventCount made) {
  if (allowed.value == 0 || made.value == 0) return;
  Pace& pace = pace_of(stable_hash(route));
  const double sample = static_cast<double>(allowed.value) / static_cast<double>(made.value);
  double& mean = pace.tokens_per_event.value;
  mean = pace.own ? mean + kMeanStep * (sample - mean) : sample;
  pace.own = true;
}

Duration AnswerPace::expected_rest(const std::string& route, TokenCount allowed,
                                   EventCount made) const {
  const auto found = paces_.find(stable_hash(route));
  if (found == paces_.end() || !found->second.tokens_per_event.known()) return Duration{0};
  const Pace& pace = found->second;
  const Duration own_gap = pace.gap.value();
  const Duration gap = own_gap.count() > 0 ? own_gap : pace.reported_gap;
  const double left = pace.tokens_per_event.events_of(allowed) - static_cast<double>(made.value);
  return scale(gap, std::max(0.0, left));
}

std::vector<RoutePace> AnswerPace::learned() const {
  std::vector<RoutePace> reports;
  for (const auto& [route, pace] : paces_) {
    if (!pace.own || reports.size() >= kMostRoutes) continue;
    const double tokens = std::min(kMostReported, pace.tokens_per_event.value);
    reports.push_back({route, static_cast<std::uint32_t>(pace.gap.value().count()),
                       static_cast<std::uint16_t>(tokens * kReportUnit)});
  }
  return reports;
}

void AnswerPace::take(const RoutePace& reported) {
  Pace& pace = pace_of(reported.route);
  pace.reported_gap = Duration(reported.event_gap_us);
  if (!pace.own) pace.tokens_per_event.value = reported.tokens_per_event_16ths / kReportUnit;
}

}  // namespace stoathold
