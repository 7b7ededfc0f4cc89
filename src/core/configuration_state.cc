#include "core/configuration_state.h"

#include <algorithm>

#include "core/codec.h"
#include "core/policy_switches.h"

namespace stoathold {

ConfigurationApplyResult ConfigurationState::evaluate(const ConfigurationEntry& entry) const {
  if (result_of(entry.id) && policy_switches().drop_repeated_appends)
    return ConfigurationApplyResult::kDuplicate;
  const auto& change = entry.change;
  const auto* present = find(change.kind, change.name);
  const Offset version = present == nullptr ? Offset{} : present->version;
  if (version != change.expected_version && policy_switches().conflict_on_version) {
    return ConfigurationApplyResult::kConflict;
  }
  if (change.deleted)
    return present == nullptr ? ConfigurationApplyResult::kConflict
                              : ConfigurationApplyResult::kAccepted;
  return ConfigurationApplyResult::kAccepted;
}

ConfigurationApplyResult ConfigurationState::apply(Offset offset, const ConfigurationEntry& entry) {
  if (offset < next_offset_ && policy_switches().monotonic_configuration_offsets) {
    return ConfigurationApplyResult::kDuplicate;
  }
  next_offset_ = next_of(offset);
  const ConfigurationApplyResult result = evaluate(entry);
  if (result == ConfigurationApplyResult::kDuplicate) return result;
  recent_changes_.push_back({entry.id, result, offset});
  if (recent_changes_.size() > kMaxRecentChanges) recent_changes_.erase(recent_changes_.begin());
  if (result != ConfigurationApplyResult::kAccepted) return result;
  const auto& change = entry.change;
  const Key key{change.kind, change.name};
  if (change.deleted) {
    resources_.erase(key);
  } else {
    resources_[key] = {change.kind, change.name, offset, change.body};
  }
  return result;
}

void ConfigurationState::skip(Offset offset) {
  if (offset >= next_offset_) next_offset_ = next_of(offset);
}

const Resource* ConfigurationState::find(std::string_view kind, std::string_view name) const {
  const auto found = resources_.find({std::string(kind), std::string(name)});
  return found == resources_.end() ? nullptr : &found->second;
}

std::optional<std::pair<ConfigurationApplyResult, Offset>> ConfigurationState::result_of(
    const AppendId& id) const {
  const auto matches = [&](const RecentChange& change) { return change.id == id; };
  const auto found = std::find_if(recent_changes_.rbegin(), recent_changes_.rend(), matches);
  if (found == recent_changes_.rend()) return std::nullopt;
  return std::pair{found->result, found->offset};
}

std::string encode_configuration(const ConfigurationState& state) {
  return encode_value(state);
}

bool decode_configuration(const std::string& bytes, ConfigurationState& state) {
  return decode_value(bytes, state);
}

}  // namespace stoathold
