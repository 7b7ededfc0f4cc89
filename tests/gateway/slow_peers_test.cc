// Callers that do not read, and runners that do not, behind and before a node with a limit of
// memory.
//
// A caller that does not read used to stop the relay: nothing was read from its runner for up to
// 30 s, so that the runner's place stayed taken, and runners cut answers off that nobody reads for
// some seconds.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kEvents = 60;
constexpr std::size_t kEventBytes = 10000;

std::string long_event(int id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(kEventBytes, 'e') + "\n\n";
}

std::string long_events(int first, int last) {
  std::string events;
  for (int id = first; id <= last; ++id) events += chunk(long_event(id));
  return events;
}

/// Returns the bodies of whole chunks, joined; `complete` is set if the last chunk is among them.
std::string join_chunks(std::string_view text, bool& complete) {
  std::string joined;
  complete = false;
  while (true) {
    const std::size_t line = text.find("\r\n");
    if (line == std::string_view::npos) return joined;
    const std::size_t size = std::stoul(std::string(text.substr(0, line)), nullptr, 16);
    complete = size == 0;
    if (complete || text.size() < line + 4 + size) return joined;
    joined += text.substr(line + 2, size);
    text.remove_prefix(line + 4 + size);
  }
}

class SlowPeersTest : public GatewayFixture {
 protected:
  SlowPeersTest() : caller(loop) {
    constexpr std::uint64_t kBudget = 8UL * 1024 * 1024;
    memory->set_limit(kBudget);
    server.set_bounds({memory.get(), 0, {}});
  }

  /// A caller with a small receive buffer sends a request and reads nothing.
  void send_request() {
    Tcp::endpoint endpoint;
    ASSERT_TRUE(parse_endpoint(server.address(), endpoint));
    constexpr int kReceiveBytes = 8 * 1024;
    caller.open(endpoint.protocol());
    caller.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    caller.connect(endpoint);
    const std::string request =
        "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 60000\r\n"
        "Content-Length: 1\r\n\r\nq";
    asio::write(caller, asio::buffer(request));
  }
  template <typename Condition>
  void run_until(Condition condition) {
    loop.restart();
    const TimePoint end = monotonic_now() + std::chrono::seconds(20);
    while (!condition() && monotonic_now() < end) loop.run_one_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(condition());
  }
  /// The runner has begun its work, and its place is free again.
  void run_until_free(const ScriptedRunner& runner, const std::string& id) {
    run_until(
        [&] { return !runner.requests.empty() && context.runners.all().at(id)->in_flight() == 0; });
  }
  /// Reads until the connection ends, or a whole answer has come.
  asio::awaitable<std::string> read_rest() {
    std::string text;
    std::array<char, 16384> bytes{};
    while (!text.ends_with("\r\n0\r\n\r\n")) {
      const auto [error, count] =
          co_await caller.async_read_some(asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
      if (error) break;
      text.append(bytes.data(), count);
    }
    co_return text;
  }
  std::string read_body(bool& complete) {
    const std::string text = run_awaitable(loop, read_rest());
    return join_chunks(std::string_view(text).substr(text.find("\r\n\r\n") + 4), complete);
  }
  [[nodiscard]] std::uint64_t ended(const std::string& outcome) {
    return context.metrics.requests[{"streaming", outcome}];
  }

  static std::string expected_events() {
    std::string events;
    for (int id = 1; id <= kEvents; ++id) events += long_event(id);
    return events;
  }

  Tcp::socket caller;
};

TEST_F(SlowPeersTest, ARunnersPlaceEndsWithItsWork) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + long_events(1, kEvents) + kLastChunk}});
  add_runner(runner);
  send_request();
  run_until_free(runner, "r1");
  EXPECT_GT(memory->used(MemoryAccount::kAnswers), 0U);
  EXPECT_EQ(ended("served"), 0U);
  bool complete = false;
  EXPECT_EQ(read_body(complete), expected_events());
  EXPECT_TRUE(complete);
  run_until([&] { return ended("served") == 1; });
  EXPECT_EQ(memory->used(MemoryAccount::kAnswers), 0U);
}

