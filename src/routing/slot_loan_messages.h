/// @file
/// Messages by which zones lend runner slots to one another for a short time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace stoathold {

/// A number of slots at one runner.
struct RunnerSlots {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint16_t slots = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, slots);
  }
};

/// Returns the number of slots that a list holds for a runner; 0 if the runner is not listed.
inline std::uint16_t slots_at(const std::vector<RunnerSlots>& list, std::uint64_t runner) {
  const auto found = std::find_if(list.begin(), list.end(), [runner](const RunnerSlots& entry) {
    return entry.runner == runner;
  });
  return found == list.end() ? 0 : found->slots;
}

/// Requests additional slots from another zone and renews the loans already held there.
struct SlotLoanRequest {
  std::uint64_t service = 0;      ///< Hash of the name of the service that lacks slots.
  std::uint64_t borrower = 0;     ///< Identifier of the requesting node, as in its digests.
  std::uint64_t sequence = 0;     ///< Increases with each request and each return of a borrower.
  std::uint16_t slots = 0;        ///< Requested in addition to those held.
  std::vector<RunnerSlots> held;  ///< All slots that the borrower holds in the zone, for any
                                  ///< service.
  std::string origin;             ///< `ip:port` of the borrower, to which the loan is sent.
  bool forward = false;           ///< The receiver forwards the request to the lenders of its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower, sequence, slots, held, origin, forward);
  }
};

/// Response of one lender to a `SlotLoanRequest`.
struct SlotLoan {
  std::uint64_t lender = 0;       ///< Identifier of the lending node, as in its digests.
  std::uint64_t sequence = 0;     ///< Sequence number of the request.
  std::uint16_t lifetime_ms = 0;  ///< The loan expires this long after the request was sent.
  bool reclaiming = false;  ///< The lender's zone lacks slots itself: the borrower must not place
                            ///< further requests on borrowed slots.
  std::vector<RunnerSlots> slots;  ///< All slots lent to the borrower at the lender's runners.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(lender, sequence, lifetime_ms, reclaiming, slots);
  }
};

/// Returns slots before their loan expires.
struct SlotLoanReturn {
  std::uint64_t borrower = 0;
  std::uint64_t sequence = 0;  ///< Increases with each request and each return of a borrower.
  std::vector<RunnerSlots> slots;
  bool forward = false;  ///< The receiver forwards the return to the lenders of its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(borrower, sequence, slots, forward);
  }
};

}  // namespace stoathold
