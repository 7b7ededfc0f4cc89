/// @file
/// Simulates a fleet without sockets to compare implementations of distributed rate limits.
/// Arrivals, message delays, lost messages and partitioned nodes all derive from one seed.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "tenancy/tenant_gossip.h"
#include "tenancy/tenant_rate_limiter.h"

namespace stoathold::limit_fleet {

/// Length of a simulation step. A message takes one step within a zone and two between zones.
inline constexpr Duration kStep = std::chrono::milliseconds(10);
/// Fraction of messages that are lost.
inline constexpr double kLossRate = 0.01;
/// The limit that the users' requirements set for the fleet: per window, at most rate and burst,
/// exceeded by 10% plus 20 requests.
inline constexpr double kWindowSeconds = 5;
inline constexpr double kOverage = 0.1;
inline constexpr double kSlack = 20;

/// Parameters of a simulation.
struct Scenario {
  std::size_t nodes = 61;
  std::size_t zones = 3;
  std::size_t tenants = 73;
  double requests_per_second = 350;  ///< Over all tenants.
  double skew = 0;  ///< Exponent of the tenant size distribution; 0 if all have the same size.
  double limit_factor = 1.6;  ///< Limit relative to the normal rate; the burst is one second of it.
  double flood_factor = 1;    ///< Multiplies the rate of the largest tenant from second 10 to 16.
  /// Fraction of nodes partitioned from all others from second 8 to 20.
  double partitioned_fraction = 0;
  double seconds = 26;
  std::uint64_t seed = 1;
};

/// Results of a simulation.
struct Outcome {
  /// Maximum admitted in a window relative to the allowed number; at most 1 is allowed.
  double overshoot = 0;
  double excess_rejections = 0;  ///< Per 1,000 requests, beyond those of a global bucket.
  double messages = 0;           ///< Sent per node and second.
  double waited = 0;             ///< Per 1,000 requests, those that had to wait for another node.
};

/// An implementation of the limits.
class Strategy {
 public:
  virtual ~Strategy() = default;
  virtual bool admit(std::size_t node, std::size_t tenant, TimePoint now) = 0;
  virtual void step(TimePoint now) = 0;
  std::uint64_t messages = 0;
  std::uint64_t waited = 0;
};

/// Network shared by all strategies: the zones of the nodes and the partitioned nodes.
struct Network {
  std::vector<std::size_t> zone_of;
  std::vector<bool> partitioned;
  Random random{1};
  std::deque<std::pair<TimePoint, std::function<void(TimePoint)>>> near_messages;
  std::deque<std::pair<TimePoint, std::function<void(TimePoint)>>> far_messages;

  [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const {
    return from == to || (!partitioned[from] && !partitioned[to]);
  }
  void send(std::size_t from, std::size_t to, TimePoint now,
            std::function<void(TimePoint)> deliver) {
    if (!reaches(from, to) || random.unit() < kLossRate) return;
    const bool near = zone_of[from] == zone_of[to];
    auto& queue = near ? near_messages : far_messages;
    queue.emplace_back(now + (near ? kStep : 2 * kStep), std::move(deliver));
  }
  void deliver(TimePoint now) {
    for (auto* queue : {&near_messages, &far_messages}) {
      while (!queue->empty() && queue->front().first <= now) {
        const auto message = std::move(queue->front().second);
        queue->pop_front();
        message(now);
      }
    }
  }
};

/// The production implementation: counters exchanged by gossip, see `TenantRateLimiter`.
class GossipStrategy final : public Strategy {
 public:
  GossipStrategy(Network& network, const TenantDirectory& directory, std::size_t zones)
      : network_(network), directory_(directory), zones_(zones) {
    for (std::size_t i = 0; i < network.zone_of.size(); ++i) {
      auto node = std::make_unique<Node>(i + 1, network.zone_of[i] + 1);
      node->limits.set_tenants(directory, TimePoint{});
      nodes_.push_back(std::move(node));
    }
  }
  bool admit(std::size_t node, std::size_t tenant, TimePoint now) override {
    nodes_[node]->changed = true;
    return nodes_[node]->limits.admit(directory_.tenants()[tenant], now).admitted;
  }
  void step(TimePoint now) override {
    const auto tick = now.time_since_epoch() / kStep;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = *nodes_[i];
      const bool due = (tick + static_cast<std::int64_t>(i)) % 10 == 0;
      if (due) node.gossip.update_silent_nodes(now);
      if (node.changed || due)
        send_report(i, (tick + static_cast<std::int64_t>(i)) % 100 == 0, now);
      node.changed = false;
    }
    if (tick % 10 == 0) {
      for (std::size_t zone = 0; zone < zones_; ++zone) report_zone(zone, now);
    }
  }

