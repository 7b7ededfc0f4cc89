// Who waits and who is rejected, replayed over a whole zone without sockets (admission_replay.h).
//
// The load: arrivals swing, 3.4 s at 0.383 and 2.4 s at 1.87 of their mean, before 120 slots that
// requests hold for 0.7 s, and grow to twice or four times from second 8 on. Callers have an
// objective of 300 ms, leave after 2 s without an event, and come back once if they are told to.
// Without the policy 11 in 100 were late at twice the arrivals and waited up to 1.9 s.
//
// The bounds come from what callers need: an answer is in time within 300 ms, so no wait of those
// served may exceed that in 99 of 100; a rejection is honest if no slot stood idle.
#include "tests/admission/admission_replay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace stoathold::admission_replay {
namespace {

constexpr double kObjectiveMs = 300;

TEST(AdmissionReplayTest, AtTwiceTheArrivalsWhoIsServedHardlyWaitsAndAllAreAnswered) {
  for (const std::size_t nodes : {1, 9, 30}) {
    for (const std::int64_t delay_ms : {0, 50}) {
      const Outcome outcome = play({.nodes = nodes, .factor = 2, .message_delay = delay_ms * kMs});
      EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs) << nodes << " nodes, " << delay_ms << " ms";
      EXPECT_EQ(outcome.refused_beside_idle, 0);
      EXPECT_EQ(outcome.gone, 0);
      EXPECT_LT(outcome.late, 1);
    }
  }
}

// Nodes that reject at once hear of each other's returns 50 ms later: they are not to choose the
// same moment. With the first one that had room 3.6 in 100 were late, and a second was 1.28 times
// as full.
TEST(AdmissionReplayTest, EightyNineNodesThatHearEachOtherLateDoNotFillOneMoment) {
  const Outcome outcome = play({.nodes = 89,
                                .slots = 480,
                                .mean_rate = 246,
                                .factor = 2,
                                .message_delay = 50 * kMs,
                                .seconds = 15});
  EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs);
  EXPECT_LE(outcome.load_of_returns, 1.1);
  EXPECT_EQ(outcome.refused_beside_idle, 0);
}

TEST(AdmissionReplayTest, MoreAreServedInTimeThanByEachOtherWay) {
  const auto served = [](Way way) {
    const Outcome outcome = play({.way = way, .factor = 2});
    return outcome.in_time + outcome.in_time_back;
  };
  const double predicted = served(Way::kPredictedWait);
  EXPECT_GT(predicted, served(Way::kWaitOn));
  EXPECT_GT(predicted, served(Way::kDelayControl));
  EXPECT_GT(predicted, served(Way::kNewestFirst));
}

// The mean of the arrivals is 1.4 times the slots: at best 70 in 100 can be served. Callers that
// were told to come back, and come before a low that is fuller than expected, are late: few.
TEST(AdmissionReplayTest, AZoneAtFourTimesItsArrivalsServesWhomItServesInTime) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome outcome = play({.factor = 4, .seed = seed});
    const Outcome wait_on = play({.way = Way::kWaitOn, .factor = 4, .seed = seed});
    EXPECT_LT(outcome.late, wait_on.late / 4);
    EXPECT_LT(outcome.gone, 0.5);
    EXPECT_EQ(outcome.refused_beside_idle, 0);
  }
}

// On a day of bursts of two and three times, 5,885 of 9,120 rejections told their callers nothing.
// They were back within 0.4 s, made the peak 1.6 times as full as newcomers, and 2,376 were
// rejected again; the slots of the low that followed went to batch. In the replay 57 to 66 in 100
// were served in time so, 70 without rejections; callers are owed that rejections cost at most 2 of
// these. At 89 nodes single seeds pass the objective with their 99th percentile: the bound is on
// the late.
TEST(AdmissionReplayTest, RejectionsCostHardlyAnyOfThoseThatCouldBeServedInTime) {
  for (const auto& [nodes, delay_ms] : {std::pair{1, 0}, std::pair{9, 20}, std::pair{89, 50}}) {
    double served = 0;
    double without = 0;
    double late = 0;
    double longest_wait_ms = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
      Play load{.nodes = static_cast<std::size_t>(nodes),
                .factor = 4,
                .message_delay = delay_ms * kMs,
                .seed = seed};
      const Outcome outcome = play(load);
      load.way = Way::kWaitOn;
      const Outcome wait_on = play(load);
      served += (outcome.in_time + outcome.in_time_back) / 3;
      without += (wait_on.in_time + wait_on.in_time_back) / 3;
      late += outcome.late / 3;
      longest_wait_ms = std::max(longest_wait_ms, outcome.p99_wait_ms);
    }
    EXPECT_GE(served, without - 2) << nodes << " nodes";
    EXPECT_LT(late, 1) << nodes << " nodes";
    if (nodes < 89) {
      EXPECT_LT(longest_wait_ms, kObjectiveMs) << nodes << " nodes";
    }
  }
}

