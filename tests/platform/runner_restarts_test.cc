// Restarts of runners under the same id. `born` in a runner's entry distinguishes the instances,
// and a new instance must not inherit state. When all state was keyed by the id alone, a new
// instance inherited its predecessor's requests in flight, load, ejection, leaving mark, idle
// connections and the exits attributed to requests. A request with which every instance of one
// runner exited was never quarantined: each exit overwrote the previous one, and a response of the
// new instance cleared it. Conversely, a runner whose entry expired during a store outage was
// treated as a new runner, and its requests in flight were lost.
#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "platform/store_sinks.h"
#include "routing/peer_use_table.h"
#include "routing/runner_selector.h"
#include "tests/gateway/gateway_fixture.h"

namespace stoathold::platform {
namespace {

constexpr std::uint64_t kFirstStart = 1764720000000;
constexpr std::uint64_t kSecondStart = kFirstStart + 5000;

class RunnerRestartsTest : public GatewayFixture {
 protected:
  RunnerRestartsTest() { sink.on_caught_up(); }

  void list(const std::string& id, std::uint64_t born, const std::string& more = "",
            const std::string& address = "10.0.0.1:80") {
    sink.apply({offset++, id, entry(born, more, address)});
  }
  static std::string entry(std::uint64_t born, const std::string& more = "",
                           const std::string& address = "10.0.0.1:80") {
    return R"({"service":"chat","address":")" + address +
           R"(","zone":"zone","slots":4,"state":"ready","born":)" + std::to_string(born) + more +
           "}";
  }
  void drop(const std::string& id) { sink.apply({offset++, id, ""}); }
  std::shared_ptr<Runner> runner(const std::string& id) { return context.runners.all().at(id); }
  static void fail_until_ejected(Runner& runner) {
    for (int i = 0; i < 2; ++i) {
      runner.begin_attempt();
      runner.end_attempt(AttemptOutcome::kUnreachable, monotonic_now());
    }
  }
  /// Lists a new instance as soon as the runner has received a request.
  boost::asio::awaitable<void> restart_after_first_request(ScriptedRunner& scripted) {
    boost::asio::steady_timer timer(loop);
    while (scripted.requests.empty()) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    list("r1", kSecondStart, "", scripted.address());
  }

  RunnerSink sink{context};
  RecordOffset offset = 0;
};

TEST_F(RunnerRestartsTest, RestartedRunnerInheritsNoState) {
  list("r1", kFirstStart);
  const auto before = runner("r1");
  fail_until_ejected(*before);
  before->record_receive(monotonic_now());
  fail_until_ejected(*before);
  before->begin_attempt(1000, WorkClass::kBatch);
  before->apply_load_report({4, 3, 4}, monotonic_now());
  before->apply_zone_load(2, monotonic_now());
  before->set_peer_use(3, 500, 1);
  before->apply_peer_response_counts(7, {5, 0}, monotonic_now());
  before->reserve_for_others(monotonic_now() + std::chrono::hours(1), monotonic_now());
  before->mark_leaving();
  list("r1", kSecondStart);
  const auto after = runner("r1");
  const TimePoint now = monotonic_now();
  EXPECT_NE(after->hash(), before->hash());
  EXPECT_TRUE(after->available());
  EXPECT_FALSE(after->ejected(now));
  EXPECT_FALSE(after->has_high_error_rate(now));
  EXPECT_EQ(after->in_flight(), 0U);
  EXPECT_EQ(after->total_backlog(), 0U);
  EXPECT_EQ(after->preemptible(), 0U);
  EXPECT_EQ(after->load(now), 0);
  EXPECT_FALSE(after->zone_load_known(now));
  EXPECT_EQ(after->last_receive_time(), TimePoint{});
  EXPECT_FALSE(before->available());
  EXPECT_EQ(context.runners.for_service("chat").size(), 1U);
}

TEST_F(RunnerRestartsTest, AttemptsAtOlderInstanceDoNotAffectNewInstance) {
  list("r1", kFirstStart);
  const auto before = runner("r1");
  before->begin_attempt();
  before->begin_attempt();
  list("r1", kSecondStart);
  for (int i = 0; i < 2; ++i) before->end_attempt(AttemptOutcome::kUnreachable, monotonic_now());
  EXPECT_EQ(runner("r1")->in_flight(), 0U);
  EXPECT_FALSE(runner("r1")->ejected(monotonic_now()));
}

