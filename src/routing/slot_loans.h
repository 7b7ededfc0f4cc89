/// @file
/// Bookkeeping of slots that zones lend to one another, on the lender's and the borrower's side.
///
/// A node of a zone without free slots requests slots from another zone and places requests there
/// on granted slots only. Without grants, all nodes of the full zone chose runners by load reports
/// that were some hundred milliseconds old and overloaded the same few runners. The classes do no
/// I/O; the current time is passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/slot_loan_messages.h"

namespace stoathold {

/// Lifetime of a loan that is not renewed. Two renewals in a row may be lost before it expires.
inline constexpr Duration kLoanLifetime = std::chrono::milliseconds(500);
inline constexpr Duration kLoanRenewalInterval = std::chrono::milliseconds(200);
/// A request that is unanswered for this time is considered lost. This is twice the longest round
/// trip between zones for which loans are intended, 50 ms.
inline constexpr Duration kLoanRequestTimeout = std::chrono::milliseconds(100);
/// Delay before the next request to a zone that had nothing to lend. With some hundred slots, one
/// becomes free every few milliseconds; each request costs traffic between zones.
inline constexpr Duration kLoanRefusedBackoff = std::chrono::milliseconds(25);
/// Delay before the next request to a zone that has waiting requests of its own. It is longer,
/// since slots that become free there are used for these requests first.
inline constexpr Duration kLoanReclaimedBackoff = std::chrono::milliseconds(100);

/// An online request that waits for a slot.
struct WaitingRequest {
  std::uint64_t service = 0;  ///< Hash of the service's name.
  Duration slack{0};  ///< Time left to place the request before it misses its deadline; negative if
                      ///< it is late already.
  Duration slot_time{0};  ///< Predicted time for which the request occupies a slot; 0: unknown.
};

/// Slots of a service in this node's zone and the demand of the other nodes for them.
struct ZoneCapacity {
  double slots = 0;          ///< Slots of the service in the zone.
  double peers_waiting = 0;  ///< Requests that wait for the service at other nodes of the zone.
};

/// Returns how many of the waiting requests justify a slot of another zone, because they would be
/// late if they waited for a slot of their own zone. Half of their slack is reserved for errors of
/// the prediction; obtaining the loan and sending the request to the other zone take time as well.
/// @param waiting requests for one service, in placement order.
/// @param round_trip_time of a loan request.
std::uint16_t slots_to_borrow(const std::vector<WaitingRequest>& waiting,
                              const ZoneCapacity& capacity, Duration round_trip_time);

/// Counters of a lender since its start.
struct LenderCounts {
  std::uint64_t lent = 0;     ///< Slots granted.
  std::uint64_t refused = 0;  ///< Requests for slots to which none was granted.
  std::uint64_t expired = 0;  ///< Slots of loans that expired without a renewal.
};

/// The lender's side: the loans of the runners that this node is responsible for in its zone. Not
/// thread-safe.
class SlotLender {
 public:
  /// @param self identifier of this node, as in its digests.
  /// @param started lending starts one loan lifetime later, when the loans of an earlier process or
  ///   of the previous lender have expired.
  SlotLender(std::uint64_t self, TimePoint started) : self_(self), last_interruption_(started) {}

  /// Replaces the set of runners whose slots this node lends. Lending at an added runner starts
  /// after one loan lifetime.
  void set_runners(const std::set<std::uint64_t>& runners, TimePoint now);
  /// Whether this node is the lender of any runner, even if lending has not started yet.
  [[nodiscard]] bool has_runners() const { return !owned_since_.empty(); }
  /// Stops lending for one loan lifetime after the process was suspended: other nodes may have
  /// taken over its runners.
  void on_process_suspended(TimePoint now);
  /// Handles a request.
  /// @param free slots that may be lent, by runner, in order of preference; without lent slots.
  /// @param reclaiming whether this zone lacks slots itself; no slot is granted then.
  /// @return nothing if a newer request or return of the borrower was handled before.
  std::optional<SlotLoan> handle_request(const SlotLoanRequest& request,
                                         const std::vector<RunnerSlots>& free, bool reclaiming,
                                         TimePoint now);
  void handle_return(const SlotLoanReturn& returned);
  /// Drops the loans that expired.
  /// @return the number of slots that became free.
  std::uint32_t expire(TimePoint now);
  /// Returns the number of lent slots by runner.
  [[nodiscard]] std::map<std::uint64_t, std::uint32_t> lent_by_runner() const;
  [[nodiscard]] const LenderCounts& counts() const { return counts_; }

 private:
  struct Loan {
    std::uint64_t sequence = 0;  ///< Highest sequence number received from the borrower.
    TimePoint expires_at{};
    std::map<std::uint64_t, std::uint16_t> slots;  ///< By runner.
    SlotLoan response;                             ///< To the borrower's newest request.
  };

  [[nodiscard]] bool may_lend(std::uint64_t runner, TimePoint now) const;
  std::uint32_t grant(Loan& loan, std::uint32_t wanted, const std::vector<RunnerSlots>& free,
                      TimePoint now) const;

