#include "gateway/speed_reports.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "base/event_log.h"

namespace stoathold {
namespace {

/// Between two log lines about false figures: a runner that says them does so in each answer.
constexpr Duration kFalseFigurePause = std::chrono::seconds(10);
/// Runners of which one digest tells something new; those left over come in the next one, some
/// 10 ms later.
constexpr std::size_t kMostNew = 4;
/// Runners of which a thorough digest tells once more, in turn, what was learned.
constexpr std::size_t kMostRepeated = 8;

void note_reports_slowness(GatewayContext& context) {
  if (context.traits.reports_slowness) return;
  DeploymentTraits traits = context.traits;
  traits.reports_slowness = true;
  context.set_traits(traits);
  log_event(Event::kSlownessReported, {{"zone", context.zone}});
}

/// Picks what digests report, the newest first, and in turn what thorough ones repeat.
class SpeedReporter {
 public:
  explicit SpeedReporter(RunnerRegistry& runners) : runners_(runners) {}

  void add(LoadDigest& digest, bool thorough, TimePoint now) {
    std::vector<Runner*> unshared;
    std::vector<Runner*> known;
    for (const auto& [id, runner] : runners_.all()) {
      if (runner->speed().unshared()) {
        unshared.push_back(runner.get());
      } else if (runner->speed().samples() > 0) {
        known.push_back(runner.get());
      }
    }
    const std::size_t newest = std::min(unshared.size(), kMostNew);
    std::partial_sort(unshared.begin(), unshared.begin() + static_cast<std::ptrdiff_t>(newest),
                      unshared.end(), [](const Runner* left, const Runner* right) {
                        return left->speed().reported_at() > right->speed().reported_at();
                      });
    for (std::size_t i = 0; i < newest; ++i) add_report(*unshared[i], digest, now);
    if (!thorough) return;
    for (std::size_t i = 0; i < std::min(known.size(), kMostRepeated); ++i) {
      add_report(*known[turn_++ % known.size()], digest, now);
    }
  }

 private:
  static void add_report(Runner& runner, LoadDigest& digest, TimePoint now) {
    digest.speeds.push_back(runner.speed().report(runner.hash(), now));
    runner.speed().mark_shared();
  }

  RunnerRegistry& runners_;
  std::size_t turn_ = 0;
};

}  // namespace

void take_slowness(GatewayContext& context, Runner& runner, const LoadReport& report,
                   TimePoint now) {
  if (report.false_slowness && now - context.invalid_slowness_logged_at >= kFalseFigurePause) {
    context.invalid_slowness_logged_at = now;
    log_event(Event::kSlownessRefused, {{"runner", runner.record().id},
                                        {"least_percent", std::to_string(kLeastSlownessPercent)},
                                        {"most_percent", std::to_string(kMostSlownessPercent)}});
  }
  if (!report.slowness_percent) return;
  note_reports_slowness(context);
  context.speeds.take_slowness(runner.speed(), *report.slowness_percent, now, true);
}

DigestPart speed_digest_part(GatewayContext& context) {
  const auto reporter = std::make_shared<SpeedReporter>(context.runners);
  const auto add = [&context, reporter](LoadDigest& digest, bool thorough, TimePoint now) {
    if (context.load_policy.knows_speeds) reporter->add(digest, thorough, now);
  };
  const auto take = [&context](const LoadDigest& digest, TimePoint now) {
    for (const SpeedReport& report : digest.speeds) {
      Runner* runner = context.runners.find_hash(report.runner);
      if (runner == nullptr) continue;
      const bool reported = context.speeds.take(runner->speed(), report, now);
      if (reported) note_reports_slowness(context);
    }
  };
  return {.add = add, .take = take};
}

}  // namespace stoathold