TEST_F(RunnerRestartsTest, UpdateOfSameInstanceKeepsState) {
  list("r1", kFirstStart, R"(,"sequence":40)");
  const auto before = runner("r1");
  before->begin_attempt();
  list("r1", kFirstStart, R"(,"sequence":3,"version":"2")");
  EXPECT_EQ(runner("r1"), before);
  EXPECT_EQ(runner("r1")->in_flight(), 1U);
}

TEST_F(RunnerRestartsTest, NewestEntryWinsEvenIfClockStepsBack) {
  list("r1", kSecondStart);
  const auto before = runner("r1");
  before->begin_attempt();
  list("r1", kFirstStart);
  EXPECT_NE(runner("r1")->hash(), before->hash());
  EXPECT_EQ(runner("r1")->in_flight(), 0U);
  // A reset with the newest records has the same effect as applying them one by one.
  sink.reset({{offset, "r1", entry(kSecondStart)}}, offset + 1);
  ++offset;
  EXPECT_EQ(runner("r1")->hash(), before->hash());
}

TEST_F(RunnerRestartsTest, PeerReportsAboutOlderInstanceDoNotAffectNewInstance) {
  list("r1", kFirstStart);
  const std::uint64_t older = runner("r1")->hash();
  PeerUseTable uses(context.runners, "zone", 1);
  const auto digest = [&](std::uint64_t sequence, std::uint64_t hash) {
    LoadDigest digest_message;
    digest_message.sender = 2;
    digest_message.sequence = sequence;
    digest_message.zone = stable_hash("zone");
    digest_message.uses = {{hash, 4, 2, 900, 5}};
    return digest_message;
  };
  uses.apply(digest(1, older), {}, {}, monotonic_now());
  EXPECT_EQ(runner("r1")->preemptible(), 2U);
  list("r1", kSecondStart);
  uses.apply(digest(2, older), {}, {}, monotonic_now());
  EXPECT_EQ(context.runners.find_by_hash(older), nullptr);
  EXPECT_EQ(runner("r1")->preemptible(), 0U);
  EXPECT_EQ(runner("r1")->total_backlog(), 0U);
  EXPECT_EQ(runner("r1")->last_receive_time(), TimePoint{});
  uses.apply(digest(3, runner("r1")->hash()), {}, {}, monotonic_now());
  EXPECT_EQ(runner("r1")->preemptible(), 2U);
}

TEST_F(RunnerRestartsTest, RequestThatEndsEveryInstanceIsQuarantined) {
  constexpr auto kContent = ContentHash{77};
  // Number of exits after the response started that quarantines a request.
  constexpr std::uint64_t kStarts = 3;
  for (std::uint64_t start = 0; start < kStarts; ++start) {
    EXPECT_FALSE(context.quarantine.contains(kContent, monotonic_now()));
    list("r1", kFirstStart + start);
    const auto ended = runner("r1");
    ended->record_receive(monotonic_now());
    context.quarantine.record_runner_exit(
        {kContent, ended->hash(), RunStage::kResponseStarted, monotonic_now()});
    // The next instance responds under the same id before its entry arrives.
    ended->record_receive(monotonic_now() + std::chrono::milliseconds(1));
  }
  EXPECT_TRUE(context.quarantine.contains(kContent, monotonic_now()));
}

TEST_F(RunnerRestartsTest, IdleConnectionToOlderInstanceIsNotReused) {
  configure(RouteKind::kSafe, false);
  ScriptedRunner scripted(loop, {{plain_response("answer", "{id}", "200 OK",
                                                 "X-Response-Signature: s\r\n"
                                                 "Keep-Alive: timeout=60\r\n")}});
  list("r1", kFirstStart, "", scripted.address());
  EXPECT_EQ(ask().status, 200);
  EXPECT_EQ(ask().status, 200);
  EXPECT_EQ(scripted.connections, 1);
  list("r1", kSecondStart, "", scripted.address());
  EXPECT_FALSE(context.idle_connection_predicate()(*runner("r1")));
  EXPECT_EQ(ask().status, 200);
  EXPECT_EQ(scripted.connections, 2);
}

