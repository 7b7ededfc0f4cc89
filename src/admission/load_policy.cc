#include "admission/load_policy.h"

namespace stoathold {

LoadPolicy load_policy_for(const DeploymentTraits& traits) {
  const bool overload_control = traits.has_tenants || traits.reports_slowness;
  return {.predicts_wait_times = overload_control,
          .uses_fair_shares = overload_control,
          .uses_runner_speeds = traits.reports_slowness,
          .lends_slots = overload_control,
          .distributes_batch_runners = overload_control,
          .reuses_connections = overload_control};
}

}  // namespace stoathold