// Batch items fill the low and yield when a peak begins, one at a runner at a time: faster than
// requests give slots back. 894 requests of that day were rejected while their zone still had batch
// items to ask, since the forecast did not count these.
TEST(AdmissionReplayTest, NobodyIsRejectedForSlotsThatBatchItemsWouldGiveBack) {
  for (const auto& [nodes, delay_ms] : {std::pair{1, 0}, std::pair{9, 20}, std::pair{89, 50}}) {
    const Outcome outcome = play({.nodes = static_cast<std::size_t>(nodes),
                                  .slots = 240,
                                  .mean_rate = 136,
                                  .high = 9,
                                  .slot_time = 800 * kMs,
                                  .message_delay = delay_ms * kMs,
                                  .batch = true,
                                  .seconds = 13});
    EXPECT_EQ(outcome.refused_beside_batch, 0) << nodes << " nodes";
    EXPECT_EQ(outcome.refused_beside_idle, 0) << nodes << " nodes";
    EXPECT_GT(outcome.batch_slots, 10) << "batch is to have what online work leaves";
    EXPECT_LT(outcome.slots_idle, 15) << "beside the sixth of the slots that batch never takes";
  }
}

// Callers that come back together would be the next peak. After a constant 0.2 s they are: that is
// how the other ways send them back.
TEST(AdmissionReplayTest, ReturnsMakeNoSecondFullerThanWithoutTimesToComeBack) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const double factor : {2.0, 4.0}) {
      const Outcome outcome = play({.factor = factor, .seed = seed});
      const Outcome constant = play({.way = Way::kDelayControl, .factor = factor, .seed = seed});
      EXPECT_LT(outcome.load_of_returns, constant.load_of_returns) << factor;
    }
  }
}

// A caller is to know within 10 ms, whether it is rejected as it comes or while it waits.
TEST(AdmissionReplayTest, RejectionsFollowWithin10MsOfTheMomentAtWhichTheyAreCertain) {
  const Outcome outcome = play({.factor = 2, .notes_certain = true});
  EXPECT_GT(outcome.rejections, 100);
  EXPECT_LE(outcome.p99_certain_ms, 10);
}

TEST(AdmissionReplayTest, UsualArrivalsAreNotRejected) {
  const Outcome outcome = play({.factor = 1});
  EXPECT_EQ(outcome.rejections, 0);
  EXPECT_EQ(outcome.late, 0);
}

// Failures, one each, at twice the arrivals.

TEST(AdmissionReplayTest, ReportsThatComeTooLateToCountRefuseNobodyBesideAnIdleSlot) {
  const Outcome outcome = play({.factor = 2, .message_delay = 400 * kMs});
  EXPECT_EQ(outcome.refused_beside_idle, 0);
  EXPECT_EQ(outcome.gone, 0);
  const Outcome wait_on = play({.way = Way::kWaitOn, .factor = 2});
  EXPECT_LT(outcome.late, wait_on.late);
}

TEST(AdmissionReplayTest, LostReportsCostLittle) {
  const Outcome outcome = play({.factor = 2, .message_loss = 0.3});
  EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs);
  EXPECT_EQ(outcome.refused_beside_idle, 0);
}

TEST(AdmissionReplayTest, DoubledReportsChangeNothing) {
  const Outcome once = play({.factor = 2});
  const Outcome twice = play({.factor = 2, .messages_twice = true});
  EXPECT_EQ(once.in_time, twice.in_time);
  EXPECT_EQ(once.rejections, twice.rejections);
}

TEST(AdmissionReplayTest, ANodeThatIsCutOffInAFloodHarmsOnlyItsOwnPart) {
  const Outcome outcome = play({.factor = 2, .cut_node = 0});
  EXPECT_EQ(outcome.refused_beside_idle, 0);
  // Of nine nodes one does not know of the others.
  EXPECT_LT(outcome.late + outcome.rejected + outcome.gone, 100.0 / 9);
}

// The second peak of the flood lasts from 15.0 to 17.4 s.
TEST(AdmissionReplayTest, AllNodesThatStartInAPeakAdmitUntilTheyHaveLearned) {
  const Outcome outcome = play({.factor = 2, .restart_at = 16});
  EXPECT_EQ(outcome.refused_beside_idle, 0);
  EXPECT_EQ(outcome.gone, 0);
  const Outcome wait_on = play({.way = Way::kWaitOn, .factor = 2});
  EXPECT_LT(outcome.late, wait_on.late);
}

}  // namespace
}  // namespace stoathold::admission_replay
