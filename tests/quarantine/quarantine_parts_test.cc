/// Tests the quarantine of prompt parts at one node and between two nodes.
#include <gtest/gtest.h>

#include <string>

#include "quarantine/quarantine.h"
#include "quarantine/quarantine_check.h"

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr PartHash kPart{5};
constexpr std::uint64_t kTenant = 1;
constexpr std::uint64_t kOtherTenant = 2;
constexpr Duration kPause = std::chrono::milliseconds(150);

class QuarantinePartsTest : public testing::Test {
 protected:
  QuarantinePartsTest() {
    node.set_progress_handler([this](ContentHash key) { lifted.push_back(key); });
  }
  void exit_runner(std::uint64_t tenant) {
    now += kPause;
    ++runner;
    node.record_part_exit({.start = {runner, 0},
                           .content = ContentHash{runner},
                           .tenant = tenant,
                           .parts = {kPart, PartHash{100 + runner}},
                           .own_part = {},
                           .at = now});
  }
  void exit_runners(std::uint64_t tenant, int count) {
    for (int i = 0; i < count; ++i) exit_runner(tenant);
  }
  [[nodiscard]] bool holds(const Quarantine& quarantine, std::uint64_t tenant) const {
    return quarantine.contains(part_key(kPart), now) ||
           quarantine.contains(tenant_part_key(kPart, tenant), now);
  }

  Quarantine node{[](std::uint64_t) { return std::nullopt; }};
  Quarantine other{[](std::uint64_t) { return std::nullopt; }};
  TimePoint now = kStart;
  std::uint64_t runner = 0;
  std::vector<ContentHash> lifted;
};

// Guards against requests, no two alike, whose part makes runners exit before any byte of a
// response.
TEST_F(QuarantinePartsTest, ProvenExitsBeforeTheResponseAreEvidenceAgainstParts) {
  for (std::uint64_t number = 1; number <= 4; ++number) {
    const std::string body = std::to_string(number);
    const std::string prompt = "aa:60,b" + body + ":10";
    QuarantineCheck check(node, {.tenant = "t", .host = "h", .target = "/", .body = body},
                          RequestSource::kOnline);
    check.set_service("s");
    check.set_prompt_prefix(prompt);
    EXPECT_FALSE(check.is_quarantined());
    check.record_run({.runner = number, .stage = RunStage::kWaiting, .closed_by_runner = true});
  }
  EXPECT_EQ(node.part_exit_count(), 4U);
  node.evaluate_parts(monotonic_now() + std::chrono::seconds(1));
  QuarantineCheck next(node, {.tenant = "t", .host = "h", .target = "/", .body = "next"},
                       RequestSource::kOnline);
  next.set_service("s");
  next.set_prompt_prefix("aa:60,b9:10");
  EXPECT_TRUE(next.is_quarantined());
}

// An exit before the response that may have happened before the request came is none.
TEST_F(QuarantinePartsTest, UnprovenExitsAreNoEvidenceAgainstParts) {
  QuarantineCheck check(node, {.tenant = "t", .host = "h", .target = "/", .body = "q"},
                        RequestSource::kOnline);
  check.set_service("s");
  check.set_prompt_prefix("aa:60,b1:10");
  check.record_run({.runner = 1,
                    .stage = RunStage::kWaiting,
                    .reached_live_runner = false,
                    .closed_by_runner = true});
  EXPECT_EQ(node.part_exit_count(), 0U);
}

// Guards against a caller that makes runners exit by other means, and has the part of another
// tenant refused by naming it.
TEST_F(QuarantinePartsTest, ExitsOfOneTenantKeepThePartOfNoOtherTenantAway) {
  exit_runners(kTenant, 5);
  EXPECT_TRUE(holds(node, kTenant));
  EXPECT_FALSE(holds(node, kOtherTenant));
}

TEST_F(QuarantinePartsTest, ExitsOfTwoTenantsKeepThePartOfAllAway) {
  exit_runners(kTenant, 3);
  exit_runner(kOtherTenant);
  EXPECT_TRUE(holds(node, kOtherTenant));
  EXPECT_TRUE(holds(node, 99));
}

