#include "quarantine/runner_exit_table.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Maximum number of requests with recorded exits. A runner that exits has as many requests as
/// slots, so this covers some 200 runners with 17 slots each, in 600 kB.
constexpr std::size_t kMaxRequests = 4096;
/// Maximum number of exits recorded per request; a few are enough for a quarantine.
constexpr std::size_t kMaxExitsPerRequest = 16;
/// Time for which an exit counts. Copies of a request may arrive minutes apart.
constexpr Duration kExitLifetime = std::chrono::minutes(10);
/// A runner is considered alive if it was heard from this long after its reported exit. The
/// tolerance covers reports of other nodes about hearing from it, which are late if the message
/// waits at a slow node.
constexpr Duration kLastHeardTolerance = std::chrono::milliseconds(300);
/// Multiple of the limit at which a request is quarantined although other requests were always at
/// the same runners.
constexpr std::uint32_t kAmbiguousLimitFactor = 2;

}  // namespace

bool RunnerExitTable::add(const RunnerExit& exit) {
  if (!requests_.contains(exit.content)) evict_one();
  Suspect& suspect = requests_[exit.content];
  suspect.changed = std::max(suspect.changed, exit.at);
  const auto known = suspect.exits.find(exit.runner);
  if (known != suspect.exits.end()) {
    const bool later = exit.stage > known->second.stage;
    if (later) known->second.stage = exit.stage;
    return later;
  }
  if (suspect.exits.size() >= kMaxExitsPerRequest) return false;
  suspect.exits.emplace(exit.runner, Exit{exit.stage, exit.at});
  by_runner_[exit.runner].push_back(exit.content);
  return true;
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
  for (const auto& [runner, exit] : found->second.exits) {
    auto& contents = by_runner_[runner];
    std::erase(contents, content);
    if (contents.empty()) by_runner_.erase(runner);
  }
  requests_.erase(found);
}

void RunnerExitTable::expire(TimePoint now) {
  std::vector<ContentHash> old;
  for (const auto& [content, suspect] : requests_) {
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

bool RunnerExitTable::is_valid(const Suspect& suspect, std::uint64_t runner,
                               const Exit& exit) const {
  if (suspect.cleared && exit.at <= *suspect.cleared) return false;
  const auto heard = last_receive_time_(runner);
  return !heard || *heard <= exit.at + kLastHeardTolerance;
}

std::uint32_t RunnerExitTable::total_weight(const Suspect& suspect) const {
  std::uint32_t weight = 0;
  for (const auto& [runner, exit] : suspect.exits) {
    if (is_valid(suspect, runner, exit)) weight += weight_of(exit.stage);
  }
  return weight;
}

bool RunnerExitTable::has_likelier_suspect(ContentHash content, std::uint64_t runner,
                                           const Exit& exit, std::uint32_t weight) const {
  const auto contents = by_runner_.find(runner);
  if (contents == by_runner_.end()) return false;
  return std::any_of(contents->second.begin(), contents->second.end(), [&](ContentHash other) {
    if (other == content) return false;
    const Suspect& other_suspect = requests_.at(other);
    const Exit& other_exit = other_suspect.exits.at(runner);
    if (!is_valid(other_suspect, runner, other_exit)) return false;
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
  for (const auto& [runner, exit] : suspect.exits) {
    if (!is_valid(suspect, runner, exit)) continue;
    if (!has_likelier_suspect(content, runner, exit, total)) weight += weight_of(exit.stage);
  }
  return weight;
}

std::size_t RunnerExitTable::exit_count(ContentHash content) const {
  const auto found = requests_.find(content);
  return found == requests_.end() ? 0 : found->second.exits.size();
}

}  // namespace stoathold