 private:
  struct Node {
    Node(std::uint64_t name, std::uint64_t zone) : gossip(limits, name, zone) {}
    TenantRateLimiter limits;
    TenantGossip gossip;
    bool changed = false;
  };

  void send_report(std::size_t from, bool full, TimePoint now) {
    const auto report =
        std::make_shared<std::vector<TenantUsage>>(nodes_[from]->gossip.make_report(full, now));
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to == from || network_.zone_of[to] != network_.zone_of[from]) continue;
      ++messages;
      network_.send(from, to, now, [this, from, to, report](TimePoint then) {
        nodes_[to]->gossip.apply_report(from + 1, *report, then);
      });
    }
  }
  /// Two connected nodes of each zone report to a random node of each other zone.
  void report_zone(std::size_t zone, TimePoint now) {
    std::size_t reporters = 0;
    for (std::size_t i = 0; i < nodes_.size() && reporters < 2; ++i) {
      if (network_.zone_of[i] != zone || network_.partitioned[i]) continue;
      ++reporters;
      const auto report =
          std::make_shared<ZoneTenantUsage>(nodes_[i]->gossip.make_zone_report(now));
      for (std::size_t other = 0; other < zones_; ++other) {
        if (other != zone) send_far(i, other, report, now);
      }
    }
  }
  void send_far(std::size_t from, std::size_t zone, std::shared_ptr<ZoneTenantUsage> report,
                TimePoint now) {
    std::vector<std::size_t> there;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (network_.zone_of[i] == zone) there.push_back(i);
    }
    const std::size_t to = there[network_.random.below(there.size())];
    ++messages;
    network_.send(from, to, now, [this, to, there, report](TimePoint then) {
      nodes_[to]->gossip.apply_zone_report(*report, then);
      for (const std::size_t next : there) {
        if (next == to) continue;
        ++messages;
        network_.send(to, next, then, [this, next, report](TimePoint last) {
          nodes_[next]->gossip.apply_zone_report(*report, last);
        });
      }
    });
  }

  Network& network_;
  const TenantDirectory& directory_;
  std::size_t zones_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

/// A token bucket with a variable rate.
struct TokenBucket {
  double level = 0;
  TimePoint refilled_at{};

  bool take(double rate, double burst, TimePoint now) {
    refill(rate, burst, now);
    if (level < 1) return false;
    level -= 1;
    return true;
  }
  void refill(double rate, double burst, TimePoint now) {
    level = std::min(std::max(1.0, burst), level + rate * to_seconds(now - refilled_at));
    refilled_at = now;
  }
};

/// Each node has its own bucket with a share of the limit that equals its share of the tenant's
/// requests, which nodes report to all others every 100 ms.
class SharesStrategy final : public Strategy {
 public:
  SharesStrategy(Network& network, const TenantDirectory& directory)
      : network_(network), directory_(directory) {
    const std::size_t nodes = network.zone_of.size();
    const std::size_t tenants = directory.tenants().size();
    demand_.resize(nodes, std::vector<DecayingCount>(tenants, DecayingCount(kRecentDecayTime)));
    buckets_.resize(nodes, std::vector<TokenBucket>(tenants));
    known_demand_.resize(nodes, std::vector<double>(tenants, 0));
  }
  bool admit(std::size_t node, std::size_t tenant, TimePoint now) override {
    demand_[node][tenant].add(1, now);
    const double own = demand_[node][tenant].value(now) + kIdleWeight;
    const double all = std::max(
        own, known_demand_[node][tenant] + kIdleWeight * static_cast<double>(known_demand_.size()));
    const RateLimit& limit = directory_.tenants()[tenant].limit;
    return buckets_[node][tenant].take(limit.per_second * own / all, limit.burst * own / all, now);
  }
  void step(TimePoint now) override {
    if ((now.time_since_epoch() / kStep) % 10 != 0) return;
    const std::size_t nodes = demand_.size();
    messages +=
        nodes * (nodes - 1) / 10;  // Forwarded by one node of a zone, as in the other strategies.
    for (std::size_t tenant = 0; tenant < directory_.tenants().size(); ++tenant) {
      double connected = 0;
      for (std::size_t i = 0; i < nodes; ++i) {
        if (!network_.partitioned[i]) connected += demand_[i][tenant].value(now);
      }
      for (std::size_t i = 0; i < nodes; ++i) {
        if (!network_.partitioned[i]) known_demand_[i][tenant] = connected;
      }
    }
  }

