#include "store/coalesced_read.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <new>
#include <optional>
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
  asio::awaitable<void> call_as(std::size_t caller) {
    co_await shared.run([this] { return read(); }, TimePoint::max());
    order.push_back(caller);
  }
  void spawn(TimePoint deadline = TimePoint::max()) {
    asio::co_spawn(loop, call(deadline), asio::detached);
  }

  asio::io_context loop;
  CoalescedRead shared;
  int iterations_per_read = 20;
  int reads = 0;
  std::vector<std::pair<LogStatus, int>> results;
  std::vector<std::size_t> order;  ///< Callers in the order in which they returned.
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

/// Guards against an order that depends on memory addresses, and so on unrelated code.
TEST_F(CoalescedReadTest, WaitingCallersContinueInTheOrderOfTheirCalls) {
  constexpr std::size_t kCallers = 40;
  spawn();
  while (reads == 0) loop.run_one();
  // Gaps in memory that later callers fill.
  std::vector<std::unique_ptr<std::array<char, 1024>>> gaps;
  for (std::size_t i = 0; i < kCallers; ++i) {
    gaps.push_back(std::make_unique<std::array<char, 1024>>());
  }
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    gaps[kCallers - 1 - caller].reset();
    asio::co_spawn(loop, call_as(caller), asio::detached);
  }
  loop.run();
  EXPECT_TRUE(std::is_sorted(order.begin(), order.end()));
  EXPECT_EQ(order.size(), kCallers);
}

/// Guards against callers that wait forever for a read that has ended with an exception.
TEST_F(CoalescedReadTest, ReadThatThrowsFailsAndTheNextOneRuns) {
  const auto throwing = []() -> asio::awaitable<LogStatus> {
    throw std::bad_alloc();
    co_return LogStatus::kOk;
  };
  std::optional<LogStatus> failed;
  const auto call_throwing = [&]() -> asio::awaitable<void> {
    failed = co_await shared.run(throwing, TimePoint::max());
  };
  asio::co_spawn(loop, call_throwing(), asio::detached);
  loop.run_for(std::chrono::milliseconds(200));
  EXPECT_EQ(failed, LogStatus::kUnknown);
  spawn();
  loop.restart();
  loop.run_for(std::chrono::milliseconds(200));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results.front().first, LogStatus::kOk);
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
