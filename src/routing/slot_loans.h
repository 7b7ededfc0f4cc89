/// @file
/// The books of slots that zones lend one another: the lender's and the borrower's.
///
/// A node of a zone without free slots asks another zone for some, and places work there on granted
/// slots only. Without grants all nodes of the full zone chose from reports that were some hundred
/// milliseconds old and sent to the same few runners. Pure: the clock is passed in.
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

/// How long a loan lasts unless it is renewed: two renewals may be lost before it ends.
inline constexpr Duration kLoanLifetime = std::chrono::milliseconds(500);
/// Between two renewals.
inline constexpr Duration kLoanRenewal = std::chrono::milliseconds(200);
/// A request without an answer for this time is taken for lost: twice the longest way to another
/// zone and back for which loans are meant, 50 ms.
inline constexpr Duration kLoanAnswerPatience = std::chrono::milliseconds(100);
/// A zone that had nothing to lend is not asked again for this time. Of some hundred slots one
/// comes free each few milliseconds; each question costs bytes between zones.
inline constexpr Duration kLoanRefusedPause = std::chrono::milliseconds(25);
/// Nor is one whose own work waits, for longer: what comes free there goes to that work first.
inline constexpr Duration kLoanReclaimedPause = std::chrono::milliseconds(100);

/// Online work that waits for a slot.
struct WaitingWork {
  std::uint64_t service = 0;  ///< Hash of its name.
  Duration slack{0};          ///< Until it must be placed to be in time; negative: it is late.
  Duration slot_time{0};      ///< For which it is predicted to hold a slot; 0: not known.
};

/// What the own zone has for work that waits.
struct ZoneSupply {
  double slots = 0;          ///< Of the service, in the zone.
  double peers_waiting = 0;  ///< Requests that wait for it at the other nodes of the zone.
};

/// Returns how many of those that wait are worth a slot of another zone: they would be late if they
/// waited for one of their own zone. Half of their slack is left to the errors of the prediction;
/// the loan and the way there take time as well.
/// @param waiting for one service, in the order in which it is placed.
/// @param answer_time of a request for a loan, there and back.
std::uint16_t slots_worth_borrowing(const std::vector<WaitingWork>& waiting,
                                    const ZoneSupply& supply, Duration answer_time);

/// What a lender did so far.
struct LenderCounts {
  std::uint64_t lent = 0;     ///< Slots granted.
  std::uint64_t refused = 0;  ///< Requests that wanted slots and got none.
  std::uint64_t expired = 0;  ///< Slots of loans that nobody renewed.
};

/// What a node lends, at its part of its zone's runners. Used on one thread.
class SlotLender {
 public:
  /// @param self this node, as in its digests.
  /// @param started from then on it may lend after one lifetime: what its last start lent, or who
  ///   lent before it, has ended by then.
  SlotLender(std::uint64_t self, TimePoint started) : self_(self), quiet_until_(started) {}

  /// This node lends at just these runners. New ones are lent after one lifetime.
  void set_runners(const std::set<std::uint64_t>& runners, TimePoint now);
  /// Whether it lends at any runner, also if only after a while.
  [[nodiscard]] bool lends() const { return !owned_since_.empty(); }
  /// The process stood still: other nodes may have lent in its place.
  void suspended(TimePoint now);
  /// Answers a request.
  /// @param free slots by runner that may be lent, the best first; lent ones are not among them.
  /// @param reclaims whether this zone lacks slots itself.
  /// @return nothing if the request is older than one answered before.
  std::optional<SlotLoan> answer(const SlotLoanRequest& request, const std::vector<LentSlots>& free,
                                 bool reclaims, TimePoint now);
  void take_back(const SlotLoanReturn& returned);
  /// Ends the loans that nobody renewed.
  /// @return slots that came free.
  std::uint32_t expire(TimePoint now);
  /// Returns the slots lent at each runner.
  [[nodiscard]] std::map<std::uint64_t, std::uint32_t> lent() const;
  [[nodiscard]] const LenderCounts& counts() const { return counts_; }

 private:
  struct Loan {
    std::uint64_t number = 0;  ///< Newest of the borrower.
    TimePoint until{};
    std::map<std::uint64_t, std::uint16_t> slots;  ///< By runner.
    SlotLoan answer;                               ///< To its newest request.
  };

  [[nodiscard]] bool may_lend(std::uint64_t runner, TimePoint now) const;
  std::uint32_t grant(Loan& loan, std::uint32_t wanted, const std::vector<LentSlots>& free,
                      TimePoint now) const;

