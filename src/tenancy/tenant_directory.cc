#include "tenancy/tenant_directory.h"

#include "base/ids.h"

namespace stoathold {

std::string_view to_string(CallerStatus status) {
  switch (status) {
    case CallerStatus::kAllowed:
      return "allowed";
    case CallerStatus::kKeyMissing:
      return "key_missing";
    case CallerStatus::kKeyUnknown:
      break;
  }
  return "key_unknown";
}

TenantDirectory::TenantDirectory(std::vector<Tenant> tenants) : tenants_(std::move(tenants)) {
  for (std::size_t index = 0; index < tenants_.size(); ++index) {
    for (const auto& key : tenants_[index].keys) index_by_key_.emplace(key, index);
  }
}

const Tenant* TenantDirectory::find_key(std::string_view key) const {
  const auto found = index_by_key_.find(std::string(key));
  return found == index_by_key_.end() ? nullptr : &tenants_[found->second];
}

CallerIdentity TenantDirectory::identify(std::string_view key, bool anonymous_access) const {
  CallerIdentity caller;
  caller.tenant = find_key(key);
  const bool open = tenants_.empty() || anonymous_access;
  if (caller.tenant != nullptr || open) return caller;
  caller.status = key.empty() ? CallerStatus::kKeyMissing : CallerStatus::kKeyUnknown;
  return caller;
}

std::string key_fingerprint(std::string_view key) {
  constexpr std::size_t kDigits = 6;
  return key.empty() ? "none" : to_hex(stable_hash(key)).substr(0, kDigits);
}

}  // namespace stoathold
