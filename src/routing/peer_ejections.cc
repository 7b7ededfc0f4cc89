#include "routing/peer_ejections.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Number of nodes whose attempts at a runner must have failed before their reports eject it; a
/// failure of this node counts as well. With two, a single partitioned node cannot cause ejections
/// at other nodes.
constexpr std::size_t kMinReporters = 2;
/// A report whose ejection ended longer ago is dropped when the next report arrives. Until then, or
/// until the runner responds, the runner stays on probation and its number of failures is kept. The
/// time equals the longest ejection of a runner, so that a report lasts from one trial request to
/// the next.
constexpr Duration kReportLifetime = std::chrono::seconds(4);

/// Whether no later response has refuted the report.
bool is_valid(const PeerEjection& report, TimePoint last_response, TimePoint last_served) {
  return report.failed_at > (report.by_errors ? last_served : last_response);
}

}  // namespace

void PeerEjections::add_report(const PeerEjection& ejection, TimePoint now) {
  std::erase_if(reports_, [&](const PeerEjection& report) {
    return report.reporter == ejection.reporter || now - report.until > kReportLifetime;
  });
  reports_.push_back(ejection);
}

TimePoint PeerEjections::ejected_until(TimePoint last_response, TimePoint last_served,
                                       bool own_failure) const {
  const std::size_t required = own_failure ? kMinReporters - 1 : kMinReporters;
  std::vector<TimePoint> ends;
  for (const auto& report : reports_) {
    if (!is_valid(report, last_response, last_served)) continue;
    ends.insert(ends.end(), report.by_errors ? kMinReporters : 1, report.until);
  }
  if (ends.size() < required) return {};
  // Enough reports are in effect until the `required`-th latest of their ends.
  const auto last_required = ends.begin() + static_cast<std::ptrdiff_t>(required) - 1;
  std::nth_element(ends.begin(), last_required, ends.end(), std::greater<>());
  return *last_required;
}

std::uint32_t PeerEjections::failures(TimePoint last_response, TimePoint last_served) const {
  std::uint32_t most = 0;
  for (const auto& report : reports_) {
    if (is_valid(report, last_response, last_served)) most = std::max(most, report.failures);
  }
  return most;
}

}  // namespace stoathold
