/// @file
/// Logs what a node newly believes: readiness, members, leases, runners, configuration.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/node_core.h"

namespace stoathold {

/// Compares the core with what was logged last. Used on the tick's thread alone; the core has its
/// own locks.
class NodeChangeLog {
 public:
  explicit NodeChangeLog(std::string node_name) : node_name_(std::move(node_name)) {}

  /// Writes one event for each change since the last call.
  void log_changes(NodeCore& core);

 private:
  void log_member_changes(NodeCore& core);
  void log_lease_changes(NodeCore& core);
  void log_runner_changes(NodeCore& core);

  std::string node_name_;
  std::map<NodeId, Liveness> known_liveness_;
  std::map<ShardId, bool> known_owned_;
  std::map<RunnerId, RunnerHealth> known_health_;
  std::uint64_t known_membership_version_ = 0;
  std::uint64_t known_runner_version_ = 0;
  Offset known_configuration_{};
  bool known_ready_ = false;
};

}  // namespace stoathold
