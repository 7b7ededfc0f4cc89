#include "routing/slot_exchange.h"

#include <gtest/gtest.h>

#include "base/ids.h"
#include "routing/runner_selector.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint32_t kSlots = 8;

/// One node of zone "full", whose one runner has no slot left, and one of zone "free", which lends.
/// Messages arrive at once, unless the link is cut.
class SlotExchangeTest : public testing::Test {
 protected:
  struct Node {
    Node(std::string zone, std::uint64_t number, std::string address)
        : exchange(registry, zone, number, kStart - kLoanLifetime) {
      registry.upsert({"f1", "chat", "10.0.0.1:80", "full", kSlots, false});
      registry.upsert({"e1", "chat", "10.0.0.2:80", "free", kSlots, false});
      links.address = std::move(address);
      links.lending_nodes = [this] { return std::vector<LendingNode>{{1, links.address, true}}; };
      links.lent_changed = [this] { ++lent_changes; };
      links.borrowed = [] {};
      links.yield = [this](const Runner& runner) { yields.push_back(runner.record().id); };
      links.waiting = [this](TimePoint) { return waiting; };
    }
    Runner& runner(const std::string& id) { return *registry.all().at(id); }

    RunnerRegistry registry;
    SlotExchange exchange;
    SlotExchangeLinks links;
    std::vector<WaitingWork> waiting;
    std::vector<std::string> yields;
    int lent_changes = 0;
  };

  SlotExchangeTest() {
    connect(borrower, lender, "free");
    connect(lender, borrower, "full");
    borrower.registry.set_lending(true);
    lender.registry.set_lending(true);
    lender.exchange.refresh(kStart - kLoanLifetime);
    lender.exchange.refresh(kStart);
    for (std::uint32_t i = 0; i < kSlots; ++i) borrower.runner("f1").begin_attempt();
  }

  void connect(Node& from, Node& to, const std::string& zone) {
    const auto deliver = [this, &from, &to](const PeerLoadMessage& message) {
      if (cut) return;
      ++messages;
      // The receiver of a borrower's message is the lender, and the other way round.
      std::visit(
          [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (requires { to.exchange.take(body, now); }) {
              to.exchange.take(body, now);
            } else {
              FAIL() << sizeof(Body);
            }
          },
          message);
    };
    from.links.send_to_zone = [deliver](const std::string&, const PeerLoadMessage& message) {
      deliver(message);
    };
    from.links.send_to_node = [deliver](const std::string&, const PeerLoadMessage& message) {
      deliver(message);
    };
    from.exchange.set_zones({zone}, kStart);
    from.exchange.set_links(from.links);
  }

  /// Work waits that would be late at the full zone.
  void wait(std::size_t requests) {
    borrower.waiting.assign(requests,
                            {stable_hash(std::string("chat")), Duration{0}, milliseconds(800)});
  }
  Selection choose() {
    const SelectionRequest request{
        .service = "chat", .zone = "full", .load_limit = 1, .borrowed_only = true};
    return select_runner(borrower.registry, request, now);
  }

  TimePoint now = kStart;
  bool cut = false;
  int messages = 0;
  Node borrower{"full", 1, "10.0.0.3:7000"};
  Node lender{"free", 2, "10.0.0.4:7000"};
};

// The nodes that lend were asked for 4 times a second, and their runners dealt, with lending off.
TEST_F(SlotExchangeTest, WithLendingOffNothingIsLookedAt) {
  Node node("free", 9, "10.0.0.9:1");
  int asked = 0;
  node.links.lending_nodes = [&asked] {
    ++asked;
    return std::vector<LendingNode>{};
  };
  node.exchange.set_links(node.links);
  node.exchange.refresh(kStart);
  EXPECT_EQ(asked, 0);
  node.registry.set_lending(true);
  node.exchange.refresh(kStart);
  EXPECT_EQ(asked, 1);
}

TEST_F(SlotExchangeTest, WorkThatWouldBeLateGoesOnBorrowedSlotsOnly) {
  EXPECT_FALSE(choose().runner);
  wait(2);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.runner("e1").lent(), 2U);
  EXPECT_GT(lender.lent_changes, 0);
  for (int i = 0; i < 2; ++i) {
    const Selection choice = choose();
    ASSERT_TRUE(choice.runner);
    EXPECT_EQ(choice.runner->record().id, "e1");
    choice.runner->begin_attempt();
  }
  EXPECT_FALSE(choose().runner);
}

