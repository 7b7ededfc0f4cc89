/// @file
/// What every request of the gateway shares.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "admission/load_policy.h"
#include "base/memory_budget.h"
#include "base/random.h"
#include "base/start_progress.h"
#include "gateway/answer_pace.h"
#include "gateway/durations_by_route.h"
#include "gateway/fair_shares.h"
#include "gateway/gateway_metrics.h"
#include "gateway/header_dialect.h"
#include "gateway/online_admission.h"
#include "gateway/upstream.h"
#include "quarantine/quarantine.h"
#include "routing/batch_turns.h"
#include "routing/configuration.h"
#include "routing/configuration_confirmation.h"
#include "routing/placement_queue.h"
#include "routing/runner_registry.h"
#include "routing/runner_speed.h"
#include "routing/traffic_split.h"
#include "tenancy/tenant_limits.h"

namespace stoathold {

/// State of one gateway process. Owned by the program, outlives all requests; one thread.
struct GatewayContext {
  GatewayContext(boost::asio::any_io_executor executor_in, HeaderDialect dialect_in,
                 std::string zone_in,
                 std::shared_ptr<MemoryBudget> memory_in = std::make_shared<MemoryBudget>())
      : memory(std::move(memory_in)),
        executor(std::move(executor_in)),
        dialect(std::move(dialect_in)),
        zone(std::move(zone_in)),
        placement(executor, runners),
        admission(load_policy, runners, placement, zone),
        pool(executor, dialect),
        quarantine([this](std::uint64_t runner) { return runners.last_heard(runner); }) {
    quarantine.set_change_listener([this] { placement.drop_hopeless(); });
    shares.add_to(placement.decisions());
  }

  /// Returns the predicate of choices between runners: whether an idle connection to it is kept.
  /// @param longest_rest for which it may have rested.
  [[nodiscard]] std::function<bool(const Runner&)> connected(
      Duration max_idle_time = Duration::max()) const {
    return [this, max_idle_time](const Runner& runner) {
      return pool.has_idle(runner.record().address, runner.hash(), max_idle_time);
    };
  }

  /// Returns what choices between runners may know of the times of answers; null: nothing.
  [[nodiscard]] const SpeedModel* known_speeds() const {
    return load_policy.knows_speeds ? &speeds : nullptr;
  }

  /// A configuration is in force: takes the tenants' limits and shares from it.
  void set_tenants(const ServingConfiguration& next) {
    tenant_limits.set_tenants(next.tenants, monotonic_now());
    shares.configure(next);
  }

  /// Returns where this node stands in the log of the configuration.
  [[nodiscard]] ConfigurationPosition configuration_position() const {
    return confirmation == nullptr ? ConfigurationPosition() : confirmation->position();
  }

  /// Whether the configuration that is in force afterwards is the newest, so that callers may be
  /// denied by it.
  boost::asio::awaitable<bool> confirm_configuration() {
    if (confirmation == nullptr) co_return true;
    const bool confirmed = co_await confirmation->confirm();
    co_return confirmed;
  }

  /// The deployment shows something else of itself: a configuration is in force, or a runner has
  /// reported its slowness.
  void set_traits(const DeploymentTraits& next) {
    traits = next;
    load_policy = load_policy_for(traits);
    runners.set_lending(load_policy.lends_slots);
  }

  /// Of the process. Shared with whoever owns the event loop, which outlives this: coroutines that
  /// still wait when the loop ends give back what they hold.
  const std::shared_ptr<MemoryBudget> memory;
  boost::asio::any_io_executor executor;
  HeaderDialect dialect;
  std::string zone;
  /// What stands for this process where nodes are to choose differently.
  std::uint64_t node = process_random().next();
  std::shared_ptr<const ServingConfiguration> configuration;  ///< Null until the first is known.
  /// Confirms that the configuration in force is the newest; null: nothing can replace it.
  ConfigurationConfirmation* confirmation = nullptr;
  DeploymentTraits traits;
  LoadPolicy load_policy;  ///< Decisions for hard load that are on.
  RunnerRegistry runners;
  TrafficSplit split;
  PlacementQueue placement;
  OnlineAdmission admission;
  BatchTurns batch_turns;  ///< Of the nodes of the zone.
  FairShares shares{load_policy};
  UpstreamPool pool;
  Quarantine quarantine;
  GatewayMetrics metrics;
  StartProgress start_progress{monotonic_now()};
  TenantLimits tenant_limits;
  DurationsByRoute first_event_times;  ///< From the sending of a request to its first event.
  AnswerPace answer_pace;              ///< Of batch items.
  SpeedModel speeds;                   ///< Of all routes at runners of all services.
  TimePoint false_slowness_logged{};   ///< When a false figure was last logged.
};

}  // namespace stoathold
