/// @file
/// Selects the overload control mechanisms that a deployment needs.
#pragma once

namespace stoathold {

/// Properties of a deployment that determine its policy.
struct DeploymentTraits {
  /// The configuration names tenants: callers compete, and each must get its share.
  bool has_tenants = false;
  /// A runner reports how much its shared machine slows it down: the speed of runners varies over
  /// time.
  bool reports_slowness = false;
};

/// Enables single overload control mechanisms. With all off, requests are routed by load alone. The
/// flags are set from the traits and from nothing else, so that a test or an experiment can turn
/// off each one separately.
struct LoadPolicy {
  bool predicts_wait_times = false;  ///< Rejects requests at once that cannot be served in time.
  bool uses_fair_shares = false;     ///< Orders tenants, routes and services by their recent use.
  bool uses_runner_speeds = false;   ///< Chooses runners by predicted completion time.
  bool lends_slots = false;          ///< Zones lend slots to one another.
  bool distributes_batch_runners =
      false;                        ///< Distributes batch runners among the nodes where items wait.
  bool reuses_connections = false;  ///< Each node uses few runners, over persistent connections.
};

/// Returns the policy for a deployment's traits.
LoadPolicy load_policy_for(const DeploymentTraits& traits);

}  // namespace stoathold
