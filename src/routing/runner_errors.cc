#include "routing/runner_errors.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Time constant of the decay, which covers several requests of typical duration (0.7 to 5 s on all
/// deployments).
constexpr Duration kCountDecayTime = std::chrono::seconds(3);
/// Errors needed to eject a runner; a single one may be caused by the item.
constexpr double kMinErrorsToEject = 1.8;
/// Required fraction of errors among the responses. On the deployments seen, 1 in 100 items fails
/// at every runner, while intermittently failing runners failed a third to a half of their
/// requests.
constexpr double kMinErrorFraction = 0.25;
/// Error counts below this are not reported.
constexpr double kMinReportedErrors = 0.3;
/// Nodes whose counts are kept; the counts of a node that has left decay to zero.
constexpr std::size_t kMaxNodes = 64;
constexpr double kNegligibleErrors = 0.05;

}  // namespace

RunnerErrors::Counts::Counts() : errors(kCountDecayTime), served(kCountDecayTime) {}

void RunnerErrors::count(bool error, TimePoint now) {
  (error ? own_.errors : own_.served).add(1, now);
}

void RunnerErrors::apply_report(std::uint64_t node, const ResponseCounts& counts, TimePoint now) {
  if (reported_.size() >= kMaxNodes) {
    std::erase_if(reported_, [now](const auto& entry) {
      return entry.second.errors.value(now) < kNegligibleErrors;
    });
  }
  Counts& entry = reported_[node];
  entry.errors.set(counts.errors, now);
  entry.served.set(counts.served, now);
}

std::optional<ResponseCounts> RunnerErrors::own_report(TimePoint now) const {
  const double errors = own_.errors.value(now);
  if (errors < kMinReportedErrors) return std::nullopt;
  return ResponseCounts{errors, own_.served.value(now)};
}

bool RunnerErrors::has_high_error_rate(TimePoint now) const {
  double errors = own_.errors.value(now);
  double served = own_.served.value(now);
  for (const auto& [node, counts] : reported_) {
    errors += counts.errors.value(now);
    served += counts.served.value(now);
  }
  return errors >= kMinErrorsToEject && errors >= kMinErrorFraction * (errors + served);
}

}  // namespace stoathold
