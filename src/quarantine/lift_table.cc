#include "quarantine/lift_table.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Maximum number of lifts; the oldest is evicted.
constexpr std::size_t kMaxLifts = 1024;

}  // namespace

void LiftTable::add(ContentHash content, const Lift& lift) {
  if (lift.position <= position(content)) return;
  if (lifts_.size() >= kMaxLifts && !lifts_.contains(content)) {
    lifts_.erase(std::min_element(
        lifts_.begin(), lifts_.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
  }
  lifts_[content] = lift;
}

std::optional<Lift> LiftTable::find(ContentHash content) const {
  const auto found = lifts_.find(content);
  return found == lifts_.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t LiftTable::position(ContentHash content) const {
  const auto lift = find(content);
  return lift ? lift->position : 0;
}

std::vector<ContentHash> LiftTable::contents() const {
  std::vector<ContentHash> contents;
  for (const auto& [content, lift] : lifts_) contents.push_back(content);
  return contents;
}

void LiftTable::expire(TimePoint now, Duration lifetime) {
  std::erase_if(lifts_, [&](const auto& entry) { return now - entry.second.at > lifetime; });
}

}  // namespace stoathold
