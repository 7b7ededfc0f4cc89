// Tests admission decisions in a simulation of a whole zone without sockets
// (admission_simulation.h).
//
// Arrivals oscillate between 0.383 times their mean for 3.4 s and 1.87 times for 2.4 s, and double
// or quadruple from second 8 on. The zone has 120 slots, which requests hold for 0.7 s. Callers
// have an objective of 300 ms, give up after 2 s without an event, and retry once if given a retry
// time. Without the policy, 11% of the requests were late at twice the arrivals, with waits of up
// to 1.9 s.
//
// The bounds follow from the callers' requirements: an answer is on time within 300 ms, so the 99th
// percentile wait of served requests must not exceed that, and a rejection is justified only if no
// slot is idle.
#include "tests/admission/admission_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace stoathold::admission_replay {
namespace {

constexpr double kObjectiveMs = 300;

TEST(AdmissionReplayTest, AtTwiceTheArrivalsServedRequestsAreOnTimeAndAllAreAnswered) {
  for (const std::size_t nodes : {1, 9, 30}) {
    for (const std::int64_t delay_ms : {0, 50}) {
      const Outcome outcome =
          simulate({.nodes = nodes, .factor = 2, .message_delay = delay_ms * kMs});
      EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs) << nodes << " nodes, " << delay_ms << " ms";
      EXPECT_EQ(outcome.rejected_despite_idle, 0);
      EXPECT_EQ(outcome.abandoned, 0);
      EXPECT_LT(outcome.late, 1);
    }
  }
}

// Nodes that reject at the same time learn of each other's bookings 50 ms later and must not choose
// the same retry time. When each used the first free bin, 3.6% of the requests were late and one
// second had 1.28 times the peak arrivals.
TEST(AdmissionReplayTest, EightyNineNodesWithDelayedReportsSpreadTheirRetries) {
  const Outcome outcome = simulate({.nodes = 89,
                                    .slots = 480,
                                    .mean_rate = 246,
                                    .factor = 2,
                                    .message_delay = 50 * kMs,
                                    .seconds = 15});
  EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs);
  EXPECT_LE(outcome.retry_peak_ratio, 1.1);
  EXPECT_EQ(outcome.rejected_despite_idle, 0);
}

TEST(AdmissionReplayTest, ServesMoreOnTimeThanTheOtherStrategies) {
  const auto served = [](Strategy strategy) {
    const Outcome outcome = simulate({.strategy = strategy, .factor = 2});
    return outcome.in_time + outcome.in_time_after_retry;
  };
  const double predicted = served(Strategy::kPredictedWait);
  EXPECT_GT(predicted, served(Strategy::kWaitUntilTimeout));
  EXPECT_GT(predicted, served(Strategy::kDelayControl));
  EXPECT_GT(predicted, served(Strategy::kNewestFirst));
}

// The mean arrivals are 1.4 times the capacity, so at most 70% can be served. A few booked retries
// are late because they arrive before a low phase that is busier than forecast.
TEST(AdmissionReplayTest, AtFourTimesTheArrivalsServedRequestsAreOnTime) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome outcome = simulate({.factor = 4, .seed = seed});
    const Outcome wait_until_timeout =
        simulate({.strategy = Strategy::kWaitUntilTimeout, .factor = 4, .seed = seed});
    EXPECT_LT(outcome.late, wait_until_timeout.late / 4);
    EXPECT_LT(outcome.abandoned, 0.5);
    EXPECT_EQ(outcome.rejected_despite_idle, 0);
  }
}

