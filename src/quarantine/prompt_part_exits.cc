#include "quarantine/prompt_part_exits.h"

#include <algorithm>
#include <set>

namespace stoathold {
namespace {

/// Maximum number of recorded exits.
constexpr std::size_t kMaxExits = 256;
/// Maximum number of parts of all recorded exits. Bounds the memory and the work of a decision.
constexpr std::size_t kMaxRecordedParts = 32768;
/// Maximum number of parts with evidence against or for them.
constexpr std::size_t kMaxSuspects = kMaxRecordedParts;
/// Minimum interval between reports of answers with one part.
constexpr Duration kServedReportInterval = std::chrono::seconds(1);

std::size_t count_starts(const std::vector<const PromptPartExit*>& exits) {
  std::set<RunnerStart> starts;
  for (const PromptPartExit* exit : exits) starts.insert(exit->start);
  return starts.size();
}

}  // namespace

bool PromptPartExits::was_served(PartHash part, TimePoint exit_at) const {
  const auto suspect = suspects_.find(part);
  return suspect != suspects_.end() && exit_at <= suspect->second.served + kServedValidity;
}

bool PromptPartExits::add(PromptPartExit exit) {
  if (exit.parts.empty()) return false;
  const auto known = std::find_if(exits_.begin(), exits_.end(), [&](const RecordedExit& recorded) {
    return recorded.exit.start == exit.start && recorded.exit.content == exit.content;
  });
  if (known != exits_.end()) {
    const std::size_t parts_before = recorded_parts_;
    add_parts(*known, exit);
    return recorded_parts_ > parts_before;
  }
  while (!exits_.empty() &&
         (exits_.size() >= kMaxExits || recorded_parts_ + exit.parts.size() > kMaxRecordedParts)) {
    remove_oldest();
  }
  RecordedExit& recorded = exits_.emplace_back();
  recorded.exit = exit;
  recorded.exit.own_part = exit.parts.back();
  recorded.exit.parts.clear();
  add_parts(recorded, exit);
  return true;
}

/// New parts go before the own part, which every step of a report ends with.
void PromptPartExits::add_parts(RecordedExit& recorded, const PromptPartExit& reported) {
  std::vector<PartHash>& parts = recorded.exit.parts;
  const bool ends_with_own_part = !parts.empty() && parts.back() == recorded.exit.own_part;
  if (ends_with_own_part) parts.pop_back();
  for (const PartHash part : reported.parts) {
    if (!recorded.known_parts.insert(part).second) continue;
    ++recorded_parts_;
    if (was_served(part, recorded.exit.at)) continue;
    ++suspects_[part].exits;
    parts.push_back(part);
  }
  if (ends_with_own_part) parts.push_back(recorded.exit.own_part);
}

bool PromptPartExits::record_served(PartHash part, TimePoint at) {
  const auto suspect = suspects_.find(part);
  if (suspect == suspects_.end()) return false;
  const bool is_news = at >= suspect->second.served + kServedReportInterval;
  suspect->second.served = std::max(suspect->second.served, at);
  if (suspect->second.exits == 0) return is_news;
  for (RecordedExit& recorded : exits_) {
    if (was_served(part, recorded.exit.at)) remove_part(recorded.exit, part);
  }
  return is_news;
}

void PromptPartExits::record_reported_served(PartHash part, TimePoint at) {
  if (suspects_.size() < kMaxSuspects) suspects_.try_emplace(part);
  record_served(part, at);
}

void PromptPartExits::remove_part(PromptPartExit& exit, PartHash part) {
  const std::size_t removed = std::erase(exit.parts, part);
  suspects_.at(part).exits -= removed;
}

void PromptPartExits::remove_oldest() {
  for (const PartHash part : exits_.front().exit.parts) --suspects_.at(part).exits;
  recorded_parts_ -= exits_.front().known_parts.size();
  exits_.pop_front();
}

bool PromptPartExits::qualifies(const Exits& exits, TimePoint now) {
  std::set<ContentHash> contents;
  TimePoint first = TimePoint::max();
  for (const PromptPartExit* exit : exits) {
    contents.insert(exit->content);
    first = std::min(first, exit->at);
  }
  return count_starts(exits) >= kMinExits && contents.size() >= kMinContents &&
         now - first >= kSettleTime;
}

bool PromptPartExits::is_explained_by_own_part(PartHash part, const Exits& exits,
                                               const ExitsByPart& qualified) {
  const PartHash own_part = exits.front()->own_part;
  const bool same = std::all_of(exits.begin(), exits.end(), [&](const PromptPartExit* exit) {
    return exit->own_part == own_part;
  });
  return same && own_part != part && qualified.contains(own_part);
}

PromptPartExits::ExitsByPart PromptPartExits::find_qualified(TimePoint now) const {
  ExitsByPart by_part;
  for (const auto& [part, suspect] : suspects_) {
    if (suspect.exits >= kMinExits) by_part[part];
  }
  if (by_part.empty()) return {};
  for (const RecordedExit& recorded : exits_) {
    const PromptPartExit& exit = recorded.exit;
    if (is_refuted_(exit.start, exit.at)) continue;
    for (const PartHash part : exit.parts) {
      const auto found = by_part.find(part);
      if (found != by_part.end()) found->second.push_back(&exit);
    }
  }
  std::erase_if(by_part, [now](const auto& entry) { return !qualifies(entry.second, now); });
  return by_part;
}

PromptPartExits::UnexplainedByPart PromptPartExits::find_unexplained(
    const ExitsByPart& qualified) const {
  UnexplainedByPart unexplained;
  for (const RecordedExit& recorded : exits_) {
    const PromptPartExit& exit = recorded.exit;
    if (is_refuted_(exit.start, exit.at)) continue;
    if (!exit.parts.empty() && exit.parts.back() == exit.own_part) {
      unexplained[exit.own_part].without_next_part.push_back(&exit);
    }
    PartHash next_part{};
    for (auto part = exit.parts.rbegin(); part != exit.parts.rend(); ++part) {
      if (*part == exit.own_part) continue;
      if (!qualified.contains(*part)) {
        next_part = *part;
        continue;
      }
      UnexplainedExits& exits = unexplained[*part];
      const bool has_next_part = next_part != PartHash{};
      (has_next_part ? exits.with_next_part : exits.without_next_part).push_back(&exit);
      if (has_next_part) exits.next_parts.insert(next_part);
      break;
    }
  }
  return unexplained;
}

bool PromptPartExits::are_attributable(const UnexplainedExits& exits) {
  Exits all = exits.without_next_part;
  all.insert(all.end(), exits.with_next_part.begin(), exits.with_next_part.end());
  return count_starts(exits.without_next_part) >= kMinExits ||
         exits.next_parts.size() >= kMinExits || count_starts(all) >= kMinAmbiguousExits;
}

std::vector<PoisonPart> PromptPartExits::find_poison_parts(TimePoint now) const {
  const ExitsByPart qualified = find_qualified(now);
  if (qualified.empty()) return {};
  std::vector<PoisonPart> poison_parts;
  for (const auto& [part, unexplained] : find_unexplained(qualified)) {
    const auto exits = qualified.find(part);
    if (exits == qualified.end() || !are_attributable(unexplained)) continue;
    if (is_explained_by_own_part(part, exits->second, qualified)) continue;
    PoisonPart& found = poison_parts.emplace_back();
    found.part = part;
    found.exits = static_cast<std::uint32_t>(count_starts(exits->second));
    for (const PromptPartExit* exit : exits->second) {
      found.tenants.insert(exit->tenant);
      found.observed_locally = found.observed_locally || exit->observed_locally;
    }
  }
  return poison_parts;
}

void PromptPartExits::forget(ContentHash key, TimePoint at) {
  std::set<PartHash> parts;
  for (const RecordedExit& recorded : exits_) {
    const PromptPartExit& exit = recorded.exit;
    for (const PartHash part : exit.parts) {
      const bool has_key = part_key(part) == key || tenant_part_key(part, exit.tenant) == key;
      if (has_key) parts.insert(part);
    }
  }
  for (const PartHash part : parts) record_served(part, at);
}

void PromptPartExits::expire(TimePoint now) {
  const auto is_done = [now](const PromptPartExit& exit) {
    return now - exit.at > kExitLifetime || exit.parts.empty();
  };
  while (!exits_.empty() && is_done(exits_.front().exit)) {
    remove_oldest();
  }
  std::erase_if(suspects_, [now](const auto& entry) {
    return entry.second.exits == 0 && now - entry.second.served > kServedValidity;
  });
}

}  // namespace stoathold