TEST_F(SlotExchangeTest, WhatIsLentCountsAsTakenUntilItIsGivenBack) {
  wait(kSlots);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.runner("e1").load(now), 1);
  borrower.waiting.clear();
  now += milliseconds(3);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.runner("e1").load(now), 0);
}

TEST_F(SlotExchangeTest, ABorrowedSlotInUseIsReportedByItsLenderOnly) {
  wait(1);
  borrower.exchange.tick(now);
  Runner& remote = borrower.runner("e1");
  remote.begin_attempt();
  EXPECT_EQ(remote.in_flight_beyond_loan(now), 0U);
  // Its loan has ended: the borrower reports it as it does without loans.
  EXPECT_EQ(remote.in_flight_beyond_loan(now + kLoanLifetime), 1U);
}

TEST_F(SlotExchangeTest, AZoneWithoutFreeSlotsMakesBatchGiveOneBack) {
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    lender.runner("e1").begin_attempt(0, WorkClass::kBatch);
  }
  wait(1);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.yields, std::vector<std::string>{"e1"});
  EXPECT_EQ(borrower.runner("e1").unused_borrowed(now), 1U);
  // Batch leaves what comes free to online work of the other zone.
  EXPECT_EQ(lender.exchange.demand(now).size(), 1U);
}

TEST_F(SlotExchangeTest, AZoneFullOfOnlineWorkLendsNothing) {
  for (std::uint32_t i = 0; i < kSlots; ++i) lender.runner("e1").begin_attempt();
  wait(1);
  borrower.exchange.tick(now);
  EXPECT_FALSE(choose().runner);
  EXPECT_EQ(lender.exchange.counts().refused, 1U);
}

TEST_F(SlotExchangeTest, AZoneThatLacksSlotsItselfWantsThemBack) {
  wait(1);
  borrower.exchange.tick(now);
  lender.waiting = borrower.waiting;
  now += kLoanRenewal;
  borrower.exchange.tick(now);
  // Held, but not for a further request.
  EXPECT_EQ(borrower.exchange.borrowed_from("free", now), 1U);
  EXPECT_EQ(borrower.runner("e1").unused_borrowed(now), 0U);
}

TEST_F(SlotExchangeTest, ACutOffZoneHasItsSlotsBackAndIsGivenNothing) {
  wait(3);
  borrower.exchange.tick(now);
  cut = true;
  now += kLoanLifetime;
  EXPECT_FALSE(choose().runner);
  lender.exchange.refresh(now);
  EXPECT_EQ(lender.runner("e1").lent(), 0U);
  EXPECT_EQ(lender.exchange.counts().expired, 3U);
}

TEST_F(SlotExchangeTest, ACutOffZoneIsTriedAsWithoutLoansOnceItHasBeenSilentForALifetime) {
  wait(1);
  cut = true;
  const TimePoint silent = now + kLoanLifetime;
  for (; now < silent; now += milliseconds(3)) {
    lender.exchange.refresh(now);
    borrower.exchange.tick(now);
    EXPECT_FALSE(choose().runner);
  }
  now += milliseconds(3);
  borrower.exchange.tick(now);
  ASSERT_TRUE(choose().runner);
  cut = false;
  now += kLoanAnswerPatience;
  borrower.exchange.tick(now);
  // It answers again: one slot is lent, and no more is taken.
  const Selection choice = choose();
  ASSERT_TRUE(choice.runner);
  choice.runner->begin_attempt();
  EXPECT_FALSE(choose().runner);
}

TEST_F(SlotExchangeTest, AZoneWithoutNodesIsTriedAsWithoutLoans) {
  borrower.exchange.set_zones({}, now);
  EXPECT_TRUE(choose().runner);
}

TEST_F(SlotExchangeTest, WithoutLendingNothingIsAskedForAndZonesServeAsByLoad) {
  borrower.registry.set_lending(false);
  wait(3);
  borrower.exchange.tick(now);
  EXPECT_EQ(messages, 0);
  const SelectionRequest request{.service = "chat", .zone = "full", .load_limit = 1};
  EXPECT_EQ(select_runner(borrower.registry, request, now).runner->record().id, "e1");
}

TEST_F(SlotExchangeTest, NothingIsSentWhileNothingLacks) {
  EXPECT_FALSE(borrower.exchange.tick(now));
  EXPECT_EQ(messages, 0);
}

}  // namespace
}  // namespace stoathold
