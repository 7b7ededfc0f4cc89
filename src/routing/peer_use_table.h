/// @file
/// What the other nodes use of the runners and wait for, kept up to date by differences.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/load_messages.h"
#include "routing/runner_registry.h"
#include "routing/slot_arbitration.h"

namespace stoathold {

/// Table of the newest digest of each other node, and the system that brings its sums into the
/// registry. The cost of a digest follows from its own size, not from the number of nodes or
/// runners. Used on one thread; the registry outlives it.
class PeerUseTable {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// @param self this node, as in its own digests.
  PeerUseTable(RunnerRegistry& registry, std::string zone, std::uint64_t self);

  /// Whether a digest is newer than what its sender reported before.
  [[nodiscard]] bool is_news(const LoadDigest& digest) const;
  /// Takes a digest in.
  /// @param endpoint where its sender is reached.
  /// @param own_demand online work that waits at this node.
  /// @return whether work that waits here may find a place now that it did not find before.
  bool take(LoadDigest digest, const Endpoint& endpoint,
            const std::vector<ServiceDemand>& own_demand, TimePoint now);
  /// Forgets what nodes said that have been silent for long.
  /// @return as `take`.
  bool expire(TimePoint now);
  /// Picks the node that runs the most batch items at the runners that the request names, and
  /// counts one item less there until its next digest.
  std::optional<Endpoint> take_batch_place(const YieldRequest& request);

 private:
  struct PeerState {
    std::uint64_t sequence = 0;
    std::uint64_t zone = 0;
    TimePoint received{};
    Endpoint endpoint;
    std::vector<RunnerUse> uses;
    std::vector<ServiceDemand> demand;
  };

  /// Adds a node's use to the runners' sums, or takes it off again.
  enum class Direction : std::uint8_t { kAdd, kRemove };
  void count(const PeerState& state, Direction direction);
  void count_all_anew();
  void take_off_one(RunnerUse& use);
  void note_heard(const PeerState& state, TimePoint now);
  void publish_demand(TimePoint now);
  void arbitrate_free_slots(std::uint64_t sender, const PeerState& before, const PeerState& after,
                            const std::vector<ServiceDemand>& own_demand, TimePoint now);
  [[nodiscard]] std::vector<SlotContender> contenders_for(
      const std::string& service, const std::vector<ServiceDemand>& own_demand,
      TimePoint now) const;
  [[nodiscard]] bool uses_less(const PeerState& before, const PeerState& after) const;
  [[nodiscard]] bool is_batch_at(const RunnerUse& use, const YieldRequest& request) const;
  [[nodiscard]] std::uint32_t batch_at(const PeerState& state, const YieldRequest& request) const;

  RunnerRegistry& registry_;
  std::string zone_;
  std::uint64_t zone_hash_;
  std::uint64_t self_;
  std::map<std::uint64_t, PeerState> states_;  ///< By sender.
  std::uint64_t counted_revision_ = 0;         ///< Of the registry, when all was counted last.
  bool demand_published_ = false;
};

}  // namespace stoathold
