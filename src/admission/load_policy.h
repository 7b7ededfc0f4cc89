/// @file
/// Which decisions for hard load a node makes: those that its deployment calls for.
#pragma once

namespace stoathold {

/// What a deployment shows of itself.
struct DeploymentTraits {
  /// The configuration names tenants: callers compete, and each is to have its share.
  bool has_tenants = false;
  /// A runner reports how slow its shared machine makes it: runners differ from moment to moment.
  bool reports_slowness = false;
};

/// Switches of the decisions; all off, a fleet is served by load alone. The switches are set from
/// the traits and by nothing else, so that a test or a trial can turn each off by itself.
struct LoadPolicy {
  bool predicts_waits = false;     ///< Rejects at once what cannot be served in its time.
  bool shares_fairly = false;      ///< Tenants, routes and services take turns by what they used.
  bool knows_speeds = false;       ///< Chooses runners by when they will have answered.
  bool lends_slots = false;        ///< Zones lend one another slots.
  bool deals_batch = false;        ///< Deals a zone's runners among nodes where items wait.
  bool keeps_connections = false;  ///< Uses few runners a node, over connections that it keeps.
};

/// Returns the switches that a deployment's traits call for.
LoadPolicy load_policy_for(const DeploymentTraits& traits);

}  // namespace stoathold
