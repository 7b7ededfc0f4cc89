// One zone at four times its arrivals at 89 nodes, replayed without sockets (admission_replay.h).
//
// What happened: nodes hear of each other's rejections and bookings 50 ms late. Rejected callers
// are told to come back, many of them to the same lows, so that at 89 nodes the 99th percentile of
// the waits of those served is 449 ms in the mean of three seeds, for an objective of 300 ms, and
// the fullest second with returns is 1.43 times the fullest without. At 1 and 9 nodes waits are
// within the objective (admission_replay_test.cc).
//
// The bounds come from what callers need: an answer within 300 ms, and no second that is made
// fuller by those who were sent away from another one (a tenth is left for the draw).
#include <gtest/gtest.h>

#include "tests/admission/admission_replay.h"

namespace stoathold::admission_replay {
namespace {

constexpr double kObjectiveMs = 300;
constexpr double kFullestSecond = 1.1;

TEST(AdmissionManyNodesTest, WhoIsServedInAFullZoneWaitsForLessThanItsObjective) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome outcome =
        play({.nodes = 89, .factor = 4, .message_delay = 50 * kMs, .seed = seed});
    EXPECT_LT(outcome.p99_wait_ms, kObjectiveMs) << "seed " << seed;
    EXPECT_LE(outcome.load_of_returns, kFullestSecond) << "seed " << seed;
  }
}

}  // namespace
}  // namespace stoathold::admission_replay
