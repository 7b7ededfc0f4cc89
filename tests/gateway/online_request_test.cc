#include "gateway/online_request.h"

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace stoathold {
namespace {

using OnlineRequestTest = GatewayFixture;

TEST_F(OnlineRequestTest, WithoutAConfigurationRespondsWithRetryAfter) {
  const CallerView view = ask();
  EXPECT_EQ(view.status, 503);
  EXPECT_FALSE(view.retry_after.empty());
}

TEST_F(OnlineRequestTest, RespondsNotFoundWithoutARoute) {
  configure(RouteKind::kSafe, false);
  EXPECT_EQ(ask("/y/1").status, 404);
}

TEST_F(OnlineRequestTest, RelaysACompleteStream) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + chunk(event(1)) + chunk(event(2)) + kLastChunk}});
  add_runner(runner);
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(1) + event(2));
  EXPECT_NE(runner.requests[0].find("X-Expected-Instance: r1"), std::string::npos);
}

TEST_F(OnlineRequestTest, ResumesABrokenStreamAfterItsLastCompleteEvent) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner breaking(loop, {{stream_head() + chunk(event(1)) + chunk("id: 2\nda"), true}});
  ScriptedRunner resuming(loop, {{stream_head() + chunk(event(2)) + kLastChunk}});
  add_runner(breaking);
  add_runner(resuming);
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(1) + event(2));
  EXPECT_NE(resuming.requests[0].find("Last-Event-Id: 1"), std::string::npos);
}

TEST_F(OnlineRequestTest, AStreamThatBreaksLateWaitsForASlotToResume) {
  configure(RouteKind::kStreaming, true);
  ScriptedResponse late_break(stream_head() + chunk(event(1)), true);
  // Longer than the wait limit of a new request.
  late_break.pause = std::chrono::milliseconds(1700);
  ScriptedRunner breaking(loop, {late_break});
  ScriptedRunner resuming(loop, {{stream_head() + chunk(event(2)) + kLastChunk}});
  add_runner(breaking);
  add_runner(resuming);
  const auto full = context.runners.all().at("r2");
  while (full->in_flight() < 10) full->begin_attempt();
  boost::asio::steady_timer timer(loop, std::chrono::milliseconds(1900));
  timer.async_wait([&](boost::system::error_code) {
    full->end_attempt(AttemptOutcome::kAbandoned, monotonic_now());
    context.placement.capacity_changed();
  });
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(1) + event(2));
}

TEST_F(OnlineRequestTest, ResumesAStreamThatSkipsAnEvent) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner skipping(loop, {{stream_head() + chunk(event(1)) + chunk(event(3)), true}});
  ScriptedRunner resuming(loop, {{stream_head() + chunk(event(2)) + chunk(event(3)) + kLastChunk}});
  add_runner(skipping);
  add_runner(resuming);
  EXPECT_EQ(ask().body, event(1) + event(2) + event(3));
}

// Guards against a runner that exits after the head of an answer without a length or chunks, and
// whose caller gets an empty stream that looks complete.
TEST_F(OnlineRequestTest, AnswerThatEndsWithItsConnectionBeforeAnyEventIsNotComplete) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner exiting(loop, {{unframed_stream_head(), true}});
  ScriptedRunner serving(loop, {{unframed_stream_head() + event(1) + event(2), true}});
  add_runner(exiting);
  add_runner(serving);
  EXPECT_EQ(ask().body, event(1) + event(2));
}

TEST_F(OnlineRequestTest, NoAnswerOfRunnersThatExitAfterTheHeadLooksComplete) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner first(loop, {{unframed_stream_head(), true}});
  ScriptedRunner second(loop, {{unframed_stream_head(), true}});
  add_runner(first);
  add_runner(second);
  EXPECT_EQ(ask().status, 502);
}

// A single empty answer behind the last event may come from a runner that exits.
TEST_F(OnlineRequestTest, ResumptionThatEndsWithItsConnectionNeedsASecondOneToBeComplete) {
  configure(RouteKind::kStreaming, true, 3);
  ScriptedRunner breaking(loop, {{unframed_stream_head() + event(1), false, true}});
  ScriptedRunner exiting(loop, {{unframed_stream_head(), true}});
  ScriptedRunner ended(loop, {{unframed_stream_head(), true}});
  add_runner(breaking);
  add_runner(exiting);
  add_runner(ended);
  EXPECT_EQ(ask().body, event(1));
  EXPECT_EQ(exiting.requests.size() + ended.requests.size(), 2U);
}