// Guards against a part that gets its trials again with each tenant that names it.
TEST_F(QuarantinePartsTest, TrialsForOneTenantCountForAll) {
  exit_runners(kTenant, 3);
  const QuarantineRecord tried{.since_ms = 0, .exits = 3, .trials = Quarantine::kMaxPartTrials};
  node.apply_record(tenant_part_key(kPart, kTenant), tried, now, 0);
  exit_runner(kOtherTenant);
  const QuarantineRecord record = node.make_record(part_key(kPart), now, 0);
  EXPECT_EQ(record.trials, Quarantine::kMaxPartTrials);
}

TEST_F(QuarantinePartsTest, AnswersOfAnyTenantClearThePart) {
  exit_runners(kTenant, 2);
  node.record_served_parts({kPart}, kOtherTenant, now);
  exit_runners(kTenant, 2);
  EXPECT_FALSE(holds(node, kTenant));
}

// Guards against a part that stays refused although a request under way is answered.
TEST_F(QuarantinePartsTest, AnAnswerLiftsTheQuarantine) {
  exit_runners(kTenant, 3);
  node.record_served_parts({kPart}, kTenant, now);
  ASSERT_EQ(lifted.size(), 1U);
  EXPECT_EQ(lifted[0], tenant_part_key(kPart, kTenant));
}

TEST_F(QuarantinePartsTest, AnAnswerAtAnotherNodeLiftsTheQuarantine) {
  exit_runners(kTenant, 3);
  PromptPartReports reports;
  reports.served.push_back({.part = static_cast<std::uint64_t>(kPart)});
  node.apply_part_reports(reports, now);
  EXPECT_EQ(lifted, std::vector<ContentHash>{tenant_part_key(kPart, kTenant)});
}

TEST_F(QuarantinePartsTest, ALiftedPartNeedsNewExits) {
  exit_runners(kTenant, 3);
  node.lift(tenant_part_key(kPart, kTenant), {.position = 1, .at = now});
  node.evaluate_parts(now + PromptPartExits::kSettleTime);
  EXPECT_FALSE(holds(node, kTenant));
}

TEST_F(QuarantinePartsTest, OneExitRestoresAnExpiredQuarantine) {
  exit_runners(kTenant, 3);
  now += Quarantine::kQuarantineTime;
  node.expire(now);
  EXPECT_FALSE(holds(node, kTenant));
  exit_runner(kTenant);
  EXPECT_TRUE(holds(node, kTenant));
}

TEST_F(QuarantinePartsTest, NodesDecideByExitsThatTheyHeardOf) {
  for (int i = 0; i < 3; ++i) {
    exit_runner(kTenant);
    other.apply_part_reports(node.next_remote_part_reports(now), now);
  }
  EXPECT_TRUE(holds(other, kTenant));
}

// Guards against an answer whose report arrives before those of the exits, and is not repeated.
TEST_F(QuarantinePartsTest, AnAnswerReportedBeforeTheExitsClearsThePart) {
  PromptPartReports served;
  served.served.push_back({.part = static_cast<std::uint64_t>(kPart)});
  other.apply_part_reports(served, now);
  for (int i = 0; i < 3; ++i) {
    exit_runner(kTenant);
    other.apply_part_reports(node.next_zone_part_reports(now), now);
  }
  EXPECT_FALSE(holds(other, kTenant));
}

TEST_F(QuarantinePartsTest, AtMostTwoTrialsAreLeft) {
  exit_runners(kTenant, 8);
  const ContentHash key = tenant_part_key(kPart, kTenant);
  QuarantineRecord record{.since_ms = 0, .exits = 8, .trials = 1};
  node.apply_record(key, record, now, 0);
  const TimePoint later = now + std::chrono::minutes(1);
  EXPECT_TRUE(node.is_trial_due(key, later, QuarantineScope::kPromptPart));
  record.trials = Quarantine::kMaxPartTrials;
  node.apply_record(key, record, now, 0);
  EXPECT_FALSE(node.is_trial_due(key, later, QuarantineScope::kPromptPart));
}

}  // namespace
}  // namespace stoathold
