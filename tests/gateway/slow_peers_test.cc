// Callers and runners that do not read, with a memory budget at the node.
//
// Guards against a relay that stops reading from the runner while the caller does not read: for up
// to 30 s the runner's slot stayed taken, and runners abort responses that are not read for some
// seconds.
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

/// Returns the concatenated bodies of the complete chunks; `complete` tells whether the last chunk
/// is among them.
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
    server.set_resource_limits({memory.get(), 0, {}});
  }

  /// Sends a request from a caller with a small receive buffer, without reading the response.
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
  /// Runs until the runner has received a request and its slot is free again.
  void run_until_released(const ScriptedRunner& runner, const std::string& id) {
    run_until(
        [&] { return !runner.requests.empty() && context.runners.all().at(id)->in_flight() == 0; });
  }
  /// Reads until the connection ends or a complete response has arrived.
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

TEST_F(SlowPeersTest, ReleasesTheSlotWhenTheRunnerIsDone) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + long_events(1, kEvents) + kLastChunk}});
  add_runner(runner);
  send_request();
  run_until_released(runner, "r1");
  EXPECT_GT(memory->used(MemoryAccount::kResponses), 0U);
  EXPECT_EQ(ended("served"), 0U);
  bool complete = false;
  EXPECT_EQ(read_body(complete), expected_events());
  EXPECT_TRUE(complete);
  run_until([&] { return ended("served") == 1; });
  EXPECT_EQ(memory->used(MemoryAccount::kResponses), 0U);
}

TEST_F(SlowPeersTest, ResumesABrokenStreamInOrderForASlowCaller) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner breaking(loop, {{stream_head() + long_events(1, 30) + chunk("id: 31\nda"), true}});
  ScriptedRunner resuming(loop, {{stream_head() + long_events(31, kEvents) + kLastChunk}});
  add_runner(breaking);
  add_runner(resuming);
  send_request();
  run_until([&] {
    return !resuming.requests.empty() && context.runners.all().at("r2")->in_flight() == 1;
  });
  EXPECT_NE(resuming.requests[0].find("Last-Event-Id: 30"), std::string::npos);
  bool complete = false;
  EXPECT_EQ(read_body(complete), expected_events());
  EXPECT_TRUE(complete);
}

TEST_F(SlowPeersTest, AResponseThatEndsEarlyIsIncompleteForTheCaller) {
  configure(RouteKind::kStreaming, false);
  ScriptedRunner breaking(loop, {{stream_head() + long_events(1, kEvents), true}});
  add_runner(breaking);
  send_request();
  run_until_released(breaking, "r1");
  bool complete = false;
  // The complete events are delivered nevertheless.
  EXPECT_EQ(read_body(complete), expected_events());
  EXPECT_FALSE(complete);
  run_until([&] { return ended("broken_off") == 1; });
}

TEST_F(SlowPeersTest, NoticesADisconnectWhileSendingTheBacklog) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + long_events(1, kEvents) + kLastChunk}});
  add_runner(runner);
  send_request();
  run_until_released(runner, "r1");
  caller.close();
  run_until([&] { return ended("caller_gone") == 1; });
  EXPECT_EQ(memory->used(MemoryAccount::kResponses), 0U);
}

// A slow caller's stream does not delay other callers.
TEST_F(SlowPeersTest, ServesOtherCallersMeanwhile) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + long_events(1, kEvents) + kLastChunk},
                               {stream_head() + chunk(event(1)) + chunk(event(2)) + kLastChunk}});
  slots = 1;
  add_runner(runner);
  send_request();
  run_until_released(runner, "r1");
  for (int other = 0; other < 3; ++other) {
    const CallerView view = ask();
    EXPECT_TRUE(view.complete);
    EXPECT_EQ(view.body, event(1) + event(2));
  }
  EXPECT_EQ(ended("served"), 3U);
}

// If a runner does not read the request body, the attempt ends with the silence timeout, and a
// repeatable request is sent to another runner.
TEST_F(SlowPeersTest, RetriesElsewhereIfARunnerDoesNotRead) {
  configure(RouteKind::kSafe, false);
  auto changed = std::make_shared<ServingConfiguration>(*context.configuration);
  changed->routes[0].latency_objective = std::chrono::milliseconds(200);
  context.configuration = changed;
  Tcp::acceptor not_reading(loop, {asio::ip::make_address("127.0.0.1"), 0});
  ScriptedRunner reading(loop, {{plain_response("done")}});
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
