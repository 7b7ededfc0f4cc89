#include "routing/slot_exchange.h"

#include <gtest/gtest.h>

#include "base/ids.h"
#include "routing/runner_selector.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint32_t kSlots = 8;

/// One node of zone "full", whose only runner has no free slot, and one node of zone "free", which
/// lends slots. Messages arrive immediately unless the network is partitioned.
class SlotExchangeTest : public testing::Test {
 protected:
  struct Node {
    Node(std::string zone, std::uint64_t number, std::string address)
        : exchange(registry, zone, number, kStart - kLoanLifetime) {
      registry.upsert({"f1", "chat", "10.0.0.1:80", "full", kSlots, false});
      registry.upsert({"e1", "chat", "10.0.0.2:80", "free", kSlots, false});
      callbacks.address = std::move(address);
      callbacks.lending_nodes = [this] {
        return std::vector<LendingNode>{{1, callbacks.address, true}};
      };
      callbacks.on_lent_changed = [this] { ++lent_changes; };
      callbacks.on_borrowed = [] {};
      callbacks.yield = [this](const Runner& runner) { preempted.push_back(runner.record().id); };
      callbacks.waiting_requests = [this](TimePoint) { return waiting; };
    }
    Runner& runner(const std::string& id) { return *registry.all().at(id); }

    RunnerRegistry registry;
    SlotExchange exchange;
    SlotExchangeCallbacks callbacks;
    std::vector<WaitingRequest> waiting;
    std::vector<std::string> preempted;
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
      if (partitioned) return;
      ++messages;
      // The borrower's messages are delivered to the lender and vice versa.
      std::visit(
          [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (requires { to.exchange.handle(body, now); }) {
              to.exchange.handle(body, now);
            } else {
              FAIL() << sizeof(Body);
            }
          },
          message);
    };
    from.callbacks.send_to_zone = [deliver](const std::string&, const PeerLoadMessage& message) {
      deliver(message);
    };
    from.callbacks.send_to_node = [deliver](const std::string&, const PeerLoadMessage& message) {
      deliver(message);
    };
    from.exchange.set_zones({zone}, kStart);
    from.exchange.set_callbacks(from.callbacks);
  }

  /// Sets the number of waiting requests that would be late in the full zone.
  void set_waiting(std::size_t requests) {
    borrower.waiting.assign(requests,
                            {stable_hash(std::string("chat")), Duration{0}, milliseconds(800)});
  }
  Selection choose() {
    const SelectionRequest request{
        .service = "chat", .zone = "full", .load_limit = 1, .borrowed_only = true};
    return select_runner(borrower.registry, request, now);
  }

  TimePoint now = kStart;
  bool partitioned = false;
  int messages = 0;
  Node borrower{"full", 1, "10.0.0.3:7000"};
  Node lender{"free", 2, "10.0.0.4:7000"};
};

// Guards against work for a disabled feature: the list of lenders was fetched and the runners were
// assigned to them 4 times a second although lending was off.
TEST_F(SlotExchangeTest, DisabledLendingSkipsRefresh) {
  Node node("free", 9, "10.0.0.9:1");
  int lender_lookups = 0;
  node.callbacks.lending_nodes = [&lender_lookups] {
    ++lender_lookups;
    return std::vector<LendingNode>{};
  };
  node.exchange.set_callbacks(node.callbacks);
  node.exchange.refresh(kStart);
  EXPECT_EQ(lender_lookups, 0);
  node.registry.set_lending(true);
  node.exchange.refresh(kStart);
  EXPECT_EQ(lender_lookups, 1);
}

TEST_F(SlotExchangeTest, LateRequestsUseBorrowedSlotsOnly) {
  EXPECT_FALSE(choose().runner);
  set_waiting(2);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.runner("e1").lent(), 2U);
  EXPECT_GT(lender.lent_changes, 0);
  for (int i = 0; i < 2; ++i) {
    const Selection selection = choose();
    ASSERT_TRUE(selection.runner);
    EXPECT_EQ(selection.runner->record().id, "e1");
    selection.runner->begin_attempt();
  }
  EXPECT_FALSE(choose().runner);
}

TEST_F(SlotExchangeTest, LentSlotsCountAsOccupiedUntilReturned) {
  set_waiting(kSlots);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.runner("e1").load(now), 1);
  borrower.waiting.clear();
  now += milliseconds(3);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.runner("e1").load(now), 0);
}

