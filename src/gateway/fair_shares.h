/// @file
/// Fair shares of slots among tenants and routes: connects the turns to the placement queue, the
/// digests between nodes, the configuration, logs and metrics.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/fair_turns.h"
#include "admission/kind_watch.h"
#include "admission/load_policy.h"
#include "admission/share_ledger.h"
#include "routing/configuration.h"
#include "routing/load_messages.h"
#include "routing/peer_loads.h"
#include "routing/placement_queue.h"

namespace stoathold {

/// One tenant at one service, for metrics.
struct TenantShareRow {
  std::string service;
  std::string tenant;          ///< "other" beyond a number of tenants.
  double waiting_seconds = 0;  ///< Slot time that requests which wait here are predicted to take.
  double given_seconds = 0;    ///< Slot time given by this node since its start.
  double over_part = 0;        ///< Slot time lately at all nodes by its part; 1: just its part.
};

/// Gives out turns while the policy shares fairly; counts in any case, so that the policy may
/// change at any moment. Used on one thread; the policy outlives it.
class FairShares {
 public:
  explicit FairShares(const LoadPolicy& policy) : policy_(policy), turns_(ledger_) {}
  FairShares(const FairShares&) = delete;
  FairShares& operator=(const FairShares&) = delete;

  /// A configuration is in force: takes the tenants' weights and the priorities from it.
  void configure(const ServingConfiguration& configuration);
  /// Fills in the decisions that this makes for a placement queue.
  void add_to(PlacementDecisions& decisions);
  /// Returns what this adds to the digests inside the zone, and takes from them.
  [[nodiscard]] DigestPart digest_part();
  /// Adds this node's use to a digest; nothing while the policy does not share fairly.
  void report(LoadDigest& digest, bool thorough, TimePoint now) const;
  /// Takes what another node of the zone reports.
  void take(const LoadDigest& digest, TimePoint now);

  [[nodiscard]] std::vector<TenantShareRow> tenant_rows(TimePoint now) const;
  [[nodiscard]] const KindWatch& kinds() const { return kinds_; }

 private:
  /// Names and counters of one tenant at one service.
  struct TenantCount {
    ShareKey key;
    double given_seconds = 0;
    TimePoint told{};  ///< When it was last logged to be above its part.
  };
  using TenantCounts = std::map<std::pair<std::string, std::string>, TenantCount>;

  double turn(const PlacementRequest& request, TimePoint now);
  void placed(const PlacementRequest& request, TimePoint now);
  void left(const PlacementRequest& request, TimePoint now);
  [[nodiscard]] bool yields(const PlacementRequest& request) const;
  [[nodiscard]] bool is_least_urgent(const PlacementRequest& request) const;
  void log_above(const PlacementRequest& request, TimePoint now);
  void log_inversions(TimePoint now);
  TenantCount& count_of(const PlacementRequest& request);

  const LoadPolicy& policy_;
  ShareLedger ledger_;
  FairTurns turns_;
  KindWatch kinds_;
  TenantCounts tenants_;
  /// Of online work, by service: the greatest priority number that a route or tenant gives.
  std::unordered_map<std::string, std::uint32_t> least_urgent_;
  bool has_tenants_ = false;  ///< The configuration names some.
  TimePoint looked_after_{};  ///< When things were last forgotten and inversions looked for.
};

}  // namespace stoathold
