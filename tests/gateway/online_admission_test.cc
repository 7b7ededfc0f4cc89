// Admission of online work in a whole gateway. The load: the only slot is taken, and other nodes of
// the zone report what waits there. Callers have an objective of 300 ms and 5 s in all.
#include "gateway/online_admission.h"

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace stoathold {
namespace {

class OnlineAdmissionTest : public GatewayFixture {
 protected:
  OnlineAdmissionTest() {
    slots = 1;
    deadline_ms = "5000";
    configure(RouteKind::kStreaming, false, 1);
    ServingConfiguration configuration = *context.configuration;
    configuration.routes[0].latency_objective = std::chrono::milliseconds(300);
    configuration.routes[0].event_gap_objective = std::chrono::milliseconds(200);
    context.configuration = std::make_shared<const ServingConfiguration>(configuration);
    context.set_traits({.has_tenants = true});
  }
  void fill() {
    add_runner(runner);
    context.runners.all().at("r1")->begin_attempt();
  }
  void free_slot() {
    context.runners.all().at("r1")->end_attempt(AttemptOutcome::kServed, monotonic_now());
    context.placement.capacity_changed();
  }
  /// Requests hold a slot for 100 ms.
  void learn() {
    for (int i = 0; i < 20; ++i) {
      context.admission.freed({.service = "chat",
                               .route = "r",
                               .priority = 0,
                               .held = std::chrono::milliseconds(100),
                               .whole = true});
    }
  }
  void hear_of_waiting(std::uint16_t waiting) {
    LoadDigest digest;
    digest.sender = 1;
    digest.backlogs = {
        {.service = stable_hash("chat"), .waiting = waiting, .waiting_slot_ms = waiting * 100U}};
    context.admission.take_reports(digest, monotonic_now());
  }
  /// All slots are taken, what requests take is known, and so many wait at another node.
  void crowd(std::uint16_t waiting_elsewhere) {
    fill();
    learn();
    hear_of_waiting(waiting_elsewhere);
  }
  void start_asking() {
    view.reset();
    boost::asio::co_spawn(
        loop, [this]() -> boost::asio::awaitable<void> { view = co_await call("/x/1"); },
        boost::asio::detached);
  }
  void run_until_answered() {
    while (!view) loop.run_one();
  }
  void run_until_waiting() {
    while (!view && context.placement.waiting(WorkClass::kOnline) == 0) loop.run_one();
  }

  ScriptedRunner runner{loop, {{stream_head() + chunk(event(1)) + kLastChunk}}};
  std::optional<CallerView> view;
};

// Until now such a request waited for 2 s and was then told to come back after 0.2 s.
TEST_F(OnlineAdmissionTest, WhoCannotBeInTimeBehindOthersIsRejectedAsItComes) {
  crowd(5);
  int waits = 0;
  context.placement.decisions().waits = [&waits](const auto&...) { ++waits; };
  const CallerView answer = ask();
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.body.find("overloaded"), std::string::npos);
  EXPECT_EQ(waits, 0);
  ASSERT_FALSE(answer.retry_after.empty());
  EXPECT_LE(std::stod(answer.retry_after), 5.0 / 3);
  EXPECT_TRUE(runner.requests.empty());
}

TEST_F(OnlineAdmissionTest, WithoutFiguresRequestsWaitAndAreServed) {
  fill();
  hear_of_waiting(50);
  start_asking();
  run_until_waiting();
  EXPECT_FALSE(view);
  free_slot();
  run_until_answered();
  EXPECT_EQ(view->status, 200);
}

TEST_F(OnlineAdmissionTest, ASlotThatIdlesIsTakenWhateverWaitsElsewhere) {
  add_runner(runner);
  learn();
  hear_of_waiting(50);
  EXPECT_EQ(ask().status, 200);
}

// A caller is to know 10 ms after it has become certain that it cannot be served. Reviews come at
// least every `kReviewInterval`, and the first one after that rejects, whatever else happens. The
// time itself is not measured here: beside busy processes a turn of the loop took 13 ms.
TEST_F(OnlineAdmissionTest, WhoWaitsIsRejectedByTheFirstReviewAfterItHasBecomeCertain) {
  static_assert(kReviewInterval < std::chrono::milliseconds(10));
  fill();
  learn();
  start_asking();
  run_until_waiting();
  ASSERT_FALSE(view);
  int reviews = 0;
  context.placement.decisions().review = [review = context.placement.decisions().review,
                                          &reviews](const auto&... arguments) {
    ++reviews;
    return review(arguments...);
  };
  hear_of_waiting(50);
  while (context.placement.waiting(WorkClass::kOnline) > 0) loop.run_one();
  EXPECT_EQ(reviews, 1);
  run_until_answered();
  EXPECT_EQ(view->status, 503);
}

TEST_F(OnlineAdmissionTest, ACallerThatWasToldToComeBackIsNotRejectedAgain) {
  crowd(5);
  const CallerView first = ask();
  ASSERT_FALSE(first.retry_after.empty());
  boost::asio::steady_timer timer(loop);
  const int after_ms = static_cast<int>(std::stod(first.retry_after) * 1000);
  timer.expires_after(std::chrono::milliseconds(after_ms));
  run_awaitable(loop, [&timer]() -> boost::asio::awaitable<int> {
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_return 0;
  }());
  learn();
  hear_of_waiting(15);
  start_asking();
  run_until_waiting();
  EXPECT_FALSE(view);
  EXPECT_EQ(context.admission.counters().came, 1U);
  EXPECT_NE(context.admission.waiting_page().find("returned"), std::string::npos);
  free_slot();
  run_until_answered();
  EXPECT_EQ(view->status, 200);
}

// What the caller claims of itself makes no difference: only the node's own table does.
TEST_F(OnlineAdmissionTest, AnotherRequestGainsNothingByTheOneThatWasTold) {
  crowd(50);
  ASSERT_EQ(ask().status, 503);
  body = "another question";
  const CallerView other = ask();
  EXPECT_EQ(other.status, 503);
  EXPECT_EQ(context.admission.counters().came, 0U);
}

TEST_F(OnlineAdmissionTest, NothingIsSaidWhereComingBackCannotHelp) {
  deadline_ms = "200";
  crowd(50);
  const CallerView answer = ask();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.retry_after.empty());
}