// Guards against streams that look complete although their runner exited between two events.
TEST_F(OnlineRequestTest, ResumesAStreamWithoutALengthWhoseRunnerExits) {
  health_path = ScriptedRunner::kHealthPath;
  configure(RouteKind::kStreaming, true);
  ScriptedRunner exiting(loop, {exit_after(unframed_stream_head() + event(1))});
  ScriptedRunner resuming(loop, {{unframed_stream_head() + event(2), true}});
  add_runner(exiting);
  add_runner(resuming);
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(1) + event(2));
  EXPECT_EQ(resuming.probes, 1);
}

TEST_F(OnlineRequestTest, AbortsAStreamThatCannotBeResumedWhenItsRunnerExits) {
  health_path = ScriptedRunner::kHealthPath;
  configure(RouteKind::kStreaming, false, 1);
  ScriptedRunner exiting(loop, {exit_after(unframed_stream_head() + event(1))});
  add_runner(exiting);
  EXPECT_FALSE(ask().complete);
}

// Guards against answers without a length that look complete although their runner exited.
TEST_F(OnlineRequestTest, AbortsAnAnswerWithoutALengthWhoseRunnerExits) {
  health_path = ScriptedRunner::kHealthPath;
  configure(RouteKind::kUnsafe, false, 1);
  ScriptedRunner exiting(loop, {exit_after(unframed_stream_head() + "half of the answer")});
  add_runner(exiting);
  EXPECT_FALSE(ask().complete);
}

// Guards against answers that look complete to callers when this node ends while it relays them.
TEST_F(OnlineRequestTest, SendsAnAnswerWithoutALengthInChunks) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{unframed_stream_head() + event(1), true}});
  add_runner(runner);
  EXPECT_EQ(ask().transfer_encoding, "chunked");
}

// Guards against streams that wait until their deadline for a runner that sends comments without
// end.
TEST_F(OnlineRequestTest, ResumesAStreamWhoseRunnerSendsCommentsWithoutEnd) {
  event_gap_objective = std::chrono::milliseconds(100);
  configure(RouteKind::kStreaming, true);
  ScriptedRunner endless(loop, {without_end(stream_head() + chunk(event(1)), chunk(": c\n\n"))});
  ScriptedRunner resuming(loop, {{stream_head() + chunk(event(2)) + kLastChunk}});
  add_runner(endless);
  add_runner(resuming);
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(resuming.requests.size(), 1U);
}

// Guards against a runner whose event never ends taking the memory of the node.
TEST_F(OnlineRequestTest, AnEventWithoutEndIsLimitedByTheMemoryBudget) {
  memory->set_limit(2UL * 1024 * 1024);
  configure(RouteKind::kStreaming, true);
  ScriptedRunner endless(loop, {without_end(stream_head(), chunk(std::string(60000, 'x')))});
  ScriptedRunner serving(loop, {{stream_head() + chunk(event(1)) + kLastChunk}});
  add_runner(endless);
  add_runner(serving);
  EXPECT_EQ(ask().body, event(1));
  EXPECT_EQ(memory->refusals(MemoryAccount::kResponses), 1U);
  EXPECT_EQ(memory->used(MemoryAccount::kResponses), 0U);
}

TEST_F(OnlineRequestTest, AbortsABrokenStreamThatIsNotResumable) {
  configure(RouteKind::kStreaming, false, 1);
  ScriptedRunner breaking(loop, {{stream_head() + chunk(event(1)), true}});
  ScriptedRunner other(loop, {{stream_head() + chunk(event(2)) + kLastChunk}});
  add_runner(breaking);
  add_runner(other);
  EXPECT_FALSE(ask().complete);
  EXPECT_TRUE(other.requests.empty());
}

TEST_F(OnlineRequestTest, DoesNotResendOrDisclaimAnUnsafeRequest) {
  configure(RouteKind::kUnsafe, false, 3);
  ScriptedRunner closing(loop, {{"", true}});
  ScriptedRunner other(loop, {{plain_response("again")}});
  add_runner(closing);
  add_runner(other);
  EXPECT_EQ(ask().status, 502);
  EXPECT_TRUE(other.requests.empty());
}

TEST_F(OnlineRequestTest, DoesNotRelayARunners503WithoutTheNotRunHeader) {
  configure(RouteKind::kUnsafe, false, 3);
  ScriptedRunner failing(loop, {{plain_response("busy", "{id}", "503 Service Unavailable")}});
  add_runner(failing);
  EXPECT_EQ(ask().status, 502);
}

