/// @file
/// Messages by which zones lend one another slots at runners for a short time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace stoathold {

/// Slots at one runner that are lent.
struct LentSlots {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint16_t slots = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, slots);
  }
};

/// Returns the slots that a list names at a runner; 0: none.
inline std::uint16_t slots_at(const std::vector<LentSlots>& list, std::uint64_t runner) {
  const auto found = std::find_if(list.begin(), list.end(), [runner](const LentSlots& entry) {
    return entry.runner == runner;
  });
  return found == list.end() ? 0 : found->slots;
}

/// Asks another zone to lend slots, and renews the loans of its runners.
struct SlotLoanRequest {
  std::uint64_t service = 0;    ///< Hash of the name of the service that lacks slots.
  std::uint64_t borrower = 0;   ///< The asking node, as in its digests.
  std::uint64_t number = 0;     ///< Rises with each request and return of a borrower.
  std::uint16_t slots = 0;      ///< Wanted beyond those held.
  std::vector<LentSlots> held;  ///< All that the borrower holds in the zone, of any service.
  std::string origin;           ///< `ip:port` of the borrower.
  bool pass_on = false;         ///< The receiver hands it to the nodes that lend.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower, number, slots, held, origin, pass_on);
  }
};

/// Answer of one lender.
struct SlotLoan {
  std::uint64_t lender = 0;       ///< The lending node, as in its digests.
  std::uint64_t number = 0;       ///< Of the request that it answers.
  std::uint16_t lifetime_ms = 0;  ///< After this time from the request's sending the loan ends.
  bool reclaims =
      false;  ///< The lender's zone lacks slots: none is to be used for a further request.
  std::vector<LentSlots> slots;  ///< All lent to the borrower at the lender's runners.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(lender, number, lifetime_ms, reclaims, slots);
  }
};

/// Gives slots back before the loan ends.
struct SlotLoanReturn {
  std::uint64_t borrower = 0;
  std::uint64_t number = 0;  ///< Rises with each request and return of a borrower.
  std::vector<LentSlots> slots;
  bool pass_on = false;  ///< The receiver hands it to the nodes that lend.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(borrower, number, slots, pass_on);
  }
};

}  // namespace stoathold