 private:
  static constexpr double kIdleWeight = 0.1;
  Network& network_;
  const TenantDirectory& directory_;
  std::vector<std::vector<DecayingCount>> demand_;
  std::vector<std::vector<TokenBucket>> buckets_;
  std::vector<std::vector<double>> known_demand_;
};

/// One node per tenant grants tokens in short leases. If it is lost, the next node takes over after
/// 450 ms, with an empty bucket. A node that cannot reach the grantor has an equal share of the
/// limit.
class GrantorStrategy final : public Strategy {
 public:
  GrantorStrategy(Network& network, const TenantDirectory& directory)
      : network_(network), directory_(directory) {
    const std::size_t nodes = network.zone_of.size();
    const std::size_t tenants = directory.tenants().size();
    leases_.resize(nodes, std::vector<Lease>(tenants));
    buckets_.resize(tenants);
    grantors_.resize(tenants);
    for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
      buckets_[tenant].level = directory.tenants()[tenant].limit.burst;
      grantors_[tenant] = choose_grantor(tenant);
    }
  }
  bool admit(std::size_t node, std::size_t tenant, TimePoint now) override {
    Lease& lease = leases_[node][tenant];
    lease.demand.add(1, now);
    if (now >= lease.expires) lease.tokens = 0;
    const RateLimit& limit = directory_.tenants()[tenant].limit;
    if (!network_.reaches(node, grantors_[tenant])) {
      const double fraction = 1.0 / static_cast<double>(leases_.size());
      return lease.local_bucket.take(limit.per_second * fraction, limit.burst * fraction, now);
    }
    if (lease.tokens < 1) {
      ++waited;
      request_tokens(node, tenant, now);
    }
    if (lease.tokens < 1) return false;
    lease.tokens -= 1;
    // Request early, so that the next request finds tokens.
    if (lease.tokens < 1 && lease.demand.value(now) > 3) request_tokens(node, tenant, now);
    return true;
  }
  void step(TimePoint now) override {
    for (std::size_t tenant = 0; tenant < grantors_.size(); ++tenant) {
      const bool lost = network_.partitioned[grantors_[tenant]];
      if (!lost) lost_since_.erase(tenant);
      if (!lost) continue;
      const auto [since, first] = lost_since_.try_emplace(tenant, now);
      if (now - since->second < std::chrono::milliseconds(450)) continue;
      grantors_[tenant] = choose_grantor(tenant);
      buckets_[tenant] = {0, now};
    }
  }

 private:
  struct Lease {
    double tokens = 0;
    TimePoint expires{};
    DecayingCount demand{kRecentDecayTime};
    TokenBucket local_bucket;
  };

  /// The response is assumed to arrive at once; the wait is only counted.
  void request_tokens(std::size_t node, std::size_t tenant, TimePoint now) {
    messages += 2;
    const RateLimit& limit = directory_.tenants()[tenant].limit;
    Lease& lease = leases_[node][tenant];
    TokenBucket& bucket = buckets_[tenant];
    bucket.refill(limit.per_second, limit.burst, now);
    const double wanted = std::max(1.0, std::floor(lease.demand.value(now) / 15));
    const double granted = std::min(wanted, std::floor(bucket.level));
    if (granted < 1) return;
    bucket.level -= granted;
    lease.tokens += granted;
    lease.expires = now + std::chrono::milliseconds(300);
  }
  [[nodiscard]] std::size_t choose_grantor(std::size_t tenant) const {
    std::size_t best = 0;
    std::uint64_t best_rank = 0;
    for (std::size_t i = 0; i < leases_.size(); ++i) {
      const std::uint64_t rank = mix_hashes(tenant + 1, i + 1);
      if (network_.partitioned[i] || rank < best_rank) continue;
      best = i;
      best_rank = rank;
    }
    return best;
  }

  Network& network_;
  const TenantDirectory& directory_;
  std::vector<std::vector<Lease>> leases_;
  std::vector<TokenBucket> buckets_;
  std::vector<std::size_t> grantors_;
  std::map<std::size_t, TimePoint> lost_since_;
};

enum class StrategyKind : std::uint8_t { kShares, kGrantor, kGossip };

/// Returns the normal requests per second of each tenant.
inline std::vector<double> normal_rates(const Scenario& scenario) {
  std::vector<double> rates;
  double sum = 0;
  for (std::size_t i = 0; i < scenario.tenants; ++i) {
    rates.push_back(std::pow(static_cast<double>(i + 1), -scenario.skew));
    sum += rates.back();
  }
  for (double& rate : rates) rate *= scenario.requests_per_second / sum;
  return rates;
}