TEST_F(SlowPeersTest, AStreamThatBreaksWhileItsCallerIsSlowGoesOnInOrder) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner breaking(loop, {{stream_head() + long_events(1, 30) + chunk("id: 31\nda"), true}});
  ScriptedRunner taking_up(loop, {{stream_head() + long_events(31, kEvents) + kLastChunk}});
  add_runner(breaking);
  add_runner(taking_up);
  send_request();
  run_until([&] {
    return !taking_up.requests.empty() && context.runners.all().at("r2")->in_flight() == 1;
  });
  EXPECT_NE(taking_up.requests[0].find("Last-Event-Id: 30"), std::string::npos);
  bool complete = false;
  EXPECT_EQ(read_body(complete), expected_events());
  EXPECT_TRUE(complete);
}

TEST_F(SlowPeersTest, AnAnswerThatEndsEarlyDoesNotLookWhole) {
  configure(RouteKind::kStreaming, false);
  ScriptedRunner breaking(loop, {{stream_head() + long_events(1, kEvents), true}});
  add_runner(breaking);
  send_request();
  run_until_free(breaking, "r1");
  bool complete = false;
  // What came whole is delivered all the same.
  EXPECT_EQ(read_body(complete), expected_events());
  EXPECT_FALSE(complete);
  run_until([&] { return ended("broken_off") == 1; });
}

TEST_F(SlowPeersTest, ACallerThatGoesWhileOnlyItsBacklogIsLeftIsNoticed) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + long_events(1, kEvents) + kLastChunk}});
  add_runner(runner);
  send_request();
  run_until_free(runner, "r1");
  caller.close();
  run_until([&] { return ended("caller_gone") == 1; });
  EXPECT_EQ(memory->used(MemoryAccount::kAnswers), 0U);
}

// A slow caller's stream delays nobody: others are served while it waits.
TEST_F(SlowPeersTest, OthersAreServedMeanwhile) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + long_events(1, kEvents) + kLastChunk},
                               {stream_head() + chunk(event(1)) + chunk(event(2)) + kLastChunk}});
  slots = 1;
  add_runner(runner);
  send_request();
  run_until_free(runner, "r1");
  for (int other = 0; other < 3; ++other) {
    const CallerView view = ask();
    EXPECT_TRUE(view.complete);
    EXPECT_EQ(view.body, event(1) + event(2));
  }
  EXPECT_EQ(ended("served"), 3U);
}

// A body that its runner does not read ends when the runner has been silent for too long, and goes
// to another one if it may.
TEST_F(SlowPeersTest, ARunnerThatDoesNotReadIsGivenUp) {
  configure(RouteKind::kSafe, false);
  auto changed = std::make_shared<ServingConfiguration>(*context.configuration);
  changed->routes[0].latency_objective = std::chrono::milliseconds(200);
  context.configuration = changed;
  Tcp::acceptor not_reading(loop, {asio::ip::make_address("127.0.0.1"), 0});
  ScriptedRunner reading(loop, {{plain_answer("done")}});
  const std::string address = "127.0.0.1:" + std::to_string(not_reading.local_endpoint().port());
  context.runners.upsert({"r1", "chat", address, "zone", slots, false});
  context.runners.upsert({"r2", "chat", reading.address(), "zone", slots, false});
  context.runners.all().at("r2")->begin_attempt();
  body.assign(1000000, 'b');
  const CallerView view = ask();
  EXPECT_EQ(view.status, 200);
  EXPECT_EQ(view.body, "done");
  EXPECT_EQ(context.runners.all().at("r1")->in_flight(), 0U);
  EXPECT_EQ(memory->used(MemoryAccount::kRequestBodies), 0U);
}

}  // namespace
}  // namespace stoathold
