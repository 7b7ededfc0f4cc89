/// @file
/// Finds the tenant that a key belongs to, and says whether a caller may use a route.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tenancy/tenant.h"

namespace stoathold {

/// What is known of a caller.
enum class CallerStatus : std::uint8_t {
  kAllowed,     ///< May use the route.
  kKeyMissing,  ///< Sent no key, and the route wants one.
  kKeyUnknown,  ///< Sent a key that no tenant has.
};

/// Returns the status' name for logs.
std::string_view to_string(CallerStatus status);

/// A caller as the configuration in force knows it.
struct CallerIdentity {
  CallerStatus status = CallerStatus::kAllowed;
  const Tenant* tenant = nullptr;  ///< Null: anonymous. Valid as long as the directory.

  [[nodiscard]] bool allowed() const { return status == CallerStatus::kAllowed; }
  /// Returns the tenant's name; empty if the caller is anonymous.
  [[nodiscard]] std::string tenant_name() const { return tenant == nullptr ? "" : tenant->name; }
};

/// The tenants of one version of the configuration. Immutable once published; read by any thread.
///
/// Without tenants every caller is anonymous and may use every route: a deployment that knows none
/// asks for no keys.
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

/// Returns a short hash of a key, by which log lines can be matched without giving the key away.
std::string key_fingerprint(std::string_view key);

}  // namespace stoathold
