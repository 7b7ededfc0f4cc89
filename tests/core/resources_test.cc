#include "core/resources.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(ResourcesTest, ValidServiceHasNoErrors) {
  EXPECT_TRUE(check_resource("Service", "assistant", R"({"model":"m","runner_slots":8})").empty());
}

TEST(ResourcesTest, EveryErrorNamesItsField) {
  const auto errors = check_resource("Service", "assistant", R"({"runner_slots":0,"modle":"m"})");
  ASSERT_EQ(errors.size(), 3U);
  EXPECT_EQ(errors[0].field, "model");
  EXPECT_EQ(errors[1].field, "runner_slots");
  EXPECT_EQ(errors[2].field, "modle");
}

TEST(ResourcesTest, RejectsUnknownKindsAndInvalidNames) {
  EXPECT_EQ(check_resource("Servce", "a", "{}").front().field, "kind");
  EXPECT_EQ(check_resource("Tenant", "Has Spaces", "{}").front().field, "name");
  EXPECT_EQ(check_resource("Tenant", "a", "[]").front().field, "spec");
}

TEST(ResourcesTest, AbsentFieldsHaveDefaults) {
  EXPECT_EQ(parse_service(R"({"model":"m"})").runner_slots, 16U);
  EXPECT_TRUE(parse_priority_class(R"({"weight":3})").online);
  EXPECT_EQ(parse_tenant("{}").max_concurrent, 0U);
}

}  // namespace
}  // namespace stoathold
