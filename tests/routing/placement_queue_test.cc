#include "routing/placement_queue.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <vector>

namespace stoathold {
namespace {

class PlacementQueueTest : public testing::Test {
 protected:
  PlacementQueueTest() : queue(loop.get_executor(), registry) {
    registry.upsert({"r1", "chat", "10.0.0.1:80", "zone", 1, false});
  }

  PlacementRequest make_request(WorkClass work, std::uint32_t priority = 0) {
    PlacementRequest request;
    request.selection = {.service = "chat", .zone = "zone", .load_limit = 1.0};
    request.work = work;
    request.priority = priority;
    request.due = monotonic_now();
    request.queue_deadline = monotonic_now() + std::chrono::seconds(30);
    return request;
  }
  std::shared_ptr<PlacementTicket> wait(const std::string& name, PlacementRequest request) {
    const auto ticket = queue.make_ticket(std::move(request));
    boost::asio::co_spawn(
        loop,
        [this, ticket, name]() -> boost::asio::awaitable<void> {
          const auto runner = co_await queue.acquire(ticket);
          order.push_back(runner ? name : name + " without");
        },
        boost::asio::detached);
    run();
    return ticket;
  }
  void run() {
    loop.restart();
    loop.poll();
  }
  void free_slot() {
    registry.all().at("r1")->end_attempt(AttemptOutcome::kServed, monotonic_now());
    queue.capacity_changed();
    run();
  }

