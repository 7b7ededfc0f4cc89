#include "admission/load_policy.h"

namespace stoathold {

LoadPolicy load_policy_for(const DeploymentTraits& traits) {
  const bool overload_control = traits.has_tenants || traits.reports_slowness;
  return {.predicts_waits = overload_control,
          .shares_fairly = overload_control,
          .knows_speeds = traits.reports_slowness,
          .lends_slots = overload_control,
          .deals_batch = overload_control,
          .keeps_connections = overload_control};
}

}  // namespace stoathold
