#include "store/backoff.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr Duration kInitialWait = std::chrono::milliseconds(100);
constexpr Duration kMaxWait = std::chrono::milliseconds(1000);

TEST(BackoffTest, KeepsFullWaitAfterImmediateFailure) {
  Backoff backoff;
  Duration expected_min = kInitialWait / 2;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Duration wait = backoff.next_after_attempt(std::chrono::milliseconds(1));
    EXPECT_GE(wait, expected_min - std::chrono::milliseconds(1)) << attempt;
    expected_min = std::min(expected_min * 2, kMaxWait / 2);
  }
}

TEST(BackoffTest, KeepsMinimumWaitAfterLongAttempt) {
  Backoff backoff;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Duration wait = backoff.next_after_attempt(std::chrono::seconds(1));
    EXPECT_GE(wait, kInitialWait / 4) << attempt;
    EXPECT_LE(wait, kInitialWait / 2) << attempt;
  }
}

TEST(BackoffTest, SubtractsAttemptDurationFromWait) {
  Backoff backoff;
  for (int attempt = 0; attempt < 5; ++attempt) backoff.next();
  const Duration wait = backoff.next_after_attempt(std::chrono::milliseconds(300));
  EXPECT_GE(wait, std::chrono::milliseconds(200));
  EXPECT_LE(wait, std::chrono::milliseconds(700));
}

}  // namespace
}  // namespace stoathold
