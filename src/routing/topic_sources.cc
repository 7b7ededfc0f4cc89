#include "routing/topic_sources.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Time for which a node that has failed is not read from.
constexpr Duration kAvoidance = std::chrono::seconds(3);
/// Number of nodes that are tried, one after the other failed, before the log is read.
constexpr std::size_t kMaxSources = 3;
/// If at least this fraction of the slots have distinct holders, many nodes may hold none.
constexpr double kLargeFleetFraction = 0.5;

}  // namespace

TopicSources::TopicSources(MemberName self, std::uint32_t group_slots)
    : self_(std::move(self)), group_slots_(group_slots) {}

void TopicSources::set_members(const std::vector<MemberName>& members) {
  std::set<std::string> nodes;
  candidates_.clear();
  for (const MemberName& member : members) {
    nodes.insert(member.node);
    if (member.zone != self_.zone) continue;
    candidates_.push_back({mix_hashes(stable_hash(member.zone), stable_hash(member.node)),
                           member.node, member.peer_address});
  }
  is_large_fleet_ =
      static_cast<double>(nodes.size()) >= kLargeFleetFraction * static_cast<double>(group_slots_);
  std::sort(candidates_.begin(), candidates_.end(),
            [](const Candidate& left, const Candidate& right) { return left.rank < right.rank; });
}

std::optional<std::string> TopicSources::source(TimePoint now) const {
  if (!is_large_fleet_ || candidates_.empty()) return std::nullopt;
  const auto self =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [this](const Candidate& candidate) { return candidate.node == self_.node; });
  const bool is_member = self != candidates_.end();
  const auto position = static_cast<std::size_t>(self - candidates_.begin());
  if (is_member && position < kFanOut) return std::nullopt;
  // A member reads only from members before it, so that no nodes read from each other in a circle.
  const std::size_t first =
      is_member ? position / kFanOut - 1 : stable_hash(self_.node) % candidates_.size();
  for (std::size_t attempt = 0; attempt < kMaxSources; ++attempt) {
    const std::string& address = candidates_[(first + attempt) % position].address;
    if (!is_avoided(address, now)) return address;
  }
  return std::nullopt;
}

bool TopicSources::is_avoided(const std::string& address, TimePoint now) const {
  const auto found = avoided_until_.find(address);
  return found != avoided_until_.end() && now < found->second;
}

void TopicSources::record_failure(const std::string& address, TimePoint now) {
  std::erase_if(avoided_until_, [now](const auto& entry) { return entry.second <= now; });
  avoided_until_[address] = now + kAvoidance;
}

}  // namespace stoathold