TEST_F(OnlineRequestTest, SendsARequestThatWasNotRunToAnotherRunner) {
  configure(RouteKind::kUnsafe, false, 1);
  ScriptedRunner full(
      loop, {{plain_response("", "{id}", "503 Service Unavailable", "X-Not-Run: 1\r\n")}});
  ScriptedRunner moved(loop, {{plain_response("", "{id}", "421 Misdirected Request", "")}});
  ScriptedRunner serving(loop, {{plain_response("answer")}});
  add_runner(full);
  add_runner(moved);
  add_runner(serving);
  const CallerView view = ask();
  EXPECT_EQ(view.status, 200);
  EXPECT_EQ(view.body, "answer");
}

TEST_F(OnlineRequestTest, RespondsWithRetryAfterIfNoRunnerRanTheRequest) {
  configure(RouteKind::kUnsafe, false, 1);
  ScriptedRunner moved(loop, {{plain_response("", "{id}", "421 Misdirected Request", "")}});
  add_runner(moved);
  const CallerView view = ask();
  EXPECT_EQ(view.status, 503);
  EXPECT_FALSE(view.retry_after.empty());
}

TEST_F(OnlineRequestTest, DoesNotRelayUnverifiedResponses) {
  configure(RouteKind::kSafe, false, 3);
  ScriptedRunner unsigned_runner(loop, {{plain_response("bad", "{id}", "200 OK", "")}});
  ScriptedRunner encoded(
      loop, {{plain_response("bad", "{id}", "200 OK",
                             "X-Response-Signature: s\r\nContent-Encoding: gzip\r\n")}});
  ScriptedRunner serving(loop, {{plain_response("answer")}});
  add_runner(unsigned_runner);
  add_runner(encoded);
  add_runner(serving);
  EXPECT_EQ(ask().body, "answer");
}

TEST_F(OnlineRequestTest, RelaysARunnersErrorUnchanged) {
  configure(RouteKind::kUnsafe, false, 1);
  ScriptedRunner failing(loop, {{plain_response("mine", "{id}", "500 Internal Server Error")}});
  add_runner(failing);
  const CallerView view = ask();
  EXPECT_EQ(view.status, 500);
  EXPECT_EQ(view.body, "mine");
}

TEST_F(OnlineRequestTest, CancelsTheAttemptIfTheCallerDisconnects) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + chunk(event(1))}});
  add_runner(runner);
  {
    boost::asio::ip::tcp::socket caller(loop);
    std::string host;
    std::uint16_t port = 0;
    split_address(server.address(), host, port);
    caller.connect({boost::asio::ip::make_address(host), port});
    const std::string request =
        "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    for (int step = 0; step < 10000 && context.metrics.first_event.sum_seconds() == 0; ++step) {
      loop.run_one();
    }
  }
  const auto ended = [&] { return context.metrics.requests[{"streaming", "caller_gone"}] == 1; };
  for (int step = 0; step < 10000 && !ended(); ++step) loop.run_one();
  EXPECT_TRUE(ended());
  EXPECT_EQ(context.runners.all().at("r1")->in_flight(), 0U);
}

/// Guards against closing the connection without a response when the deadline passes during an
/// attempt: the attempt that the deadline stopped was counted as having sent its response.
TEST_F(OnlineRequestTest, RespondsAtTheDeadlineDuringAnAttempt) {
  configure(RouteKind::kStreaming, true);
  ScriptedResponse silent("");
  silent.pause = std::chrono::seconds(20);
  ScriptedRunner runner(loop, {silent});
  add_runner(runner);
  deadline_ms = "200";
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.status, 504);
}

TEST_F(OnlineRequestTest, WaitsForTheFirstConfiguration) {
  ScriptedRunner runner(loop, {{stream_head() + chunk(event(1)) + kLastChunk}});
  add_runner(runner);
  boost::asio::steady_timer timer(loop, std::chrono::milliseconds(30));
  timer.async_wait([&](boost::system::error_code) { configure(RouteKind::kStreaming, true); });
  const CallerView view = ask();
  EXPECT_EQ(view.status, 200);
  EXPECT_EQ(view.body, event(1));
}

