#include "routing/slot_loans.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kOneWayDelay = milliseconds(2);
constexpr std::uint64_t kLender = 7;
constexpr std::uint64_t kRunner = 11;
constexpr std::uint64_t kOtherRunner = 12;
constexpr std::uint64_t kService = 5;

/// A lender with two runners, and a borrower in another zone.
class SlotLoansTest : public testing::Test {
 protected:
  SlotLoansTest() { lender.set_runners({kRunner, kOtherRunner}, kStart - kLoanLifetime); }

  SlotLoanRequest make_request(std::uint16_t slots) {
    auto created = borrower.next_request("far", kService, slots, now);
    EXPECT_TRUE(created);
    return created.value_or(SlotLoanRequest{});
  }
  std::optional<SlotLoan> answer(const SlotLoanRequest& loan_request, bool reclaiming = false) {
    return lender.handle_request(loan_request, free, reclaiming, now + kOneWayDelay);
  }
  /// Sends a request and delivers its response.
  void borrow(std::uint16_t slots) {
    const auto loan = answer(make_request(slots));
    now += 2 * kOneWayDelay;
    borrower.handle_loan(*loan, now);
  }
  std::uint32_t lent() {
    std::uint32_t sum = 0;
    for (const auto& [runner, slots] : lender.lent_by_runner()) sum += slots;
    return sum;
  }
  auto return_unused(std::uint32_t in_use = 0) {
    return borrower.return_unused(
        "far", [in_use](std::uint64_t) { return in_use; }, 0, now);
  }

  TimePoint now = kStart;
  SlotLender lender{kLender, kStart - kLoanLifetime};
  SlotBorrower borrower{3};
  std::vector<RunnerSlots> free{{kRunner, 4}, {kOtherRunner, 2}};
};

TEST_F(SlotLoansTest, LendsAndReturnsSlots) {
  borrow(5);
  EXPECT_EQ(borrower.held_at(kRunner, now), 4U);
  EXPECT_EQ(borrower.held_at(kOtherRunner, now), 1U);
  EXPECT_EQ(lent(), 5U);
  lender.handle_return(*return_unused());
  EXPECT_EQ(lent(), 0U);
  EXPECT_EQ(borrower.held_in_zone("far", now), 0U);
}

TEST_F(SlotLoansTest, KeepsSlotsInUse) {
  borrow(2);
  const auto returned = return_unused(1);
  ASSERT_TRUE(returned);
  lender.handle_return(*returned);
  EXPECT_EQ(lent(), 1U);
  EXPECT_EQ(borrower.held_at(kRunner, now), 1U);
}

TEST_F(SlotLoansTest, LoanWithoutRenewalExpiresAtBorrowerBeforeLender) {
  borrow(3);
  const TimePoint expires_at = kStart + kLoanLifetime;
  EXPECT_EQ(borrower.held_at(kRunner, expires_at - milliseconds(1)), 3U);
  EXPECT_EQ(borrower.held_at(kRunner, expires_at), 0U);
  lender.expire(expires_at);
  EXPECT_EQ(lent(), 3U);
  lender.expire(expires_at + kOneWayDelay);
  EXPECT_EQ(lent(), 0U);
  EXPECT_EQ(lender.counts().expired, 3U);
}

TEST_F(SlotLoansTest, RenewalKeepsHeldSlots) {
  borrow(3);
  now = kStart + kLoanRenewalInterval;
  borrow(0);
  now = kStart + kLoanLifetime + milliseconds(50);
  lender.expire(now);
  EXPECT_EQ(borrower.held_at(kRunner, now), 3U);
  EXPECT_EQ(lent(), 3U);
}

TEST_F(SlotLoansTest, RetriesRequestAfterTimeout) {
  make_request(2);
  now += kLoanRequestTimeout - milliseconds(1);
  EXPECT_FALSE(borrower.next_request("far", kService, 2, now));
  now += milliseconds(1);
  borrow(2);
  EXPECT_EQ(borrower.held_at(kRunner, now), 2U);
}

TEST_F(SlotLoansTest, NextRequestFreesSlotsOfLostResponse) {
  answer(make_request(4));
  EXPECT_EQ(lent(), 4U);
  now += kLoanRequestTimeout;
  borrow(1);
  EXPECT_EQ(lent(), 1U);
}

