/// @file
/// Use of the runners and demand by the other nodes, maintained incrementally.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "routing/load_messages.h"
#include "routing/runner_registry.h"
#include "routing/slot_arbitration.h"

namespace stoathold {

/// Table of the newest digest of each other node. Maintains the sums over all digests in the
/// registry. The cost of a digest depends on its own size, not on the number of nodes or runners.
/// Not thread-safe. The registry must outlive it.
class PeerUseTable {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// @param self identifier of this node, as in its digests.
  PeerUseTable(RunnerRegistry& registry, std::string zone, std::uint64_t self);

  /// Whether a digest of this sender was taken recently.
  [[nodiscard]] bool knows(std::uint64_t sender) const { return states_.contains(sender); }
  /// Whether a digest is newer than the last one taken from its sender.
  [[nodiscard]] bool is_newer(const LoadDigest& digest) const;
  /// Replaces the digest of a node and updates the sums in the registry.
  /// @param endpoint of the sender.
  /// @param own_demand online requests that wait at this node.
  /// @return whether a slot may have become available to requests that wait at this node.
  bool apply(LoadDigest digest, const Endpoint& endpoint,
             const std::vector<ServiceDemand>& own_demand, TimePoint now);
  /// Drops the digests of nodes that have not sent one for a long time.
  /// @return as `apply`.
  bool expire(TimePoint now);
  /// Selects the node that runs the most batch items at the runners that the request specifies, and
  /// counts one item less for it until its next digest.
  /// @return the endpoint of the node; nothing if no node runs batch items there.
  std::optional<Endpoint> reserve_batch_slot(const YieldRequest& request);

 private:
  struct PeerState {
    std::uint64_t sequence = 0;
    std::uint64_t zone = 0;
    TimePoint received{};
    Endpoint endpoint;
    std::vector<RunnerUse> uses;
    std::vector<ServiceDemand> demand;
  };

  /// Whether a node's use is added to the runners' sums or subtracted from them.
  enum class Direction : std::uint8_t { kAdd, kRemove };
  void add_to_sums(const PeerState& state, Direction direction);
  void recount_all();
  void discount_batch_item(RunnerUse& use);
  void record_responses(const PeerState& state, TimePoint now);
  void publish_demand(TimePoint now);
  void arbitrate_free_slots(std::uint64_t sender, const PeerState& before, const PeerState& after,
                            const std::vector<ServiceDemand>& own_demand, TimePoint now);
  [[nodiscard]] std::vector<SlotContender> contenders_for(
      const std::string& service, const std::vector<ServiceDemand>& own_demand,
      TimePoint now) const;
  [[nodiscard]] bool has_reduced_use(const PeerState& before, const PeerState& after) const;
  [[nodiscard]] bool runs_batch_at(const RunnerUse& use, const YieldRequest& request) const;
  [[nodiscard]] std::uint32_t batch_items_at(const PeerState& state,
                                             const YieldRequest& request) const;

  RunnerRegistry& registry_;
  std::string zone_;
  std::uint64_t zone_hash_;
  std::uint64_t self_;
  std::map<std::uint64_t, PeerState> states_;  ///< By sender.
  std::uint64_t counted_revision_ = 0;         ///< Registry revision of the last full recount.
  /// Runners with uses counted since then, by `Runner::hash`.
  std::unordered_set<std::uint64_t> counted_runners_;
  bool demand_published_ = false;
};

}  // namespace stoathold
