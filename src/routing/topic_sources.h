/// @file
/// Decides through which node of the zone a node reads the topics that all nodes follow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/member_name.h"

namespace stoathold {

/// Arranges the nodes of a zone in a tree. The members that the worker group lists, of which there
/// are at most as many as slots, are its inner nodes: a few read from the log, each of the others
/// from one above it. All other nodes of the zone read from one of the members. So the number of
/// nodes that read a topic from the log depends on the number of zones, not on that of nodes.
///
/// In a fleet that is small compared with the group's slots, every node reads from the log. A node
/// that knows no member of its zone does so too. The clock is passed in. Not thread-safe.
class TopicSources {
 public:
  /// @param self this node, as the group lists it.
  TopicSources(MemberName self, std::uint32_t group_slots);

  /// Sets the members of all zones that hold slots.
  void set_members(const std::vector<MemberName>& members);
  /// Returns the address of the node to read from, or nothing to read from the log.
  [[nodiscard]] std::optional<std::string> source(TimePoint now) const;
  /// Records that a node did not answer a read, or could not: it is avoided for some time.
  void record_failure(const std::string& address, TimePoint now);

  /// Number of members of a zone that read from the log, and of members that read from each member.
  static constexpr std::size_t kFanOut = 4;

 private:
  /// A member of this node's zone.
  struct Candidate {
    std::uint64_t rank = 0;
    std::string node;
    std::string address;
  };

  [[nodiscard]] bool is_avoided(const std::string& address, TimePoint now) const;

  MemberName self_;
  std::uint32_t group_slots_;
  bool is_large_fleet_ = false;
  std::vector<Candidate> candidates_;               ///< Ordered by rank, the same at all nodes.
  std::map<std::string, TimePoint> avoided_until_;  ///< By address.
};

}  // namespace stoathold
