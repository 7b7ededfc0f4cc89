#include "store/backoff.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr Duration kFirst = std::chrono::milliseconds(100);
constexpr Duration kLast = std::chrono::milliseconds(1000);

TEST(BackoffTest, AnAttemptThatWasRefusedAtOnceIsFollowedByTheWholeWait) {
  Backoff backoff;
  Duration least = kFirst / 2;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Duration wait = backoff.next_after(std::chrono::milliseconds(1));
    EXPECT_GE(wait, least - std::chrono::milliseconds(1)) << attempt;
    least = std::min(least * 2, kLast / 2);
  }
}

TEST(BackoffTest, AnAttemptThatWaitedLongerThanTheWaitIsFollowedByAShortOne) {
  Backoff backoff;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Duration wait = backoff.next_after(std::chrono::seconds(1));
    EXPECT_GE(wait, kFirst / 4) << attempt;
    EXPECT_LE(wait, kFirst / 2) << attempt;
  }
}

TEST(BackoffTest, AnAttemptThatWaitedForAPartOfTheWaitIsFollowedByTheRest) {
  Backoff backoff;
  for (int attempt = 0; attempt < 5; ++attempt) backoff.next();
  const Duration wait = backoff.next_after(std::chrono::milliseconds(300));
  EXPECT_GE(wait, std::chrono::milliseconds(200));
  EXPECT_LE(wait, std::chrono::milliseconds(700));
}

}  // namespace
}  // namespace stoathold
