/// @file
/// Ranking strategies that the simulation compares.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "tests/admission/fair_share_simulation.h"

namespace stoathold::share_replay {

/// Orders by due time alone, as nodes without fair shares do.
class ByDueTime : public RankingStrategy {
 public:
  double add_and_rank(const FairShareRequest&, TimePoint) override { return 0; }
  void on_placed(const FairShareRequest&, double, TimePoint) override {}
  void on_unplaced(const FairShareRequest&) override {}
};

/// Start-time fair queueing with a virtual time per node; all tenants have the same weight.
class StartTimeQueueing : public RankingStrategy {
 public:
  double add_and_rank(const FairShareRequest& request, TimePoint) override {
    double& finish = finish_[request.key.tenant];
    const double start = std::max(virtual_time_, finish);
    finish = start + to_seconds(request.slot_time);
    return start;
  }
  void on_placed(const FairShareRequest&, double rank, TimePoint) override {
    virtual_time_ = std::max(virtual_time_, rank);
  }
  void on_unplaced(const FairShareRequest&) override {}

 private:
  std::unordered_map<std::uint64_t, double> finish_;
  double virtual_time_ = 0;
};

/// Ranks by recent use, either of this node alone or of all nodes that report theirs.
class ByUse : public RankingStrategy {
 public:
  ByUse(bool reports, std::unordered_map<std::uint64_t, double> weights) : reports_(reports) {
    ledger_.set_weights(std::move(weights));
  }
  double add_and_rank(const FairShareRequest& request, TimePoint now) override {
    return ranker_.add_and_rank(request, now);
  }
  void on_placed(const FairShareRequest& request, double, TimePoint now) override {
    ranker_.on_placed(request, now);
  }
  void on_unplaced(const FairShareRequest& request) override { ranker_.on_unplaced(request); }
  std::vector<SlotTimeReport> report(TimePoint now) override {
    constexpr std::size_t kMaxInDigest = 16;
    if (!reports_) return {};
    return ledger_.changes(std::chrono::milliseconds(250), kMaxInDigest, now);
  }
  void apply_report(std::uint64_t node, const std::vector<SlotTimeReport>& uses,
                    TimePoint now) override {
    for (const SlotTimeReport& use : uses) ledger_.apply_report(node, use, now);
  }

 private:
  bool reports_;
  SlotTimeLedger ledger_;
  FairShareRanker ranker_{ledger_};
};

/// @param weights by tenant; all others have weight 1.
inline StrategyFactory by_use(bool reports, const std::vector<double>& weights = {}) {
  return [=] {
    std::unordered_map<std::uint64_t, double> by_tenant;
    for (std::size_t i = 0; i < weights.size(); ++i) by_tenant[i + 1] = weights[i];
    return std::make_unique<ByUse>(reports, std::move(by_tenant));
  };
}

/// Ten tenants, of which the first requests `flood` times its fair share. With `flood` = 10
/// together they request `load_factor` times the slot capacity.
inline Scenario ten_tenants(std::size_t nodes, double load_factor, double flood) {
  constexpr double kTenants = 10;
  Scenario scenario;
  scenario.nodes = nodes;
  const double slot_capacity = static_cast<double>(scenario.slots) / kMeanSlotSeconds;
  const double fair_share = load_factor * slot_capacity / (kTenants - 1 + 10);
  scenario.rates.assign(static_cast<std::size_t>(kTenants), fair_share);
  scenario.rates[0] *= flood;
  scenario.one_partitioned = nodes > 1;
  return scenario;
}

}  // namespace stoathold::share_replay
