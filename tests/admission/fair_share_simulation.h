/// @file
/// Simulates requests of tenants that compete for the slots of one service, without a network.
/// Nodes learn of each other's use from delayed messages. The ranking strategy under test orders
/// the requests that wait at a node, and each free slot goes to one of the nodes with waiting
/// requests.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "admission/fair_share_ranker.h"
#include "base/random.h"

namespace stoathold::share_replay {

using std::chrono::milliseconds;

/// A strategy for ordering the requests that wait at a node.
class RankingStrategy {
 public:
  virtual ~RankingStrategy() = default;
  virtual double add_and_rank(const FairShareRequest& request, TimePoint now) = 0;
  virtual void on_placed(const FairShareRequest& request, double rank, TimePoint now) = 0;
  virtual void on_unplaced(const FairShareRequest& request) = 0;
  /// Report for other nodes; may be empty.
  virtual std::vector<SlotTimeReport> report(TimePoint) { return {}; }
  virtual void apply_report(std::uint64_t, const std::vector<SlotTimeReport>&, TimePoint) {}
};
using StrategyFactory = std::function<std::unique_ptr<RankingStrategy>()>;

/// Parameters of a simulation.
struct Scenario {
  std::size_t nodes = 9;
  std::size_t slots = 96;
  std::vector<double> rates;  ///< Requests per second, by tenant.
  /// Rates from `flood_from` to `flood_until`; the normal rates if empty.
  std::vector<double> flood_rates;
  double flood_from = 10;
  double flood_until = 1000;
  double seconds = 40;
  bool yields_slots = false;  ///< Requests above their fair share leave free slots to other nodes.
  bool one_partitioned = false;  ///< The first node neither sends nor receives reports.
  std::uint64_t seed = 1;
};

/// Results for requests placed after second 10.
struct Outcome {
  std::vector<double> in_time;  ///< Requests placed on time, by tenant.
  std::vector<double> served;   ///< All placed requests, by tenant.
  double idle_seconds = 0;      ///< Slot time that was idle while requests were waiting.
  double used_seconds = 0;
};

inline constexpr Duration kStep = milliseconds(2);
/// Mean of the randomly drawn slot times.
inline constexpr double kMeanSlotSeconds = 0.7;
/// Due time and longest wait of the callers on which the load is modeled.
inline constexpr Duration kInTime = milliseconds(280);
inline constexpr Duration kLongestWait = milliseconds(2000);
inline constexpr Duration kReportInterval = milliseconds(20);
inline constexpr std::uint64_t kMaxDelayMs = 50;

class Replay {
 public:
  Replay(Scenario scenario, const StrategyFactory& factory)
      : scenario_(std::move(scenario)), random_(scenario_.seed) {
    for (std::size_t node = 0; node < scenario_.nodes; ++node)
      nodes_.push_back({factory(), {}, {}});
    for (std::size_t tenant = 0; tenant < scenario_.rates.size(); ++tenant) {
      sources_.emplace_back(scenario_.seed * 1000 + tenant);
      next_arrival_.push_back(0);
    }
    outcome_.in_time.resize(scenario_.rates.size());
    outcome_.served.resize(scenario_.rates.size());
  }

  Outcome run() {
    for (now_ = TimePoint{} + std::chrono::hours(1); elapsed() < scenario_.seconds; now_ += kStep) {
      end_runs();
      arrivals();
      remove_abandoned();
      messages();
      place();
    }
    return outcome_;
  }

 private:
  struct Waiting {
    double rank = 0;
    TimePoint due{};
    std::size_t tenant = 0;
    FairShareRequest request;
    TimePoint arrived{};
    std::uint64_t number = 0;
  };
  /// Waiting requests that can still be on time, split by whether they yield slots to other nodes.
  struct WaitingCounts {
    std::int64_t urgent = 0;
    std::int64_t yielding = 0;
  };
  struct Node {
    std::unique_ptr<RankingStrategy> strategy;
    std::vector<Waiting> waiting;
    WaitingCounts reported;  ///< As last reported to the other nodes.
  };
  struct Message {
    TimePoint at{};
    std::size_t to = 0;
    std::size_t from = 0;
    std::vector<SlotTimeReport> uses;
    WaitingCounts waiting;
  };

  [[nodiscard]] double elapsed() const {
    return to_seconds(now_ - TimePoint{} - std::chrono::hours(1));
  }

  void arrivals() {
    const bool flood = elapsed() >= scenario_.flood_from && elapsed() < scenario_.flood_until;
    const auto& rates =
        flood && !scenario_.flood_rates.empty() ? scenario_.flood_rates : scenario_.rates;
    for (std::size_t tenant = 0; tenant < rates.size(); ++tenant) {
      for (; next_arrival_[tenant] <= elapsed(); arrive(tenant)) {
        const double gap = -std::log(1 - sources_[tenant].unit()) / rates[tenant];
        next_arrival_[tenant] = std::max(next_arrival_[tenant], elapsed() - 0.01) + gap;
      }
    }
  }

