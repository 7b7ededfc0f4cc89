#include "jobs/item_run.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

// Guards against estimating the remaining events from tokens: an event has several tokens, so the
// remaining time is overestimated and every item counts as late from the start.
TEST(ItemRunTest, RemainingTimeIsEstimatedInEvents) {
  boost::asio::io_context loop;
  GatewayContext context(loop.get_executor(), HeaderDialect{}, "zone");
  context.response_durations.observe_gap("", std::chrono::milliseconds(34));
  context.response_durations.observe_response("", TokenCount{1420}, EventCount{142});
  ItemRequest request;
  request.headers = {{context.dialect.token_usage, "350,1420"}};
  ItemProgress progress;
  progress.last_event = 42;
  const auto run =
      std::make_shared<ItemRun>(context, ItemContext{}, request, progress, Duration{0});
  EXPECT_EQ(run->schedule().remaining, std::chrono::milliseconds(100 * 34));
}

/// Runs an item whose route is missing from the node's configuration. `log_status` decides whether
/// the store confirms that the configuration is current.
class ItemWithoutRoute {
 public:
  ItemWithoutRoute(boost::asio::io_context& loop, LogStatus log_status)
      : context_(loop.get_executor(), HeaderDialect{}, "zone"),
        confirmation_(
            {[] { return ConfigurationPosition(); },
             [log_status]() -> boost::asio::awaitable<LogStatus> { co_return log_status; },
             []() -> boost::asio::awaitable<bool> { co_return false; }}),
        run_(std::make_shared<ItemRun>(context_, ItemContext{}, ItemRequest{}, ItemProgress{},
                                       Duration{0})) {
    context_.configuration = std::make_shared<const ServingConfiguration>();
    context_.confirmation = &confirmation_;
    boost::asio::co_spawn(loop, run_->run(),
                          [this](std::exception_ptr, std::optional<ItemResult> result) {
                            given_up_ = result && result->state == ItemState::kDeadLettered;
                          });
  }
  ~ItemWithoutRoute() { run_->stop(); }

  [[nodiscard]] bool given_up() const { return given_up_; }

 private:
  GatewayContext context_;
  ConfigurationConfirmation confirmation_;
  std::shared_ptr<ItemRun> run_;
  bool given_up_ = false;
};

// Guards against dead-lettering the items of a newly added route on a node whose configuration does
// not contain the route yet.
TEST(ItemRunTest, ItemWithoutRouteIsDeadLetteredOnlyIfTheConfigurationIsConfirmed) {
  boost::asio::io_context loop;
  ItemWithoutRoute confirmed(loop, LogStatus::kOk);
  ItemWithoutRoute unconfirmed(loop, LogStatus::kUnknown);
  loop.run_for(std::chrono::milliseconds(6500));
  EXPECT_TRUE(confirmed.given_up());
  EXPECT_FALSE(unconfirmed.given_up());
}

/// Items whose text was begun by the software version v1 of a service with two runners.
class ItemOfVersionTest : public testing::Test {
 protected:
  ItemOfVersionTest() {
    ServingConfiguration configuration;
    Route route;
    route.host = "a.example";
    route.path_prefix = "/x/";
    route.kind = RouteKind::kBatch;
    route.services = {{"chat", 1}};
    route.max_attempts = 2;
    configuration.routes.push_back(route);
    configuration.services["chat"] = {.name = "chat", .health_path = ScriptedRunner::kHealthPath};
    context.configuration = std::make_shared<const ServingConfiguration>(configuration);
    progress.last_event = 1;
    progress.text = "e1";
    progress.origin = StreamOrigin{stable_hash("chat"), software_version("v1")};
  }

  void add_runner(const std::string& id, const ScriptedRunner& runner, const std::string& version) {
    RunnerRecord record{id, "chat", runner.address(), "zone", 4, false};
    record.software_version = version;
    context.runners.upsert(std::move(record));
    // Runners that were added earlier have less load and are preferred.
    for (std::size_t i = 1; i < context.runners.all().size(); ++i) {
      context.runners.all().at(id)->begin_attempt();
    }
  }
  std::string run_item() {
    const ItemContext item{.item_id = "i1", .host = "a.example", .path = "/x/"};
    ItemRequest request;
    request.path = "/x/1";
    const auto run = std::make_shared<ItemRun>(context, item, request, progress, Duration{0});
    const auto result = run_awaitable(loop, run->run());
    return result ? result->text : "";
  }
  static ScriptedResponse rest() { return {stream_head() + chunk(event(2)) + kLastChunk}; }
  static ScriptedResponse whole() {
    return {stream_head() + chunk(event(1)) + chunk(event(2)) + kLastChunk};
  }

  /// Must outlive the loop, whose coroutines hold reservations.
  std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>();
  boost::asio::io_context loop;
  GatewayContext context{loop.get_executor(), HeaderDialect{}, "zone", memory};
  ItemProgress progress;
};