/// Counts the admitted requests of one tenant in sliding windows.
class WindowCheck {
 public:
  void add(TimePoint now) {
    times_.push_back(now);
    const Duration window = scale(std::chrono::seconds(1), kWindowSeconds);
    while (times_.front() <= now - window) times_.pop_front();
    max_count_ = std::max(max_count_, times_.size());
  }
  [[nodiscard]] double overshoot(const RateLimit& limit) const {
    const double allowed =
        (limit.per_second * kWindowSeconds + limit.burst) * (1 + kOverage) + kSlack;
    return static_cast<double>(max_count_) / allowed;
  }

 private:
  std::deque<TimePoint> times_;
  std::size_t max_count_ = 0;
};

inline Outcome simulate(const Scenario& scenario, StrategyKind kind) {
  Network network;
  network.random = Random(scenario.seed);
  for (std::size_t i = 0; i < scenario.nodes; ++i) network.zone_of.push_back(i % scenario.zones);
  network.partitioned.assign(scenario.nodes, false);
  const std::vector<double> rates = normal_rates(scenario);
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    const double limit = rates[i] * scenario.limit_factor;
    tenants.push_back({"t" + std::to_string(i), {}, {}, {limit, limit}});
  }
  const TenantDirectory directory(tenants);
  std::unique_ptr<Strategy> strategy;
  if (kind == StrategyKind::kShares)
    strategy = std::make_unique<SharesStrategy>(network, directory);
  if (kind == StrategyKind::kGrantor)
    strategy = std::make_unique<GrantorStrategy>(network, directory);
  if (kind == StrategyKind::kGossip) {
    strategy = std::make_unique<GossipStrategy>(network, directory, scenario.zones);
  }
  std::vector<WindowCheck> windows(rates.size());
  std::vector<TokenBucket> reference(rates.size());
  std::uint64_t requests = 0;
  std::vector<std::int64_t> extra_rejections(rates.size(), 0);
  const double step_seconds = to_seconds(kStep);
  for (double second = 0; second < scenario.seconds; second += step_seconds) {
    const TimePoint now{scale(std::chrono::seconds(1), 100 + second)};
    const auto partitioned_nodes = static_cast<std::size_t>(scenario.partitioned_fraction *
                                                            static_cast<double>(scenario.nodes));
    const bool partitioned = second >= 8 && second < 20;
    // The partitioned nodes are spread over the fleet and include the reporters of their zones.
    for (std::size_t i = 0; i < partitioned_nodes; ++i)
      network.partitioned[i * scenario.nodes / partitioned_nodes] = partitioned;
    network.deliver(now);
    strategy->step(now);
    for (std::size_t tenant = 0; tenant < rates.size(); ++tenant) {
      const bool flood = tenant == 0 && second >= 10 && second < 16;
      double expected = rates[tenant] * (flood ? scenario.flood_factor : 1) * step_seconds;
      while (network.random.unit() < expected / (1 + expected)) {
        // The few clients of a tenant use few nodes; one in three requests arrives at a random
        // node.
        const bool frequent_node = network.random.unit() < 0.67;
        const std::size_t node =
            frequent_node ? mix_hashes(tenant + 1, 1 + network.random.below(5)) % scenario.nodes
                          : network.random.below(scenario.nodes);
        const RateLimit& limit = directory.tenants()[tenant].limit;
        const bool fits = reference[tenant].take(limit.per_second, limit.burst, now);
        const bool admitted = strategy->admit(node, tenant, now);
        if (second < 4) continue;  // Skip the start-up phase.
        if (admitted) windows[tenant].add(now);
        ++requests;
        extra_rejections[tenant] += (fits ? 1 : 0) - (admitted ? 1 : 0);
      }
    }
  }
  Outcome outcome;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    outcome.overshoot = std::max(outcome.overshoot, windows[i].overshoot(tenants[i].limit));
  }
  std::int64_t excess_rejections = 0;
  for (const std::int64_t count : extra_rejections) {
    excess_rejections += std::max<std::int64_t>(0, count);
  }
  outcome.excess_rejections = 1000.0 * static_cast<double>(excess_rejections) / requests;
  outcome.waited = 1000.0 * static_cast<double>(strategy->waited) / requests;
  outcome.messages = static_cast<double>(strategy->messages) / scenario.seconds / scenario.nodes;
  return outcome;
}

}  // namespace stoathold::limit_fleet
