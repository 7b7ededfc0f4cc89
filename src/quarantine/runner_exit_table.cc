#include "quarantine/runner_exit_table.h"

#include <algorithm>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Maximum number of requests with recorded exits. A runner that exits has as many requests as
/// slots, so this covers some 200 runners with 17 slots each, in 600 kB.
constexpr std::size_t kMaxRequests = 4096;
/// Maximum number of exits recorded per request; a few are enough for a quarantine.
constexpr std::size_t kMaxExitsPerRequest = 16;
/// Multiple of the limit at which a request is quarantined although other requests were always at
/// the same runners.
constexpr std::uint32_t kAmbiguousLimitFactor = 2;
/// Number of exits from which on a request backs off.
constexpr std::uint32_t kMinExitsForBackoff = 3;
/// Shortest backoff after that number of exits. It doubles with each further exit.
constexpr Duration kFirstBackoff = std::chrono::seconds(1);
/// Maximum of the shortest backoff.
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

/// Returns a backoff between the shortest one and twice that. It depends on the request, so that
/// requests with the same exits are not sent at the same time.
Duration spread_backoff(Duration shortest, ContentHash content) {
  constexpr std::uint64_t kSteps = 1024;
  const auto step = static_cast<Duration::rep>(value_of(content) % kSteps);
  return shortest + shortest * step / static_cast<Duration::rep>(kSteps);
}

}  // namespace

bool RunnerExitTable::add(const RunnerExit& exit) {
  if (!requests_.contains(exit.content)) evict_one();
  const RunnerStart start = exit.start();
  Suspect& suspect = requests_[exit.content];
  suspect.changed = std::max(suspect.changed, exit.at);
  mark_refuted_exits(suspect);
  const auto known = suspect.exits.find(start);
  if (known != suspect.exits.end()) return update(suspect, known->second, exit);
  if (suspect.exits.size() >= kMaxExitsPerRequest) return false;
  starts_.add_exit(start, exit.at);
  suspect.exits.emplace(start, Exit{exit.stage, exit.at});
  by_start_[start].push_back(exit.content);
  return true;
}

bool RunnerExitTable::update(Suspect& suspect, Exit& known, const RunnerExit& exit) {
  const bool copy = exit.at <= known.at + kLastHeardTolerance;
  if (!copy && !is_valid(suspect, exit.start(), known)) {
    known = {exit.stage, exit.at};
    starts_.replace_exit(exit.start(), exit.at);
    return true;
  }
  const bool later_stage = exit.stage > known.stage;
  if (later_stage) known.stage = exit.stage;
  return later_stage;
}

void RunnerExitTable::mark_refuted_exits(Suspect& suspect) const {
  for (auto& [start, exit] : suspect.exits) {
    exit.refuted = exit.refuted || starts_.is_refuted(start.runner, exit.at);
  }
}

void RunnerExitTable::clear(ContentHash content, TimePoint now) {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return;
  found->second.cleared = std::max(now, found->second.cleared.value_or(now));
  found->second.changed = std::max(found->second.changed, now);
}

void RunnerExitTable::forget(ContentHash content) {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return;
  for (const auto& [start, exit] : found->second.exits) {
    auto& contents = by_start_[start];
    std::erase(contents, content);
    if (contents.empty()) by_start_.erase(start);
  }
  requests_.erase(found);
}

void RunnerExitTable::forget_until(ContentHash content, TimePoint time) {
  forget(content);
  if (time == TimePoint{}) return;
  evict_one();
  requests_[content] = Suspect{.exits = {}, .cleared = time, .changed = time};
}

void RunnerExitTable::expire(TimePoint now) {
  starts_.expire(now);
  std::vector<ContentHash> old;
  for (auto& [content, suspect] : requests_) {
    mark_refuted_exits(suspect);
    if (now - suspect.changed > kExitLifetime) old.push_back(content);
  }
  for (const ContentHash content : old) forget(content);
}

/// Evicts the request with the fewest exits; among these, the one least recently changed.
void RunnerExitTable::evict_one() {
  if (requests_.size() < kMaxRequests) return;
  const auto evicted =
      std::min_element(requests_.begin(), requests_.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.exits.size(), left.second.changed) <
               std::pair(right.second.exits.size(), right.second.changed);
      });
  forget(evicted->first);
}

bool RunnerExitTable::is_valid(const Suspect& suspect, const RunnerStart& start,
                               const Exit& exit) const {
  if (suspect.cleared && exit.at <= *suspect.cleared) return false;
  return !exit.refuted && !starts_.is_refuted(start.runner, exit.at);
}

std::uint32_t RunnerExitTable::total_weight(const Suspect& suspect) const {
  std::uint32_t weight = 0;
  for (const auto& [start, exit] : suspect.exits) {
    if (is_valid(suspect, start, exit)) weight += weight_of(exit.stage);
  }
  return weight;
}

bool RunnerExitTable::has_likelier_suspect(ContentHash content, const RunnerStart& start,
                                           const Exit& exit, std::uint32_t weight) const {
  const auto contents = by_start_.find(start);
  if (contents == by_start_.end()) return false;
  return std::any_of(contents->second.begin(), contents->second.end(), [&](ContentHash other) {
    if (other == content) return false;
    const Suspect& other_suspect = requests_.at(other);
    const Exit& other_exit = other_suspect.exits.at(start);
    if (!is_valid(other_suspect, start, other_exit)) return false;
    if (other_exit.stage != exit.stage) return other_exit.stage > exit.stage;
    return total_weight(other_suspect) >= weight;
  });
}

std::uint32_t RunnerExitTable::attributed_weight(ContentHash content) const {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return 0;
  const Suspect& suspect = found->second;
  const std::uint32_t total = total_weight(suspect);
  if (total >= kAmbiguousLimitFactor * weights_.limit) return total;
  std::uint32_t weight = 0;
  for (const auto& [start, exit] : suspect.exits) {
    if (!is_valid(suspect, start, exit)) continue;
    if (!has_likelier_suspect(content, start, exit, total)) weight += weight_of(exit.stage);
  }
  return weight;
}

bool RunnerExitTable::over_limit(ContentHash content) const {
  const auto found = requests_.find(content);
  if (found == requests_.end() || total_weight(found->second) < weights_.limit) return false;
  return attributed_weight(content) > 0;
}

void RunnerExitTable::record_send(ContentHash content, TimePoint now) {
  const auto found = requests_.find(content);
  if (found != requests_.end()) found->second.sent = now;
}

TimePoint RunnerExitTable::backoff_until(ContentHash content) const {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return {};
  const Suspect& suspect = found->second;
  std::uint32_t exits = 0;
  TimePoint latest = suspect.sent;
  for (const auto& [start, exit] : suspect.exits) {
    if (!is_valid(suspect, start, exit)) continue;
    ++exits;
    latest = std::max(latest, exit.at);
  }
  if (exits < kMinExitsForBackoff) return {};
  const Duration shortest = kFirstBackoff * (1U << (exits - kMinExitsForBackoff));
  return latest + spread_backoff(std::min(shortest, kMaxBackoff), content);
}

std::size_t RunnerExitTable::exit_count(ContentHash content) const {
  const auto found = requests_.find(content);
  return found == requests_.end() ? 0 : found->second.exits.size();
}

}  // namespace stoathold
