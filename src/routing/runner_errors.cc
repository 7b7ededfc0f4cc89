#include "routing/runner_errors.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Time in which counts fall to 1/e: some requests of usual length (0.7 to 5 s on all deployments).
constexpr Duration kMemory = std::chrono::seconds(3);
/// Errors that make a runner suspect: one may be the item's.
constexpr double kErrorsToSuspect = 1.8;
/// Part of the answers that must be errors. Items that fail everywhere are one in a hundred on the
/// deployments seen; runners that fail now and then failed a third to a half of their requests.
constexpr double kPartToSuspect = 0.25;
/// Counts below this are not worth a report.
constexpr double kReportedErrors = 0.3;
/// Nodes whose counts are kept; the counts of a node that has gone decay to nothing.
constexpr std::size_t kMaxNodes = 64;
constexpr double kForgotten = 0.05;

}  // namespace

RunnerErrors::Counts::Counts() : errors(kMemory), served(kMemory) {}

void RunnerErrors::count(bool error, TimePoint now) {
  (error ? own_.errors : own_.served).add(1, now);
}

void RunnerErrors::take_report(std::uint64_t node, const AnswerCounts& counts, TimePoint now) {
  if (reported_.size() >= kMaxNodes) {
    std::erase_if(reported_,
                  [now](const auto& entry) { return entry.second.errors.value(now) < kForgotten; });
  }
  Counts& entry = reported_[node];
  entry.errors.set(counts.errors, now);
  entry.served.set(counts.served, now);
}

std::optional<AnswerCounts> RunnerErrors::own_report(TimePoint now) const {
  const double errors = own_.errors.value(now);
  if (errors < kReportedErrors) return std::nullopt;
  return AnswerCounts{errors, own_.served.value(now)};
}

bool RunnerErrors::suspect(TimePoint now) const {
  double errors = own_.errors.value(now);
  double served = own_.served.value(now);
  for (const auto& [node, counts] : reported_) {
    errors += counts.errors.value(now);
    served += counts.served.value(now);
  }
  return errors >= kErrorsToSuspect && errors >= kPartToSuspect * (errors + served);
}

}  // namespace stoathold