TEST_F(SlotLoansTest, IgnoresLateResponseToEarlierRequest) {
  const auto late = answer(make_request(4));
  now += kLoanRequestTimeout;
  borrow(1);
  EXPECT_EQ(borrower.handle_loan(*late, now), 0U);
  EXPECT_EQ(borrower.held_at(kRunner, now), 1U);
}

TEST_F(SlotLoansTest, IgnoresResponseAfterLoanLifetime) {
  const auto late = answer(make_request(4));
  now += kLoanLifetime;
  EXPECT_EQ(borrower.handle_loan(*late, now), 0U);
  EXPECT_EQ(borrower.held_at(kRunner, now), 0U);
}

TEST_F(SlotLoansTest, DuplicateRequestGetsSameResponse) {
  const SlotLoanRequest loan_request = make_request(2);
  const auto first = answer(loan_request);
  const auto second = answer(loan_request);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->slots.size(), first->slots.size());
  EXPECT_EQ(lent(), 2U);
}

TEST_F(SlotLoansTest, DuplicateResponseAddsNoSlots) {
  const auto loan = answer(make_request(2));
  EXPECT_EQ(borrower.handle_loan(*loan, now), 2U);
  EXPECT_EQ(borrower.handle_loan(*loan, now), 0U);
  EXPECT_EQ(borrower.held_at(kRunner, now), 2U);
}

TEST_F(SlotLoansTest, DuplicateReturnIsAppliedOnce) {
  borrow(4);
  const auto returned = return_unused(2);
  lender.handle_return(*returned);
  lender.handle_return(*returned);
  EXPECT_EQ(lent(), 2U);
}

TEST_F(SlotLoansTest, NextRequestCompensatesForLostReturn) {
  borrow(4);
  return_unused(1);
  now += kLoanRenewalInterval;
  borrow(0);
  EXPECT_EQ(lent(), 1U);
}

TEST_F(SlotLoansTest, ReturnSupersedesEarlierRequestThatArrivesLater) {
  borrow(4);
  now += kLoanRenewalInterval;
  const SlotLoanRequest renewal = make_request(0);
  now += kLoanRequestTimeout;
  lender.handle_return(*return_unused(1));
  EXPECT_FALSE(answer(renewal));
  EXPECT_EQ(lent(), 1U);
}

TEST_F(SlotLoansTest, ReturnsNothingWhileRequestIsPending) {
  borrow(4);
  now += kLoanRenewalInterval;
  make_request(0);
  EXPECT_FALSE(return_unused());
  now += kLoanRequestTimeout;
  EXPECT_TRUE(return_unused());
}

TEST_F(SlotLoansTest, RestartedLenderGrantsNothingForOneLifetime) {
  borrow(3);
  lender = SlotLender(kLender, now);
  lender.set_runners({kRunner, kOtherRunner}, now);
  now += kLoanRenewalInterval;
  // The restarted lender accepts the slots that the borrower reports as held, but grants nothing to
  // another borrower yet.
  borrow(2);
  EXPECT_EQ(lent(), 3U);
  SlotBorrower other(4);
  auto loan_request = other.next_request("far", kService, 2, now);
  EXPECT_TRUE(answer(*loan_request)->slots.empty());
  now += kLoanLifetime;
  loan_request = other.next_request("far", kService, 2, now);
  EXPECT_FALSE(answer(*loan_request)->slots.empty());
}

TEST_F(SlotLoansTest, ResumedLenderGrantsNothingForOneLifetime) {
  lender.on_process_suspended(now);
  EXPECT_TRUE(answer(make_request(2))->slots.empty());
}

TEST_F(SlotLoansTest, LendsAtAddedRunnersAfterOneLifetime) {
  lender.set_runners({kRunner, kOtherRunner, 13}, now);
  free = {{13, 8}};
  EXPECT_TRUE(answer(make_request(2))->slots.empty());
  now += kLoanLifetime;
  EXPECT_EQ(answer(make_request(2))->slots.size(), 1U);
}

TEST_F(SlotLoansTest, SlotsOfRestartedBorrowerExpireAfterOneLifetime) {
  borrow(3);
  borrower = SlotBorrower(4);
  now += kLoanLifetime;
  lender.expire(now);
  EXPECT_EQ(lent(), 0U);
}

TEST_F(SlotLoansTest, ZoneWithoutSlotsGrantsNoneAndReclaimsItsLoans) {
  borrow(2);
  now += kLoanRenewalInterval;
  const auto loan = answer(make_request(3), true);
  EXPECT_EQ(borrower.handle_loan(*loan, now), 0U);
  EXPECT_TRUE(borrower.is_reclaiming("far"));
  EXPECT_EQ(lent(), 2U);
  EXPECT_EQ(lender.counts().refused, 1U);
}