  void arrive(std::size_t tenant) {
    Random& source = sources_[tenant];
    Node& node = nodes_[source.below(nodes_.size())];
    const auto length = milliseconds(500 + source.below(400));
    FairShareRequest request{{1, tenant + 1}, 1, length};
    const double rank = node.strategy->add_and_rank(request, now_);
    node.waiting.push_back({rank, now_ + kInTime, tenant, request, now_, next_number_++});
  }

  void end_runs() {
    while (!runs_.empty() && runs_.top() <= now_) runs_.pop();
  }

  void remove_abandoned() {
    for (Node& node : nodes_) {
      std::erase_if(node.waiting, [&](const Waiting& one) {
        if (now_ - one.arrived < kLongestWait) return false;
        node.strategy->on_unplaced(one.request);
        return true;
      });
    }
  }

  void messages() {
    while (!messages_.empty() && messages_.front().at <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      if (message.to == message.from) nodes_[message.from].reported = message.waiting;
      nodes_[message.to].strategy->apply_report(message.from + 1, message.uses, now_);
    }
    if (now_ - reported_ < kReportInterval) return;
    reported_ = now_;
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      const bool cut = scenario_.one_partitioned && from == 0;
      const auto uses = nodes_[from].strategy->report(now_);
      const TimePoint at = now_ + milliseconds(random_.below(kMaxDelayMs));
      messages_.push_back({at, from, from, {}, count_on_time(nodes_[from])});
      for (std::size_t to = scenario_.one_partitioned ? 1 : 0; to < nodes_.size() && !uses.empty();
           ++to) {
        if (to != from && !cut) messages_.push_back({at, to, from, uses, {}});
      }
    }
    std::stable_sort(messages_.begin(), messages_.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
  }

  /// On-time requests first, then by rank, then by due time.
  [[nodiscard]] auto placement_order(const Waiting& one) const {
    return std::tuple(one.due < now_, one.rank, one.due, one.number);
  }

  /// Returns the counts that a node reports to the others.
  [[nodiscard]] WaitingCounts count_on_time(const Node& node) const {
    WaitingCounts reported;
    for (const Waiting& one : node.waiting) {
      if (one.due < now_) continue;
      ++(scenario_.yields_slots && one.rank >= 1 ? reported.yielding : reported.urgent);
    }
    return reported;
  }

  /// Draws one of the nodes with such waiting requests, weighted by the counts that they reported.
  Node* draw(std::int64_t WaitingCounts::*kind) {
    std::vector<std::pair<Node*, std::int64_t>> candidates;
    std::int64_t total = 0;
    for (Node& node : nodes_) {
      if (count_on_time(node).*kind == 0) continue;
      candidates.emplace_back(&node, std::max<std::int64_t>(1, node.reported.*kind));
      total += candidates.back().second;
    }
    auto drawn = static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(total)));
    for (const auto& [node, weight] : candidates) {
      drawn -= weight;
      if (drawn < 0) return node;
    }
    return nullptr;
  }

  /// Returns the node that gets a free slot: one with urgent requests; else one with yielding
  /// requests if it knows of no urgent ones elsewhere; else one with late requests if it knows of
  /// no on-time ones elsewhere.
  Node* choose_node() {
    if (Node* node = draw(&WaitingCounts::urgent)) return node;
    WaitingCounts all;
    for (const Node& node : nodes_) {
      all.urgent += node.reported.urgent;
      all.yielding += node.reported.yielding;
    }
    Node* node = draw(&WaitingCounts::yielding);
    if (node != nullptr) return all.urgent == node->reported.urgent ? node : nullptr;
    const std::size_t first = random_.below(nodes_.size());
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& late = nodes_[(first + i) % nodes_.size()];
      const bool none_elsewhere =
          all.urgent == late.reported.urgent && all.yielding == late.reported.yielding;
      if (!late.waiting.empty() && none_elsewhere) return &late;
    }
    return nullptr;
  }

  void place() {
    while (runs_.size() < scenario_.slots) {
      Node* node = choose_node();
      if (node == nullptr) break;
      const auto first = std::min_element(node->waiting.begin(), node->waiting.end(),
                                          [&](const auto& left, const auto& right) {
                                            return placement_order(left) < placement_order(right);
                                          });
      node->strategy->on_placed(first->request, first->rank, now_);
      runs_.push(now_ + first->request.slot_time);
      if (elapsed() >= 10) {
        outcome_.in_time[first->tenant] += first->due >= now_ ? 1 : 0;
        outcome_.served[first->tenant] += 1;
        outcome_.used_seconds += to_seconds(first->request.slot_time);
      }
      node->waiting.erase(first);
    }
    const bool waits = std::any_of(nodes_.begin(), nodes_.end(),
                                   [](const Node& node) { return !node.waiting.empty(); });
    if (waits) outcome_.idle_seconds += to_seconds(kStep) * (scenario_.slots - runs_.size());
  }

  Scenario scenario_;
  Random random_;
  std::vector<Random> sources_;
  std::vector<double> next_arrival_;
  std::vector<Node> nodes_;
  std::deque<Message> messages_;
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> runs_;
  Outcome outcome_;
  TimePoint now_{};
  TimePoint reported_{};
  std::uint64_t next_number_ = 0;
};

}  // namespace stoathold::share_replay
