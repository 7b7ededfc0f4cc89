#include "tenancy/tenant_directory.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TenantDirectory two_tenants() {
  return TenantDirectory({{"alder", {"key-a1", "key-a2"}, 1, {}}, {"birch", {"key-b"}, {}, {}}});
}

TEST(TenantDirectoryTest, IdentifiesTenantsByKey) {
  const TenantDirectory directory = two_tenants();
  EXPECT_EQ(directory.identify("key-a2", false).tenant_name(), "alder");
  EXPECT_EQ(directory.identify("key-b", false).tenant_name(), "birch");
  EXPECT_EQ(directory.identify("key-a1", false).tenant->priority, 1U);
  EXPECT_EQ(directory.identify("key-d", false).tenant, nullptr);
}

TEST(TenantDirectoryTest, DistinguishesUnknownAndMissingKeys) {
  const TenantDirectory directory = two_tenants();
  EXPECT_EQ(directory.identify("key-c", false).status, CallerStatus::kKeyUnknown);
  EXPECT_EQ(directory.identify("", false).status, CallerStatus::kKeyMissing);
}

TEST(TenantDirectoryTest, AnonymousAccessNeedsNoKeyButAKeyIdentifiesItsTenant) {
  const TenantDirectory directory = two_tenants();
  EXPECT_TRUE(directory.identify("", true).allowed());
  EXPECT_TRUE(directory.identify("key-c", true).allowed());
  EXPECT_EQ(directory.identify("key-c", true).tenant_name(), "");
  EXPECT_EQ(directory.identify("key-b", true).tenant_name(), "birch");
}

TEST(TenantDirectoryTest, WithoutTenantsNoKeyIsRequired) {
  const TenantDirectory directory;
  EXPECT_TRUE(directory.identify("", false).allowed());
  EXPECT_TRUE(directory.identify("any", false).allowed());
}

TEST(TenantDirectoryTest, FingerprintDoesNotRevealTheKey) {
  const std::string fingerprint = key_fingerprint("wyy7yx5x42q492cqf75r");
  EXPECT_EQ(fingerprint.size(), 6U);
  EXPECT_EQ(fingerprint.find("wyy"), std::string::npos);
  EXPECT_EQ(fingerprint, key_fingerprint("wyy7yx5x42q492cqf75r"));
  EXPECT_EQ(key_fingerprint(""), "none");
}

}  // namespace
}  // namespace stoathold