TEST_F(RunnerRestartsTest, RetryableRequestIsRetriedAtNewInstance) {
  configure(RouteKind::kSafe, false);
  ScriptedRunner scripted(loop, {{"", true}, {plain_response("answer")}});
  list("r1", kFirstStart, "", scripted.address());
  boost::asio::co_spawn(loop, restart_after_first_request(scripted), boost::asio::detached);
  const CallerView view = ask();
  EXPECT_EQ(view.status, 200);
  EXPECT_EQ(view.body, "answer");
}

TEST_F(RunnerRestartsTest, UnsafeRequestIsNotRetriedAtNewInstance) {
  configure(RouteKind::kUnsafe, false, 3);
  ScriptedRunner scripted(loop, {{"", true}, {plain_response("again")}});
  list("r1", kFirstStart, "", scripted.address());
  boost::asio::co_spawn(loop, restart_after_first_request(scripted), boost::asio::detached);
  EXPECT_EQ(ask().status, 502);
  EXPECT_EQ(scripted.requests.size(), 1U);
}

TEST_F(RunnerRestartsTest, StreamResumesAtNewInstance) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner scripted(loop, {{stream_head() + chunk(event(1)), true},
                                 {stream_head() + chunk(event(2)) + kLastChunk}});
  list("r1", kFirstStart, "", scripted.address());
  boost::asio::co_spawn(loop, restart_after_first_request(scripted), boost::asio::detached);
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(1) + event(2));
  ASSERT_EQ(scripted.requests.size(), 2U);
  EXPECT_NE(scripted.requests[1].find("Last-Event-Id: 1"), std::string::npos);
}

TEST_F(RunnerRestartsTest, ReappearingInstanceKeepsState) {
  list("r1", kFirstStart);
  const auto before = runner("r1");
  before->begin_attempt();
  fail_until_ejected(*before);
  drop("r1");
  EXPECT_TRUE(context.runners.for_service("chat").empty());
  list("r1", kFirstStart);
  EXPECT_EQ(runner("r1")->in_flight(), 1U);
  EXPECT_TRUE(runner("r1")->ejected(monotonic_now()));
  // The same holds for resets, one while the entry is absent and one after it is back.
  sink.reset({}, offset);
  EXPECT_TRUE(context.runners.for_service("chat").empty());
  sink.reset({{offset, "r1", entry(kFirstStart)}}, offset + 1);
  ++offset;
  EXPECT_EQ(runner("r1")->in_flight(), 1U);
}

TEST_F(RunnerRestartsTest, RelistedInstanceIsNotLeaving) {
  list("r1", kFirstStart);
  runner("r1")->mark_leaving();
  drop("r1");
  list("r1", kFirstStart);
  EXPECT_TRUE(runner("r1")->available());
}

TEST_F(RunnerRestartsTest, NewInstanceAfterLapsedEntryInheritsNoState) {
  list("r1", kFirstStart);
  runner("r1")->begin_attempt();
  const auto before = runner("r1");
  drop("r1");
  list("r1", kSecondStart);
  EXPECT_EQ(runner("r1")->in_flight(), 0U);
  EXPECT_NE(runner("r1"), before);
}

TEST_F(RunnerRestartsTest, RestartDoesNotMovePrefixesOfOtherRunners) {
  constexpr std::uint64_t kKeys = 200;
  const auto warm_runners = [&] {
    std::vector<std::string> chosen;
    for (std::uint64_t key = 1; key <= kKeys; ++key) {
      SelectionRequest request;
      request.service = "chat";
      request.zone = "zone";
      request.affinity_key = mix_hashes(key, key);
      request.prompt_tokens = 100000;
      request.shared_prefix_tokens = 100000;
      chosen.push_back(
          select_runner(context.runners, request, monotonic_now()).runner->record().id);
    }
    return chosen;
  };
  for (const char* id : {"r1", "r2", "r3", "r4"}) list(id, kFirstStart);
  const auto before = warm_runners();
  list("r2", kSecondStart);
  EXPECT_EQ(warm_runners(), before);
}

}  // namespace
}  // namespace stoathold::platform
