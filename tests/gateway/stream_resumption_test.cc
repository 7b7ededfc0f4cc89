#include "gateway/stream_resumption.h"

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"
#include "tests/gateway/suspended_clock.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAtOnce = milliseconds(300);

/// Two versions of a service; the streams of the first attempt break after one event.
class StreamResumptionTest : public GatewayFixture {
 protected:
  StreamResumptionTest() { configure(RouteKind::kStreaming, true); }

  static ScriptedResponse broken_stream() { return {stream_head() + chunk(event(1)), true}; }
  static ScriptedResponse rest_of_stream() {
    return {stream_head() + chunk(event(2)) + kLastChunk};
  }

  /// Begins a stream that breaks after its first event.
  void begin_stream() {
    configure(RouteKind::kStreaming, true, 1);
    EXPECT_FALSE(ask().complete);
  }

  CallerView resume(const std::string& resumes, const std::string& last_event = "1") {
    id = "id-2";
    more_headers = {{"Last-Event-Id", last_event}};
    if (!resumes.empty()) more_headers.push_back({"X-Resumes", resumes});
    const TimePoint begin = monotonic_now();
    CallerView view = ask();
    duration = monotonic_now() - begin;
    return view;
  }

  void drain(const std::string& runner) {
    RunnerRecord record = context.runners.all().at(runner)->record();
    record.draining = true;
    context.runners.upsert(std::move(record));
    context.placement.drop_obsolete();
  }

  Duration duration{0};
};

TEST_F(StreamResumptionTest, AnswerGoesOnAtItsVersion) {
  ScriptedRunner first(loop, {broken_stream()});
  ScriptedRunner other(loop, {rest_of_stream()});
  ScriptedRunner second(loop, {rest_of_stream()});
  add_runner(first, "v1");
  add_runner(other, "v2");
  add_runner(second, "v1");
  const CallerView view = ask();
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(1) + event(2));
  EXPECT_TRUE(other.requests.empty());
  EXPECT_EQ(second.requests.size(), 1U);
}

TEST_F(StreamResumptionTest, AnswerEndsAtOnceWithoutAnotherRunnerOfItsVersion) {
  ScriptedResponse slow = broken_stream();
  slow.pause = milliseconds(150);
  ScriptedRunner first(loop, {slow});
  ScriptedRunner other(loop, {rest_of_stream()});
  add_runner(first, "v1");
  add_runner(other, "v2");
  boost::asio::steady_timer timer(loop, milliseconds(50));
  timer.async_wait([&](boost::system::error_code) { drain("r1"); });
  const TimePoint begin = monotonic_now();
  const CallerView view = ask();
  EXPECT_LT(monotonic_now() - begin, milliseconds(150) + kAtOnce);
  EXPECT_FALSE(view.complete);
  EXPECT_TRUE(other.requests.empty());
}

TEST_F(StreamResumptionTest, CallerResumesAtTheRecordedVersion) {
  ScriptedRunner other(loop, {rest_of_stream()});
  ScriptedRunner first(loop, {broken_stream(), rest_of_stream()});
  add_runner(first, "v1");
  begin_stream();
  add_runner(other, "v2");
  for (int i = 0; i < 5; ++i) context.runners.all().at("r1")->begin_attempt();
  const CallerView view = resume("id-1");
  EXPECT_TRUE(view.complete);
  EXPECT_EQ(view.body, event(2));
  EXPECT_TRUE(other.requests.empty());
  EXPECT_NE(first.requests[1].find("Last-Event-Id: 1"), std::string::npos);
  EXPECT_EQ(context.metrics.resumptions.at("recorded"), 1U);
}

TEST_F(StreamResumptionTest, RefusesAResumptionOfUnknownOriginAtOnce) {
  ScriptedRunner first(loop, {rest_of_stream()});
  ScriptedRunner other(loop, {rest_of_stream()});
  add_runner(first, "v1");
  add_runner(other, "v2");
  for (const std::string& resumes :
       {std::string("unknown"), std::string(), std::string(5000, 'x')}) {
    for (const char* last_event : {"0", "1"}) {
      const CallerView view = resume(resumes, last_event);
      EXPECT_EQ(view.status, 503);
      EXPECT_EQ(view.retry_after, "0.00");
      EXPECT_LT(duration, kAtOnce);
    }
  }
  EXPECT_TRUE(first.requests.empty());
  EXPECT_TRUE(other.requests.empty());
}

TEST_F(StreamResumptionTest, RefusesAResumptionWithoutARunnerOfItsVersionAtOnce) {
  ScriptedRunner first(loop, {broken_stream(), rest_of_stream()});
  ScriptedRunner other(loop, {rest_of_stream()});
  add_runner(first, "v1");
  begin_stream();
  add_runner(other, "v2");
  drain("r1");
  EXPECT_EQ(resume("id-1").status, 503);
  EXPECT_LT(duration, kAtOnce);
  EXPECT_TRUE(other.requests.empty());
}

