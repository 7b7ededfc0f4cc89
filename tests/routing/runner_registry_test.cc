#include "routing/runner_registry.h"

#include <gtest/gtest.h>

#include "base/ids.h"

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

RunnerRecord make_record(const std::string& id, std::uint32_t slots = 10) {
  return {id, "chat", "10.0.0.1:80", "zone-1", slots, false};
}

TEST(RunnerRegistryTest, RemovedRunnerIsUnavailableToExistingReferences) {
  RunnerRegistry registry;
  registry.upsert(make_record("r1"));
  const auto held = registry.for_service("chat").front();
  registry.remove("r1");
  EXPECT_TRUE(registry.for_service("chat").empty());
  EXPECT_FALSE(held->available());
}

TEST(RunnerRegistryTest, UsableReturnsAvailableRunnersOfServiceAndZone) {
  RunnerRegistry registry;
  registry.upsert(make_record("r1"));
  registry.upsert({"r2", "chat", "10.0.0.2:80", "zone-2", 10, false});
  registry.upsert({"r3", "chat", "10.0.0.3:80", "zone-1", 10, true});
  registry.upsert({"r4", "other", "10.0.0.4:80", "zone-1", 10, false});
  registry.upsert(make_record("r5"));
  registry.all().at("r5")->begin_attempt();
  registry.all().at("r5")->end_attempt(AttemptOutcome::kUnreachable, kStart);
  const auto usable = registry.usable(stable_hash("chat"), "zone-1", kStart);
  ASSERT_EQ(usable.size(), 1U);
  EXPECT_EQ(usable.front()->record().id, "r1");
  EXPECT_TRUE(registry.usable(stable_hash("unknown"), "zone-1", kStart).empty());
  registry.replace_all({});
  EXPECT_TRUE(registry.usable(stable_hash("chat"), "zone-1", kStart).empty());
}

TEST(RunnerRegistryTest, ReplaceAllDropsUnlistedRunners) {
  RunnerRegistry registry;
  registry.upsert(make_record("r1"));
  registry.replace_all({make_record("r2")});
  ASSERT_EQ(registry.for_service("chat").size(), 1U);
  EXPECT_EQ(registry.for_service("chat").front()->record().id, "r2");
}

TEST(RunnerTest, LoadIncludesOwnPeerAndReportedRequests) {
  Runner runner(make_record("r1"));
  runner.begin_attempt();
  EXPECT_DOUBLE_EQ(runner.load(kStart), 0.1);
  runner.set_peer_use(2, 0);
  EXPECT_DOUBLE_EQ(runner.load(kStart), 0.3);
  runner.apply_load_report({5, 1, 10}, kStart);  // Three of the six requests are known here.
  EXPECT_DOUBLE_EQ(runner.load(kStart), 0.6);
  runner.begin_attempt();
  EXPECT_DOUBLE_EQ(runner.load(kStart), 0.7);
}

TEST(RunnerTest, LoadReportDecaysWithAge) {
  Runner runner(make_record("r1"));
  runner.apply_load_report({10, 0, 10}, kStart);
  EXPECT_DOUBLE_EQ(runner.load(kStart + std::chrono::milliseconds(100)), 1.0);
  EXPECT_LT(runner.load(kStart + std::chrono::milliseconds(2000)), 0.5);
  EXPECT_DOUBLE_EQ(runner.load(kStart + std::chrono::seconds(5)), 0.0);
}

TEST(RunnerTest, FailuresEjectAndSuccessRestores) {
  Runner runner(make_record("r1"));
  for (int i = 0; i < 2; ++i) {
    runner.begin_attempt();
    runner.end_attempt(AttemptOutcome::kFailed, kStart);
  }
  EXPECT_TRUE(runner.ejected(kStart + std::chrono::milliseconds(100)));
  EXPECT_FALSE(runner.ejected(kStart + std::chrono::seconds(30)));
  runner.begin_attempt();
  runner.end_attempt(AttemptOutcome::kServed, kStart);
  EXPECT_FALSE(runner.ejected(kStart + std::chrono::milliseconds(1)));
  EXPECT_EQ(runner.failures(), 0U);
}

TEST(RunnerTest, BacklogDropsWhenPromptIsProcessed) {
  Runner runner(make_record("r1"));
  runner.begin_attempt(500);
  runner.set_peer_use(1, 200);
  EXPECT_EQ(runner.total_backlog(), 700U);
  runner.record_prompt_processed(500);
  EXPECT_EQ(runner.total_backlog(), 200U);
}

}  // namespace
}  // namespace stoathold