TEST_F(ItemOfVersionTest, ContinuesAtTheVersionThatBeganTheText) {
  ScriptedRunner old_runner(loop, {rest()});
  ScriptedRunner new_runner(loop, {whole()});
  add_runner("r1", old_runner, "v1");
  add_runner("r2", new_runner, "v2");
  EXPECT_EQ(run_item(), "e1\ne2");
  EXPECT_TRUE(new_runner.requests.empty());
  EXPECT_NE(old_runner.requests[0].find("Last-Event-Id: 1"), std::string::npos);
}

// Guards against items that run until their retention ends where all answers come without a length
// or chunks.
TEST_F(ItemOfVersionTest, CompletesOnceTwoAnswersEndWithTheirConnectionAtOneEvent) {
  ScriptedRunner runner(loop, {{unframed_stream_head() + event(2), true},
                               {unframed_stream_head() + event(3), true},
                               {unframed_stream_head(), true}});
  add_runner("r1", runner, "v1");
  EXPECT_EQ(run_item(), "e1\ne2\ne3");
  EXPECT_EQ(runner.requests.size(), 3U);
}

// Guards against items that are completed without the rest of their text: their runner exits
// between two events, and the next one right after the head of its answer.
TEST_F(ItemOfVersionTest, EndsOfTwoRunnersThatExitDoNotCompleteTheText) {
  ScriptedRunner first(loop, {exit_after(unframed_stream_head() + event(2))});
  ScriptedRunner second(loop, {exit_after(unframed_stream_head())});
  ScriptedRunner third(loop,
                       {{unframed_stream_head() + event(3), true}, {unframed_stream_head(), true}});
  add_runner("r1", first, "v1");
  add_runner("r2", second, "v1");
  add_runner("r3", third, "v1");
  EXPECT_EQ(run_item(), "e1\ne2\ne3");
  EXPECT_EQ(first.requests.size() + second.requests.size(), 2U);
  EXPECT_EQ(third.requests.size(), 2U);
}

// Guards against items that are dead-lettered because one runner in trouble sends a text without
// end.
TEST_F(ItemOfVersionTest, ATextWithoutEndOfOneRunnerIsRunAgain) {
  memory->set_limit(8UL * 1024 * 1024);
  std::string long_text;
  for (int id = 2; id < 30; ++id) {
    const std::string data(100000, 'x');
    long_text += chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
  }
  ScriptedRunner endless(loop, {without_end(stream_head() + long_text, chunk(": c\n\n"))});
  ScriptedRunner serving(loop, {whole()});
  add_runner("r1", endless, "v1");
  add_runner("r2", serving, "v1");
  EXPECT_EQ(run_item(), "e1\ne2");
}

TEST_F(ItemOfVersionTest, StartsAgainWithoutARunnerOfTheVersion) {
  ScriptedRunner new_runner(loop, {whole()});
  add_runner("r2", new_runner, "v2");
  EXPECT_EQ(run_item(), "e1\ne2");
  EXPECT_EQ(new_runner.requests[0].find("Last-Event-Id"), std::string::npos);
}

TEST_F(ItemOfVersionTest, StartsAgainIfTheVersionOfTheTextIsUnknown) {
  progress.origin.reset();
  ScriptedRunner old_runner(loop, {whole()});
  add_runner("r1", old_runner, "v1");
  EXPECT_EQ(run_item(), "e1\ne2");
  EXPECT_EQ(old_runner.requests[0].find("Last-Event-Id"), std::string::npos);
}

TEST_F(ItemOfVersionTest, StartsAgainIfItsRouteUsesAnotherService) {
  progress.origin->service = stable_hash("other");
  ScriptedRunner old_runner(loop, {whole()});
  add_runner("r1", old_runner, "v1");
  EXPECT_EQ(run_item(), "e1\ne2");
  EXPECT_EQ(old_runner.requests[0].find("Last-Event-Id"), std::string::npos);
}

TEST_F(ItemOfVersionTest, StartsAgainWhenTheLastRunnerOfTheVersionBreaksItOffAndIsGone) {
  progress = ItemProgress{};
  ScriptedRunner old_runner(loop, {{stream_head() + chunk(event(1)), true}});
  add_runner("r1", old_runner, "v1");
  ScriptedRunner new_runner(loop, {whole()});
  boost::asio::steady_timer timer(loop, std::chrono::milliseconds(20));
  timer.async_wait([&](boost::system::error_code) {
    context.runners.remove("r1");
    add_runner("r2", new_runner, "v2");
    context.placement.drop_obsolete();
    context.placement.capacity_changed();
  });
  EXPECT_EQ(run_item(), "e1\ne2");
  EXPECT_EQ(new_runner.requests[0].find("Last-Event-Id"), std::string::npos);
}

}  // namespace
}  // namespace stoathold
