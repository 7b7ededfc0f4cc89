#include "routing/slot_loans.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kWay = milliseconds(2);
constexpr std::uint64_t kLender = 7;
constexpr std::uint64_t kRunner = 11;
constexpr std::uint64_t kOtherRunner = 12;
constexpr std::uint64_t kService = 5;

/// A lender of two runners, and a borrower in another zone.
class SlotLoansTest : public testing::Test {
 protected:
  SlotLoansTest() { lender.set_runners({kRunner, kOtherRunner}, kStart - kLoanLifetime); }

  SlotLoanRequest request(std::uint16_t slots) {
    auto made = borrower.next_request("far", kService, slots, now);
    EXPECT_TRUE(made);
    return made.value_or(SlotLoanRequest{});
  }
  std::optional<SlotLoan> answer(const SlotLoanRequest& asked, bool reclaims = false) {
    return lender.answer(asked, free, reclaims, now + kWay);
  }
  /// The borrower asks and gets its answer.
  void borrow(std::uint16_t slots) {
    const auto loan = answer(request(slots));
    now += 2 * kWay;
    borrower.take(*loan, now);
  }
  std::uint32_t lent() {
    std::uint32_t sum = 0;
    for (const auto& [runner, slots] : lender.lent()) sum += slots;
    return sum;
  }
  auto give_back(std::uint32_t in_use = 0) {
    return borrower.give_back(
        "far", [in_use](std::uint64_t) { return in_use; }, 0, now);
  }

  TimePoint now = kStart;
  SlotLender lender{kLender, kStart - kLoanLifetime};
  SlotBorrower borrower{3};
  std::vector<LentSlots> free{{kRunner, 4}, {kOtherRunner, 2}};
};

TEST_F(SlotLoansTest, SlotsAreLentAndGivenBack) {
  borrow(5);
  EXPECT_EQ(borrower.held(kRunner, now), 4U);
  EXPECT_EQ(borrower.held(kOtherRunner, now), 1U);
  EXPECT_EQ(lent(), 5U);
  lender.take_back(*give_back());
  EXPECT_EQ(lent(), 0U);
  EXPECT_EQ(borrower.held_in("far", now), 0U);
}

TEST_F(SlotLoansTest, SlotsInUseAreNotGivenBack) {
  borrow(2);
  const auto returned = give_back(1);
  ASSERT_TRUE(returned);
  lender.take_back(*returned);
  EXPECT_EQ(lent(), 1U);
  EXPECT_EQ(borrower.held(kRunner, now), 1U);
}

TEST_F(SlotLoansTest, ALoanThatNobodyRenewsEndsFirstAtTheBorrower) {
  borrow(3);
  const TimePoint ends = kStart + kLoanLifetime;
  EXPECT_EQ(borrower.held(kRunner, ends - milliseconds(1)), 3U);
  EXPECT_EQ(borrower.held(kRunner, ends), 0U);
  lender.expire(ends);
  EXPECT_EQ(lent(), 3U);
  lender.expire(ends + kWay);
  EXPECT_EQ(lent(), 0U);
  EXPECT_EQ(lender.counts().expired, 3U);
}

TEST_F(SlotLoansTest, ARenewalKeepsWhatIsHeld) {
  borrow(3);
  now = kStart + kLoanRenewal;
  borrow(0);
  now = kStart + kLoanLifetime + milliseconds(50);
  lender.expire(now);
  EXPECT_EQ(borrower.held(kRunner, now), 3U);
  EXPECT_EQ(lent(), 3U);
}

TEST_F(SlotLoansTest, ALostRequestIsRepeated) {
  request(2);
  now += kLoanAnswerPatience - milliseconds(1);
  EXPECT_FALSE(borrower.next_request("far", kService, 2, now));
  now += milliseconds(1);
  borrow(2);
  EXPECT_EQ(borrower.held(kRunner, now), 2U);
}

TEST_F(SlotLoansTest, ALostAnswerStrandsNothingBeyondTheNextRequest) {
  answer(request(4));
  EXPECT_EQ(lent(), 4U);
  now += kLoanAnswerPatience;
  borrow(1);
  EXPECT_EQ(lent(), 1U);
}

