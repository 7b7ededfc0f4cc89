/// @file
/// Exchanges the origins of streams with other nodes.
#pragma once

#include <string>
#include <vector>

#include "base/timer.h"
#include "gateway/gateway_context.h"
#include "routing/peer_loads.h"

namespace stoathold {

/// Connects the origins of streams to the messages between nodes. Used on one thread; outlives the
/// calls in flight.
class OriginSharing {
 public:
  /// @param context and `peers` must outlive this object.
  OriginSharing(GatewayContext& context, PeerLoads& peers);

  void start();
  /// Sets all nodes, by their names in the worker group.
  void set_members(const std::vector<std::string>& names);

 private:
  /// Interval at which origins that have become necessary to send are looked for.
  static constexpr Duration kSendInterval = std::chrono::milliseconds(100);

  void schedule_send();

  GatewayContext& context_;
  PeerLoads& peers_;
  Timer timer_;
};

}  // namespace stoathold
