/// @file
/// Declarative resources: kinds, validation and typed specifications.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace stoathold {

/// A stored resource. `body` is its specification as JSON text.
struct Resource {
  std::string kind;
  std::string name;
  Offset version{};  ///< Log offset of the accepted change that wrote it.
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, name, version, body);
  }
};

/// Kinds that operators may apply, in the order in which they are listed.
inline constexpr std::string_view kServiceKind = "Service";
inline constexpr std::string_view kModelKind = "Model";
inline constexpr std::string_view kPriorityClassKind = "PriorityClass";
inline constexpr std::string_view kTenantKind = "Tenant";

/// A text-generation service that callers address by name.
struct ServiceSpecification {
  std::string model;                            ///< Name of the model that serves it.
  std::uint32_t runner_slots = 16;              ///< Concurrent streams per runner.
  std::uint32_t first_token_timeout_ms = 2000;  ///< A stream that is silent this long fails.
};

/// A model served by runners.
struct ModelSpecification {
  std::string version;
};

/// A priority class. Larger weights are served first; online work never queues behind batch work.
struct PriorityClassSpecification {
  std::uint32_t weight = 1;
  bool online = true;
};

/// Limits of one tenant, per node.
struct TenantSpecification {
  std::uint32_t max_concurrent = 0;       ///< Concurrent requests; 0: no limit.
  std::uint32_t requests_per_second = 0;  ///< Admission rate; 0: no limit.
};

/// A validation error: the field and the violated rule.
struct FieldError {
  std::string field;
  std::string message;
};

/// Validates a resource's kind, name and specification.
/// @return all errors found; empty if the resource is valid.
std::vector<FieldError> check_resource(std::string_view kind, std::string_view name,
                                       std::string_view body);

/// These parse a specification that passed `check_resource`; absent fields get their defaults.
ServiceSpecification parse_service(std::string_view body);
ModelSpecification parse_model(std::string_view body);
PriorityClassSpecification parse_priority_class(std::string_view body);
TenantSpecification parse_tenant(std::string_view body);

}  // namespace stoathold
