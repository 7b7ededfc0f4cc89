/// @file
/// Looks up tenants by API key and checks whether a caller may use a route.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tenancy/tenant.h"

namespace stoathold {

/// Result of identifying a caller.
enum class CallerStatus : std::uint8_t {
  kAllowed,     ///< May use the route.
  kKeyMissing,  ///< Sent no key, but the route requires one.
  kKeyUnknown,  ///< Sent a key that belongs to no tenant.
};

/// Returns the status' name for logs.
std::string_view to_string(CallerStatus status);

/// A caller as identified by the current configuration.
struct CallerIdentity {
  CallerStatus status = CallerStatus::kAllowed;
  const Tenant* tenant = nullptr;  ///< Null if anonymous. Valid for the lifetime of the directory.

  [[nodiscard]] bool allowed() const { return status == CallerStatus::kAllowed; }
  /// Returns the tenant's name; empty if the caller is anonymous.
  [[nodiscard]] std::string tenant_name() const { return tenant == nullptr ? "" : tenant->name; }
};

/// The tenants of one version of the configuration. Immutable after publication and readable from
/// any thread.
///
/// Without tenants every caller is anonymous and may use every route, because a deployment that
/// defines no tenants requires no keys.
class TenantDirectory {
 public:
  TenantDirectory() = default;
  explicit TenantDirectory(std::vector<Tenant> tenants);

  [[nodiscard]] const std::vector<Tenant>& tenants() const { return tenants_; }
  /// Returns the tenant that holds the key, or null.
  [[nodiscard]] const Tenant* find_key(std::string_view key) const;
  /// Identifies a caller by the key that it sent, which may be empty.
  /// @param anonymous_access whether the route also serves callers without a valid key.
  [[nodiscard]] CallerIdentity identify(std::string_view key, bool anonymous_access) const;

 private:
  std::vector<Tenant> tenants_;
  std::unordered_map<std::string, std::size_t> index_by_key_;
};

/// Returns a short hash of a key, which allows log lines to be matched without revealing the key.
std::string key_fingerprint(std::string_view key);

}  // namespace stoathold
