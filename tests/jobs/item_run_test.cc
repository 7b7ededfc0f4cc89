#include "jobs/item_run.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace stoathold {
namespace {

// Events were once taken from tokens, so that the work left was overstated by the tokens of an
// event, and every item counted as late from its first moment.
TEST(ItemRunTest, TheWorkLeftIsCountedInEvents) {
  boost::asio::io_context loop;
  GatewayContext context(loop.get_executor(), HeaderDialect{}, "zone");
  context.answer_pace.observe_gap("", std::chrono::milliseconds(34));
  context.answer_pace.observe_answer("", TokenCount{1420}, EventCount{142});
  ItemRequest request;
  request.headers = {{context.dialect.token_usage, "350,1420"}};
  ItemProgress progress;
  progress.last_event = 42;
  const auto run =
      std::make_shared<ItemRun>(context, ItemContext{}, request, progress, Duration{0});
  EXPECT_EQ(run->schedule().rest, std::chrono::milliseconds(100 * 34));
}

}  // namespace
}  // namespace stoathold
