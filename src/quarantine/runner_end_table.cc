#include "quarantine/runner_end_table.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Requests of which ends are kept. A runner that ends has its slots' number of requests, so this
/// holds the ends of some 200 runners of 17 slots in 600 kB.
constexpr std::size_t kMaxRequests = 4096;
/// Runners whose ends are kept for one request; a few are enough for a quarantine.
constexpr std::size_t kMaxEndsOfRequest = 16;
/// How long an end counts. Copies of a request may come minutes apart.
constexpr Duration kEndLifetime = std::chrono::minutes(10);
/// A runner lives if it was heard so long after its supposed end: what other nodes say of having
/// heard it is late by the time that a message waits at a slow node.
constexpr Duration kHearingError = std::chrono::milliseconds(300);
/// Times the limit at which a request is put in quarantine although others were always beside it.
constexpr std::uint32_t kOverwhelming = 2;

}  // namespace

bool RunnerEndTable::add(const RunnerEnd& end) {
  if (!requests_.contains(end.content)) make_room();
  Suspect& suspect = requests_[end.content];
  suspect.changed = std::max(suspect.changed, end.at);
  const auto known = suspect.ends.find(end.runner);
  if (known != suspect.ends.end()) {
    const bool later = end.stage > known->second.stage;
    if (later) known->second.stage = end.stage;
    return later;
  }
  if (suspect.ends.size() >= kMaxEndsOfRequest) return false;
  suspect.ends.emplace(end.runner, End{end.stage, end.at});
  by_runner_[end.runner].push_back(end.content);
  return true;
}

void RunnerEndTable::clear(ContentHash content, TimePoint now) {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return;
  found->second.cleared = std::max(now, found->second.cleared.value_or(now));
  found->second.changed = std::max(found->second.changed, now);
}

void RunnerEndTable::forget(ContentHash content) {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return;
  for (const auto& [runner, end] : found->second.ends) {
    auto& there = by_runner_[runner];
    std::erase(there, content);
    if (there.empty()) by_runner_.erase(runner);
  }
  requests_.erase(found);
}

void RunnerEndTable::expire(TimePoint now) {
  std::vector<ContentHash> old;
  for (const auto& [content, suspect] : requests_) {
    if (now - suspect.changed > kEndLifetime) old.push_back(content);
  }
  for (const ContentHash content : old) forget(content);
}

/// Who has the fewest ends gives way, and of these the one that has been quiet the longest.
void RunnerEndTable::make_room() {
  if (requests_.size() < kMaxRequests) return;
  const auto least =
      std::min_element(requests_.begin(), requests_.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.ends.size(), left.second.changed) <
               std::pair(right.second.ends.size(), right.second.changed);
      });
  forget(least->first);
}

bool RunnerEndTable::stands(const Suspect& suspect, std::uint64_t runner, const End& end) const {
  if (suspect.cleared && end.at <= *suspect.cleared) return false;
  const auto heard = last_heard_(runner);
  return !heard || *heard <= end.at + kHearingError;
}

std::uint32_t RunnerEndTable::whole_weight(const Suspect& suspect) const {
  std::uint32_t weight = 0;
  for (const auto& [runner, end] : suspect.ends) {
    if (stands(suspect, runner, end)) weight += weight_of(end.stage);
  }
  return weight;
}

bool RunnerEndTable::has_rival(ContentHash content, std::uint64_t runner, const End& end,
                               std::uint32_t weight) const {
  const auto there = by_runner_.find(runner);
  if (there == by_runner_.end()) return false;
  return std::any_of(there->second.begin(), there->second.end(), [&](ContentHash other) {
    if (other == content) return false;
    const Suspect& rival = requests_.at(other);
    const End& rival_end = rival.ends.at(runner);
    if (!stands(rival, runner, rival_end)) return false;
    if (rival_end.stage != end.stage) return rival_end.stage > end.stage;
    return whole_weight(rival) >= weight;
  });
}

std::uint32_t RunnerEndTable::weight_against(ContentHash content) const {
  const auto found = requests_.find(content);
  if (found == requests_.end()) return 0;
  const Suspect& suspect = found->second;
  const std::uint32_t whole = whole_weight(suspect);
  if (whole >= kOverwhelming * weights_.limit) return whole;
  std::uint32_t weight = 0;
  for (const auto& [runner, end] : suspect.ends) {
    if (!stands(suspect, runner, end)) continue;
    if (!has_rival(content, runner, end, whole)) weight += weight_of(end.stage);
  }
  return weight;
}

std::size_t RunnerEndTable::ends_of(ContentHash content) const {
  const auto found = requests_.find(content);
  return found == requests_.end() ? 0 : found->second.ends.size();
}

}  // namespace stoathold
