#include "net/byte_holders.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr std::uint64_t kKilobyte = 1024;

class FakeHolder final : public ByteHolder {
 public:
  FakeHolder(ByteHolders& holders, std::uint64_t bytes, TimePoint progress)
      : holders_(holders), bytes_(bytes), progress_(progress) {
    holders_.add(*this);
  }
  ~FakeHolder() override { holders_.remove(*this); }
  FakeHolder(const FakeHolder&) = delete;
  FakeHolder& operator=(const FakeHolder&) = delete;

  [[nodiscard]] std::uint64_t held_bytes() const override { return bytes_; }
  [[nodiscard]] TimePoint last_progress() const override { return progress_; }
  void cut_off() override {
    cut = true;
    holders_.remove(*this);
  }
  bool cut = false;

 private:
  ByteHolders& holders_;
  std::uint64_t bytes_;
  TimePoint progress_;
};

const TimePoint kNow = TimePoint{} + std::chrono::seconds(1000);

TimePoint seconds_ago(int seconds) {
  return kNow - std::chrono::seconds(seconds);
}

// A caller of a narrow link that goes on is never cut off, whatever it holds.
TEST(ByteHoldersTest, WhoGoesOnIsLeftAlone) {
  ByteHolders holders;
  const FakeHolder large(holders, 1024 * kKilobyte, kNow - kStallTime / 2);
  EXPECT_FALSE(holders.cut_off_slowest(kNow));
  EXPECT_FALSE(large.cut);
}

// 2,000 callers at a byte a second: those that hold most for longest go first, one at a time.
TEST(ByteHoldersTest, TheSlowestWithTheMostHeldGoesFirst) {
  ByteHolders holders;
  const FakeHolder brief(holders, 100 * kKilobyte, seconds_ago(3));
  const FakeHolder small(holders, kKilobyte, seconds_ago(30));
  const FakeHolder worst(holders, 50 * kKilobyte, seconds_ago(20));
  EXPECT_TRUE(holders.cut_off_slowest(kNow));
  EXPECT_TRUE(worst.cut);
  EXPECT_TRUE(holders.cut_off_slowest(kNow));
  EXPECT_TRUE(brief.cut);
  EXPECT_TRUE(holders.cut_off_slowest(kNow));
  EXPECT_TRUE(small.cut);
  EXPECT_FALSE(holders.cut_off_slowest(kNow));
}

TEST(ByteHoldersTest, WhoHoldsNothingIsNotCutOff) {
  ByteHolders holders;
  const FakeHolder empty(holders, 0, seconds_ago(60));
  EXPECT_FALSE(holders.cut_off_slowest(kNow));
}

}  // namespace
}  // namespace stoathold
