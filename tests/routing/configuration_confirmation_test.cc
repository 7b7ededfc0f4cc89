#include "routing/configuration_confirmation.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

/// A node whose log and neighbours answer as the test says.
class ConfigurationConfirmationTest : public testing::Test {
 protected:
  bool confirm() { return run_awaitable(loop, confirmation.confirm()); }
  boost::asio::awaitable<LogStatus> read_log() {
    ++log_reads;
    if (log_status == LogStatus::kOk) position.confirmed_at = monotonic_now();
    co_return log_status;
  }
  boost::asio::awaitable<bool> ask_peers() {
    ++peer_asks;
    co_return peers_confirm;
  }

  boost::asio::io_context loop;
  ConfigurationPosition position;
  LogStatus log_status = LogStatus::kOk;
  bool peers_confirm = false;
  int log_reads = 0;
  int peer_asks = 0;
  ConfigurationConfirmation confirmation{
      {[this] { return position; }, [this] { return read_log(); }, [this] { return ask_peers(); }}};
};

TEST_F(ConfigurationConfirmationTest, ADenialIsConfirmedByTheLogOnceInAWhile) {
  EXPECT_TRUE(confirm());
  EXPECT_TRUE(confirm());
  EXPECT_EQ(log_reads, 1);
  position.confirmed_at -= std::chrono::seconds(1);
  EXPECT_TRUE(confirm());
  EXPECT_EQ(log_reads, 2);
  EXPECT_EQ(peer_asks, 0);
}

TEST_F(ConfigurationConfirmationTest, WhereTheLogDoesNotAnswerAnotherNodeConfirms) {
  log_status = LogStatus::kUnknown;
  peers_confirm = true;
  EXPECT_TRUE(confirm());
  EXPECT_EQ(peer_asks, 1);
  EXPECT_TRUE(confirm());
  EXPECT_EQ(peer_asks, 1);
  EXPECT_GT(confirmation.position().confirmed_at, TimePoint{});
}

TEST_F(ConfigurationConfirmationTest, AnotherNodesWordIsNotPassedOn) {
  log_status = LogStatus::kUnknown;
  peers_confirm = true;
  EXPECT_TRUE(confirm());
  EXPECT_FALSE(run_awaitable(loop, confirmation.confirm_by_log()));
}

TEST_F(ConfigurationConfirmationTest, WhatNobodyConfirmsIsRefusedAtOnceForAWhile) {
  log_status = LogStatus::kNotDone;
  EXPECT_FALSE(confirm());
  EXPECT_FALSE(confirm());
  EXPECT_EQ(log_reads, 1);
  EXPECT_EQ(peer_asks, 1);
}

}  // namespace
}  // namespace stoathold
