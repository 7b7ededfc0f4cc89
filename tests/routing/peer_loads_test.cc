#include "routing/peer_loads.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "routing/member_name.h"

namespace stoathold {
namespace {

TEST(LoadDigestTest, DamageIsNoticed) {
  const LoadDigest digest{
      1,  2,     3,         {{3, 4, 2, 5, 6}, {7, 8, 1, 9, 10}}, {{14, 15, 16, 17}}, {{11, 1}},
      {}, false, {{12, 13}}};
  const std::string bytes = encode_message(digest);
  PeerLoadMessage read;
  ASSERT_TRUE(decode_message(bytes, read));
  EXPECT_EQ(std::get<LoadDigest>(read).uses[1].backlog_tokens, 9U);
  EXPECT_FALSE(decode_message(bytes.substr(0, bytes.size() - 1), read));
}

TEST(MemberNameTest, NamesAreParsedBack) {
  const MemberName name{"node-1", "zone-1", "10.0.0.1:7000"};
  const auto parsed = parse_member_name(format_member_name(name));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->zone, "zone-1");
  EXPECT_EQ(parsed->peer_address, "10.0.0.1:7000");
  EXPECT_FALSE(parse_member_name("node-1"));
}

/// Two nodes on loopback that know the same runner.
TEST(PeerLoadsTest, UseIsToldAndLearnedBack) {
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
  first.use_changed();
  for (int step = 0; step < 1000 && seen_by_second() != 700; ++step) loop.run_one();
  EXPECT_EQ(seen_by_second(), 700U);
  // The second has not been told of the first, but has heard it.
  EXPECT_EQ(second.peer_count(), 1U);
  first_registry.all().at("r1")->prompt_read(700);
  first_registry.all().at("r1")->end_attempt(AttemptOutcome::kServed, monotonic_now());
  first.use_changed();
  for (int step = 0; step < 1000 && seen_by_second() != 0; ++step) loop.run_one();
  EXPECT_EQ(seen_by_second(), 0U);
}

/// Nodes on loopback that know the same runners, one in each of two zones.
class SharedRunnersTest : public testing::Test {
 protected:
  struct Node {
    Node(boost::asio::io_context& loop, const std::string& zone, std::uint64_t number)
        : loads(loop.get_executor(), registry, "127.0.0.1:0", zone, number) {
      registry.upsert({"a1", "chat", "10.0.0.1:80", "a", 10, false});
      registry.upsert({"b1", "chat", "10.0.0.2:80", "b", 10, false});
      loads.set_yield_handler([this](const YieldRequest& request) {
        asked.push_back(request.service + "/" + request.zone);
      });
      loads.start();
    }
    Runner& runner(const std::string& id) { return *registry.all().at(id); }

    RunnerRegistry registry;
    PeerLoads loads;
    std::vector<std::string> asked;
  };

  template <typename Condition>
  void run_until(Condition condition) {
    for (int step = 0; step < 2000 && !condition(); ++step) loop.run_one();
    EXPECT_TRUE(condition());
  }

