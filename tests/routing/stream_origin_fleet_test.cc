#include "tests/routing/stream_origin_fleet.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLifetime = StreamOrigins::kMinLifetime;
const StreamKey kStream = stream_key("tenant", "host", "attempt");

struct LossCase {
  FleetLoss loss;
  double known;  ///< Required share of known origins.
};

class KnownOriginsTest : public testing::TestWithParam<LossCase> {};

TEST_P(KnownOriginsTest, AreKnownAfterALoss) {
  for (const int nodes : {11, 89}) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      const KnownOrigins result = measure_known_origins(nodes, GetParam().loss, seed);
      ASSERT_GT(result.resumed, 0);
      EXPECT_EQ(result.wrong, 0);
      EXPECT_GE(result.known, GetParam().known * result.resumed)
          << nodes << " nodes, seed " << seed << ", " << result.resumed << " streams";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Losses, KnownOriginsTest,
                         testing::Values(LossCase{FleetLoss::kOneNode, 0.98},
                                         LossCase{FleetLoss::kHalfOfAZone, 0.95},
                                         LossCase{FleetLoss::kWholeZone, 0.90},
                                         LossCase{FleetLoss::kHalfOfAll, 0.50}));

class StreamOriginFleetTest : public testing::Test {
 protected:
  StreamOriginFleetTest() : fleet(6, 3, 0, 1) { fleet.list_runner("r1", "v1"); }

  StreamOriginFleet fleet;
};

TEST_F(StreamOriginFleetTest, SendsNothingWhileOneVersionServes) {
  fleet.advance(kLifetime + seconds(1));
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.advance(seconds(1));
  EXPECT_EQ(fleet.messages, 0U);
  EXPECT_EQ(fleet.origins(0).sole_version(kFleetService), software_version("v1"));
}

TEST_F(StreamOriginFleetTest, SendsOriginsOfOpenStreamsWhenASecondVersionAppears) {
  fleet.advance(kLifetime + seconds(1));
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.list_runner("r2", "v2");
  fleet.advance(milliseconds(20));
  fleet.kill(0);
  const OriginLookup lookup = fleet.find(1, kStream);
  EXPECT_EQ(lookup.knowledge, OriginKnowledge::kRecorded);
  EXPECT_EQ(lookup.origin.version, software_version("v1"));
}

TEST_F(StreamOriginFleetTest, VersionThatIsGoneMayStillHaveBegunAStream) {
  fleet.advance(kLifetime + seconds(1));
  fleet.list_runner("r2", "v2");
  fleet.advance(milliseconds(20));
  fleet.unlist_runner("r1");
  fleet.advance(kLifetime - seconds(1));
  EXPECT_FALSE(fleet.origins(1).sole_version(kFleetService));
  fleet.advance(seconds(2));
  EXPECT_EQ(fleet.origins(1).sole_version(kFleetService), software_version("v2"));
}

TEST_F(StreamOriginFleetTest, NodeThatCannotReadTheListSendsOrigins) {
  fleet.advance(kLifetime + seconds(1));
  fleet.cut_from_store(0);
  fleet.advance(StreamOrigins::kMaxListAge + seconds(1));
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.list_runner("r2", "v2");
  fleet.advance(milliseconds(20));
  fleet.kill(0);
  EXPECT_EQ(fleet.find(1, kStream).knowledge, OriginKnowledge::kRecorded);
}

/// Its list may be older than the streams that others began.
TEST_F(StreamOriginFleetTest, NodeThatHasStartedLearnsTheSoleVersionFromOthers) {
  fleet.advance(kLifetime + seconds(1));
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.kill(0);
  fleet.start(0);
  fleet.advance(seconds(1));
  EXPECT_FALSE(fleet.origins(0).sole_version(kFleetService));
  const OriginLookup lookup = fleet.find(0, kStream);
  EXPECT_EQ(lookup.knowledge, OriginKnowledge::kSoleVersion);
  EXPECT_EQ(lookup.origin.version, software_version("v1"));
}

/// The other node's list ends before that of the asking node begins: a version may have come and
/// gone between the two.
TEST_F(StreamOriginFleetTest, NodeThatHasStartedDoesNotTrustAnOldList) {
  fleet.advance(kLifetime + seconds(1));
  for (int node = 1; node < fleet.size(); ++node) fleet.cut_from_store(node);
  fleet.advance(seconds(1));
  fleet.kill(0);
  fleet.start(0);
  EXPECT_EQ(fleet.find(0, kStream).knowledge, OriginKnowledge::kUnknown);
}

TEST_F(StreamOriginFleetTest, UnknownStreamOfSeveralVersionsStaysUnknown) {
  fleet.list_runner("r2", "v2");
  fleet.advance(kLifetime + seconds(1));
  EXPECT_EQ(fleet.find(1, kStream).knowledge, OriginKnowledge::kUnknown);
}

TEST_F(StreamOriginFleetTest, TrustsNoOriginOfAnIdUsedAtTwoVersions) {
  fleet.list_runner("r2", "v2");
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.origins(1).record(kStream, kFleetService, software_version("v2"));
  fleet.advance(milliseconds(20));
  EXPECT_EQ(fleet.find(2, kStream).knowledge, OriginKnowledge::kConflicting);
}

TEST_F(StreamOriginFleetTest, NodeThatReachesNoOtherEndsItsLookup) {
  fleet.list_runner("r2", "v2");
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.advance(milliseconds(20));
  fleet.cut_from_nodes(1);
  const TimePoint begin = monotonic_now();
  const OriginLookup lookup = fleet.find(1, kStream);
  EXPECT_LE(monotonic_now() - begin,
            StreamOrigins::kQueryRounds * StreamOrigins::kAnswerTimeout + milliseconds(2));
  const bool has_copy = lookup.knowledge == OriginKnowledge::kRecorded;
  EXPECT_TRUE(has_copy || lookup.knowledge == OriginKnowledge::kUnknown);
}

TEST_F(StreamOriginFleetTest, OriginOutlivesFurtherResumptions) {
  fleet.list_runner("r2", "v2");
  fleet.origins(0).record(kStream, kFleetService, software_version("v1"));
  fleet.advance(kLifetime / 2);
  EXPECT_EQ(fleet.find(1, kStream).knowledge, OriginKnowledge::kRecorded);
  fleet.kill(0);
  fleet.kill(1);
  fleet.advance(kLifetime / 3);
  EXPECT_EQ(fleet.find(2, kStream).knowledge, OriginKnowledge::kRecorded);
}

}  // namespace
}  // namespace stoathold
