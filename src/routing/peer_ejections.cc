#include "routing/peer_ejections.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Nodes that must have failed at a runner, this one among them, before a node leaves it alone
/// without a failure of its own: two, so that one node that is cut off ejects nothing elsewhere.
constexpr std::size_t kReportersNeeded = 2;
/// Reports whose pause ended longer ago are dropped when the next one comes. Until then, or until
/// the runner is heard, it stays on trial and its number of failures is remembered. The time is the
/// longest pause of an ejected runner, so that it lasts from one trial to the next.
constexpr Duration kReportLifetime = std::chrono::seconds(4);

/// Whether nothing has refuted the report.
bool stands(const PeerEjection& report, TimePoint last_heard, TimePoint last_served) {
  return report.failed_at > (report.by_errors ? last_served : last_heard);
}

}  // namespace

void PeerEjections::take(const PeerEjection& ejection, TimePoint now) {
  std::erase_if(reports_, [&](const PeerEjection& report) {
    return report.reporter == ejection.reporter || now - report.until > kReportLifetime;
  });
  reports_.push_back(ejection);
}

TimePoint PeerEjections::ejected_until(TimePoint last_heard, TimePoint last_served,
                                       bool own_failure) const {
  const std::size_t needed = own_failure ? kReportersNeeded - 1 : kReportersNeeded;
  std::vector<TimePoint> ends;
  for (const auto& report : reports_) {
    if (!stands(report, last_heard, last_served)) continue;
    ends.insert(ends.end(), report.by_errors ? kReportersNeeded : 1, report.until);
  }
  if (ends.size() < needed) return {};
  // As many as are needed still stand until the one of them ends that ends first.
  const auto last_needed = ends.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
  std::nth_element(ends.begin(), last_needed, ends.end(), std::greater<>());
  return *last_needed;
}

std::uint32_t PeerEjections::failures(TimePoint last_heard, TimePoint last_served) const {
  std::uint32_t most = 0;
  for (const auto& report : reports_) {
    if (stands(report, last_heard, last_served)) most = std::max(most, report.failures);
  }
  return most;
}

}  // namespace stoathold