  boost::asio::io_context loop;
};

TEST_F(SharedRunnersTest, WhoRunsTheMostBatchInTheZoneIsAskedForAPlace) {
  Node asking(loop, "a", 1);
  Node little(loop, "a", 2);
  Node much(loop, "b", 3);
  const YieldRequest anywhere{"chat", "a", 0};
  EXPECT_FALSE(asking.loads.ask_for_place(anywhere));
  little.loads.set_peers({{asking.loads.address(), "a"}});
  much.loads.set_peers({{asking.loads.address(), "a"}});
  little.runner("a1").begin_attempt(0, WorkClass::kBatch);
  // What runs in another zone is no place here.
  for (int i = 0; i < 5; ++i) little.runner("b1").begin_attempt(0, WorkClass::kBatch);
  for (int i = 0; i < 2; ++i) much.runner("a1").begin_attempt(0, WorkClass::kBatch);
  little.loads.use_changed();
  run_until([&] { return asking.runner("a1").load(monotonic_now()) > 0.25; });
  EXPECT_TRUE(asking.loads.ask_for_place(anywhere));
  run_until([&] { return !much.asked.empty(); });
  EXPECT_EQ(much.asked.front(), "chat/a");
  EXPECT_TRUE(little.asked.empty());
}

TEST_F(SharedRunnersTest, WhoRunsBatchAtTheRunnerInNeedIsAskedForAPlaceThere) {
  Node asking(loop, "a", 1);
  Node elsewhere(loop, "a", 2);
  Node there(loop, "a", 3);
  const RunnerRecord second{"a2", "chat", "10.0.0.4:80", "a", 10, false};
  for (Node* node : {&asking, &elsewhere, &there}) node->registry.upsert(second);
  elsewhere.loads.set_peers({{asking.loads.address(), "a"}});
  there.loads.set_peers({{asking.loads.address(), "a"}});
  for (int i = 0; i < 5; ++i) elsewhere.runner("a1").begin_attempt(0, WorkClass::kBatch);
  there.runner("a2").begin_attempt(0, WorkClass::kBatch);
  elsewhere.loads.use_changed();
  there.loads.use_changed();
  run_until([&] { return asking.loads.peer_count() == 2; });
  EXPECT_TRUE(asking.loads.ask_for_place({"chat", "a", asking.runner("a2").hash()}));
  run_until([&] { return !there.asked.empty(); });
  EXPECT_TRUE(elsewhere.asked.empty());
}

TEST_F(SharedRunnersTest, UseFromAnotherZoneIsToldOnceAndPassedOn) {
  Node told(loop, "a", 1);
  Node also(loop, "a", 2);
  Node user(loop, "b", 3);
  told.loads.set_peers({{also.loads.address(), "a"}});
  user.loads.set_peers({{told.loads.address(), "a"}});
  for (int i = 0; i < 3; ++i) user.runner("a1").begin_attempt(0, WorkClass::kBatch);
  run_until([&] { return also.runner("a1").load(monotonic_now()) > 0.25; });
  EXPECT_GT(told.runner("a1").load(monotonic_now()), 0.25);
  // Who is asked for a place is the node that runs the items, not the one that passed it on.
  EXPECT_TRUE(also.loads.ask_for_place({"chat", "a", 0}));
  run_until([&] { return !user.asked.empty(); });
  EXPECT_TRUE(told.asked.empty());
}

TEST_F(SharedRunnersTest, NodesThatTheGroupDoesNotListLearnOfOneAnother) {
  // The group lists the members that hold slots; most nodes of a large zone hold none.
  Node listed(loop, "a", 1);
  Node first(loop, "a", 2);
  Node second(loop, "a", 3);
  first.loads.set_peers({{listed.loads.address(), "a"}});
  second.loads.set_peers({{listed.loads.address(), "a"}});
  run_until([&] { return first.loads.peer_count() == 2 && second.loads.peer_count() == 2; });
  first.runner("a1").begin_attempt(700);
  first.loads.use_changed();
  run_until([&] { return second.runner("a1").total_backlog() == 700; });
}

TEST_F(SharedRunnersTest, UseToldBeforeARunnerIsKnownCountsOnceItIs) {
  Node user(loop, "a", 1);
  Node other(loop, "a", 2);
  user.registry.upsert({"late", "chat", "10.0.0.3:80", "a", 10, false});
  user.loads.set_peers({{other.loads.address(), "a"}});
  user.runner("late").begin_attempt(300);
  user.loads.use_changed();
  run_until([&] { return other.loads.peer_count() == 1; });
  other.registry.upsert({"late", "chat", "10.0.0.3:80", "a", 10, false});
  user.runner("late").begin_attempt(400);
  user.loads.use_changed();
  run_until([&] { return other.runner("late").total_backlog() == 700; });
}

TEST_F(SharedRunnersTest, OtherZonesAreToldOfTheLoadHere) {
  Node near(loop, "a", 1);
  Node far(loop, "b", 2);
  Node also_far(loop, "b", 3);
  near.loads.set_peers({{far.loads.address(), "b"}});
  far.loads.set_peers({{also_far.loads.address(), "b"}});
  EXPECT_FALSE(also_far.runner("a1").zone_load_known(monotonic_now()));
  for (int i = 0; i < 6; ++i) near.runner("a1").begin_attempt();
  run_until([&] { return also_far.runner("a1").load(monotonic_now()) > 0.55; });
  EXPECT_TRUE(also_far.runner("a1").zone_load_known(monotonic_now()));
  // What is sent there afterwards comes on top of it.
  also_far.runner("a1").begin_attempt();
  EXPECT_GT(also_far.runner("a1").load(monotonic_now()), 0.65);
}

TEST_F(SharedRunnersTest, ARunnerAtWhichTwoNodesFailedIsLeftAloneByTheOthers) {
  Node first(loop, "a", 1);
  Node second(loop, "a", 2);
  Node third(loop, "a", 3);
  const auto fail = [&](Node& node) {
    node.loads.set_peers({{third.loads.address(), "a"}});
    node.runner("a1").begin_attempt();
    node.runner("a1").end_attempt(AttemptOutcome::kUnreachable, monotonic_now());
    node.loads.use_changed();
  };
  fail(first);
  run_until([&] { return third.loads.peer_count() == 1; });
  EXPECT_FALSE(third.runner("a1").ejected(monotonic_now()));
  fail(second);
  run_until([&] { return third.runner("a1").ejected(monotonic_now()); });
  EXPECT_FALSE(third.runner("b1").ejected(monotonic_now()));
}

TEST_F(SharedRunnersTest, EndsOfRunnersAreToldInTheZoneAndPassedOnInOthers) {
  const ContentHash deadly{7};
  Node first(loop, "a", 1);
  Node second(loop, "a", 2);
  Node far(loop, "b", 3);
  Node also_far(loop, "b", 4);
  std::vector<std::unique_ptr<Quarantine>> quarantines;
  for (Node* node : {&first, &second, &far, &also_far}) {
    quarantines.push_back(std::make_unique<Quarantine>([](std::uint64_t) { return std::nullopt; }));
    node->loads.share_runner_ends(*quarantines.back());
  }
  const auto holds = [&](std::size_t node) {
    return quarantines[node]->holds(deadly, monotonic_now());
  };
  // Seen before any other node is known: told once there is somebody to tell.
  quarantines[0]->note_end({deadly, 11, RunStage::kBegun, monotonic_now()});
  run_until([&, turn = 0]() mutable { return ++turn > 5; });
  first.loads.set_peers({{second.loads.address(), "a"}, {far.loads.address(), "b"}});
  far.loads.set_peers({{also_far.loads.address(), "b"}});
  quarantines[0]->note_end({deadly, 12, RunStage::kBegun, monotonic_now()});
  quarantines[2]->note_end({deadly, 13, RunStage::kBegun, monotonic_now()});
  run_until([&] { return holds(2) && holds(3); });
  quarantines[1]->note_end({deadly, 14, RunStage::kBegun, monotonic_now()});
  run_until([&] { return holds(1); });
}

TEST_F(SharedRunnersTest, DemandIsToldInsideTheZoneAndGrowsOld) {
  Node waiting(loop, "a", 1);
  Node near(loop, "a", 2);
  bool waits = true;
  waiting.loads.set_demand_source([&] {
    return waits ? std::vector<ServiceDemand>{{stable_hash("chat"), 1}}
                 : std::vector<ServiceDemand>{};
  });
  waiting.loads.set_peers({{near.loads.address(), "a"}});
  waiting.loads.use_changed();
  run_until([&] { return near.registry.peers_wait_for("chat"); });
  EXPECT_FALSE(near.registry.peers_wait_for("other"));
  // Nothing more is told, as if the node had died.
  run_until([&] { return !near.registry.peers_wait_for("chat"); });
}

TEST_F(SharedRunnersTest, ANodeWithWorkThatWouldBeLateBorrowsSlotsOfAnotherZone) {
  Node lender(loop, "a", 1);
  Node asked(loop, "a", 2);
  Node borrower(loop, "b", 3);
  const TimePoint long_ago = monotonic_now() - 2 * kLoanLifetime;
  SlotExchange lending(lender.registry, "a", 1, long_ago);
  SlotExchange passing(asked.registry, "a", 2, long_ago);
  SlotExchange borrowing(borrower.registry, "b", 3, long_ago);
  const auto none = [](TimePoint) { return std::vector<WaitingWork>{}; };
  const auto late = [](TimePoint) {
    return std::vector<WaitingWork>{{stable_hash(std::string("chat")), Duration{0}, Duration{0}}};
  };
  lender.loads.share_slots(lending, none);
  asked.loads.share_slots(passing, none);
  borrower.loads.share_slots(borrowing, late);
  borrower.registry.set_lending(true);
  lender.loads.set_peers({{asked.loads.address(), "a"}});
  asked.loads.set_peers({{lender.loads.address(), "a"}});
  // The node that is asked may not be the one that lends at the runner.
  borrower.loads.set_peers({{asked.loads.address(), "a"}});
  borrower.loads.use_changed();
  const auto lent = [](Node& node) { return node.runner("a1").lent(); };
  run_until([&] { return borrower.runner("a1").unused_borrowed(monotonic_now()) == 1; });
  EXPECT_EQ(lent(lender) + lent(asked), 1U);
  // The other node of the zone learns of it by a digest.
  Node& other = lent(lender) == 1 ? asked : lender;
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
  TenantLimits limits;
  PeerLoads loads;
};

// A node that stopped as planned was taken for silent for 20 s, as one that is cut off.
TEST_F(SharedRunnersTest, ANodeThatLeavesIsNotTakenForSilentInAnyZone) {
  LimitedNode leaving(loop, "a", 1);
  LimitedNode near(loop, "a", 2);
  LimitedNode far(loop, "b", 3);
  leaving.loads.set_peers({{near.loads.address(), "a"}, {far.loads.address(), "b"}});
  const auto run_for = [&](Duration time) {
    const TimePoint end = monotonic_now() + time;
    run_until([&] { return monotonic_now() > end; });
  };
  run_for(std::chrono::milliseconds(300));
  // What it admits from now on counts, since it is known.
  const double at_first = near.available();
  for (int i = 0; i < 3; ++i) {
    leaving.limits.admit(leaving.directory.tenants().front(), monotonic_now());
  }
  leaving.loads.use_changed();
  run_until([&] { return near.available() < at_first - 2 && far.available() < at_first - 2; });
  leaving.loads.leave();
  run_for(std::chrono::milliseconds(900));
  EXPECT_EQ(near.limits.silent_nodes(), 0U);
  EXPECT_EQ(far.limits.silent_nodes(), 0U);
}

}  // namespace
}  // namespace stoathold
