#include "routing/peer_loads.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "core/codec.h"
#include "quarantine/prompt_part_reports.h"
#include "routing/member_name.h"

namespace stoathold {
namespace {

TEST(LoadDigestTest, RejectsTruncatedMessage) {
  const LoadDigest digest{
      1,  2,     3,         {{3, 4, 2, 5, 6}, {7, 8, 1, 9, 10}}, {{14, 15, 16, 17}}, {{11, 1}},
      {}, false, {{12, 13}}};
  const std::string bytes = encode_message(digest);
  PeerLoadMessage read;
  ASSERT_TRUE(decode_message(bytes, read));
  EXPECT_EQ(std::get<LoadDigest>(read).uses[1].backlog_tokens, 9U);
  EXPECT_FALSE(decode_message(bytes.substr(0, bytes.size() - 1), read));
}

/// The messages that the release without reports about prompt parts knows.
using EarlierMessage =
    std::variant<LoadDigest, YieldRequest, ZoneLoads, ZoneTenantUsage, RunnerExitReports,
                 SlotLoanRequest, SlotLoan, SlotLoanReturn, QuarantineNotices, StreamOriginReport,
                 StreamOriginQuery, StreamOriginAnswer>;

TEST(PeerLoadMessageTest, EarlierReleaseIgnoresReportsAboutPromptParts) {
  PromptPartReports reports;
  reports.exits.push_back({1, 0, 2, 3, 4, {5, 6}});
  EarlierMessage read;
  EXPECT_FALSE(decode_value(encode_message(reports), read));
}

TEST(PeerLoadMessageTest, ReleasesExchangeTheirCommonMessages) {
  const QuarantineNotices notices{.notices = {{.content = 7, .quarantined = true, .exits = 3}}};
  EarlierMessage earlier;
  ASSERT_TRUE(decode_value(encode_message(notices), earlier));
  EXPECT_EQ(std::get<QuarantineNotices>(earlier).notices[0].content, 7U);
  PeerLoadMessage current;
  ASSERT_TRUE(decode_message(encode_value(EarlierMessage(notices)), current));
  EXPECT_EQ(std::get<QuarantineNotices>(current).notices[0].exits, 3U);
}

TEST(PeerLoadMessageTest, LargestReportsAboutPromptPartsFitIntoADatagram) {
  constexpr std::size_t kMaxDatagramBytes = 1400;
  PendingPartReports pending(1);
  PromptPartExit exit;
  for (std::uint64_t part = 1; part <= 1000; ++part) exit.parts.push_back(PartHash{part});
  for (int i = 0; i < 10; ++i) pending.add(exit);
  for (int i = 0; i < 100; ++i) pending.add_served(PartHash{9}, TimePoint{});
  EXPECT_LT(encode_message(pending.next(TimePoint{})).size(), kMaxDatagramBytes);
}

TEST(MemberNameTest, ParsesFormattedNames) {
  const MemberName name{"node-1", "zone-1", "10.0.0.1:7000"};
  const auto parsed = parse_member_name(format_member_name(name));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->zone, "zone-1");
  EXPECT_EQ(parsed->peer_address, "10.0.0.1:7000");
  EXPECT_FALSE(parse_member_name("node-1"));
}

/// Uses two nodes on loopback that know the same runner.
TEST(PeerLoadsTest, PropagatesUseAndItsEnd) {
  boost::asio::io_context loop;
  RunnerRegistry first_registry;
  RunnerRegistry second_registry;
  const RunnerRecord record{"r1", "chat", "10.0.0.1:80", "zone", 10, false};
  first_registry.upsert(record);
  second_registry.upsert(record);
  PeerLoads first(loop.get_executor(), first_registry, "127.0.0.1:0", "zone", 1);
  PeerLoads second(loop.get_executor(), second_registry, "127.0.0.1:0", "zone", 2);
  first.start();
  second.start();
  first.set_peers({{second.address(), "zone"}});
  const auto seen_by_second = [&] { return second_registry.all().at("r1")->total_backlog(); };
  first_registry.all().at("r1")->begin_attempt(700);
  first.notify_use_changed();
  for (int step = 0; step < 1000 && seen_by_second() != 700; ++step) loop.run_one();
  EXPECT_EQ(seen_by_second(), 700U);
  // The second node was not given the address of the first one, but has received its message.
  EXPECT_EQ(second.peer_count(), 1U);
  first_registry.all().at("r1")->record_prompt_processed(700);
  first_registry.all().at("r1")->end_attempt(AttemptOutcome::kServed, monotonic_now());
  first.notify_use_changed();
  for (int step = 0; step < 1000 && seen_by_second() != 0; ++step) loop.run_one();
  EXPECT_EQ(seen_by_second(), 0U);
}

/// Fixture for nodes on loopback that know the same two runners, one in each of two zones.
class SharedRunnersTest : public testing::Test {
 protected:
  struct Node {
    Node(boost::asio::io_context& loop, const std::string& zone, std::uint64_t number)
        : loads(loop.get_executor(), registry, "127.0.0.1:0", zone, number) {
      registry.upsert({"a1", "chat", "10.0.0.1:80", "a", 10, false});
      registry.upsert({"b1", "chat", "10.0.0.2:80", "b", 10, false});
      loads.set_yield_handler([this](const YieldRequest& request) {
        yield_requests.push_back(request.service + "/" + request.zone);
      });
      loads.start();
    }
    Runner& runner(const std::string& id) { return *registry.all().at(id); }