  boost::asio::io_context loop;
  RunnerRegistry registry;
  PlacementQueue queue;
  std::vector<std::string> order;
};

TEST_F(PlacementQueueTest, NextSlotGoesToMostUrgentRequest) {
  wait("first", make_request(WorkClass::kOnline));
  wait("batch", make_request(WorkClass::kBatch));
  wait("low", make_request(WorkClass::kOnline, 2));
  wait("high", make_request(WorkClass::kOnline, 0));
  EXPECT_EQ(order, (std::vector<std::string>{"first"}));
  free_slot();
  free_slot();
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first", "high", "low", "batch"}));
}

TEST_F(PlacementQueueTest, OnTimeRequestsOvertakeLateOnes) {
  wait("first", make_request(WorkClass::kOnline));
  PlacementRequest late = make_request(WorkClass::kOnline);
  late.due = monotonic_now() - std::chrono::seconds(1);
  wait("late", late);
  PlacementRequest in_time = make_request(WorkClass::kOnline);
  in_time.due = monotonic_now() + std::chrono::seconds(20);
  wait("in time", in_time);
  free_slot();
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first", "in time", "late"}));
}

TEST_F(PlacementQueueTest, OnTimeBatchItemsOvertakeLateOnes) {
  wait("first", make_request(WorkClass::kOnline));
  PlacementRequest late = make_request(WorkClass::kBatch);
  late.due = monotonic_now() - std::chrono::seconds(5);
  wait("late", late);
  PlacementRequest in_time = make_request(WorkClass::kBatch);
  in_time.due = monotonic_now() + std::chrono::seconds(5);
  wait("in time", in_time);
  PlacementRequest late_online = make_request(WorkClass::kOnline);
  late_online.due = monotonic_now() - std::chrono::seconds(1);
  wait("late online", late_online);
  for (int i = 0; i < 3; ++i) free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first", "late online", "in time", "late"}));
}

TEST_F(PlacementQueueTest, LateRequestsYieldToOnTimeRequestsOfOtherNodes) {
  wait("first", make_request(WorkClass::kOnline));
  PlacementRequest late = make_request(WorkClass::kOnline);
  late.due = monotonic_now() - std::chrono::seconds(1);
  wait("late", late);
  registry.set_peer_urgent_demand({stable_hash("chat")});
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first"}));
  registry.set_peer_urgent_demand({});
  queue.loads_changed();
  run();
  EXPECT_EQ(order, (std::vector<std::string>{"first", "late"}));
}

TEST_F(PlacementQueueTest, WaitingOnlineRequestAsksBatchToYield) {
  std::vector<std::string> asked;
  queue.set_yield_handler(
      [&](const std::string& service, const Runner*) { asked.push_back(service); });
  wait("first", make_request(WorkClass::kOnline));
  wait("batch", make_request(WorkClass::kBatch));
  EXPECT_TRUE(asked.empty());
  wait("online", make_request(WorkClass::kOnline));
  loop.restart();
  for (int step = 0; step < 100 && asked.empty(); ++step) loop.run_one();
  EXPECT_EQ(asked, (std::vector<std::string>{"chat"}));
}

// Guards against a delay before preemption: online work waited 20 ms before batch work was asked
// for a slot, and 100 ms before it was asked for another.
TEST_F(PlacementQueueTest, OnlineRequestPreemptsBatchItemImmediately) {
  std::vector<const Runner*> asked;
  queue.set_yield_handler(
      [&](const std::string&, const Runner* runner) { asked.push_back(runner); });
  wait("batch", make_request(WorkClass::kBatch));
  wait("online", make_request(WorkClass::kOnline));
  EXPECT_EQ(order, (std::vector<std::string>{"batch", "online"}));
  EXPECT_EQ(asked, (std::vector<const Runner*>{registry.all().at("r1").get()}));
  // Demand is reported to the other nodes, so that their batch work takes no slot for a moment.
  ASSERT_EQ(queue.online_demand().size(), 1U);
  EXPECT_EQ(queue.online_demand()[0].waiting, 0U);
  // The only batch item can be preempted only once: the next request waits.
  registry.all().at("r1")->begin_yield();
  wait("next", make_request(WorkClass::kOnline));
  EXPECT_EQ(order.size(), 2U);
  registry.all().at("r1")->end_yield();
}

// A request that may run only once cannot leave the runner that has it. At four times the usual
// arrivals of a zone, such requests waited in a runner's own queue until their callers' deadline.
TEST_F(PlacementQueueTest, RunOnceRequestIsNotQueuedAtRunnerPastItsDeadline) {
  queue.set_yield_handler([](const std::string&, const Runner*) {});
  wait("batch", make_request(WorkClass::kBatch));
  PlacementRequest once = make_request(WorkClass::kOnline);
  once.runs_once = true;
  once.first_event = std::chrono::milliseconds(45);
  once.first_event_deadline = monotonic_now() + std::chrono::milliseconds(150);
  wait("once", once);
  EXPECT_EQ(order, (std::vector<std::string>{"batch"}));
  once.first_event_deadline = monotonic_now() + std::chrono::seconds(2);
  wait("once, with time", once);
  EXPECT_EQ(order, (std::vector<std::string>{"batch", "once, with time"}));
}

// Guards against batch taking the next free slot because a rejected request no longer waits.
TEST_F(PlacementQueueTest, BatchTakesNoSlotRightAfterOnlineRejection) {
  queue.placement_policy().reviews_enabled = [] { return true; };
  queue.placement_policy().review = [](const PlacementRequest&, const QueuePosition&, TimePoint) {
    return std::optional(PlacementRejection{});
  };
  wait("first", make_request(WorkClass::kOnline));
  wait("rejected", make_request(WorkClass::kOnline));
  EXPECT_EQ(order, (std::vector<std::string>{"first", "rejected without"}));
  EXPECT_EQ(queue.online_demand().size(), 1U)
      << "the demand is reported to the other nodes of the zone";
  PlacementRequest batch = make_request(WorkClass::kBatch);
  batch.selection.load_limit = 0.3;
  wait("batch", batch);
  free_slot();
  EXPECT_EQ(order.size(), 2U);
  // When the burst reserve has decayed, the slot is taken.
  loop.restart();
  for (int step = 0; step < 1000 && order.size() < 3; ++step) loop.run_one();
  EXPECT_EQ(order.back(), "batch");
}

TEST_F(PlacementQueueTest, BatchReservesOnlyFractionForReturningCallers) {
  registry.upsert({"r1", "chat", "10.0.0.1:80", "zone", 10, false});
  double fraction = 0.5;
  queue.placement_policy().batch_reserve_fraction = [&](const std::string&, TimePoint) {
    return fraction;
  };
  for (int i = 0; i < 5; ++i) registry.all().at("r1")->begin_attempt();
  wait("batch", make_request(WorkClass::kBatch));
  EXPECT_TRUE(order.empty());
  fraction = 0.4;
  queue.loads_changed();
  run();
  EXPECT_EQ(order, (std::vector<std::string>{"batch"}));
}

TEST_F(PlacementQueueTest, NewcomersYieldWhileReturningCallersAreExpected) {
  bool due = true;
  queue.placement_policy().expects_booked_retries = [&](const std::string&) { return due; };
  queue.placement_policy().may_yield_to_booked_retries = [](const PlacementRequest& request) {
    return request.priority == 1;
  };
  wait("first", make_request(WorkClass::kOnline));
  PlacementRequest request = make_request(WorkClass::kOnline, 1);
  request.due = monotonic_now() + std::chrono::seconds(20);
  wait("newcomer", request);
  request.admission_class = AdmissionClass::kBookedRetry;
  wait("returned", request);
  const auto demand = queue.online_demand();
  ASSERT_EQ(demand.size(), 1U);
  EXPECT_EQ(demand[0].waiting, 1U);
  EXPECT_EQ(demand[0].yielding, 1U);
  // A returning caller at another node also has precedence.
  registry.set_peer_urgent_demand({stable_hash("chat")});
  free_slot();
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first", "returned"}));
  due = false;
  queue.loads_changed();
  run();
  EXPECT_EQ(order.back(), "newcomer");
}

TEST_F(PlacementQueueTest, BatchDoesNotPreemptBatch) {
  int asked = 0;
  queue.set_yield_handler([&](const std::string&, const Runner*) { ++asked; });
  wait("first", make_request(WorkClass::kBatch));
  wait("second", make_request(WorkClass::kBatch));
  EXPECT_EQ(order, (std::vector<std::string>{"first"}));
  EXPECT_EQ(asked, 0);
}

TEST_F(PlacementQueueTest, PeerDemandIsNotReportedAsOwn) {
  registry.set_peer_demand({stable_hash("chat")});
  wait("batch", make_request(WorkClass::kBatch));
  EXPECT_TRUE(queue.online_demand().empty());
}

TEST_F(PlacementQueueTest, BatchYieldsAtOvercommittedRunner) {
  std::vector<const Runner*> asked;
  queue.set_yield_handler(
      [&](const std::string&, const Runner* runner) { asked.push_back(runner); });
  registry.upsert({"r2", "chat", "10.0.0.1:80", "zone", 2, false});
  Runner& runner = *registry.all().at("r2");
  for (int i = 0; i < 2; ++i) runner.begin_attempt();
  EXPECT_FALSE(queue.preempt_if_overcommitted(runner));
  runner.set_peer_use(1, 0);
  EXPECT_TRUE(queue.preempt_if_overcommitted(runner));
  EXPECT_EQ(asked, (std::vector<const Runner*>{&runner}));
}

TEST_F(PlacementQueueTest, BatchYieldsToOnlineDemandOfOtherNodes) {
  registry.set_peer_demand({stable_hash("chat")});
  wait("batch", make_request(WorkClass::kBatch));
  EXPECT_TRUE(order.empty());
  wait("online", make_request(WorkClass::kOnline));
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"online"}));
  registry.set_peer_demand({});
  loop.restart();
  for (int step = 0; step < 1000 && order.size() < 2; ++step) loop.run_one();
  EXPECT_EQ(order, (std::vector<std::string>{"online", "batch"}));
}

