#include "quarantine/prompt_part_exits.h"

#include <algorithm>
#include <set>

namespace stoathold {
namespace {

/// Maximum number of recorded exits; with 32 parts each they take some 200 kB.
constexpr std::size_t kMaxExits = 256;
/// Maximum number of parts with evidence against or for them.
constexpr std::size_t kMaxSuspects = kMaxExits * kMaxPartsPerPrompt;
/// Minimum interval between reports of answers with one part.
constexpr Duration kServedReportInterval = std::chrono::seconds(1);

std::size_t count_starts(const std::vector<const PromptPartExit*>& exits) {
  std::set<RunnerStart> starts;
  for (const PromptPartExit* exit : exits) starts.insert(exit->start);
  return starts.size();
}

/// Returns the suspected parts after `part` in the prompt, except for its last one.
std::vector<PartHash> later_parts(const PromptPartExit& exit, PartHash part) {
  const auto position = std::find(exit.parts.begin(), exit.parts.end(), part);
  std::vector<PartHash> later;
  if (position == exit.parts.end()) return later;
  std::copy_if(position + 1, exit.parts.end(), std::back_inserter(later),
               [&](PartHash other) { return other != exit.own_part; });
  return later;
}

/// Returns whether exits that no other part explains so far are enough to blame this one. Exits
/// with the same few parts after it may turn out to be theirs.
bool are_attributable(PartHash part, const std::vector<const PromptPartExit*>& exits) {
  std::vector<const PromptPartExit*> without_later_part;
  std::set<PartHash> next_parts;
  for (const PromptPartExit* exit : exits) {
    const std::vector<PartHash> later = later_parts(*exit, part);
    if (later.empty()) {
      without_later_part.push_back(exit);
    } else {
      next_parts.insert(later.front());
    }
  }
  return count_starts(without_later_part) >= PromptPartExits::kMinExits ||
         next_parts.size() >= PromptPartExits::kMinExits ||
         count_starts(exits) >= PromptPartExits::kMinAmbiguousExits;
}

}  // namespace

bool PromptPartExits::add(PromptPartExit exit) {
  const bool known = std::any_of(exits_.begin(), exits_.end(), [&](const PromptPartExit& other) {
    return other.start == exit.start && other.content == exit.content;
  });
  if (known || exit.parts.empty()) return false;
  exit.own_part = exit.parts.back();
  std::erase_if(exit.parts, [&](PartHash part) {
    const auto suspect = suspects_.find(part);
    return suspect != suspects_.end() && exit.at <= suspect->second.served + kServedValidity;
  });
  if (exits_.size() >= kMaxExits) remove_oldest();
  for (const PartHash part : exit.parts) ++suspects_[part].exits;
  exits_.push_back(std::move(exit));
  return true;
}

bool PromptPartExits::record_served(PartHash part, TimePoint at) {
  const auto suspect = suspects_.find(part);
  if (suspect == suspects_.end()) return false;
  const bool is_news = at >= suspect->second.served + kServedReportInterval;
  suspect->second.served = std::max(suspect->second.served, at);
  if (suspect->second.exits == 0) return is_news;
  for (PromptPartExit& exit : exits_) {
    if (exit.at <= suspect->second.served + kServedValidity) remove_part(exit, part);
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
  for (const PartHash part : exits_.front().parts) --suspects_.at(part).exits;
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
  for (const PromptPartExit& exit : exits_) {
    if (is_refuted_(exit.start, exit.at)) continue;
    for (const PartHash part : exit.parts) {
      const auto found = by_part.find(part);
      if (found != by_part.end()) found->second.push_back(&exit);
    }
  }
  std::erase_if(by_part, [now](const auto& entry) { return !qualifies(entry.second, now); });
  return by_part;
}

PromptPartExits::Exits PromptPartExits::unexplained_exits(PartHash part, const Exits& exits,
                                                          const ExitsByPart& qualified) {
  Exits unexplained;
  for (const PromptPartExit* exit : exits) {
    const std::vector<PartHash> later = later_parts(*exit, part);
    const bool is_explained = std::any_of(
        later.begin(), later.end(), [&](PartHash other) { return qualified.contains(other); });
    if (!is_explained) unexplained.push_back(exit);
  }
  return unexplained;
}

std::vector<PoisonPart> PromptPartExits::find_poison_parts(TimePoint now) const {
  const ExitsByPart qualified = find_qualified(now);
  std::vector<PoisonPart> poison_parts;
  for (const auto& [part, exits] : qualified) {
    if (is_explained_by_own_part(part, exits, qualified)) continue;
    if (!are_attributable(part, unexplained_exits(part, exits, qualified))) continue;
    PoisonPart& found = poison_parts.emplace_back();
    found.part = part;
    found.exits = static_cast<std::uint32_t>(count_starts(exits));
    for (const PromptPartExit* exit : exits) {
      found.tenants.insert(exit->tenant);
      found.observed_locally = found.observed_locally || exit->observed_locally;
    }
  }
  return poison_parts;
}

void PromptPartExits::forget(ContentHash key, TimePoint at) {
  std::set<PartHash> parts;
  for (const PromptPartExit& exit : exits_) {
    for (const PartHash part : exit.parts) {
      const bool has_key = part_key(part) == key || tenant_part_key(part, exit.tenant) == key;
      if (has_key) parts.insert(part);
    }
  }
  for (const PartHash part : parts) record_served(part, at);
}

void PromptPartExits::expire(TimePoint now) {
  const auto is_old = [now](const PromptPartExit& exit) { return now - exit.at > kExitLifetime; };
  while (!exits_.empty() && (is_old(exits_.front()) || exits_.front().parts.empty())) {
    remove_oldest();
  }
  std::erase_if(suspects_, [now](const auto& entry) {
    return entry.second.exits == 0 && now - entry.second.served > kServedValidity;
  });
}

}  // namespace stoathold