  std::uint64_t self_;
  TimePoint last_interruption_;  ///< Start of the process or end of its last suspension.
  std::map<std::uint64_t, TimePoint> owned_since_;  ///< By runner.
  std::map<std::uint64_t, Loan> loans_;             ///< By borrower.
  LenderCounts counts_;
};

/// The borrower's side: the slots that this node holds in other zones. Not thread-safe.
class SlotBorrower {
 public:
  /// @param self identifier of this node, as in its digests.
  explicit SlotBorrower(std::uint64_t self) : self_(self) {}

  /// Creates the next request to a zone, to obtain additional slots or to renew the loans held.
  /// @param slots requested in addition to those held.
  /// @return nothing if no request is due or a request is pending.
  std::optional<SlotLoanRequest> next_request(const std::string& zone, std::uint64_t service,
                                              std::uint16_t slots, TimePoint now);
  /// Handles the response of a lender.
  /// @return the number of slots gained.
  std::uint32_t handle_loan(const SlotLoan& loan, TimePoint now);
  /// Returns the zone to which the request with this sequence number was sent, if it is the newest
  /// request to that zone; empty otherwise.
  [[nodiscard]] std::string zone_of_request(std::uint64_t sequence) const;
  /// Returns the number of slots held at a runner.
  [[nodiscard]] std::uint32_t held_at(std::uint64_t runner, TimePoint now) const;
  /// Removes unused slots of a zone from the books and creates the message that returns them.
  /// @param used returns the number of this node's requests at a runner.
  /// @param spare number of unused slots to keep.
  /// @return nothing if there is no slot to return or a request is pending.
  std::optional<SlotLoanReturn> return_unused(
      const std::string& zone, const std::function<std::uint32_t(std::uint64_t runner)>& used,
      std::uint32_t spare, TimePoint now);
  /// Returns how many of the wanted slots are covered neither by unused borrowed slots nor by
  /// pending requests.
  /// @param used returns the number of this node's requests at a runner.
  [[nodiscard]] std::uint16_t uncovered_slots(
      std::uint16_t wanted, const std::function<std::uint32_t(std::uint64_t runner)>& used,
      TimePoint now) const;
  /// Returns the moving average of the round-trip time of requests.
  [[nodiscard]] Duration round_trip_time() const { return round_trip_time_; }
  /// Whether the zone reclaims its slots.
  [[nodiscard]] bool is_reclaiming(const std::string& zone) const;
  /// Whether requests to the zone have been unanswered for one loan lifetime.
  [[nodiscard]] bool is_unresponsive(const std::string& zone, TimePoint now) const;
  /// Whether slots of the zone are held or a request was sent to it within the request timeout.
  [[nodiscard]] bool has_activity(const std::string& zone, TimePoint now) const;
  /// Returns the number of slots held in a zone.
  [[nodiscard]] std::uint32_t held_in_zone(const std::string& zone, TimePoint now) const;
  /// Calls `visit(runner, slots, expires_at, reclaiming)` for each runner at which slots are held,
  /// including slots that expired and have not been dropped yet.
  template <typename Visitor>
  void for_each(const Visitor& visit) const {
    for (const auto& [zone, state] : zones_) {
      for (const auto& [runner, held] : state.held) {
        visit(runner, held.slots, held.expires_at, state.reclaiming);
      }
    }
  }

 private:
  struct HeldSlots {
    std::uint16_t slots = 0;
    TimePoint expires_at{};
  };
  struct ZoneState {
    SlotLoanRequest last_request;  ///< Its sequence number is 0 if none has been sent.
    TimePoint sent_at{};           ///< When `last_request` was sent.
    /// When the first request since the last response was sent; the clock's epoch if there is none.
    TimePoint unanswered_since{};
    std::set<std::uint64_t> responders;  ///< Lenders that have responded to `last_request`.
    std::uint32_t slots_gained = 0;      ///< Slots gained by these responses.
    bool reclaiming = false;
    std::map<std::uint64_t, HeldSlots> held;  ///< By runner.
  };

  static void drop_expired(ZoneState& state, TimePoint now);
  [[nodiscard]] static bool is_pending(const ZoneState& state, TimePoint now);
  void record_round_trip(Duration time);
  [[nodiscard]] static bool is_due(const ZoneState& state, bool wants_slots, TimePoint now);

  std::uint64_t self_;
  std::uint64_t sequence_ = 0;
  Duration round_trip_time_{0};  ///< Exponentially weighted moving average.
  std::map<std::string, ZoneState> zones_;
};

/// Selects the lender that is responsible for a runner, by rendezvous hashing.
/// @param lenders identifiers of the zone's lenders, in the same order on all nodes.
/// @return its index in `lenders`.
std::size_t lender_for_runner(std::uint64_t runner, const std::vector<std::uint64_t>& lenders);

/// Returns how many of the requested slots are requested from one of the lenders.
/// @param rotation varies between requests, so that the remainder of the division goes to each
///   lender in turn.
std::uint16_t slots_of_lender(std::uint16_t slots, std::size_t index, std::size_t lenders,
                              std::uint64_t rotation);

}  // namespace stoathold