  std::uint64_t self_;
  TimePoint quiet_until_;
  std::map<std::uint64_t, TimePoint> owned_since_;  ///< By runner.
  std::map<std::uint64_t, Loan> loans_;             ///< By borrower.
  LenderCounts counts_;
};

/// What a node has borrowed. Used on one thread.
class SlotBorrower {
 public:
  /// @param self this node, as in its digests.
  explicit SlotBorrower(std::uint64_t self) : self_(self) {}

  /// Makes the request that is due to a zone: for slots wanted, or to renew those held.
  /// @param slots wanted beyond those held.
  /// @return nothing while none is due, or one awaits its answer.
  std::optional<SlotLoanRequest> next_request(const std::string& zone, std::uint64_t service,
                                              std::uint16_t slots, TimePoint now);
  /// Takes a lender's answer.
  /// @return slots that it adds.
  std::uint32_t take(const SlotLoan& loan, TimePoint now);
  /// Returns the zone whose newest request has this number; empty if there is none.
  [[nodiscard]] std::string zone_of_request(std::uint64_t number) const;
  /// Returns the slots that are held at a runner.
  [[nodiscard]] std::uint32_t held(std::uint64_t runner, TimePoint now) const;
  /// Gives unused slots of a zone back.
  /// @param used requests that this node has at a runner.
  /// @param spare how many unused ones are kept.
  /// @return nothing if none is given back.
  std::optional<SlotLoanReturn> give_back(
      const std::string& zone, const std::function<std::uint32_t(std::uint64_t runner)>& used,
      std::uint32_t spare, TimePoint now);
  /// Returns how many of the slots wanted are neither held unused nor asked for.
  /// @param used requests that this node has at a runner.
  [[nodiscard]] std::uint16_t lacking(
      std::uint16_t wanted, const std::function<std::uint32_t(std::uint64_t runner)>& used,
      TimePoint now) const;
  /// Returns how long answers take.
  [[nodiscard]] Duration answer_time() const { return answer_time_; }
  /// Whether the zone wants its slots back.
  [[nodiscard]] bool reclaimed(const std::string& zone) const;
  /// Whether nobody in the zone has answered for a lifetime, though asked again and again.
  [[nodiscard]] bool silent(const std::string& zone, TimePoint now) const;
  /// Whether anything is held or awaited of a zone.
  [[nodiscard]] bool involved(const std::string& zone, TimePoint now) const;
  /// Returns the slots held in a zone.
  [[nodiscard]] std::uint32_t held_in(const std::string& zone, TimePoint now) const;
  /// Calls `visit(runner, slots, until, reclaimed)` for each runner at which slots are or were just
  /// held.
  template <typename Visitor>
  void for_each(const Visitor& visit) const {
    for (const auto& [zone, book] : zones_) {
      for (const auto& [runner, held] : book.held) {
        visit(runner, held.slots, held.until, book.reclaimed);
      }
    }
  }

 private:
  struct Held {
    std::uint16_t slots = 0;
    TimePoint until{};
  };
  struct ZoneBook {
    SlotLoanRequest newest;  ///< Newest request to the zone; its number 0: none yet.
    TimePoint sent{};        ///< When it was sent.
    TimePoint
        unanswered_since{};  ///< First request since the last answer; the clock's start: none.
    std::set<std::uint64_t> answered;  ///< Lenders that have answered it.
    std::uint32_t gained = 0;          ///< Slots that the answers have added.
    bool reclaimed = false;
    std::map<std::uint64_t, Held> held;  ///< By runner.
  };

  static void forget_ended(ZoneBook& book, TimePoint now);
  [[nodiscard]] static bool is_awaited(const ZoneBook& book, TimePoint now);
  void note_answer_time(Duration time);
  [[nodiscard]] static bool is_due(const ZoneBook& book, bool wants, TimePoint now);

  std::uint64_t self_;
  std::uint64_t number_ = 0;
  Duration answer_time_{0};  ///< Mean, of the last few mostly.
  std::map<std::string, ZoneBook> zones_;
};

/// Returns which of the nodes that lend in a zone lends at a runner: its index.
/// @param lenders identities of the nodes, the same in the same order wherever this is asked.
std::size_t lender_of(std::uint64_t runner, const std::vector<std::uint64_t>& lenders);

/// Returns how many of the slots wanted one of the lenders is asked for.
/// @param turn differs from request to request: an odd slot falls to each lender in turn.
std::uint16_t part_of_lender(std::uint16_t slots, std::size_t index, std::size_t lenders,
                             std::uint64_t turn);

}  // namespace stoathold