TEST_F(SlotExchangeTest, BorrowedSlotInUseIsReportedByLenderOnly) {
  set_waiting(1);
  borrower.exchange.tick(now);
  Runner& remote = borrower.runner("e1");
  remote.begin_attempt();
  EXPECT_EQ(remote.in_flight_beyond_loan(now), 0U);
  // After the loan has expired, the borrower reports the slot as it does without loans.
  EXPECT_EQ(remote.in_flight_beyond_loan(now + kLoanLifetime), 1U);
}

TEST_F(SlotExchangeTest, LenderWithoutFreeSlotsPreemptsBatch) {
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    lender.runner("e1").begin_attempt(0, WorkClass::kBatch);
  }
  set_waiting(1);
  borrower.exchange.tick(now);
  EXPECT_EQ(lender.preempted, std::vector<std::string>{"e1"});
  EXPECT_EQ(borrower.runner("e1").unused_borrowed(now), 1U);
  // Batch items leave the slots that become free to online requests of the other zone.
  EXPECT_EQ(lender.exchange.demand(now).size(), 1U);
}

TEST_F(SlotExchangeTest, LenderFullOfOnlineRequestsGrantsNothing) {
  for (std::uint32_t i = 0; i < kSlots; ++i) lender.runner("e1").begin_attempt();
  set_waiting(1);
  borrower.exchange.tick(now);
  EXPECT_FALSE(choose().runner);
  EXPECT_EQ(lender.exchange.counts().refused, 1U);
}

TEST_F(SlotExchangeTest, LenderThatLacksSlotsReclaimsThem) {
  set_waiting(1);
  borrower.exchange.tick(now);
  lender.waiting = borrower.waiting;
  now += kLoanRenewalInterval;
  borrower.exchange.tick(now);
  // The slot is still held, but not usable for further requests.
  EXPECT_EQ(borrower.exchange.borrowed_from("free", now), 1U);
  EXPECT_EQ(borrower.runner("e1").unused_borrowed(now), 0U);
}

TEST_F(SlotExchangeTest, PartitionedLenderRegainsSlotsAndReceivesNoRequests) {
  set_waiting(3);
  borrower.exchange.tick(now);
  partitioned = true;
  now += kLoanLifetime;
  EXPECT_FALSE(choose().runner);
  lender.exchange.refresh(now);
  EXPECT_EQ(lender.runner("e1").lent(), 0U);
  EXPECT_EQ(lender.exchange.counts().expired, 3U);
}

TEST_F(SlotExchangeTest, UnresponsiveZoneIsUsedWithoutLoansAfterOneLifetime) {
  set_waiting(1);
  partitioned = true;
  const TimePoint unresponsive_at = now + kLoanLifetime;
  for (; now < unresponsive_at; now += milliseconds(3)) {
    lender.exchange.refresh(now);
    borrower.exchange.tick(now);
    EXPECT_FALSE(choose().runner);
  }
  now += milliseconds(3);
  borrower.exchange.tick(now);
  ASSERT_TRUE(choose().runner);
  partitioned = false;
  now += kLoanRequestTimeout;
  borrower.exchange.tick(now);
  // The zone responds again: one slot is lent, and no more than that slot is used.
  const Selection selection = choose();
  ASSERT_TRUE(selection.runner);
  selection.runner->begin_attempt();
  EXPECT_FALSE(choose().runner);
}

TEST_F(SlotExchangeTest, ZoneWithoutNodesIsUsedWithoutLoans) {
  borrower.exchange.set_zones({}, now);
  EXPECT_TRUE(choose().runner);
}

TEST_F(SlotExchangeTest, DisabledLendingSelectsByLoadWithoutRequests) {
  borrower.registry.set_lending(false);
  set_waiting(3);
  borrower.exchange.tick(now);
  EXPECT_EQ(messages, 0);
  const SelectionRequest request{.service = "chat", .zone = "full", .load_limit = 1};
  EXPECT_EQ(select_runner(borrower.registry, request, now).runner->record().id, "e1");
}

TEST_F(SlotExchangeTest, SendsNothingWithoutDeficit) {
  EXPECT_FALSE(borrower.exchange.tick(now));
  EXPECT_EQ(messages, 0);
}

}  // namespace
}  // namespace stoathold
