#include "core/configuration_state.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

ConfigurationEntry entry(std::uint64_t sequence, std::uint64_t expected, std::string body,
                         bool deleted = false) {
  const AppendId id{NodeId{1}, Incarnation{1}, sequence};
  return {id, {"Tenant", "centre", Offset{expected}, deleted, std::move(body)}};
}

TEST(ConfigurationStateTest, FirstOfConflictingChangesInLogOrderWins) {
  ConfigurationState state;
  EXPECT_EQ(state.apply(Offset{1}, entry(1, 0, "{}")), ConfigurationApplyResult::kAccepted);
  EXPECT_EQ(state.apply(Offset{2}, entry(2, 1, R"({"max_concurrent":1})")),
            ConfigurationApplyResult::kAccepted);
  EXPECT_EQ(state.apply(Offset{3}, entry(3, 1, R"({"max_concurrent":2})")),
            ConfigurationApplyResult::kConflict);
  EXPECT_EQ(state.find("Tenant", "centre")->version, Offset{2});
}

TEST(ConfigurationStateTest, DuplicateCreateDoesNotRevertDelete) {
  ConfigurationState state;
  state.apply(Offset{1}, entry(1, 0, "{}"));
  state.apply(Offset{2}, entry(2, 1, "", true));
  EXPECT_EQ(state.apply(Offset{3}, entry(1, 0, "{}")), ConfigurationApplyResult::kDuplicate);
  EXPECT_EQ(state.find("Tenant", "centre"), nullptr);
}

TEST(ConfigurationStateTest, OlderOffsetIsIgnored) {
  ConfigurationState state;
  state.apply(Offset{1}, entry(1, 0, "{}"));
  state.apply(Offset{2}, entry(2, 1, R"({"max_concurrent":1})"));
  EXPECT_EQ(state.apply(Offset{1}, entry(9, 0, "{}")), ConfigurationApplyResult::kDuplicate);
  EXPECT_EQ(state.next_offset(), Offset{3});
}

TEST(ConfigurationStateTest, ResultOfAppliedChangeIsAvailable) {
  ConfigurationState state;
  const auto change = entry(1, 5, "{}");
  EXPECT_FALSE(state.result_of(change.id));
  state.apply(Offset{1}, change);
  EXPECT_EQ(state.result_of(change.id)->first, ConfigurationApplyResult::kConflict);
}

TEST(ConfigurationStateTest, EncodedStateRoundTrips) {
  ConfigurationState state;
  state.apply(Offset{1}, entry(1, 0, "{}"));
  ConfigurationState copy;
  ASSERT_TRUE(decode_configuration(encode_configuration(state), copy));
  EXPECT_EQ(copy.next_offset(), state.next_offset());
  EXPECT_NE(copy.find("Tenant", "centre"), nullptr);
}

}  // namespace
}  // namespace stoathold
