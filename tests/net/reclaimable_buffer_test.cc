#include "net/reclaimable_buffer.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr std::uint64_t kKilobyte = 1024;

class FakeBuffer final : public ReclaimableBuffer {
 public:
  FakeBuffer(ReclaimableBufferRegistry& registry, std::uint64_t bytes, TimePoint progress)
      : registry_(registry), bytes_(bytes), progress_(progress) {
    registry_.add(*this);
  }
  ~FakeBuffer() override { registry_.remove(*this); }
  FakeBuffer(const FakeBuffer&) = delete;
  FakeBuffer& operator=(const FakeBuffer&) = delete;

  [[nodiscard]] std::uint64_t reserved_bytes() const override { return bytes_; }
  [[nodiscard]] TimePoint last_progress() const override { return progress_; }
  void reclaim() override {
    reclaimed = true;
    registry_.remove(*this);
  }
  bool reclaimed = false;

 private:
  ReclaimableBufferRegistry& registry_;
  std::uint64_t bytes_;
  TimePoint progress_;
};

const TimePoint kNow = TimePoint{} + std::chrono::seconds(1000);

TimePoint seconds_ago(int seconds) {
  return kNow - std::chrono::seconds(seconds);
}

// A client behind a slow link that keeps making progress is never aborted, however many bytes it
// holds.
TEST(ReclaimableBufferRegistryTest, ClientWithProgressIsNotReclaimed) {
  ReclaimableBufferRegistry registry;
  const FakeBuffer large(registry, 1024 * kKilobyte, kNow - kStallThreshold / 2);
  EXPECT_FALSE(registry.reclaim_slowest(kNow));
  EXPECT_FALSE(large.reclaimed);
}

// 2,000 clients read one byte per second: buffers are reclaimed one at a time, in descending order
// of bytes times stall time.
TEST(ReclaimableBufferRegistryTest, GreatestBytesTimesStallIsReclaimedFirst) {
  ReclaimableBufferRegistry registry;
  const FakeBuffer brief(registry, 100 * kKilobyte, seconds_ago(3));
  const FakeBuffer small(registry, kKilobyte, seconds_ago(30));
  const FakeBuffer worst(registry, 50 * kKilobyte, seconds_ago(20));
  EXPECT_TRUE(registry.reclaim_slowest(kNow));
  EXPECT_TRUE(worst.reclaimed);
  EXPECT_TRUE(registry.reclaim_slowest(kNow));
  EXPECT_TRUE(brief.reclaimed);
  EXPECT_TRUE(registry.reclaim_slowest(kNow));
  EXPECT_TRUE(small.reclaimed);
  EXPECT_FALSE(registry.reclaim_slowest(kNow));
}

TEST(ReclaimableBufferRegistryTest, EmptyBufferIsNotReclaimed) {
  ReclaimableBufferRegistry registry;
  const FakeBuffer empty(registry, 0, seconds_ago(60));
  EXPECT_FALSE(registry.reclaim_slowest(kNow));
}

}  // namespace
}  // namespace stoathold
