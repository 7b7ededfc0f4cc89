#include "core/configuration_system.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

class ConfigurationSystemTest : public ::testing::Test {
 protected:
  static std::string bytes(std::uint64_t sequence, std::uint64_t expected) {
    const ResourceChange change{"Tenant", "centre", Offset{expected}, false, "{}"};
    return encode(ConfigurationEntry{{NodeId{9}, Incarnation{1}, sequence}, change});
  }

  /// Returns the snapshot of a peer that has applied entries 1 to `count`.
  ConfigurationSnapshot snapshot(std::uint64_t count) {
    ConfigurationState state;
    for (std::uint64_t i = 1; i <= count; ++i) {
      ConfigurationEntry entry;
      decode(bytes(i, i - 1), entry);
      state.apply(Offset{i}, entry);
    }
    return {encode_configuration(state)};
  }

  std::uint64_t version() {
    const auto resource = system_.find("Tenant", "centre");
    return resource ? value_of(resource->version) : 0;
  }

  Knobs knobs_;
  TimePoint now_{std::chrono::seconds(10)};
  Effects effects_;
  ConfigurationSystem system_{NodeId{1}, Incarnation{1}, knobs_};
};

TEST_F(ConfigurationSystemTest, LateOlderSnapshotIsIgnored) {
  system_.on_snapshot(snapshot(5), now_, effects_);
  EXPECT_EQ(version(), 5U);
  system_.on_snapshot(snapshot(3), now_, effects_);
  EXPECT_EQ(version(), 5U);
}

TEST_F(ConfigurationSystemTest, EntriesAfterGapAreNotApplied) {
  system_.on_entries({Offset{2}, {bytes(2, 1)}}, now_, effects_);
  EXPECT_EQ(version(), 0U);
  system_.on_entries({Offset{1}, {bytes(1, 0), bytes(2, 1)}}, now_, effects_);
  EXPECT_EQ(version(), 2U);
}

TEST_F(ConfigurationSystemTest, ChangeWithLostAppendResponseCompletesOnceApplied) {
  system_.start_change(7, {"Tenant", "centre", Offset{}, false, "{}"}, now_, effects_);
  const auto append = std::get<AppendToLog>(effects_.back());
  effects_.clear();
  system_.on_log_appended(append.token, LogStatus::kUnknown, Offset{}, now_, effects_);
  EXPECT_TRUE(effects_.empty());
  system_.on_entries({Offset{1}, {append.bytes, append.bytes}}, now_, effects_);
  ASSERT_EQ(effects_.size(), 1U);
  const auto answer = std::get<AnswerChange>(effects_.front());
  EXPECT_TRUE(answer.accepted);
  EXPECT_EQ(answer.version, Offset{1});
}

TEST_F(ConfigurationSystemTest, ChangeWithoutResponseTimesOutAsUnknown) {
  system_.start_change(7, {"Tenant", "centre", Offset{}, false, "{}"}, now_, effects_);
  effects_.clear();
  system_.tick(false, now_ + knobs_.call_timeout, effects_);
  const auto answer = std::get<AnswerChange>(effects_.back());
  EXPECT_FALSE(answer.accepted);
  EXPECT_EQ(answer.error.execution, Execution::kUnknown);
}

TEST_F(ConfigurationSystemTest, NodeIsNotCurrentUntilItReachesPeerOffset) {
  EXPECT_TRUE(system_.on_peer_offset(Offset{3}, now_));
  system_.tick(false, now_ + knobs_.heartbeat_period * 3, effects_);
  EXPECT_FALSE(system_.current());
  system_.on_snapshot(snapshot(2), now_ + knobs_.heartbeat_period * 3, effects_);
  EXPECT_TRUE(system_.current());
}

}  // namespace
}  // namespace stoathold