TEST_F(SlotLoansTest, BacksOffAfterRefusal) {
  free.clear();
  borrow(2);
  EXPECT_FALSE(borrower.next_request("far", kService, 2, now));
  now = kStart + kLoanRefusedBackoff;
  EXPECT_TRUE(borrower.next_request("far", kService, 2, now));
}

TEST_F(SlotLoansTest, BacksOffLongerFromReclaimingZone) {
  borrower.handle_loan(*answer(make_request(2), true), now);
  EXPECT_FALSE(borrower.next_request("far", kService, 2, kStart + kLoanRefusedBackoff));
  EXPECT_TRUE(borrower.next_request("far", kService, 2, kStart + kLoanReclaimedBackoff));
}

TEST_F(SlotLoansTest, SendsNoRequestWhenNoSlotsAreWantedOrHeld) {
  EXPECT_FALSE(borrower.next_request("far", kService, 0, now));
  borrow(1);
  return_unused();
  now += std::chrono::seconds(1);
  EXPECT_FALSE(borrower.next_request("far", kService, 0, now));
}

TEST_F(SlotLoansTest, PendingSlotsOfOneZoneAreNotRequestedFromAnother) {
  make_request(3);
  const auto unused = [](std::uint64_t) { return 0U; };
  EXPECT_EQ(borrower.uncovered_slots(4, unused, now), 1U);
}

TEST_F(SlotLoansTest, AddsUpSlotsOfTwoLenders) {
  SlotLender second(8, kStart - kLoanLifetime);
  second.set_runners({21}, kStart - kLoanLifetime);
  const SlotLoanRequest loan_request = make_request(2);
  SlotLoanRequest partial_request = loan_request;
  partial_request.slots = 1;
  borrower.handle_loan(*answer(partial_request), now);
  borrower.handle_loan(*second.handle_request(partial_request, {{21, 8}}, false, now), now);
  EXPECT_EQ(borrower.held_in_zone("far", now), 2U);
}

TEST(SlotsToBorrowTest, BorrowsNothingForRequestsServedInTimeByOwnZone) {
  // 240 slots with a slot time of 0.8 s: one becomes free every 3.3 ms.
  const WaitingRequest work{kService, milliseconds(200), milliseconds(800)};
  const std::vector<WaitingRequest> waiting(4, work);
  EXPECT_EQ(slots_to_borrow(waiting, {240, 10}, milliseconds(2)), 0U);
  // With 100 requests in the zone, those behind the first 29 wait longer than half of their slack.
  EXPECT_EQ(slots_to_borrow(waiting, {240, 96}, milliseconds(2)), 3U);
}

TEST(SlotsToBorrowTest, BorrowsEarlierWithLongerRoundTrip) {
  const std::vector<WaitingRequest> waiting{{kService, milliseconds(200), milliseconds(800)}};
  EXPECT_EQ(slots_to_borrow(waiting, {240, 10}, milliseconds(2)), 0U);
  EXPECT_EQ(slots_to_borrow(waiting, {240, 10}, milliseconds(100)), 1U);
}

TEST(SlotsToBorrowTest, BorrowsForEachRequestWithoutOwnSlotsOrSlotTime) {
  const WaitingRequest work{kService, milliseconds(200), milliseconds(800)};
  EXPECT_EQ(slots_to_borrow({work}, {0, 0}, milliseconds(2)), 1U);
  EXPECT_EQ(slots_to_borrow({{kService, milliseconds(200), {}}}, {240, 0}, milliseconds(2)), 1U);
}

TEST(LenderForRunnerTest, MovesOnlyRunnersOfRemovedLender) {
  int first = 0;
  for (std::uint64_t runner = 1; runner <= 100; ++runner) {
    if (lender_for_runner(runner, {5, 6}) == 0) ++first;
    EXPECT_EQ(lender_for_runner(runner, {6}), 0U);
  }
  EXPECT_GT(first, 30);
  EXPECT_LT(first, 70);
  EXPECT_EQ(slots_of_lender(5, 0, 2, 0) + slots_of_lender(5, 1, 2, 0), 5);
  EXPECT_NE(slots_of_lender(1, 0, 2, 0), slots_of_lender(1, 0, 2, 1));
}

}  // namespace
}  // namespace stoathold