    RunnerRegistry registry;
    PeerLoads loads;
    std::vector<std::string> yield_requests;
  };

  template <typename Condition>
  void run_until(Condition condition) {
    for (int step = 0; step < 2000 && !condition(); ++step) loop.run_one();
    EXPECT_TRUE(condition());
  }

  boost::asio::io_context loop;
};

TEST_F(SharedRunnersTest, AsksNodeWithMostBatchItemsInZoneToYield) {
  Node asking(loop, "a", 1);
  Node few_items(loop, "a", 2);
  Node many_items(loop, "b", 3);
  const YieldRequest anywhere{"chat", "a", 0};
  EXPECT_FALSE(asking.loads.send_yield_request(anywhere));
  few_items.loads.set_peers({{asking.loads.address(), "a"}});
  many_items.loads.set_peers({{asking.loads.address(), "a"}});
  few_items.runner("a1").begin_attempt(0, WorkClass::kBatch);
  // Batch items at runners of another zone do not count.
  for (int i = 0; i < 5; ++i) few_items.runner("b1").begin_attempt(0, WorkClass::kBatch);
  for (int i = 0; i < 2; ++i) many_items.runner("a1").begin_attempt(0, WorkClass::kBatch);
  few_items.loads.notify_use_changed();
  run_until([&] { return asking.runner("a1").load(monotonic_now()) > 0.25; });
  EXPECT_TRUE(asking.loads.send_yield_request(anywhere));
  run_until([&] { return !many_items.yield_requests.empty(); });
  EXPECT_EQ(many_items.yield_requests.front(), "chat/a");
  EXPECT_TRUE(few_items.yield_requests.empty());
}

TEST_F(SharedRunnersTest, AsksNodeWithBatchItemsAtGivenRunnerToYield) {
  Node asking(loop, "a", 1);
  Node elsewhere(loop, "a", 2);
  Node at_runner(loop, "a", 3);
  const RunnerRecord second{"a2", "chat", "10.0.0.4:80", "a", 10, false};
  for (Node* node : {&asking, &elsewhere, &at_runner}) node->registry.upsert(second);
  elsewhere.loads.set_peers({{asking.loads.address(), "a"}});
  at_runner.loads.set_peers({{asking.loads.address(), "a"}});
  for (int i = 0; i < 5; ++i) elsewhere.runner("a1").begin_attempt(0, WorkClass::kBatch);
  at_runner.runner("a2").begin_attempt(0, WorkClass::kBatch);
  elsewhere.loads.notify_use_changed();
  at_runner.loads.notify_use_changed();
  run_until([&] { return asking.loads.peer_count() == 2; });
  EXPECT_TRUE(asking.loads.send_yield_request({"chat", "a", asking.runner("a2").hash()}));
  run_until([&] { return !at_runner.yield_requests.empty(); });
  EXPECT_TRUE(elsewhere.yield_requests.empty());
}

TEST_F(SharedRunnersTest, UseFromAnotherZoneIsForwardedInZone) {
  Node receiver(loop, "a", 1);
  Node other(loop, "a", 2);
  Node user(loop, "b", 3);
  receiver.loads.set_peers({{other.loads.address(), "a"}});
  user.loads.set_peers({{receiver.loads.address(), "a"}});
  for (int i = 0; i < 3; ++i) user.runner("a1").begin_attempt(0, WorkClass::kBatch);
  run_until([&] { return other.runner("a1").load(monotonic_now()) > 0.25; });
  EXPECT_GT(receiver.runner("a1").load(monotonic_now()), 0.25);
  // The request goes to the node that runs the items, not to the one that forwarded its digest.
  EXPECT_TRUE(other.loads.send_yield_request({"chat", "a", 0}));
  run_until([&] { return !user.yield_requests.empty(); });
  EXPECT_TRUE(receiver.yield_requests.empty());
}

TEST_F(SharedRunnersTest, UnlistedNodesDiscoverOneAnother) {
  // The group lists the members that hold slots; most nodes of a large zone hold none.
  Node listed(loop, "a", 1);
  Node first(loop, "a", 2);
  Node second(loop, "a", 3);
  first.loads.set_peers({{listed.loads.address(), "a"}});
  second.loads.set_peers({{listed.loads.address(), "a"}});
  run_until([&] { return first.loads.peer_count() == 2 && second.loads.peer_count() == 2; });
  first.runner("a1").begin_attempt(700);
  first.loads.notify_use_changed();
  run_until([&] { return second.runner("a1").total_backlog() == 700; });
}

TEST_F(SharedRunnersTest, UseOfUnknownRunnerCountsOnceItIsAdded) {
  Node user(loop, "a", 1);
  Node other(loop, "a", 2);
  user.registry.upsert({"late", "chat", "10.0.0.3:80", "a", 10, false});
  user.loads.set_peers({{other.loads.address(), "a"}});
  user.runner("late").begin_attempt(300);
  user.loads.notify_use_changed();
  run_until([&] { return other.loads.peer_count() == 1; });
  other.registry.upsert({"late", "chat", "10.0.0.3:80", "a", 10, false});
  user.runner("late").begin_attempt(400);
  user.loads.notify_use_changed();
  run_until([&] { return other.runner("late").total_backlog() == 700; });
}

TEST_F(SharedRunnersTest, ReportsZoneLoadsToOtherZones) {
  Node sender(loop, "a", 1);
  Node far(loop, "b", 2);
  Node second_far(loop, "b", 3);
  sender.loads.set_peers({{far.loads.address(), "b"}});
  far.loads.set_peers({{second_far.loads.address(), "b"}});
  EXPECT_FALSE(second_far.runner("a1").zone_load_known(monotonic_now()));
  for (int i = 0; i < 6; ++i) sender.runner("a1").begin_attempt();
  run_until([&] { return second_far.runner("a1").load(monotonic_now()) > 0.55; });
  EXPECT_TRUE(second_far.runner("a1").zone_load_known(monotonic_now()));
  // Requests sent there afterwards are added to the reported load.
  second_far.runner("a1").begin_attempt();
  EXPECT_GT(second_far.runner("a1").load(monotonic_now()), 0.65);
}

// A message holds 150 runners, a zone may have thousands.
TEST_F(SharedRunnersTest, ReportsRunnersWithMostRoomOfALargeZone) {
  Node near(loop, "a", 1);
  Node far(loop, "b", 2);
  const auto id = [](int number) { return "c" + std::to_string(1000 + number); };
  for (int number = 0; number < 200; ++number) {
    for (Node* node : {&near, &far}) {
      node->registry.upsert({id(number), "chat", "10.0.0.3:80", "b", 10, false});
    }
    if (number < 170) far.runner(id(number)).begin_attempt();
  }
  near.loads.set_peers({{far.loads.address(), "b"}});
  far.loads.set_peers({{near.loads.address(), "a"}});
  run_until([&] { return near.runner(id(199)).zone_load_known(monotonic_now()); });
  EXPECT_TRUE(near.runner(id(170)).zone_load_known(monotonic_now()));
}

TEST_F(SharedRunnersTest, FailuresOfTwoNodesEjectRunnerAtOthers) {
  Node first(loop, "a", 1);
  Node second(loop, "a", 2);
  Node third(loop, "a", 3);
  const auto fail_attempt = [&](Node& node) {
    node.loads.set_peers({{third.loads.address(), "a"}});
    node.runner("a1").begin_attempt();
    node.runner("a1").end_attempt(AttemptOutcome::kUnreachable, monotonic_now());
    node.loads.notify_use_changed();
  };
  fail_attempt(first);
  run_until([&] { return third.loads.peer_count() == 1; });
  EXPECT_FALSE(third.runner("a1").ejected(monotonic_now()));
  fail_attempt(second);
  run_until([&] { return third.runner("a1").ejected(monotonic_now()); });
  EXPECT_FALSE(third.runner("b1").ejected(monotonic_now()));
}

TEST_F(SharedRunnersTest, RunnerTerminationsReachAllZones) {
  const ContentHash crashing_request{7};
  Node first(loop, "a", 1);
  Node second(loop, "a", 2);
  Node far(loop, "b", 3);
  Node second_far(loop, "b", 4);
  std::vector<std::unique_ptr<Quarantine>> quarantines;
  for (Node* node : {&first, &second, &far, &second_far}) {
    quarantines.push_back(std::make_unique<Quarantine>([](std::uint64_t) { return std::nullopt; }));
    node->loads.share_runner_ends(*quarantines.back());
  }
  const auto holds = [&](std::size_t node) {
    return quarantines[node]->contains(crashing_request, monotonic_now());
  };
  // Recorded before any other node is known, and reported once there is one.
  quarantines[0]->record_runner_exit(
      {crashing_request, 11, RunStage::kResponseStarted, monotonic_now()});
  run_until([&, turn = 0]() mutable { return ++turn > 5; });
  first.loads.set_peers({{second.loads.address(), "a"}, {far.loads.address(), "b"}});
  far.loads.set_peers({{second_far.loads.address(), "b"}});
  quarantines[0]->record_runner_exit(
      {crashing_request, 12, RunStage::kResponseStarted, monotonic_now()});
  quarantines[2]->record_runner_exit(
      {crashing_request, 13, RunStage::kResponseStarted, monotonic_now()});
  run_until([&] { return holds(2) && holds(3); });
  quarantines[1]->record_runner_exit(
      {crashing_request, 14, RunStage::kResponseStarted, monotonic_now()});
  run_until([&] { return holds(1); });
}

/// Guards against quarantines that reach other nodes by the log alone.
TEST_F(SharedRunnersTest, QuarantinesReachNodesThatAreKnownLater) {
  const ContentHash crashing_request{7};
  Node decider(loop, "a", 1);
  Node neighbour(loop, "a", 2);
  Node far(loop, "b", 3);
  std::vector<std::unique_ptr<Quarantine>> quarantines;
  for (Node* node : {&decider, &neighbour, &far}) {
    quarantines.push_back(std::make_unique<Quarantine>([](std::uint64_t) { return std::nullopt; }));
    node->loads.share_runner_ends(*quarantines.back());
  }
  for (std::uint64_t runner = 1; runner <= 3; ++runner) {
    quarantines[0]->record_runner_exit(
        {crashing_request, runner, RunStage::kResponseStarted, monotonic_now()});
  }
  // All repetitions were due while no other node was known.
  for (int repeat = 0; repeat < 5; ++repeat) {
    quarantines[0]->next_zone_notices(monotonic_now());
    quarantines[0]->next_remote_notices(monotonic_now());
    quarantines[0]->next_zone_reports(monotonic_now());
    quarantines[0]->next_remote_reports(monotonic_now());
  }
  decider.loads.set_peers({{neighbour.loads.address(), "a"}, {far.loads.address(), "b"}});
  run_until([&] {
    return quarantines[1]->contains(crashing_request, monotonic_now()) &&
           quarantines[2]->contains(crashing_request, monotonic_now());
  });
}

TEST_F(SharedRunnersTest, DemandIsReportedInZoneAndExpires) {
  Node waiting(loop, "a", 1);
  Node neighbour(loop, "a", 2);
  bool has_demand = true;
  waiting.loads.set_demand_source([&] {
    return has_demand ? std::vector<ServiceDemand>{{stable_hash("chat"), 1}}
                      : std::vector<ServiceDemand>{};
  });
  waiting.loads.set_peers({{neighbour.loads.address(), "a"}});
  waiting.loads.notify_use_changed();
  run_until([&] { return neighbour.registry.peers_wait_for("chat"); });
  EXPECT_FALSE(neighbour.registry.peers_wait_for("other"));
  // Without further reports, as after a crash of the node, the demand expires.
  run_until([&] { return !neighbour.registry.peers_wait_for("chat"); });
}

TEST_F(SharedRunnersTest, NodeWithLateRequestsBorrowsSlotsOfAnotherZone) {
  Node lender(loop, "a", 1);
  Node forwarder(loop, "a", 2);
  Node borrower(loop, "b", 3);
  const TimePoint long_ago = monotonic_now() - 2 * kLoanLifetime;
  SlotExchange lender_exchange(lender.registry, "a", 1, long_ago);
  SlotExchange forwarder_exchange(forwarder.registry, "a", 2, long_ago);
  SlotExchange borrower_exchange(borrower.registry, "b", 3, long_ago);
  const auto none = [](TimePoint) { return std::vector<WaitingRequest>{}; };
  const auto late_requests = [](TimePoint) {
    return std::vector<WaitingRequest>{
        {stable_hash(std::string("chat")), Duration{0}, Duration{0}}};
  };
  lender.loads.set_slot_exchange(lender_exchange, none);
  forwarder.loads.set_slot_exchange(forwarder_exchange, none);
  borrower.loads.set_slot_exchange(borrower_exchange, late_requests);
  borrower.registry.set_lending(true);
  lender.loads.set_peers({{forwarder.loads.address(), "a"}});
  forwarder.loads.set_peers({{lender.loads.address(), "a"}});
  // The node that receives the request need not be the lender of the runner.
  borrower.loads.set_peers({{forwarder.loads.address(), "a"}});
  borrower.loads.notify_use_changed();
  const auto lent = [](Node& node) { return node.runner("a1").lent(); };
  run_until([&] { return borrower.runner("a1").unused_borrowed(monotonic_now()) == 1; });
  EXPECT_EQ(lent(lender) + lent(forwarder), 1U);
  // The digest of the lender informs the other node of the zone.
  Node& other = lent(lender) == 1 ? forwarder : lender;
  run_until([&] { return other.runner("a1").load(monotonic_now()) > 0; });
}

/// A node that shares a tenant's limit.
struct LimitedNode {
  LimitedNode(boost::asio::io_context& loop, const std::string& zone, std::uint64_t number)
      : loads(loop.get_executor(), registry, "127.0.0.1:0", zone, number) {
    limits.set_tenants(directory, monotonic_now() - std::chrono::seconds(10));
    loads.share_tenant_usage(limits);
    loads.start();
  }
  double available() { return limits.available("alder", monotonic_now()); }

