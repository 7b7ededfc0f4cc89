/// @file
/// State machine of the `configuration` stream: the resources currently in effect.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/log_records.h"
#include "core/resources.h"

namespace stoathold {

/// Result of applying a configuration change.
enum class ConfigurationApplyResult : std::uint8_t { kAccepted, kConflict, kDuplicate };

/// Configuration state, a pure function of the stream's entries up to `next_offset() - 1`.
/// Not thread safe; guarded by `LockRank::kConfiguration`.
class ConfigurationState {
 public:
  using Key = std::pair<std::string, std::string>;  ///< Kind and name.

  /// Applies the entry at `offset`. An offset that is not newer than the last one applied is
  /// ignored as a duplicate.
  ConfigurationApplyResult apply(Offset offset, const ConfigurationEntry& entry);
  /// Skips an offset whose entry cannot be decoded.
  void skip(Offset offset);

  [[nodiscard]] Offset next_offset() const { return next_offset_; }
  [[nodiscard]] const std::map<Key, Resource>& resources() const { return resources_; }
  /// Returns the resource in effect, or null.
  [[nodiscard]] const Resource* find(std::string_view kind, std::string_view name) const;
  /// Returns the result and offset of a recently applied change, or nothing if it is not among
  /// them.
  [[nodiscard]] std::optional<std::pair<ConfigurationApplyResult, Offset>> result_of(
      const AppendId& id) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(next_offset_, resources_, recent_changes_);
  }

 private:
  struct RecentChange {
    AppendId id;
    ConfigurationApplyResult result{};
    Offset offset{};

    template <class Archive>
    void serialize(Archive& archive) {
      archive(id, result, offset);
    }
  };

  ConfigurationApplyResult evaluate(const ConfigurationEntry& entry) const;

  Offset next_offset_{1};
  std::map<Key, Resource> resources_;
  std::vector<RecentChange> recent_changes_;  ///< Oldest first; bounded by `kMaxRecentChanges`.
};

/// Number of recent changes kept to detect duplicate appends: more than a day of changes in a fleet
/// of full size.
inline constexpr std::size_t kMaxRecentChanges = 4096;

/// Encodes the whole state, for a starting node that copies it from a peer.
std::string encode_configuration(const ConfigurationState& state);
/// Decodes the state; returns false on malformed bytes.
bool decode_configuration(const std::string& bytes, ConfigurationState& state);

}  // namespace stoathold