TEST_F(StreamResumptionTest, WaitingResumptionIsRefusedWhenTheLastRunnerOfItsVersionLeaves) {
  ScriptedRunner first(loop, {broken_stream(), rest_of_stream()});
  ScriptedRunner other(loop, {rest_of_stream()});
  add_runner(first, "v1");
  begin_stream();
  add_runner(other, "v2");
  const auto full = context.runners.all().at("r1");
  while (full->in_flight() < slots) full->begin_attempt();
  boost::asio::steady_timer timer(loop, milliseconds(100));
  timer.async_wait([&](boost::system::error_code) { drain("r1"); });
  EXPECT_EQ(resume("id-1").status, 503);
  EXPECT_LT(duration, milliseconds(100) + kAtOnce);
  EXPECT_TRUE(other.requests.empty());
}

/// A request for the same service that waits for one version does not hold up the others.
TEST_F(StreamResumptionTest, WaitingResumptionDoesNotBlockNewStreams) {
  ScriptedRunner first(loop, {broken_stream(), rest_of_stream()});
  ScriptedRunner other(loop, {{stream_head() + chunk(event(1)) + kLastChunk}});
  add_runner(first, "v1");
  begin_stream();
  add_runner(other, "v2");
  const auto old_runner = context.runners.all().at("r1");
  const auto new_runner = context.runners.all().at("r2");
  while (old_runner->in_flight() < slots) old_runner->begin_attempt();
  while (new_runner->in_flight() < slots) new_runner->begin_attempt();
  id = "id-2";
  more_headers = {{"Last-Event-Id", "1"}, {"X-Resumes", "id-1"}};
  boost::asio::co_spawn(loop, call("/x/1"), boost::asio::detached);
  boost::asio::steady_timer timer(loop, milliseconds(50));
  timer.async_wait([&](boost::system::error_code) {
    more_headers.clear();
    id = "id-3";
    boost::asio::co_spawn(loop, call("/x/1"), [](std::exception_ptr, const CallerView&) {});
  });
  boost::asio::steady_timer free_slot(loop, milliseconds(100));
  free_slot.async_wait([&](boost::system::error_code) {
    new_runner->end_attempt(AttemptOutcome::kAbandoned, monotonic_now());
    context.placement.capacity_changed();
  });
  const TimePoint end = monotonic_now() + milliseconds(1000);
  while (other.requests.empty() && monotonic_now() < end) loop.run_one_for(milliseconds(20));
  ASSERT_EQ(other.requests.size(), 1U);
  EXPECT_NE(other.requests[0].find("id-3"), std::string::npos);
}

TEST_F(StreamResumptionTest, RefusesAMalformedPosition) {
  ScriptedRunner first(loop, {rest_of_stream()});
  add_runner(first, "v1");
  for (const char* last_event : {"one", "-1", "1 2", "99999999999999999999999"}) {
    EXPECT_EQ(resume("id-1", last_event).status, 400) << last_event;
  }
  EXPECT_TRUE(first.requests.empty());
}

/// The only version that served for as long as a stream can live must have begun it.
TEST_F(StreamResumptionTest, ResumesUnknownStreamWhileOneVersionServes) {
  ScriptedRunner first(loop, {rest_of_stream()});
  context.runner_list_confirmer = []() -> boost::asio::awaitable<bool> { co_return true; };
  add_runner(first, "v1");
  context.runners.restart_version_history();
  EXPECT_EQ(resume("").status, 503);
  suspend_machine(context.origins.stream_lifetime() + milliseconds(1));
  EXPECT_EQ(resume("").body, event(2));
  EXPECT_EQ(context.metrics.resumptions.at("sole_version"), 1U);
}

TEST_F(StreamResumptionTest, RefusesUnknownStreamWhileTheListOfRunnersIsUnconfirmed) {
  ScriptedRunner first(loop, {rest_of_stream()});
  context.runner_list_confirmer = []() -> boost::asio::awaitable<bool> { co_return false; };
  add_runner(first, "v1");
  context.runners.restart_version_history();
  suspend_machine(context.origins.stream_lifetime() + milliseconds(1));
  EXPECT_EQ(resume("").status, 503);
  EXPECT_TRUE(first.requests.empty());
}

/// The node that began the stream may have read the newer list first.
TEST_F(StreamResumptionTest, RefusesUnknownStreamIfTheConfirmedListHasASecondVersion) {
  ScriptedRunner first(loop, {rest_of_stream()});
  ScriptedRunner other(loop, {rest_of_stream()});
  add_runner(first, "v1");
  context.runners.restart_version_history();
  context.runner_list_confirmer = [&]() -> boost::asio::awaitable<bool> {
    add_runner(other, "v2");
    co_return true;
  };
  suspend_machine(context.origins.stream_lifetime() + milliseconds(1));
  EXPECT_EQ(resume("").status, 503);
  EXPECT_TRUE(first.requests.empty());
  EXPECT_TRUE(other.requests.empty());
}

TEST(StreamKeyTest, DependsOnTenantHostAndAttempt) {
  const StreamKey key = stream_key("t1", "h1", "a1");
  EXPECT_EQ(key, stream_key("t1", "h1", "a1"));
  EXPECT_NE(key, stream_key("t2", "h1", "a1"));
  EXPECT_NE(key, stream_key("t1", "h2", "a1"));
  EXPECT_NE(key, stream_key("t1", "h1", "a2"));
}

}  // namespace
}  // namespace stoathold
