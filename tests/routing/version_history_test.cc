#include "routing/version_history.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

VersionHistory history_since(TimePoint begin) {
  VersionHistory history;
  history.restart(begin);
  history.add_runner("chat", "v1");
  return history;
}

TEST(VersionHistoryTest, SoleVersionIsUnknownBeforeTheListIsKnown) {
  VersionHistory history;
  history.add_runner("chat", "v1");
  EXPECT_FALSE(history.sole_version_since("chat", kStart));
  EXPECT_FALSE(history.sole_known_version("chat"));
}

TEST(VersionHistoryTest, SoleVersionIsUnknownForTimeBeforeTheHistory) {
  const VersionHistory history = history_since(kStart);
  EXPECT_EQ(history.sole_version_since("chat", kStart), software_version("v1"));
  EXPECT_FALSE(history.sole_version_since("chat", kStart - seconds(1)));
  EXPECT_FALSE(history.sole_version_since("other", kStart));
}

TEST(VersionHistoryTest, VersionCountsFromItsFirstRunnerUntilItsLast) {
  VersionHistory history = history_since(kStart);
  history.add_runner("chat", "v2");
  history.add_runner("chat", "v2");
  EXPECT_FALSE(history.sole_version_since("chat", kStart));
  history.remove_runner("chat", "v2", kStart + seconds(3));
  EXPECT_FALSE(history.sole_version_since("chat", kStart + seconds(4)));
  history.remove_runner("chat", "v2", kStart + seconds(5));
  EXPECT_FALSE(history.sole_version_since("chat", kStart + seconds(5)));
  EXPECT_EQ(history.sole_version_since("chat", kStart + seconds(6)), software_version("v1"));
}

TEST(VersionHistoryTest, VersionsOfOtherServicesDoNotCount) {
  VersionHistory history = history_since(kStart);
  history.add_runner("other", "v2");
  EXPECT_EQ(history.sole_version_since("chat", kStart), software_version("v1"));
}

TEST(VersionHistoryTest, RestartedHistoryKeepsVersionsThatItHasSeen) {
  VersionHistory history = history_since(kStart);
  history.add_runner("chat", "v2");
  history.remove_runner("chat", "v2", kStart + seconds(5));
  history.restart(kStart + seconds(3));
  EXPECT_FALSE(history.sole_version_since("chat", kStart + seconds(2)));
  EXPECT_FALSE(history.sole_known_version("chat"));
  EXPECT_EQ(history.sole_version_since("chat", kStart + seconds(6)), software_version("v1"));
}

TEST(VersionHistoryTest, ForgetsVersionsThatAreLongGone) {
  VersionHistory history = history_since(kStart);
  history.add_runner("chat", "v2");
  EXPECT_EQ(history.text(software_version("v2")), "v2");
  history.remove_runner("chat", "v2", kStart + seconds(5));
  history.expire(kStart + seconds(6));
  EXPECT_EQ(history.text(software_version("v2")), "");
  EXPECT_EQ(history.text(software_version("v1")), "v1");
}

}  // namespace
}  // namespace stoathold
