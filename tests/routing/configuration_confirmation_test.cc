#include "routing/configuration_confirmation.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

/// A node whose log and peers respond as configured by the test.
class ConfigurationConfirmationTest : public testing::Test {
 protected:
  bool confirm() { return run_awaitable(loop, confirmation.confirm()); }
  boost::asio::awaitable<LogStatus> read_log() {
    ++log_reads;
    if (log_status == LogStatus::kOk) position.confirmed_at = monotonic_now();
    co_return log_status;
  }
  boost::asio::awaitable<bool> query_peers() {
    ++peer_queries;
    co_return peers_confirm;
  }

  boost::asio::io_context loop;
  ConfigurationPosition position;
  LogStatus log_status = LogStatus::kOk;
  bool peers_confirm = false;
  int log_reads = 0;
  int peer_queries = 0;
  ConfigurationConfirmation confirmation{{[this] { return position; },
                                          [this] { return read_log(); },
                                          [this] { return query_peers(); }}};
};

TEST_F(ConfigurationConfirmationTest, LogConfirmationIsReusedUntilItExpires) {
  EXPECT_TRUE(confirm());
  EXPECT_TRUE(confirm());
  EXPECT_EQ(log_reads, 1);
  position.confirmed_at -= std::chrono::seconds(1);
  EXPECT_TRUE(confirm());
  EXPECT_EQ(log_reads, 2);
  EXPECT_EQ(peer_queries, 0);
}

TEST_F(ConfigurationConfirmationTest, AnotherNodeConfirmsIfLogDoesNotRespond) {
  log_status = LogStatus::kUnknown;
  peers_confirm = true;
  EXPECT_TRUE(confirm());
  EXPECT_EQ(peer_queries, 1);
  EXPECT_TRUE(confirm());
  EXPECT_EQ(peer_queries, 1);
  EXPECT_GT(confirmation.position().confirmed_at, TimePoint{});
}

TEST_F(ConfigurationConfirmationTest, ConfirmationByPeerIsNotUsedForOtherNodes) {
  log_status = LogStatus::kUnknown;
  peers_confirm = true;
  EXPECT_TRUE(confirm());
  EXPECT_FALSE(run_awaitable(loop, confirmation.confirm_by_log()));
}

TEST_F(ConfigurationConfirmationTest, FailsImmediatelyAfterFailedConfirmation) {
  log_status = LogStatus::kNotDone;
  EXPECT_FALSE(confirm());
  EXPECT_FALSE(confirm());
  EXPECT_EQ(log_reads, 1);
  EXPECT_EQ(peer_queries, 1);
}

}  // namespace
}  // namespace stoathold