TEST_F(SlotLoansTest, ALateAnswerToAnEarlierRequestIsPassedOver) {
  const auto late = answer(request(4));
  now += kLoanAnswerPatience;
  borrow(1);
  EXPECT_EQ(borrower.take(*late, now), 0U);
  EXPECT_EQ(borrower.held(kRunner, now), 1U);
}

TEST_F(SlotLoansTest, AnAnswerAfterTheLifetimeIsPassedOver) {
  const auto late = answer(request(4));
  now += kLoanLifetime;
  EXPECT_EQ(borrower.take(*late, now), 0U);
  EXPECT_EQ(borrower.held(kRunner, now), 0U);
}

TEST_F(SlotLoansTest, ADoubledRequestIsAnsweredAsBefore) {
  const SlotLoanRequest asked = request(2);
  const auto first = answer(asked);
  const auto second = answer(asked);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->slots.size(), first->slots.size());
  EXPECT_EQ(lent(), 2U);
}

TEST_F(SlotLoansTest, ADoubledAnswerAddsNothing) {
  const auto loan = answer(request(2));
  EXPECT_EQ(borrower.take(*loan, now), 2U);
  EXPECT_EQ(borrower.take(*loan, now), 0U);
  EXPECT_EQ(borrower.held(kRunner, now), 2U);
}

TEST_F(SlotLoansTest, ADoubledReturnGivesBackOnce) {
  borrow(4);
  const auto returned = give_back(2);
  lender.take_back(*returned);
  lender.take_back(*returned);
  EXPECT_EQ(lent(), 2U);
}

TEST_F(SlotLoansTest, ALostReturnIsMadeGoodByTheNextRequest) {
  borrow(4);
  give_back(1);
  now += kLoanRenewal;
  borrow(0);
  EXPECT_EQ(lent(), 1U);
}

TEST_F(SlotLoansTest, AReturnThatOvertookItsRequestEndsTheRequest) {
  borrow(4);
  now += kLoanRenewal;
  const SlotLoanRequest renewal = request(0);
  now += kLoanAnswerPatience;
  lender.take_back(*give_back(1));
  EXPECT_FALSE(answer(renewal));
  EXPECT_EQ(lent(), 1U);
}

TEST_F(SlotLoansTest, NothingIsGivenBackWhileAnAnswerIsAwaited) {
  borrow(4);
  now += kLoanRenewal;
  request(0);
  EXPECT_FALSE(give_back());
  now += kLoanAnswerPatience;
  EXPECT_TRUE(give_back());
}

TEST_F(SlotLoansTest, ALenderThatStartsLendsNothingNewForALifetime) {
  borrow(3);
  lender = SlotLender(kLender, now);
  lender.set_runners({kRunner, kOtherRunner}, now);
  now += kLoanRenewal;
  // What the borrower names is taken on; another borrower gets nothing yet.
  borrow(2);
  EXPECT_EQ(lent(), 3U);
  SlotBorrower other(4);
  auto asked = other.next_request("far", kService, 2, now);
  EXPECT_TRUE(answer(*asked)->slots.empty());
  now += kLoanLifetime;
  asked = other.next_request("far", kService, 2, now);
  EXPECT_FALSE(answer(*asked)->slots.empty());
}

TEST_F(SlotLoansTest, ALenderThatStoodStillLendsNothingNewForALifetime) {
  lender.suspended(now);
  EXPECT_TRUE(answer(request(2))->slots.empty());
}

TEST_F(SlotLoansTest, RunnersThatFallToALenderAreLentAfterALifetime) {
  lender.set_runners({kRunner, kOtherRunner, 13}, now);
  free = {{13, 8}};
  EXPECT_TRUE(answer(request(2))->slots.empty());
  now += kLoanLifetime;
  EXPECT_EQ(answer(request(2))->slots.size(), 1U);
}

TEST_F(SlotLoansTest, ABorrowerThatRestartsLeavesItsSlotsForALifetimeAtMost) {
  borrow(3);
  borrower = SlotBorrower(4);
  now += kLoanLifetime;
  lender.expire(now);
  EXPECT_EQ(lent(), 0U);
}

TEST_F(SlotLoansTest, AZoneThatLacksSlotsLendsNoneAndWantsThemBack) {
  borrow(2);
  now += kLoanRenewal;
  const auto loan = answer(request(3), true);
  EXPECT_EQ(borrower.take(*loan, now), 0U);
  EXPECT_TRUE(borrower.reclaimed("far"));
  EXPECT_EQ(lent(), 2U);
  EXPECT_EQ(lender.counts().refused, 1U);
}

