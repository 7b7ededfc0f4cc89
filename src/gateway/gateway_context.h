/// @file
/// State that all requests of the gateway share.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "admission/load_policy.h"
#include "base/memory_budget.h"
#include "base/random.h"
#include "base/startup_progress.h"
#include "gateway/durations_by_route.h"
#include "gateway/fair_shares.h"
#include "gateway/gateway_metrics.h"
#include "gateway/header_dialect.h"
#include "gateway/online_admission.h"
#include "gateway/response_duration_estimator.h"
#include "gateway/upstream.h"
#include "quarantine/quarantine.h"
#include "routing/batch_arbiter.h"
#include "routing/configuration.h"
#include "routing/configuration_confirmation.h"
#include "routing/placement_queue.h"
#include "routing/runner_registry.h"
#include "routing/runner_speed.h"
#include "routing/stream_origins.h"
#include "routing/traffic_split.h"
#include "tenancy/tenant_rate_limiter.h"

namespace stoathold {

/// State of one gateway process. Owned by the program; outlives all requests. Not thread-safe.
struct GatewayContext {
  GatewayContext(boost::asio::any_io_executor executor_in, HeaderDialect dialect_in,
                 std::string zone_in,
                 std::shared_ptr<MemoryBudget> memory_in = std::make_shared<MemoryBudget>())
      : memory(std::move(memory_in)),
        executor(std::move(executor_in)),
        dialect(std::move(dialect_in)),
        zone(std::move(zone_in)),
        origins(executor, runners),
        placement(executor, runners),
        admission(load_policy, runners, placement, zone),
        pool(executor, dialect),
        quarantine([this](std::uint64_t runner) { return runners.life(runner); }) {
    quarantine.set_change_listener([this] { placement.drop_obsolete(); });
    shares.register_with(placement.placement_policy());
  }

  /// Returns a predicate for runner selection: whether the pool has an idle connection to a runner.
  /// @param max_idle_time longest idle time of such a connection.
  [[nodiscard]] std::function<bool(const Runner&)> idle_connection_predicate(
      Duration max_idle_time = Duration::max()) const {
    return [this, max_idle_time](const Runner& runner) {
      return pool.has_idle(runner.record().address, runner.hash(), max_idle_time);
    };
  }

  /// Returns the model of response times for runner selection; null if the policy does not use it.
  [[nodiscard]] const SpeedModel* enabled_speed_model() const {
    return load_policy.uses_runner_speeds ? &speeds : nullptr;
  }

  /// Applies the tenants' limits and shares of a new configuration.
  void set_tenants(const ServingConfiguration& next) {
    tenant_limits.set_tenants(next.tenants, monotonic_now());
    shares.configure(next);
  }

  /// Returns the position of this node in the configuration log.
  [[nodiscard]] ConfigurationPosition configuration_position() const {
    return confirmation == nullptr ? ConfigurationPosition() : confirmation->position();
  }

  /// Returns whether the configuration that is in force when this completes is confirmed as the
  /// newest. Only a confirmed configuration may deny access to callers.
  boost::asio::awaitable<bool> confirm_configuration() {
    if (confirmation == nullptr) co_return true;
    const bool confirmed = co_await confirmation->confirm();
    co_return confirmed;
  }

  /// Claims all trials that one run of a quarantined request needs; see
  /// `QuarantineLog::claim_trial`.
  boost::asio::awaitable<bool> claim_quarantine_trials(std::vector<QuarantineTrial> trials) {
    if (!trial_claimer) co_return false;
    for (const QuarantineTrial& trial : trials) {
      const bool claimed = co_await trial_claimer(trial);
      if (!claimed) co_return false;
    }
    co_return !trials.empty();
  }

  /// Returns whether the list of runners that is known when this completes contains everything that
  /// the directory listed before this call.
  boost::asio::awaitable<bool> confirm_runner_list() {
    if (!runner_list_confirmer) co_return false;
    const bool confirmed = co_await runner_list_confirmer();
    co_return confirmed;
  }

  /// Updates the load policy after a change of the deployment's traits, such as a new configuration
  /// or the first runner that reports its slowness.
  void set_traits(const DeploymentTraits& next) {
    traits = next;
    load_policy = load_policy_for(traits);
    runners.set_lending(load_policy.lends_slots);
  }

  /// Memory budget of the process. Shared with the owner of the event loop, which outlives this:
  /// coroutines that are still suspended when the loop is destroyed release their reservations.
  const std::shared_ptr<MemoryBudget> memory;
  boost::asio::any_io_executor executor;
  HeaderDialect dialect;
  std::string zone;
  /// Random id of this process; selection uses it so that different nodes choose different runners.
  std::uint64_t node = process_random().next();
  std::shared_ptr<const ServingConfiguration> configuration;  ///< Null until the first is loaded.
  /// Confirms that the configuration in force is the newest; null if it cannot change.
  ConfigurationConfirmation* confirmation = nullptr;
  DeploymentTraits traits;
  LoadPolicy load_policy;  ///< Overload policies that are enabled.
  RunnerRegistry runners;
  StreamOrigins origins;
  TrafficSplit split;
  PlacementQueue placement;
  OnlineAdmission admission;
  BatchArbiter batch_arbiter;  ///< Shared by the nodes of the zone.
  FairShares shares{load_policy};
  UpstreamPool pool;
  Quarantine quarantine;
  /// Null: quarantined requests are not tried.
  std::function<boost::asio::awaitable<bool>(QuarantineTrial)> trial_claimer;
  /// Reads the directory's list to its end; null: it cannot be confirmed.
  std::function<boost::asio::awaitable<bool>()> runner_list_confirmer;
  GatewayMetrics metrics;
  StartupProgress startup{monotonic_now()};
  TenantRateLimiter tenant_limits;
  DurationsByRoute first_event_times;            ///< From sending a request to its first event.
  ResponseDurationEstimator response_durations;  ///< Of batch items.
  SpeedModel speeds;                             ///< Of all routes at runners of all services.
  TimePoint invalid_slowness_logged_at{};        ///< Last log event of an invalid report.
};

}  // namespace stoathold
