#include "store/topic_cache.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace stoathold {
namespace {

constexpr std::uint64_t kNoLimit = 1UL << 20U;

class RecordingSink final : public RecordSink {
 public:
  void apply(const StoredRecord& record) override { applied.push_back(record.key); }
  void reset(const std::vector<StoredRecord>& newest, RecordOffset /*end*/) override {
    resets += newest.empty() ? 0 : 1;
  }
  std::vector<std::string> applied;
  int resets = 0;
};

class TopicCacheTest : public testing::Test {
 protected:
  void apply(RecordOffset offset, const std::string& key, const std::string& value) {
    cache.apply({offset, key, value});
  }
  [[nodiscard]] std::vector<RecordOffset> offsets_from(RecordOffset from) const {
    std::vector<RecordOffset> offsets;
    for (const auto& record : cache.read(from, kNoLimit)) offsets.push_back(record.offset);
    return offsets;
  }
  using Offsets = std::vector<RecordOffset>;

  boost::asio::io_context loop;
  RecordingSink sink;
  TopicCache cache{loop.get_executor(), sink};
};

TEST_F(TopicCacheTest, KeepsTheNewestRecordOfEachKeyAndPassesAllOn) {
  apply(0, "a", "1");
  apply(1, "b", "1");
  apply(2, "a", "2");
  EXPECT_EQ(offsets_from(0), (Offsets{1, 2}));
  EXPECT_EQ(offsets_from(2), Offsets{2});
  EXPECT_EQ(sink.applied, (std::vector<std::string>{"a", "b", "a"}));
}

TEST_F(TopicCacheTest, PagesAreBoundedButNeverEmpty) {
  for (RecordOffset i = 0; i < 4; ++i)
    apply(i, std::string(1, static_cast<char>('a' + i)), "12345");
  EXPECT_EQ(cache.read(0, 13).size(), 2U);
  EXPECT_EQ(cache.read(0, 1).size(), 1U);
  EXPECT_TRUE(cache.read(4, kNoLimit).empty());
}

TEST_F(TopicCacheTest, DeletionsReachReadersBehindThem) {
  apply(0, "a", "1");
  apply(1, "a", "");
  ASSERT_EQ(offsets_from(1), Offsets{1});
  EXPECT_TRUE(cache.read(1, kNoLimit).front().value.empty());
  EXPECT_TRUE(cache.covers(1));
}

TEST_F(TopicCacheTest, ReaderBehindADroppedDeletionIsNotCovered) {
  constexpr RecordOffset kKeys = 10001;
  for (RecordOffset i = 0; i < kKeys; ++i) apply(i, "k" + std::to_string(i), "");
  EXPECT_TRUE(cache.covers(0));
  EXPECT_TRUE(cache.covers(1));
  apply(kKeys, "last", "");
  EXPECT_FALSE(cache.covers(1));
  EXPECT_TRUE(cache.covers(2));
  EXPECT_EQ(cache.size(), 10000U);
}

TEST_F(TopicCacheTest, AfterAResetReadersBetweenItsEndsAreNotCovered) {
  apply(0, "a", "1");
  apply(1, "b", "1");
  cache.reset({{5, "a", "2"}, {8, "b", "2"}}, 9);
  EXPECT_EQ(sink.resets, 1);
  EXPECT_EQ(offsets_from(0), (Offsets{5, 8}));
  EXPECT_TRUE(cache.covers(2)) << "it knows the same keys as this node did";
  EXPECT_FALSE(cache.covers(4)) << "a key that it knows may have been deleted";
  EXPECT_TRUE(cache.covers(9));
  cache.reset({{9, "a", "3"}}, 10);
  EXPECT_FALSE(cache.covers(2)) << "key b was deleted";
  EXPECT_TRUE(cache.covers(0));
  EXPECT_TRUE(cache.covers(10));
}

TEST_F(TopicCacheTest, WaitEndsWithTheNextRecordOrTheLimit) {
  int woken = 0;
  const auto wait = [&](Duration limit) -> boost::asio::awaitable<void> {
    co_await cache.wait_for_change(limit);
    ++woken;
  };
  boost::asio::co_spawn(loop, wait(std::chrono::hours(1)), boost::asio::detached);
  boost::asio::co_spawn(loop, wait(std::chrono::hours(1)), boost::asio::detached);
  loop.poll();
  EXPECT_EQ(woken, 0);
  apply(0, "a", "1");
  loop.restart();
  loop.poll();
  EXPECT_EQ(woken, 2);
  boost::asio::co_spawn(loop, wait(Duration{1}), boost::asio::detached);
  loop.restart();
  loop.run();
  EXPECT_EQ(woken, 3);
}

}  // namespace
}  // namespace stoathold
