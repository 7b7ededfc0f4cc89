#include "gateway/speed_reports.h"

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace stoathold {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr Duration kDigestInterval = std::chrono::milliseconds(12);

/// Two nodes of a zone that know the same runners; the test delivers their digests.
class SpeedReportsTest : public testing::Test {
 protected:
  SpeedReportsTest() {
    for (GatewayContext* node : {&first, &second}) {
      for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        node->runners.upsert({id, "chat", "10.0.0.1:80", "zone", 8, false});
      }
    }
  }
  static Runner& runner(GatewayContext& node, int index) {
    return *node.runners.all().at("r" + std::to_string(index));
  }
  /// Reports the slowness of a runner to the first node, as in a response.
  void report_slowness(int index, std::uint32_t percent, TimePoint when) {
    apply_slowness_report(first, runner(first, index), {.slots = 8, .slowness_percent = percent},
                          when);
  }
  LoadDigest digest(TimePoint when, bool full_digest = false) {
    LoadDigest made;
    first_part.add(made, full_digest, when);
    return made;
  }

  boost::asio::io_context loop;
  GatewayContext first{loop.get_executor(), HeaderDialect{}, "zone"};
  GatewayContext second{loop.get_executor(), HeaderDialect{}, "zone"};
  DigestPart first_part = speed_digest_part(first);
  DigestPart second_part = speed_digest_part(second);
};

TEST_F(SpeedReportsTest, TheFirstValidSlownessEnablesThePolicyAtBothNodes) {
  apply_slowness_report(first, runner(first, 1), {.slots = 8}, kNow);
  apply_slowness_report(first, runner(first, 1), {.slots = 8, .invalid_slowness = true}, kNow);
  EXPECT_FALSE(first.load_policy.uses_runner_speeds);
  EXPECT_TRUE(digest(kNow).speeds.empty());
  first.set_traits({.has_tenants = true});
  report_slowness(1, 250, kNow);
  EXPECT_TRUE(first.load_policy.uses_runner_speeds);
  EXPECT_TRUE(first.traits.has_tenants);
  second_part.apply(digest(kNow), kNow);
  EXPECT_TRUE(second.load_policy.uses_runner_speeds);
  EXPECT_EQ(runner(second, 1).speed().reported_percent(), 250U);
}

TEST_F(SpeedReportsTest, ADigestReportsAFewOfTheNewestValuesOnce) {
  for (int i = 0; i < 6; ++i) report_slowness(i, 100 + i, kNow + i * kDigestInterval);
  const LoadDigest newest = digest(kNow + 6 * kDigestInterval);
  ASSERT_EQ(newest.speeds.size(), 4U);
  EXPECT_EQ(newest.speeds[0].runner, runner(first, 5).hash());
  EXPECT_EQ(digest(kNow + 7 * kDigestInterval).speeds.size(), 2U);
  EXPECT_TRUE(digest(kNow + 8 * kDigestInterval).speeds.empty());
}

TEST_F(SpeedReportsTest, IgnoresValuesOlderThanTheKnownOne) {
  report_slowness(1, 100, kNow);
  const LoadDigest late = digest(kNow);
  const TimePoint later = kNow + 3 * kDigestInterval;
  report_slowness(1, 250, later);
  second_part.apply(digest(later), later);
  LoadDigest delayed = late;
  delayed.speeds[0].slowness_age_ms = 40;
  second_part.apply(delayed, later);
  EXPECT_EQ(runner(second, 1).speed().reported_percent(), 250U);
}

// Full digests repeat learned speeds that were in lost digests, so that a node that has just
// started knows all runners after a few of them.
TEST_F(SpeedReportsTest, FullDigestsRepairLosses) {
  report_slowness(0, 100, kNow);
  for (int i = 0; i < 20; ++i) {
    // A node learns a speed during an attempt only.
    runner(first, i).begin_attempt();
    for (int sample = 0; sample < 16; ++sample) runner(first, i).speed().learn(1.6);
    runner(first, i).end_attempt(AttemptOutcome::kServed, kNow);
  }
  for (int lost = 0; lost < 5; ++lost) digest(kNow);
  for (int kept = 0; kept < 3; ++kept) second_part.apply(digest(kNow, true), kNow);
  for (int i = 0; i < 20; ++i) EXPECT_GT(runner(second, i).speed().relative_time(), 1.4) << i;
}

TEST_F(SpeedReportsTest, IgnoresReportsOfRunnersThatAreGone) {
  report_slowness(1, 250, kNow);
  second.runners.remove("r1");
  second_part.apply(digest(kNow), kNow);
  EXPECT_FALSE(second.load_policy.uses_runner_speeds);
}

/// A runner on loopback that reports its slowness.
TEST_F(GatewayFixture, AppliesTheSlownessInAResponse) {
  configure(RouteKind::kStreaming, true);
  const std::string load = "X-Response-Signature: s\r\nX-Load: 1,0,8,250\r\n";
  ScriptedRunner runner(loop, {{plain_response(event(1), "{id}", "200 OK", load)}});
  add_runner(runner);
  EXPECT_EQ(ask().status, 200);
  EXPECT_TRUE(context.load_policy.uses_runner_speeds);
  EXPECT_EQ(context.runners.all().at("r1")->speed().reported_percent(), 250U);
}

}  // namespace
}  // namespace stoathold
