#include "gateway/caller_check.h"

namespace stoathold {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

void refuse(CallerCheck& check, int status, const char* reason) {
  check.status = status;
  check.reason = reason;
}

}  // namespace

CallerCheck check_caller(const ServingConfiguration& configuration, const HeaderDialect& dialect,
                         const HttpExchange& exchange) {
  CallerCheck check;
  const std::string host = normalize_host(exchange.header("Host"));
  check.route = configuration.find_route(host, path_of(exchange.target()));
  check.caller.key = std::string(exchange.header(dialect.api_key));
  const bool anonymous_access = check.route == nullptr || check.route->anonymous_access;
  const CallerIdentity identity =
      configuration.tenants.identify(check.caller.key, anonymous_access);
  const bool keys_in_use = !configuration.tenants.tenants().empty();
  const bool unknown_key = keys_in_use && !check.caller.key.empty() && identity.tenant == nullptr;
  if (!identity.allowed() || (check.route == nullptr && unknown_key)) {
    refuse(check, kUnauthorized, check.caller.key.empty() ? "key_missing" : "key_unknown");
    return check;
  }
  if (check.route == nullptr) {
    refuse(check, kNotFound, "no_route");
    return check;
  }
  check.tenant = identity.tenant;
  check.caller.tenant = identity.tenant_name();
  if (identity.tenant != nullptr) check.caller.priority = identity.tenant->priority;
  return check;
}

bool is_still_allowed(const ServingConfiguration& configuration, const Route& route,
                      const Caller& caller) {
  const Route* current = configuration.find_route(route.host, route.path_prefix);
  const bool anonymous_access =
      current == nullptr ? route.anonymous_access : current->anonymous_access;
  return configuration.tenants.identify(caller.key, anonymous_access).allowed();
}

}  // namespace stoathold
