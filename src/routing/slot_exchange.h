/// @file
/// Lends slots of this zone's runners to nodes of other zones, and borrows theirs for work that
/// would be late here.
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

/// A node that lends slots of its zone.
struct LendingNode {
  std::uint64_t identity = 0;  ///< The same for all nodes of the zone.
  std::string address;         ///< `ip:port`.
  bool self = false;           ///< It is this node.
};

/// How messages and decisions leave a `SlotExchange`.
struct SlotExchangeLinks {
  std::string address;  ///< Where this node is reached, `ip:port`.
  /// Sends to some node of another zone.
  std::function<void(const std::string& zone, const PeerLoadMessage& message)> send_to_zone;
  /// Sends to a node.
  std::function<void(const std::string& address, const PeerLoadMessage& message)> send_to_node;
  /// Returns the nodes that lend in this zone, in the same order at each of its nodes.
  std::function<std::vector<LendingNode>()> lending_nodes;
  /// What this node lends has changed.
  std::function<void()> lent_changed;
  /// Slots were lent to this node.
  std::function<void()> borrowed;
  /// A batch item at the runner has to give its slot back.
  std::function<void(const Runner& runner)> yield;
  /// Returns the online work that waits here, in the order in which it is placed.
  std::function<std::vector<WaitingWork>(TimePoint now)> waiting;
};

/// What an exchange did and holds.
struct SlotExchangeCounts {
  std::uint64_t lent = 0;     ///< Slots granted since the start.
  std::uint64_t refused = 0;  ///< Requests of other zones that got no slot.
  std::uint64_t expired = 0;  ///< Slots of loans that nobody renewed.
  std::uint32_t lent_now = 0;
};

/// Pairs the books with the registry and the messages; the clock is passed in. One thread. The
/// registry outlives it.
class SlotExchange {
 public:
  /// @param zone of this node.
  /// @param self this node, as in its digests.
  SlotExchange(RunnerRegistry& registry, std::string zone, std::uint64_t self, TimePoint now);

  void set_links(SlotExchangeLinks links) { links_ = std::move(links); }
  /// The other zones.
  void set_zones(std::vector<std::string> zones, TimePoint now);
  /// To be called some times a second: nodes and runners come and go, loans end.
  void refresh(TimePoint now);
  /// Asks for slots, renews and gives back.
  /// @return whether it is to be called again soon.
  bool tick(TimePoint now);
  void take(const SlotLoanRequest& request, TimePoint now);
  void take(const SlotLoan& loan, TimePoint now);
  void take(const SlotLoanReturn& returned, TimePoint now);
  /// Returns the services for which batch here leaves slots to other zones.
  [[nodiscard]] std::vector<ServiceDemand> demand(TimePoint now) const;

  [[nodiscard]] SlotExchangeCounts counts() const;
  [[nodiscard]] const std::vector<std::string>& zones() const { return zones_; }
  /// Returns the slots that this node holds in another zone.
  [[nodiscard]] std::uint32_t borrowed_from(const std::string& zone, TimePoint now) const {
    return borrower_.held_in(zone, now);
  }

 private:
  /// What one service lacks here.
  struct Want {
    std::uint64_t service = 0;
    std::uint16_t slots = 0;
  };

  [[nodiscard]] Want greatest_want(TimePoint now) const;
  [[nodiscard]] ZoneSupply supply_of(std::uint64_t service, TimePoint now) const;
  [[nodiscard]] bool asked_lately(TimePoint now) const;
  void note_alive(TimePoint now);
  void lend(const SlotLoanRequest& request, TimePoint now);
  void make_batch_yield(const SlotLoanRequest& request, const SlotLoan& loan, TimePoint now);
  [[nodiscard]] std::vector<LentSlots> offers(std::uint64_t service, TimePoint now) const;
  [[nodiscard]] std::uint32_t free_slots(const Runner& runner, TimePoint now) const;
  void publish_lent();
  void publish_borrowed();
  void publish_lending_zones(TimePoint now);
  [[nodiscard]] std::uint32_t used(std::uint64_t runner) const;

  RunnerRegistry& registry_;
  std::string zone_;
  SlotLender lender_;
  SlotBorrower borrower_;
  SlotExchangeLinks links_;
  std::vector<std::string> zones_;
  std::optional<TimePoint> asked_at_;  ///< When another zone last asked for slots.
  TimePoint last_alive_;
  std::map<std::uint64_t, TimePoint> preempted_at_;  ///< For other zones, by service.
  std::size_t turn_ = 0;                             ///< Zone that is asked first.
};

}  // namespace stoathold