  TenantDirectory directory{{{"alder", {"key"}, {}, {0.01, 100}}}};
  RunnerRegistry registry;
  TenantRateLimiter limits;
  PeerLoads loads;
};

// Guards against treating a planned shutdown as a failure: a node that had shut down was considered
// silent for 20 s, like a partitioned node.
TEST_F(SharedRunnersTest, LeavingNodeIsNotConsideredSilentInAnyZone) {
  LimitedNode leaving(loop, "a", 1);
  LimitedNode neighbour(loop, "a", 2);
  LimitedNode far(loop, "b", 3);
  leaving.loads.set_peers({{neighbour.loads.address(), "a"}, {far.loads.address(), "b"}});
  const auto run_for = [&](Duration time) {
    const TimePoint end = monotonic_now() + time;
    run_until([&] { return monotonic_now() > end; });
  };
  run_for(std::chrono::milliseconds(300));
  // Requests that it admits from now on count, since the other nodes know it.
  const double initially_available = neighbour.available();
  for (int i = 0; i < 3; ++i) {
    leaving.limits.admit(leaving.directory.tenants().front(), monotonic_now());
  }
  leaving.loads.notify_use_changed();
  run_until([&] {
    return neighbour.available() < initially_available - 2 &&
           far.available() < initially_available - 2;
  });
  leaving.loads.leave();
  run_for(std::chrono::milliseconds(900));
  EXPECT_EQ(neighbour.limits.silent_nodes(), 0U);
  EXPECT_EQ(far.limits.silent_nodes(), 0U);
}

}  // namespace
}  // namespace stoathold