TEST_F(SlotLoansTest, AZoneThatRefusedIsLeftAloneForAWhile) {
  free.clear();
  borrow(2);
  EXPECT_FALSE(borrower.next_request("far", kService, 2, now));
  now = kStart + kLoanRefusedPause;
  EXPECT_TRUE(borrower.next_request("far", kService, 2, now));
}

TEST_F(SlotLoansTest, AZoneThatLacksSlotsIsLeftAloneForLonger) {
  borrower.take(*answer(request(2), true), now);
  EXPECT_FALSE(borrower.next_request("far", kService, 2, kStart + kLoanRefusedPause));
  EXPECT_TRUE(borrower.next_request("far", kService, 2, kStart + kLoanReclaimedPause));
}

TEST_F(SlotLoansTest, NoMessageIsDueWhileNothingIsWantedOrHeld) {
  EXPECT_FALSE(borrower.next_request("far", kService, 0, now));
  borrow(1);
  give_back();
  now += std::chrono::seconds(1);
  EXPECT_FALSE(borrower.next_request("far", kService, 0, now));
}

TEST_F(SlotLoansTest, WhatIsAskedOfOneZoneIsNotAskedOfAnother) {
  request(3);
  const auto unused = [](std::uint64_t) { return 0U; };
  EXPECT_EQ(borrower.lacking(4, unused, now), 1U);
}

TEST_F(SlotLoansTest, TwoLendersAddTheirParts) {
  SlotLender second(8, kStart - kLoanLifetime);
  second.set_runners({21}, kStart - kLoanLifetime);
  const SlotLoanRequest asked = request(2);
  SlotLoanRequest part = asked;
  part.slots = 1;
  borrower.take(*answer(part), now);
  borrower.take(*second.answer(part, {{21, 8}}, false, now), now);
  EXPECT_EQ(borrower.held_in("far", now), 2U);
}

TEST(SlotsWorthBorrowingTest, WhatIsInTimeInItsOwnZoneWantsNoSlot) {
  // 240 slots of 0.8 s: one comes free each 3.3 ms.
  const WaitingWork work{kService, milliseconds(200), milliseconds(800)};
  const std::vector<WaitingWork> waiting(4, work);
  EXPECT_EQ(slots_worth_borrowing(waiting, {240, 10}, milliseconds(2)), 0U);
  // Of 100 in the zone, those behind the first 29 wait for longer than half of their slack.
  EXPECT_EQ(slots_worth_borrowing(waiting, {240, 96}, milliseconds(2)), 3U);
}

TEST(SlotsWorthBorrowingTest, ALongWayMakesSlotsWorthEarlier) {
  const std::vector<WaitingWork> waiting{{kService, milliseconds(200), milliseconds(800)}};
  EXPECT_EQ(slots_worth_borrowing(waiting, {240, 10}, milliseconds(2)), 0U);
  EXPECT_EQ(slots_worth_borrowing(waiting, {240, 10}, milliseconds(100)), 1U);
}

TEST(SlotsWorthBorrowingTest, WithoutSlotsOrAKnownSlotTimeEachIsWorthOne) {
  const WaitingWork work{kService, milliseconds(200), milliseconds(800)};
  EXPECT_EQ(slots_worth_borrowing({work}, {0, 0}, milliseconds(2)), 1U);
  EXPECT_EQ(slots_worth_borrowing({{kService, milliseconds(200), {}}}, {240, 0}, milliseconds(2)),
            1U);
}

TEST(LenderOfTest, RunnersOfALostLenderFallToTheOtherAndTheRestStay) {
  int first = 0;
  for (std::uint64_t runner = 1; runner <= 100; ++runner) {
    if (lender_of(runner, {5, 6}) == 0) ++first;
    EXPECT_EQ(lender_of(runner, {6}), 0U);
  }
  EXPECT_GT(first, 30);
  EXPECT_LT(first, 70);
  EXPECT_EQ(part_of_lender(5, 0, 2, 0) + part_of_lender(5, 1, 2, 0), 5);
  EXPECT_NE(part_of_lender(1, 0, 2, 0), part_of_lender(1, 0, 2, 1));
}

}  // namespace
}  // namespace stoathold
