#include "core/resources.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace stoathold {
namespace {

namespace json = boost::json;

enum class FieldType { kText, kCount, kFlag };

struct FieldRule {
  std::string_view name;
  FieldType type;
  bool required = false;
  std::uint64_t minimum = 0;
  std::uint64_t maximum = UINT32_MAX;
};

constexpr std::size_t kMaxNameLength = 63;
constexpr std::uint64_t kMaxSlots = 4096;
constexpr std::uint64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kMaxWeight = 1'000'000;

constexpr std::array kServiceRules{
    FieldRule{"model", FieldType::kText, true},
    FieldRule{"runner_slots", FieldType::kCount, false, 1, kMaxSlots},
    FieldRule{"first_token_timeout_ms", FieldType::kCount, false, 1, kMaxTimeoutMs},
};
constexpr std::array kModelRules{FieldRule{"version", FieldType::kText, true}};
constexpr std::array kPriorityClassRules{
    FieldRule{"weight", FieldType::kCount, true, 1, kMaxWeight},
    FieldRule{"online", FieldType::kFlag},
};
constexpr std::array kTenantRules{
    FieldRule{"max_concurrent", FieldType::kCount},
    FieldRule{"requests_per_second", FieldType::kCount},
};

struct KindRules {
  std::string_view kind;
  const FieldRule* rules;
  std::size_t count;
};

constexpr std::array kKinds{
    KindRules{kServiceKind, kServiceRules.data(), kServiceRules.size()},
    KindRules{kModelKind, kModelRules.data(), kModelRules.size()},
    KindRules{kPriorityClassKind, kPriorityClassRules.data(), kPriorityClassRules.size()},
    KindRules{kTenantKind, kTenantRules.data(), kTenantRules.size()},
};

bool valid_name(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), allowed);
}

std::string check_field(const FieldRule& rule, const json::value& value) {
  switch (rule.type) {
    case FieldType::kText:
      if (!value.is_string() || value.get_string().empty()) return "must be a non-empty string";
      return "";
    case FieldType::kFlag:
      return value.is_bool() ? "" : "must be true or false";
    case FieldType::kCount:
      break;
  }
  boost::system::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  if (!error && value.is_number() && number >= rule.minimum && number <= rule.maximum) return "";
  return "must be a whole number from " + std::to_string(rule.minimum) + " to " +
         std::to_string(rule.maximum);
}

void check_fields(const KindRules& kind, const json::object& body,
                  std::vector<FieldError>& errors) {
  for (std::size_t i = 0; i < kind.count; ++i) {
    const auto& rule = kind.rules[i];
    const auto* value = body.if_contains(rule.name);
    if (value == nullptr) {
      if (rule.required) errors.push_back({std::string(rule.name), "is required"});
      continue;
    }
    const std::string message = check_field(rule, *value);
    if (!message.empty()) errors.push_back({std::string(rule.name), message});
  }
  for (const auto& member : body) {
    const bool known = std::any_of(kind.rules, kind.rules + kind.count, [&](const FieldRule& rule) {
      return rule.name == member.key();
    });
    if (!known) errors.push_back({std::string(member.key()), "is not a field of this kind"});
  }
}

json::object parse_object(std::string_view body) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(body.data(), body.size()), error);
  return !error && value.is_object() ? value.get_object() : json::object{};
}

std::uint32_t count_or(const json::object& body, std::string_view field, std::uint32_t fallback) {
  const auto* value = body.if_contains(field);
  if (value == nullptr) return fallback;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint32_t>(error);
  return error ? fallback : number;
}

std::string text_or_empty(const json::object& body, std::string_view field) {
  const auto* value = body.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

}  // namespace

std::vector<FieldError> check_resource(std::string_view kind, std::string_view name,
                                       std::string_view body) {
  std::vector<FieldError> errors;
  const auto rules = std::find_if(kKinds.begin(), kKinds.end(),
                                  [&](const KindRules& entry) { return entry.kind == kind; });
  if (rules == kKinds.end()) {
    errors.push_back({"kind", "must be Service, Model, PriorityClass or Tenant"});
    return errors;
  }
  if (!valid_name(name)) {
    errors.push_back({"name", "must be 1 to 63 characters of a-z, 0-9, '-' and '.'"});
  }
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !value.is_object()) {
    errors.push_back({"spec", "must be a JSON object"});
    return errors;
  }
  check_fields(*rules, value.get_object(), errors);
  return errors;
}

ServiceSpecification parse_service(std::string_view body) {
  const auto object = parse_object(body);
  ServiceSpecification service;
  service.model = text_or_empty(object, "model");
  service.runner_slots = count_or(object, "runner_slots", service.runner_slots);
  service.first_token_timeout_ms =
      count_or(object, "first_token_timeout_ms", service.first_token_timeout_ms);
  return service;
}

ModelSpecification parse_model(std::string_view body) {
  return {text_or_empty(parse_object(body), "version")};
}

PriorityClassSpecification parse_priority_class(std::string_view body) {
  const auto object = parse_object(body);
  PriorityClassSpecification priority;
  priority.weight = count_or(object, "weight", priority.weight);
  const auto* online = object.if_contains("online");
  if (online != nullptr && online->is_bool()) priority.online = online->get_bool();
  return priority;
}

TenantSpecification parse_tenant(std::string_view body) {
  const auto object = parse_object(body);
  return {count_or(object, "max_concurrent", 0), count_or(object, "requests_per_second", 0)};
}

}  // namespace stoathold
