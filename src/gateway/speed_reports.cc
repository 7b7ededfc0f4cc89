#include "gateway/speed_reports.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "base/event_log.h"

namespace stoathold {
namespace {

/// Minimum interval between log events about invalid values, which a faulty runner sends in every
/// response.
constexpr Duration kInvalidSlownessLogInterval = std::chrono::seconds(10);
/// Maximum number of runners with new reports in one digest; the rest follow in the next digest,
/// some 10 ms later.
constexpr std::size_t kMaxNewReports = 4;
/// Maximum number of runners whose reports a full digest repeats, in round-robin order.
constexpr std::size_t kMaxRepeatedReports = 8;

void record_slowness_support(GatewayContext& context) {
  if (context.traits.reports_slowness) return;
  DeploymentTraits traits = context.traits;
  traits.reports_slowness = true;
  context.set_traits(traits);
  log_event(Event::kSlownessReported, {{"zone", context.zone}});
}

/// Selects the reports of a digest: the most recent new ones and, for full digests, repeated ones
/// in round-robin order.
class SpeedReporter {
 public:
  explicit SpeedReporter(RunnerRegistry& runners) : runners_(runners) {}

  void add(LoadDigest& digest, bool full_digest, TimePoint now) {
    std::vector<Runner*> unshared;
    std::vector<Runner*> already_shared;
    for (Runner* runner : runners_.active()) {
      if (runner->speed().has_unshared_report()) {
        unshared.push_back(runner);
      } else if (runner->speed().samples() > 0) {
        already_shared.push_back(runner);
      }
    }
    const std::size_t newest = std::min(unshared.size(), kMaxNewReports);
    std::partial_sort(unshared.begin(), unshared.begin() + static_cast<std::ptrdiff_t>(newest),
                      unshared.end(), [](const Runner* left, const Runner* right) {
                        return left->speed().reported_at() > right->speed().reported_at();
                      });
    for (std::size_t i = 0; i < newest; ++i) add_report(*unshared[i], digest, now);
    if (!full_digest) return;
    for (std::size_t i = 0; i < std::min(already_shared.size(), kMaxRepeatedReports); ++i) {
      add_report(*already_shared[next_repeated_++ % already_shared.size()], digest, now);
    }
  }

 private:
  static void add_report(Runner& runner, LoadDigest& digest, TimePoint now) {
    digest.speeds.push_back(runner.speed().report(runner.hash(), now));
    runner.speed().mark_shared();
  }

  RunnerRegistry& runners_;
  std::size_t next_repeated_ = 0;
};

}  // namespace

void apply_slowness_report(GatewayContext& context, Runner& runner, const LoadReport& report,
                           TimePoint now) {
  if (report.invalid_slowness &&
      now - context.invalid_slowness_logged_at >= kInvalidSlownessLogInterval) {
    context.invalid_slowness_logged_at = now;
    log_event(Event::kSlownessRefused, {{"runner", runner.record().id},
                                        {"least_percent", std::to_string(kMinSlownessPercent)},
                                        {"most_percent", std::to_string(kMaxSlownessPercent)}});
  }
  if (!report.slowness_percent) return;
  record_slowness_support(context);
  context.speeds.apply_slowness_report(runner.speed(), *report.slowness_percent, now, true);
  runner.mark_reportable();
}

DigestPart speed_digest_part(GatewayContext& context) {
  const auto reporter = std::make_shared<SpeedReporter>(context.runners);
  const auto add = [&context, reporter](LoadDigest& digest, bool full_digest, TimePoint now) {
    if (context.load_policy.uses_runner_speeds) reporter->add(digest, full_digest, now);
  };
  const auto take = [&context](const LoadDigest& digest, TimePoint now) {
    for (const SpeedReport& report : digest.speeds) {
      Runner* runner = context.runners.find_by_hash(report.runner);
      if (runner == nullptr) continue;
      const bool reported = context.speeds.apply_report(runner->speed(), report, now);
      if (reported) record_slowness_support(context);
    }
  };
  return {.add = add, .apply = take};
}

}  // namespace stoathold