TEST_F(OnlineRequestTest, ARequestQueuedAtAnOvercommittedRunnerPreemptsBatchThere) {
  configure(RouteKind::kStreaming, true);
  ScriptedResponse silent("");
  silent.pause = std::chrono::seconds(20);
  ScriptedRunner runner(loop, {silent});
  add_runner(runner);
  const Runner* asked = nullptr;
  context.placement.set_yield_handler(
      [&](const std::string&, const Runner* where) { asked = where; });
  boost::asio::co_spawn(loop, call("/x/1"), boost::asio::detached);
  while (runner.requests.empty() && loop.run_one() > 0) {
  }
  context.runners.all().at("r1")->set_peer_use(10, 0);
  while (asked == nullptr && loop.run_one() > 0) {
  }
  EXPECT_EQ(asked, context.runners.all().at("r1").get());
}

TEST_F(OnlineRequestTest, QuarantinesARequestAfterItCrashedThreeRunners) {
  configure(RouteKind::kStreaming, true);
  const ScriptedResponse ends(stream_head(), true);
  std::vector<std::unique_ptr<ScriptedRunner>> runners;
  for (int i = 0; i < 6; ++i) {
    runners.push_back(std::make_unique<ScriptedRunner>(loop, std::vector{ends}));
    add_runner(*runners.back());
  }
  // A crashed runner is removed from the registry before the request is sent again.
  const auto ask_once_more = [&] {
    const CallerView view = ask();
    for (std::size_t i = 0; i < runners.size(); ++i) {
      if (!runners[i]->requests.empty()) context.runners.remove("r" + std::to_string(i + 1));
    }
    return view;
  };
  EXPECT_EQ(ask_once_more().status, 502);
  EXPECT_EQ(ask_once_more().status, 502);
  const CallerView refused = ask_once_more();
  EXPECT_EQ(refused.status, 503);
  EXPECT_NE(refused.body.find("quarantined"), std::string::npos);
  EXPECT_GT(std::stod(refused.retry_after), 500);
  std::size_t sends = 0;
  for (const auto& runner : runners) sends += runner->requests.size();
  EXPECT_EQ(sends, 3U);
}

TEST_F(OnlineRequestTest, ServesOtherRequestsAtThePathOfAQuarantinedOne) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + chunk(event(1)) + kLastChunk}});
  add_runner(runner);
  const auto content = [](const char* text) {
    return content_hash({.tenant = "", .host = kHost, .target = "/x/1", .body = text});
  };
  context.quarantine.apply_record(content("deadly"), {wall_clock_ms(), 3}, monotonic_now(),
                                  wall_clock_ms());
  EXPECT_EQ(ask().status, 200);
  body = "deadly";
  EXPECT_EQ(ask().status, 503);
  EXPECT_EQ(runner.requests.size(), 1U);
}

TEST_F(OnlineRequestTest, RefusesAWaitingRequestOnceItIsQuarantined) {
  configure(RouteKind::kStreaming, true);
  ScriptedRunner runner(loop, {{stream_head() + chunk(event(1)) + kLastChunk}});
  add_runner(runner);
  const auto full = context.runners.all().at("r1");
  while (full->in_flight() < 10) full->begin_attempt();
  std::optional<CallerView> view;
  boost::asio::co_spawn(
      loop, [&]() -> boost::asio::awaitable<void> { view = co_await call("/x/1"); },
      boost::asio::detached);
  while (context.placement.waiting(WorkClass::kOnline) == 0) loop.run_one();
  const ContentHash content =
      content_hash({.tenant = "", .host = kHost, .target = "/x/1", .body = body});
  context.quarantine.apply_record(content, {wall_clock_ms(), 3}, monotonic_now(), wall_clock_ms());
  // Far fewer loop iterations than the hundred in which a wait of 2 s checks for a free slot.
  for (int turn = 0; turn < 50 && !view; ++turn) loop.run_one();
  ASSERT_TRUE(view);
  EXPECT_EQ(view->status, 503);
  EXPECT_TRUE(runner.requests.empty());
}

TEST_F(OnlineRequestTest, AStreamThatBreaksAfterAnEventIsNotEvidenceForQuarantine) {
  configure(RouteKind::kStreaming, false, 1);
  const ScriptedResponse breaks(stream_head() + chunk(event(1)), true);
  std::vector<std::unique_ptr<ScriptedRunner>> runners;
  for (int i = 0; i < 4; ++i) {
    runners.push_back(std::make_unique<ScriptedRunner>(loop, std::vector{breaks}));
    add_runner(*runners.back());
  }
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(ask().complete);
  EXPECT_TRUE(context.quarantine.empty());
  EXPECT_EQ(context.quarantine.suspect_count(), 0U);
}

}  // namespace
}  // namespace stoathold
