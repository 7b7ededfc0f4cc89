#include "jobs/item_run.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

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

}  // namespace
}  // namespace stoathold
