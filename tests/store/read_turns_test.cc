#include "store/read_turns.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace stoathold {
namespace {

namespace asio = boost::asio;

class ReadTurnsTest : public testing::Test {
 protected:
  /// Takes a turn, and gives it back some turns of the loop later.
  asio::awaitable<void> use_turn(int number) {
    const ReadTurns::Turn turn = co_await turns.take();
    order.push_back(number);
    most = std::max(most, ++holding);
    for (int i = 0; i < 3; ++i) co_await asio::post(loop, asio::use_awaitable);
    --holding;
  }

  asio::io_context loop;
  ReadTurns turns{2};
  std::vector<int> order;
  int holding = 0;
  int most = 0;
};

TEST_F(ReadTurnsTest, AFewGoOnAtATimeInTheOrderInWhichTheyCame) {
  for (int number = 0; number < 6; ++number) {
    asio::co_spawn(loop, use_turn(number), asio::detached);
  }
  loop.run();
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2, 3, 4, 5}));
  EXPECT_EQ(most, 2);
}

TEST_F(ReadTurnsTest, TurnsMayBeGivenBackWhenTheyAreGone) {
  auto short_lived = std::make_unique<ReadTurns>(1);
  const auto take = [&]() -> asio::awaitable<void> {
    const ReadTurns::Turn turn = co_await short_lived->take();
    for (int i = 0; i < 3; ++i) co_await asio::post(loop, asio::use_awaitable);
  };
  asio::co_spawn(loop, take(), asio::detached);
  asio::co_spawn(loop, take(), asio::detached);
  loop.run_one();
  loop.run_one();
  short_lived.reset();
  loop.run();
  SUCCEED();
}

}  // namespace
}  // namespace stoathold