// Callers give a stream up after 2 s without an event. Placed later, a request would run in vain.
TEST_F(OnlineAdmissionTest, AStreamIsNotPlacedOnceItsCallerHasGivenItUp) {
  fill();
  start_asking();
  run_until_answered();
  EXPECT_EQ(view->status, 503);
  EXPECT_NE(view->body.find("past_use"), std::string::npos);
  EXPECT_TRUE(runner.requests.empty());
}

TEST_F(OnlineAdmissionTest, SwitchedOffRequestsWaitAsBefore) {
  context.set_traits({});
  crowd(50);
  start_asking();
  run_until_waiting();
  EXPECT_FALSE(view);
  free_slot();
  run_until_answered();
  EXPECT_EQ(view->status, 200);
}

TEST_F(OnlineAdmissionTest, ReportsTellWhatWaitsAndWhoWasTold) {
  crowd(5);
  ASSERT_EQ(ask().status, 503);
  LoadDigest digest;
  context.admission.add_reports(digest, monotonic_now());
  ASSERT_EQ(digest.returns.size(), 1U);
  EXPECT_FALSE(digest.returns[0].came);
  ASSERT_EQ(digest.backlogs.size(), 1U);
  EXPECT_EQ(digest.backlogs[0].freed_slots, 20U);
  EXPECT_EQ(digest.backlogs[0].arrivals, 1U);
}

// 894 requests of a day of bursts beside jobs were rejected while batch items of their zone were
// still to be asked for their slots: the forecast counted those only that requests give back.
TEST_F(OnlineAdmissionTest, NobodyIsRejectedWhileBatchHoldsMoreSlotsThanAreAwaited) {
  crowd(5);
  context.runners.all().at("r1")->set_peer_use(6, 0, 6);
  start_asking();
  run_until_waiting();
  EXPECT_FALSE(view);
  context.runners.all().at("r1")->set_peer_use(0, 0, 0);
  free_slot();
  run_until_answered();
  EXPECT_EQ(view->status, 200);
}

TEST_F(OnlineAdmissionTest, RejectionsAreCountedByTenantAndBesideTheSlotsOfBatch) {
  crowd(15);
  context.runners.all().at("r1")->set_peer_use(2, 0, 2);
  ASSERT_EQ(ask().status, 503);
  const OnlineAdmission::Counters& counters = context.admission.counters();
  EXPECT_EQ(counters.rejected_beside_batch, 1U);
  EXPECT_EQ(counters.of_batch_when_rejected, 2U);
  ASSERT_EQ(counters.tenants.size(), 1U);
  const OnlineAdmission::TenantSteps& steps = counters.tenants.begin()->second;
  EXPECT_EQ(steps.at("overloaded"), 1U);
  EXPECT_EQ(steps.at("told"), 1U);
}

}  // namespace
}  // namespace stoathold
