/// @file
/// Messages by which zones lend one another slots at runners for a short time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace stoathold {

/// Asks a node of another zone to lend slots.
struct SlotLoanRequest {
  std::uint64_t service = 0;   ///< Hash of its name.
  std::uint64_t borrower = 0;  ///< The asking node, as in its digests.
  std::uint64_t number = 0;    ///< Rises with each request of a borrower.
  std::uint16_t slots = 0;     ///< Wanted.
  std::string origin;          ///< `ip:port` of the borrower.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower, number, slots, origin);
  }
};

/// Slots at one runner that are lent.
struct LentSlots {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint8_t slots = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, slots);
  }
};

/// Lends slots, or says that there are none to lend.
struct SlotLoan {
  std::uint64_t lender = 0;       ///< The lending node, as in its digests.
  std::uint64_t number = 0;       ///< Of the request that it answers.
  std::uint16_t lifetime_ms = 0;  ///< After this time from its receipt the loan has ended.
  std::vector<LentSlots> slots;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(lender, number, lifetime_ms, slots);
  }
};

/// Gives slots back before the loan ends.
struct SlotLoanReturn {
  std::uint64_t borrower = 0;
  std::uint64_t number = 0;  ///< Of the request that the loan answered.
  std::vector<LentSlots> slots;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(borrower, number, slots);
  }
};

}  // namespace stoathold
