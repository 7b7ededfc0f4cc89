/// @file
/// The ways to order waiting requests that the replay compares.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "tests/admission/share_replay.h"

namespace stoathold::share_replay {

/// By due time alone: what nodes do that do not share fairly.
class ByDueTime : public Turns {
 public:
  double arrive(const TurnRequest&, TimePoint) override { return 0; }
  void placed(const TurnRequest&, double, TimePoint) override {}
  void left(const TurnRequest&) override {}
};

/// Start-time fair queueing by each node's own virtual time; tenants weigh alike.
class StartTimeQueueing : public Turns {
 public:
  double arrive(const TurnRequest& request, TimePoint) override {
    double& finish = finish_[request.key.tenant];
    const double start = std::max(virtual_time_, finish);
    finish = start + to_seconds(request.slot_time);
    return start;
  }
  void placed(const TurnRequest&, double turn, TimePoint) override {
    virtual_time_ = std::max(virtual_time_, turn);
  }
  void left(const TurnRequest&) override {}

 private:
  std::unordered_map<std::uint64_t, double> finish_;
  double virtual_time_ = 0;
};

/// By use of the last seconds, of this node or of all that report theirs.
class ByUse : public Turns {
 public:
  ByUse(bool reports, std::unordered_map<std::uint64_t, double> weights) : reports_(reports) {
    ledger_.set_weights(std::move(weights));
  }
  double arrive(const TurnRequest& request, TimePoint now) override {
    return turns_.arrive(request, now);
  }
  void placed(const TurnRequest& request, double, TimePoint now) override {
    turns_.placed(request, now);
  }
  void left(const TurnRequest& request) override { turns_.left(request); }
  std::vector<ShareUse> report(TimePoint now) override {
    constexpr std::size_t kMostInDigest = 16;
    if (!reports_) return {};
    return ledger_.changes(std::chrono::milliseconds(250), kMostInDigest, now);
  }
  void take(std::uint64_t node, const std::vector<ShareUse>& uses, TimePoint now) override {
    for (const ShareUse& use : uses) ledger_.take(node, use, now);
  }

 private:
  bool reports_;
  ShareLedger ledger_;
  FairTurns turns_{ledger_};
};

/// @param weights by tenant; those left out weigh 1.
inline MakeTurns by_use(bool reports, const std::vector<double>& weights = {}) {
  return [=] {
    std::unordered_map<std::uint64_t, double> by_tenant;
    for (std::size_t i = 0; i < weights.size(); ++i) by_tenant[i + 1] = weights[i];
    return std::make_unique<ByUse>(reports, std::move(by_tenant));
  };
}

/// Ten tenants of which the first asks for so many times its part; together they ask for
/// `times_room` of what the slots give.
inline Play ten_tenants(std::size_t nodes, double times_room, double flood) {
  constexpr double kTenants = 10;
  Play play;
  play.nodes = nodes;
  const double room = static_cast<double>(play.slots) / kMeanSlotSeconds;
  const double part = times_room * room / (kTenants - 1 + 10);
  play.rates.assign(static_cast<std::size_t>(kTenants), part);
  play.rates[0] *= flood;
  play.one_cut = nodes > 1;
  return play;
}

}  // namespace stoathold::share_replay
