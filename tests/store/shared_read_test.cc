#include "store/shared_read.h"

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

class SharedReadTest : public testing::Test {
 protected:
  asio::awaitable<LogStatus> read() {
    ++reads;
    for (int i = 0; i < turns_of_a_read; ++i) co_await asio::post(loop, asio::use_awaitable);
    co_return LogStatus::kOk;
  }
  /// A caller; notes how many reads had begun when it got its answer.
  asio::awaitable<void> ask(TimePoint give_up) {
    const LogStatus status = co_await shared.run([this] { return read(); }, give_up);
    answers.emplace_back(status, reads);
  }
  void spawn(TimePoint give_up = TimePoint::max()) {
    asio::co_spawn(loop, ask(give_up), asio::detached);
  }

  asio::io_context loop;
  SharedRead shared;
  int turns_of_a_read = 20;
  int reads = 0;
  std::vector<std::pair<LogStatus, int>> answers;
};

TEST_F(SharedReadTest, WhoComesDuringAReadSharesTheNext) {
  spawn();
  while (reads == 0) loop.run_one();
  for (int i = 0; i < 5; ++i) spawn();
  loop.run();
  EXPECT_EQ(reads, 2);
  ASSERT_EQ(answers.size(), 6U);
  EXPECT_EQ(answers.front(), std::pair(LogStatus::kOk, 1));
  EXPECT_EQ(answers.back(), std::pair(LogStatus::kOk, 2));
}

TEST_F(SharedReadTest, AReadGoesOnWhenItsCallerHasGivenUp) {
  turns_of_a_read = 100000;
  spawn(monotonic_now());
  while (answers.empty()) loop.run_one();
  EXPECT_EQ(answers.front(), std::pair(LogStatus::kUnknown, 1));
  spawn();
  loop.run();
  // The one that went on had begun before the second caller came.
  EXPECT_EQ(answers.back(), std::pair(LogStatus::kOk, 2));
  EXPECT_EQ(reads, 2);
}

}  // namespace
}  // namespace stoathold
