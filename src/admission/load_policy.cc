#include "admission/load_policy.h"

namespace stoathold {

LoadPolicy load_policy_for(const DeploymentTraits& traits) {
  const bool hard_load = traits.has_tenants || traits.reports_slowness;
  return {.predicts_waits = hard_load,
          .shares_fairly = hard_load,
          .knows_speeds = traits.reports_slowness,
          .lends_slots = hard_load,
          .deals_batch = hard_load,
          .keeps_connections = hard_load};
}

}  // namespace stoathold
