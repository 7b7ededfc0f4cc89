#include "quarantine/runner_starts.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Maximum number of runners with recorded exits; the one with the oldest last exit is evicted.
constexpr std::size_t kMaxRunners = 4096;
/// Maximum number of exits kept per runner; the newest are kept.
constexpr std::size_t kMaxExitsPerRunner = 16;
/// A restarted runner replaces its directory entry within this time.
constexpr Duration kRelistDelay = std::chrono::seconds(1);

}  // namespace

RunnerStart RunnerStarts::start_of(const ClosedRun& run) const {
  const RunnerStart listed{run.runner, 0};
  const auto found = exits_.find(run.runner);
  if (found == exits_.end()) return listed;
  const Exits& exits = found->second;
  const auto last = std::find_if(exits.rbegin(), exits.rend(),
                                 [&](const auto& exit) { return exit.second <= run.connected; });
  if (last == exits.rend()) return listed;
  const RunnerStart exited{run.runner, last->first};
  if (is_refuted(run.runner, last->second)) return exited;
  // A connection that closes without a response may never have reached a process: a proxy in front
  // of the runner accepts connections while the runner is down.
  const auto life = life_source_(run.runner);
  const bool heard_since = life && life->period.until() > last->second;
  const bool has_restarted = run.stage != RunStage::kWaiting || heard_since;
  return has_restarted ? RunnerStart{run.runner, exited.restarts + 1} : exited;
}

RunnerStarts::Exits& RunnerStarts::exits_of(std::uint64_t runner) {
  if (exits_.size() >= kMaxRunners && !exits_.contains(runner)) {
    const auto oldest =
        std::min_element(exits_.begin(), exits_.end(), [](const auto& left, const auto& right) {
          return left.second.rbegin()->second < right.second.rbegin()->second;
        });
    exits_.erase(oldest);
  }
  return exits_[runner];
}

void RunnerStarts::add_exit(const RunnerStart& start, TimePoint at) {
  Exits& exits = exits_of(start.runner);
  const auto [exit, added] = exits.emplace(start.restarts, at);
  if (!added) exit->second = std::min(exit->second, at);
  if (exits.size() > kMaxExitsPerRunner) exits.erase(exits.begin());
}

void RunnerStarts::replace_exit(const RunnerStart& start, TimePoint at) {
  exits_of(start.runner)[start.restarts] = at;
}

bool RunnerStarts::is_refuted(std::uint64_t runner, TimePoint exit_at) const {
  const auto life = life_source_(runner);
  if (!life) return false;
  if (life->period.spans(exit_at)) return true;
  const bool heard_later = life->period.until() > exit_at + kLastHeardTolerance;
  return heard_later && life->listed > exit_at + kRelistDelay;
}

void RunnerStarts::expire(TimePoint now) {
  std::erase_if(exits_, [now](const auto& entry) {
    return now - entry.second.rbegin()->second > kExitLifetime;
  });
}

}  // namespace stoathold
