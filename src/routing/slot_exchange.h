/// @file
/// Lends slots of this zone's runners to nodes of other zones, and borrows slots of other zones for
/// requests that would be late here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/load_messages.h"
#include "routing/runner_registry.h"
#include "routing/slot_loans.h"

namespace stoathold {

/// A node that acts as a lender in this zone.
struct LendingNode {
  std::uint64_t identity = 0;  ///< Identifier on which all nodes of the zone agree.
  std::string address;         ///< `ip:port`.
  bool self = false;           ///< Whether it is this node.
};

/// Callbacks by which a `SlotExchange` sends messages, reports changes and queries its node.
struct SlotExchangeCallbacks {
  std::string address;  ///< `ip:port` at which this node receives messages.
  /// Sends a message to any one node of another zone.
  std::function<void(const std::string& zone, const PeerLoadMessage& message)> send_to_zone;
  /// Sends a message to the node at an address.
  std::function<void(const std::string& address, const PeerLoadMessage& message)> send_to_node;
  /// Returns the lenders of this zone, in the same order on all of its nodes.
  std::function<std::vector<LendingNode>()> lending_nodes;
  /// Called when the set of slots that this node lends has changed.
  std::function<void()> on_lent_changed;
  /// Called when this node has borrowed slots.
  std::function<void()> on_borrowed;
  /// Requests that a batch item at the runner release its slot.
  std::function<void(const Runner& runner)> yield;
  /// Returns the online requests that wait at this node, in placement order.
  std::function<std::vector<WaitingRequest>(TimePoint now)> waiting_requests;
};

/// Counters of a `SlotExchange`.
struct SlotExchangeCounts {
  std::uint64_t lent = 0;      ///< Slots granted since the start.
  std::uint64_t refused = 0;   ///< Requests of other zones to which no slot was granted.
  std::uint64_t expired = 0;   ///< Slots of loans that expired without a renewal.
  std::uint32_t lent_now = 0;  ///< Slots lent at present.
};

/// Connects the lender's and the borrower's bookkeeping with the runner registry and the messages
/// between nodes. The current time is passed in. Not thread-safe. The registry must outlive it.
class SlotExchange {
 public:
  /// @param zone zone of this node.
  /// @param self identifier of this node, as in its digests.
  SlotExchange(RunnerRegistry& registry, std::string zone, std::uint64_t self, TimePoint now);

  void set_callbacks(SlotExchangeCallbacks callbacks) { callbacks_ = std::move(callbacks); }
  /// Sets the names of the other zones.
  void set_zones(std::vector<std::string> zones, TimePoint now);
  /// Adapts to changed nodes and runners and drops expired loans. To be called several times a
  /// second.
  void refresh(TimePoint now);
  /// Requests slots, renews loans and returns unused slots.
  /// @return whether it must be called again soon.
  bool tick(TimePoint now);
  void handle(const SlotLoanRequest& request, TimePoint now);
  void handle(const SlotLoan& loan, TimePoint now);
  void handle(const SlotLoanReturn& returned, TimePoint now);
  /// Returns the services whose batch items are held back here in favor of online requests of other
  /// zones.
  [[nodiscard]] std::vector<ServiceDemand> demand(TimePoint now) const;

  [[nodiscard]] SlotExchangeCounts counts() const;
  [[nodiscard]] const std::vector<std::string>& zones() const { return zones_; }
  /// Returns the number of slots that this node holds in another zone.
  [[nodiscard]] std::uint32_t borrowed_from(const std::string& zone, TimePoint now) const {
    return borrower_.held_in_zone(zone, now);
  }

 private:
  /// Number of slots that this node needs for a service from other zones.
  struct SlotDeficit {
    std::uint64_t service = 0;
    std::uint16_t slots = 0;
  };

  [[nodiscard]] SlotDeficit largest_deficit(TimePoint now) const;
  [[nodiscard]] ZoneCapacity capacity_of(std::uint64_t service, TimePoint now) const;
  [[nodiscard]] bool recently_requested(TimePoint now) const;
  void detect_suspension(TimePoint now);
  void answer_request(const SlotLoanRequest& request, TimePoint now);
  void preempt_batch(const SlotLoanRequest& request, const SlotLoan& loan, TimePoint now);
  [[nodiscard]] std::vector<RunnerSlots> lendable_slots(std::uint64_t service, TimePoint now) const;
  [[nodiscard]] std::uint32_t free_slots(const Runner& runner, TimePoint now) const;
  void publish_lent();
  void publish_borrowed();
  void publish_lending_zones(TimePoint now);
  [[nodiscard]] std::uint32_t online_in_flight_at(std::uint64_t runner) const;

  RunnerRegistry& registry_;
  std::string zone_;
  SlotLender lender_;
  SlotBorrower borrower_;
  SlotExchangeCallbacks callbacks_;
  std::vector<std::string> zones_;
  std::optional<TimePoint> last_request_at_;  ///< When another zone last requested slots.
  TimePoint last_active_;
  std::map<std::uint64_t, TimePoint> preempted_at_;  ///< When batch was last preempted for another
                                                     ///< zone, by service.
  std::size_t next_zone_ = 0;                        ///< Index of the zone to request from first.
};

}  // namespace stoathold
