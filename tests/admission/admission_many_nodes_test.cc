// Simulates one zone of 89 nodes at four times its normal arrivals (admission_simulation.h).
//
// Guards against retries that synchronize. Nodes learn of each other's rejections and bookings 50
// ms late, so many rejected callers get retry times in the same low phases. At 89 nodes, averaged
// over three seeds, the 99th percentile wait of served requests was 449 ms against an objective of
// 300 ms, and the busiest second with retries had 1.43 times the arrivals of the busiest one
// without. At 1 and 9 nodes the waits are within the objective (admission_simulation_test.cc).
//
// The bounds follow from the callers' requirements: an answer within 300 ms, and no second that
// retries make busier than the peak of first arrivals, with 10% tolerance for random variation.
#include <gtest/gtest.h>

#include "tests/admission/admission_simulation.h"

namespace stoathold::admission_replay {
namespace {

constexpr double kObjectiveMs = 300;
constexpr double kFullestSecond = 1.1;

TEST(AdmissionManyNodesTest, ServedRequestsInAFullZoneWaitLessThanTheObjective) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome outcome =
        simulate({.nodes = 89, .factor = 4, .message_delay = 50 * kMs, .seed = seed});
    EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs) << "seed " << seed;
    EXPECT_LE(outcome.retry_peak_ratio, kFullestSecond) << "seed " << seed;
  }
}

}  // namespace
}  // namespace stoathold::admission_replay