TEST_F(PlacementQueueTest, BatchReserveIsLargerRightAfterUnmetOnlineDemand) {
  registry.upsert({"r1", "chat", "10.0.0.1:80", "zone", 10, false});
  for (int i = 0; i < 4; ++i) registry.all().at("r1")->begin_attempt();
  PlacementRequest request = make_request(WorkClass::kBatch);
  constexpr double kLimit = 0.7;
  request.selection.load_limit = kLimit;
  wait("calm", request);
  EXPECT_EQ(order, (std::vector<std::string>{"calm"}));
  registry.set_peer_demand({stable_hash("chat")});
  wait("in the burst", request);
  registry.set_peer_demand({});
  queue.loads_changed();
  run();
  EXPECT_EQ(order, (std::vector<std::string>{"calm"}));
  // When the burst reserve has decayed, the slot is taken.
  loop.restart();
  for (int step = 0; step < 1000 && order.size() < 2; ++step) loop.run_one();
  EXPECT_EQ(order.back(), "in the burst");
}

TEST_F(PlacementQueueTest, CancelledWaitTakesNoSlot) {
  wait("first", make_request(WorkClass::kOnline));
  const auto ticket = wait("second", make_request(WorkClass::kOnline));
  ticket->cancel();
  run();
  EXPECT_EQ(order.back(), "second without");
  free_slot();
  EXPECT_EQ(registry.all().at("r1")->in_flight(), 0U);
}

TEST_F(PlacementQueueTest, SlotIsReturnedIfTicketIsCancelledBeforeResume) {
  wait("first", make_request(WorkClass::kOnline));
  const auto ticket = wait("second", make_request(WorkClass::kOnline));
  registry.all().at("r1")->end_attempt(AttemptOutcome::kServed, monotonic_now());
  queue.capacity_changed();  // The slot is assigned, but the waiting coroutine has not resumed yet.
  ticket->cancel();
  run();
  EXPECT_EQ(order.back(), "second without");
  EXPECT_EQ(registry.all().at("r1")->in_flight(), 0U);
}

