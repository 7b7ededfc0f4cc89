/// @file
/// Logs changes of a node's state: readiness, members, leases, runners and configuration.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/node_core.h"

namespace stoathold {

/// Compares the state of a `NodeCore` with the state that was logged last and logs the differences.
///
/// Not thread safe: called only from the runtime's tick. The core does its own locking.
class NodeStateLogger {
 public:
  explicit NodeStateLogger(std::string node_name) : node_name_(std::move(node_name)) {}

  /// Logs one event for each change since the previous call.
  void log_changes(NodeCore& core);

 private:
  void log_member_changes(NodeCore& core);
  void log_lease_changes(NodeCore& core);
  void log_runner_changes(NodeCore& core);

  std::string node_name_;
  std::map<NodeId, Liveness> logged_liveness_;
  std::map<ShardId, bool> logged_ownership_;
  std::map<RunnerId, RunnerHealth> logged_health_;
  std::uint64_t logged_membership_version_ = 0;
  std::uint64_t logged_runner_version_ = 0;
  Offset logged_configuration_{};
  bool logged_ready_ = false;
};

}  // namespace stoathold