// Guards against rejections without a retry time. Under bursts of two and three times the load,
// 5,885 of 9,120 rejections had none. Their callers retried within 0.4 s, which made the peak 1.6
// times as busy as first arrivals alone, and 2,376 were rejected again, while batch work used the
// slots of the following low phase. In the simulation 57% to 66% of the requests were then served
// on time, compared to 70% without rejections. Rejections may cost at most 2 percentage points of
// these. At 89 nodes the 99th percentile of single seeds exceeds the objective, so the bound there
// is on the late requests.
TEST(AdmissionReplayTest, RejectionsBarelyReduceTheRequestsServedOnTime) {
  for (const auto& [nodes, delay_ms] : {std::pair{1, 0}, std::pair{9, 20}, std::pair{89, 50}}) {
    double served = 0;
    double without = 0;
    double late = 0;
    double longest_wait_ms = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
      Scenario load{.nodes = static_cast<std::size_t>(nodes),
                    .factor = 4,
                    .message_delay = delay_ms * kMs,
                    .seed = seed};
      const Outcome outcome = simulate(load);
      load.strategy = Strategy::kWaitUntilTimeout;
      const Outcome wait_until_timeout = simulate(load);
      served += (outcome.in_time + outcome.in_time_after_retry) / 3;
      without += (wait_until_timeout.in_time + wait_until_timeout.in_time_after_retry) / 3;
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

// Batch items use the low phase and yield when a peak starts, one at a time per runner, which is
// faster than requests release slots. Guards against a forecast that ignores them: 894 requests
// were rejected while their zone still had batch items to preempt.
TEST(AdmissionReplayTest, DoesNotRejectWhileBatchItemsCanYield) {
  for (const auto& [nodes, delay_ms] : {std::pair{1, 0}, std::pair{9, 20}, std::pair{89, 50}}) {
    const Outcome outcome = simulate({.nodes = static_cast<std::size_t>(nodes),
                                      .slots = 240,
                                      .mean_rate = 136,
                                      .high = 9,
                                      .slot_time = 800 * kMs,
                                      .message_delay = delay_ms * kMs,
                                      .batch = true,
                                      .seconds = 13});
    EXPECT_EQ(outcome.rejected_despite_batch, 0) << nodes << " nodes";
    EXPECT_EQ(outcome.rejected_despite_idle, 0) << nodes << " nodes";
    EXPECT_GT(outcome.batch_slots, 10) << "batch work must get the slots that online work leaves";
    EXPECT_LT(outcome.idle_slots, 15)
        << "in addition to the sixth of the slots that batch work never uses";
  }
}

// Callers that retry together would form the next peak. This happens with a constant retry delay of
// 0.2 s, which the other strategies use.
TEST(AdmissionReplayTest, RetriesRaiseThePeakLessThanConstantRetryDelays) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const double factor : {2.0, 4.0}) {
      const Outcome outcome = simulate({.factor = factor, .seed = seed});
      const Outcome constant =
          simulate({.strategy = Strategy::kDelayControl, .factor = factor, .seed = seed});
      EXPECT_LT(outcome.retry_peak_ratio, constant.retry_peak_ratio) << factor;
    }
  }
}

// A caller must learn of a rejection within 10 ms, both on arrival and while it waits.
TEST(AdmissionReplayTest, RejectsWithin10MsOfCertainty) {
  const Outcome outcome = simulate({.factor = 2, .measures_rejection_delay = true});
  EXPECT_GT(outcome.rejections, 100);
  EXPECT_LE(outcome.p99_rejection_delay_ms, 10);
}

TEST(AdmissionReplayTest, DoesNotRejectNormalLoad) {
  const Outcome outcome = simulate({.factor = 1});
  EXPECT_EQ(outcome.rejections, 0);
  EXPECT_EQ(outcome.late, 0);
}

// Single failures at twice the arrivals.

TEST(AdmissionReplayTest, ExpiredReportsDoNotCauseRejectionsWithIdleSlots) {
  const Outcome outcome = simulate({.factor = 2, .message_delay = 400 * kMs});
  EXPECT_EQ(outcome.rejected_despite_idle, 0);
  EXPECT_EQ(outcome.abandoned, 0);
  const Outcome wait_until_timeout =
      simulate({.strategy = Strategy::kWaitUntilTimeout, .factor = 2});
  EXPECT_LT(outcome.late, wait_until_timeout.late);
}

TEST(AdmissionReplayTest, ToleratesLostReports) {
  const Outcome outcome = simulate({.factor = 2, .message_loss = 0.3});
  EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs);
  EXPECT_EQ(outcome.rejected_despite_idle, 0);
}

TEST(AdmissionReplayTest, IgnoresDuplicateReports) {
  const Outcome once = simulate({.factor = 2});
  const Outcome twice = simulate({.factor = 2, .duplicate_messages = true});
  EXPECT_EQ(once.in_time, twice.in_time);
  EXPECT_EQ(once.rejections, twice.rejections);
}

TEST(AdmissionReplayTest, APartitionedNodeAffectsOnlyItsOwnRequests) {
  const Outcome outcome = simulate({.factor = 2, .partitioned_node = 0});
  EXPECT_EQ(outcome.rejected_despite_idle, 0);
  // One of nine nodes does not know the state of the others.
  EXPECT_LT(outcome.late + outcome.rejected + outcome.abandoned, 100.0 / 9);
}

// The second peak of the overload lasts from 15.0 to 17.4 s.
TEST(AdmissionReplayTest, NodesRestartedInAPeakAdmitUntilTheyHaveStatistics) {
  const Outcome outcome = simulate({.factor = 2, .restart_at = 16});
  EXPECT_EQ(outcome.rejected_despite_idle, 0);
  EXPECT_EQ(outcome.abandoned, 0);
  const Outcome wait_until_timeout =
      simulate({.strategy = Strategy::kWaitUntilTimeout, .factor = 2});
  EXPECT_LT(outcome.late, wait_until_timeout.late);
}

}  // namespace
}  // namespace stoathold::admission_replay
