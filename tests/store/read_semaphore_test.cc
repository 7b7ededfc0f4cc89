#include "store/read_semaphore.h"

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

class ReadSemaphoreTest : public testing::Test {
 protected:
  /// Acquires a permit and releases it after a few iterations of the event loop.
  asio::awaitable<void> hold_permit(int number) {
    const ReadSemaphore::Permit permit = co_await semaphore.acquire();
    order.push_back(number);
    max_holding = std::max(max_holding, ++holding);
    for (int i = 0; i < 3; ++i) co_await asio::post(loop, asio::use_awaitable);
    --holding;
  }

  asio::io_context loop;
  ReadSemaphore semaphore{2};
  std::vector<int> order;
  int holding = 0;
  int max_holding = 0;
};

TEST_F(ReadSemaphoreTest, LimitsConcurrencyInFifoOrder) {
  for (int number = 0; number < 6; ++number) {
    asio::co_spawn(loop, hold_permit(number), asio::detached);
  }
  loop.run();
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2, 3, 4, 5}));
  EXPECT_EQ(max_holding, 2);
}

TEST_F(ReadSemaphoreTest, PermitsMayOutliveSemaphore) {
  auto short_lived_semaphore = std::make_unique<ReadSemaphore>(1);
  const auto take = [&]() -> asio::awaitable<void> {
    const ReadSemaphore::Permit permit = co_await short_lived_semaphore->acquire();
    for (int i = 0; i < 3; ++i) co_await asio::post(loop, asio::use_awaitable);
  };
  asio::co_spawn(loop, take(), asio::detached);
  asio::co_spawn(loop, take(), asio::detached);
  loop.run_one();
  loop.run_one();
  short_lived_semaphore.reset();
  loop.run();
  SUCCEED();
}

}  // namespace
}  // namespace stoathold
