#include "admission/return_times.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace stoathold {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr std::uint64_t kService = 7;

/// A swing of 3.4 s at 0.383 and 2.4 s at 1.87 of 120 arrivals a second, as a zone of 120 slots saw
/// it; it wants 171 a second. Callers give up after 5 s and wait as told for a third of that.
class ReturnTimesTest : public testing::Test {
 protected:
  void play(Duration length) {
    const TimePoint start = now;
    while (now - start < length) {
      const double phase = std::fmod(to_seconds(now - start), 5.8);
      now += ArrivalSwing::kBin;
      swing.observe(phase < 3.4 ? 46 : 224, now);
    }
  }
  [[nodiscard]] ReturnQuery query() const {
    return {.service = kService,
            .now = now,
            .deadline = now + 5000 * kMs,
            .first_event = 45 * kMs,
            .wait = 300 * kMs,
            .freed_per_second = 171,
            .swing = &swing};
  }
  std::optional<ReturnTime> tell() {
    const auto back = choose_return(query(), callers, random);
    if (back && back->promised) callers.tell(++contents, kService, now + back->after, now);
    return back;
  }
  ArrivalSwing swing;
  ReturningCallers callers;
  Random random{1};
  std::uint64_t contents = 0;
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(ReturnTimesTest, TheSwingTellsWhenAPeakEnds) {
  play(2 * 5800 * kMs + 3400 * kMs + 1200 * kMs);
  EXPECT_NEAR(swing.expected_rate(now + 500 * kMs, now), 224, 30);
  EXPECT_NEAR(swing.expected_rate(now + 1500 * kMs, now), 46, 15);
}

TEST_F(ReturnTimesTest, CallersRejectedInAPeakComeInTheLowThatFollows) {
  play(2 * 5800 * kMs + 3400 * kMs + 1400 * kMs);
  std::vector<Duration> times;
  constexpr int kCallers = 40;
  for (int i = 0; i < kCallers; ++i) {
    const auto back = tell();
    ASSERT_TRUE(back);
    times.push_back(back->after);
  }
  const auto [first, last] = std::minmax_element(times.begin(), times.end());
  EXPECT_GE(*first, 800 * kMs);
  EXPECT_LE(*last, 1667 * kMs);
  EXPECT_GE(*last - *first, 200 * kMs) << "they would come back together";
}

// 50 rejections a second in a peak: the second after has no more arrivals than without them.
TEST_F(ReturnTimesTest, TheSecondAfterARejectionHasNoHigherLoad) {
  play(2 * 5800 * kMs + 3400 * kMs + 300 * kMs);
  int returns = 0;
  for (int i = 0; i < 50; ++i) {
    const auto back = tell();
    if (back && back->after <= 1000 * kMs) ++returns;
  }
  EXPECT_EQ(returns, 0);
}

TEST_F(ReturnTimesTest, NeverMoreThanTheSlotsThatComeFree) {
  play(2 * 5800 * kMs + 3400 * kMs + 1400 * kMs);
  int told = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto back = tell();
    told += back && back->promised ? 1 : 0;
  }
  EXPECT_LT(told, 171 * 1.7);
  EXPECT_GT(told, 50);
}

// Callers that were told nothing were back within 0.4 s, in the same peak.
TEST_F(ReturnTimesTest, WhomNoPlaceIsLeftForIsToldTheLastMomentsItWaitsForWithoutAPromise) {
  play(2 * 5800 * kMs + 3400 * kMs + 300 * kMs);
  std::optional<ReturnTime> back;
  for (int i = 0; i < 2000 && (!back || back->promised); ++i) back = tell();
  ASSERT_TRUE(back && !back->promised);
  EXPECT_GE(back->after, 1300 * kMs);
  EXPECT_LE(back->after, 5000 * kMs / 3);
}

TEST_F(ReturnTimesTest, NothingIsSaidWhereComingBackCannotHelp) {
  play(2 * 5800 * kMs);
  ReturnQuery late = query();
  late.deadline = now + 150 * kMs;
  EXPECT_FALSE(choose_return(late, callers, random));
  late.deadline = now - 10 * kMs;
  EXPECT_FALSE(choose_return(late, callers, random));
}

TEST_F(ReturnTimesTest, NeverBeyondWhatCallersWait) {
  play(2 * 5800 * kMs);
  for (int left_ms = 500; left_ms < 5000; left_ms += 250) {
    ReturnQuery some = query();
    some.deadline = now + left_ms * kMs;
    const auto back = choose_return(some, callers, random);
    EXPECT_LE(back.value_or(ReturnTime{}).after, left_ms * kMs / 3);
  }
}

TEST_F(ReturnTimesTest, WithoutFiguresCallersComeBackAfterTheUsualTimeAndApart) {
  ReturnQuery unknown = query();
  unknown.freed_per_second = 0;
  unknown.swing = nullptr;
  const auto first = choose_return(unknown, callers, random);
  const auto second = choose_return(unknown, callers, random);
  ASSERT_TRUE(first && second);
  EXPECT_NE(first->after, second->after);
  EXPECT_LE(std::max(first->after, second->after), 300 * kMs);
}

// Arrivals that grow by a flood keep their swing: the low is as much higher as the peak.
TEST_F(ReturnTimesTest, TheLowOfAFloodIsHigherThanTheLowBefore) {
  play(2 * 5800 * kMs + 3400 * kMs);
  for (int i = 0; i < 12; ++i) {
    now += ArrivalSwing::kBin;
    swing.observe(2 * 224, now);
  }
  EXPECT_NEAR(swing.expected_rate(now + 1500 * kMs, now), 2 * 46, 30);
}

}  // namespace
}  // namespace stoathold
