#include "store/coalesced_read.h"

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

class CoalescedReadTest : public testing::Test {
 protected:
  asio::awaitable<LogStatus> read() {
    ++reads;
    for (int i = 0; i < iterations_per_read; ++i) co_await asio::post(loop, asio::use_awaitable);
    co_return LogStatus::kOk;
  }
  /// Runs one caller and records how many reads had started when it returned.
  asio::awaitable<void> call(TimePoint deadline) {
    const LogStatus status = co_await shared.run([this] { return read(); }, deadline);
    results.emplace_back(status, reads);
  }
  void spawn(TimePoint deadline = TimePoint::max()) {
    asio::co_spawn(loop, call(deadline), asio::detached);
  }

  asio::io_context loop;
  CoalescedRead shared;
  int iterations_per_read = 20;
  int reads = 0;
  std::vector<std::pair<LogStatus, int>> results;
};

TEST_F(CoalescedReadTest, CallersDuringAReadShareTheNextOne) {
  spawn();
  while (reads == 0) loop.run_one();
  for (int i = 0; i < 5; ++i) spawn();
  loop.run();
  EXPECT_EQ(reads, 2);
  ASSERT_EQ(results.size(), 6U);
  EXPECT_EQ(results.front(), std::pair(LogStatus::kOk, 1));
  EXPECT_EQ(results.back(), std::pair(LogStatus::kOk, 2));
}

TEST_F(CoalescedReadTest, ReadContinuesAfterItsCallerTimesOut) {
  iterations_per_read = 100000;
  spawn(monotonic_now());
  while (results.empty()) loop.run_one();
  EXPECT_EQ(results.front(), std::pair(LogStatus::kUnknown, 1));
  spawn();
  loop.run();
  // The continued read started before the second call, so a new read was needed.
  EXPECT_EQ(results.back(), std::pair(LogStatus::kOk, 2));
  EXPECT_EQ(reads, 2);
}

}  // namespace
}  // namespace stoathold