/// Fair-share ranks by tenant, and the callback for requests that got no slot.
class PlacementFairShareTest : public PlacementQueueTest {
 protected:
  PlacementFairShareTest() {
    PlacementPolicy decisions;
    decisions.fair_share_rank = [this](const PlacementRequest& request, TimePoint) {
      return turns[request.tenant];
    };
    decisions.on_unplaced = [this](const PlacementRequest& request, TimePoint) {
      left.push_back(request.tenant);
    };
    decisions.yields_to_peers = [](const PlacementRequest& request) {
      return request.fair_share_rank >= 1;
    };
    queue.placement_policy() = std::move(decisions);
  }
  PlacementRequest make_tenant_request(const std::string& tenant, std::uint32_t priority = 0) {
    PlacementRequest request = make_request(WorkClass::kOnline, priority);
    request.due = monotonic_now() + std::chrono::seconds(20);
    request.tenant = tenant;
    return request;
  }

  std::map<std::string, double> turns{{"heavy", 5}, {"light", 0}};
  std::vector<std::string> left;
};

TEST_F(PlacementFairShareTest, LowerRankGoesFirstWithinPriorityOnly) {
  PlacementPolicy without_yields;
  without_yields.fair_share_rank = [this](const PlacementRequest& request, TimePoint) {
    return turns[request.tenant];
  };
  queue.placement_policy() = std::move(without_yields);
  wait("first", make_tenant_request("light"));
  wait("heavy", make_tenant_request("heavy"));
  wait("light, less urgent", make_tenant_request("light", 1));
  wait("light", make_tenant_request("light"));
  for (int i = 0; i < 3; ++i) free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first", "light", "heavy", "light, less urgent"}));
}

TEST_F(PlacementFairShareTest, YieldingRequestsLeaveSlotsToOnTimeRequestsOfOtherNodes) {
  wait("first", make_tenant_request("light"));
  wait("heavy", make_tenant_request("heavy"));
  registry.set_peer_urgent_demand({stable_hash("chat")});
  free_slot();
  // An arriving request does not take the free slot either.
  wait("heavy, new", make_tenant_request("heavy"));
  EXPECT_EQ(order, (std::vector<std::string>{"first"}));
  wait("light", make_tenant_request("light"));
  EXPECT_EQ(order, (std::vector<std::string>{"first", "light"}));
  registry.set_peer_urgent_demand({});
  free_slot();
  EXPECT_EQ(order.back(), "heavy");
}

TEST_F(PlacementFairShareTest, YieldingRequestsAreReportedSeparately) {
  wait("first", make_tenant_request("light"));
  wait("heavy", make_tenant_request("heavy"));
  ASSERT_EQ(queue.online_demand().size(), 1U);
  EXPECT_EQ(queue.online_demand()[0].waiting, 0U);
  EXPECT_EQ(queue.online_demand()[0].yielding, 1U);
  wait("light", make_tenant_request("light"));
  EXPECT_EQ(queue.online_demand()[0].waiting, 1U);
  EXPECT_EQ(queue.online_demand()[0].yielding, 1U);
}

TEST_F(PlacementFairShareTest, YieldingRequestTakesSlotWithoutCompetingDemand) {
  registry.set_peer_yielding_demand({stable_hash("chat")});
  wait("heavy", make_tenant_request("heavy"));
  wait("heavy, next", make_tenant_request("heavy"));
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"heavy", "heavy, next"}));
}

TEST_F(PlacementFairShareTest, LateRequestsYieldToYieldingRequestsOfOtherNodes) {
  wait("first", make_tenant_request("light"));
  PlacementRequest late = make_tenant_request("light");
  late.due = monotonic_now() - std::chrono::seconds(1);
  wait("late", late);
  registry.set_peer_yielding_demand({stable_hash("chat")});
  free_slot();
  EXPECT_EQ(order, (std::vector<std::string>{"first"}));
}

TEST_F(PlacementFairShareTest, UnplacedCallbackRunsOnce) {
  wait("first", make_tenant_request("light"));
  const auto ticket = wait("second", make_tenant_request("heavy"));
  ticket->cancel();
  run();
  EXPECT_EQ(left, (std::vector<std::string>{"heavy"}));
}

}  // namespace
}  // namespace stoathold
