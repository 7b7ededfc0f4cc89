/// @file
/// Replays requests of tenants that compete for the slots of one service, without a network: nodes
/// that know one another's use from messages some time old. Decides nothing itself: the turns under
/// test order what waits at a node; a free slot goes to one of the nodes where something waits.
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

#include "admission/fair_turns.h"
#include "base/random.h"

namespace stoathold::share_replay {

using std::chrono::milliseconds;

/// One way to order what waits at a node.
class Turns {
 public:
  virtual ~Turns() = default;
  virtual double arrive(const TurnRequest& request, TimePoint now) = 0;
  virtual void placed(const TurnRequest& request, double turn, TimePoint now) = 0;
  virtual void left(const TurnRequest& request) = 0;
  /// For other nodes; may be empty.
  virtual std::vector<ShareUse> report(TimePoint) { return {}; }
  virtual void take(std::uint64_t, const std::vector<ShareUse>&, TimePoint) {}
};
using MakeTurns = std::function<std::unique_ptr<Turns>()>;

/// What is played.
struct Play {
  std::size_t nodes = 9;
  std::size_t slots = 96;
  std::vector<double> rates;  ///< Requests a second, by tenant.
  /// Rates from this second on; empty: the same.
  std::vector<double> flood_rates;
  double flood_from = 10;
  double flood_until = 1000;
  double seconds = 40;
  bool leaves_slots = false;  ///< What is above its part leaves free slots to other nodes.
  bool one_cut = false;       ///< The first node neither sends nor hears reports.
  std::uint64_t seed = 1;
};

/// What came out, of requests that came after second 10.
struct Outcome {
  std::vector<double> in_time;  ///< Requests placed in time, by tenant.
  std::vector<double> served;   ///< Requests placed at all.
  double idle_seconds = 0;      ///< Slot time that stood idle while something waited.
  double used_seconds = 0;
};

inline constexpr Duration kStep = milliseconds(2);
/// Mean of the slot times that are drawn.
inline constexpr double kMeanSlotSeconds = 0.7;
/// In time, and longest wait, of the callers that the load is from.
inline constexpr Duration kInTime = milliseconds(280);
inline constexpr Duration kLongestWait = milliseconds(2000);
inline constexpr Duration kReportInterval = milliseconds(20);
inline constexpr std::uint64_t kMostDelayMs = 50;

class Replay {
 public:
  Replay(Play play, const MakeTurns& make) : play_(std::move(play)), random_(play_.seed) {
    for (std::size_t node = 0; node < play_.nodes; ++node) nodes_.push_back({make(), {}, {}});
    for (std::size_t tenant = 0; tenant < play_.rates.size(); ++tenant) {
      sources_.emplace_back(play_.seed * 1000 + tenant);
      next_arrival_.push_back(0);
    }
    outcome_.in_time.resize(play_.rates.size());
    outcome_.served.resize(play_.rates.size());
  }

  Outcome run() {
    for (now_ = TimePoint{} + std::chrono::hours(1); elapsed() < play_.seconds; now_ += kStep) {
      end_runs();
      arrivals();
      give_up();
      messages();
      place();
    }
    return outcome_;
  }

 private:
  struct Waiting {
    double turn = 0;
    TimePoint due{};
    std::size_t tenant = 0;
    TurnRequest request;
    TimePoint arrived{};
    std::uint64_t number = 0;
  };
  /// Requests that can be in time, and of these the ones that leave slots to others.
  struct Told {
    std::int64_t urgent = 0;
    std::int64_t yielding = 0;
  };
  struct Node {
    std::unique_ptr<Turns> turns;
    std::vector<Waiting> waiting;
    Told told;  ///< As the others know it.
  };
  struct Message {
    TimePoint at{};
    std::size_t to = 0;
    std::size_t from = 0;
    std::vector<ShareUse> uses;
    Told waiting;
  };

  [[nodiscard]] double elapsed() const {
    return to_seconds(now_ - TimePoint{} - std::chrono::hours(1));
  }

  void arrivals() {
    const bool flood = elapsed() >= play_.flood_from && elapsed() < play_.flood_until;
    const auto& rates = flood && !play_.flood_rates.empty() ? play_.flood_rates : play_.rates;
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
    TurnRequest request{{1, tenant + 1}, 1, length};
    const double turn = node.turns->arrive(request, now_);
    node.waiting.push_back({turn, now_ + kInTime, tenant, request, now_, next_number_++});
  }

  void end_runs() {
    while (!runs_.empty() && runs_.top() <= now_) runs_.pop();
  }

  void give_up() {
    for (Node& node : nodes_) {
      std::erase_if(node.waiting, [&](const Waiting& one) {
        if (now_ - one.arrived < kLongestWait) return false;
        node.turns->left(one.request);
        return true;
      });
    }
  }

  void messages() {
    while (!messages_.empty() && messages_.front().at <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      if (message.to == message.from) nodes_[message.from].told = message.waiting;
      nodes_[message.to].turns->take(message.from + 1, message.uses, now_);
    }
    if (now_ - reported_ < kReportInterval) return;
    reported_ = now_;
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      const bool cut = play_.one_cut && from == 0;
      const auto uses = nodes_[from].turns->report(now_);
      const TimePoint at = now_ + milliseconds(random_.below(kMostDelayMs));
      messages_.push_back({at, from, from, {}, waits_in_time(nodes_[from])});
      for (std::size_t to = play_.one_cut ? 1 : 0; to < nodes_.size() && !uses.empty(); ++to) {
        if (to != from && !cut) messages_.push_back({at, to, from, uses, {}});
      }
    }
    std::stable_sort(messages_.begin(), messages_.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
  }

  /// What can be in time first, then by turn, then by due time.
  [[nodiscard]] auto rank(const Waiting& one) const {
    return std::tuple(one.due < now_, one.turn, one.due, one.number);
  }

  /// What a node tells the others to wait there.
  [[nodiscard]] Told waits_in_time(const Node& node) const {
    Told told;
    for (const Waiting& one : node.waiting) {
      if (one.due < now_) continue;
      ++(play_.leaves_slots && one.turn >= 1 ? told.yielding : told.urgent);
    }
    return told;
  }

  /// Draws one of the nodes where such work waits: one that told of more more often.
  Node* draw(std::int64_t Told::*kind) {
    std::vector<std::pair<Node*, std::int64_t>> contenders;
    std::int64_t total = 0;
    for (Node& node : nodes_) {
      if (waits_in_time(node).*kind == 0) continue;
      contenders.emplace_back(&node, std::max<std::int64_t>(1, node.told.*kind));
      total += contenders.back().second;
    }
    auto drawn = static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(total)));
    for (const auto& [node, weight] : contenders) {
      drawn -= weight;
      if (drawn < 0) return node;
    }
    return nullptr;
  }

  /// The node that takes a free slot: one where urgent work waits; else one with work that yields,
  /// if it knows of no urgent work elsewhere; else one with late work, if it knows of none in time.
  Node* contender() {
    if (Node* node = draw(&Told::urgent)) return node;
    Told all;
    for (const Node& node : nodes_) {
      all.urgent += node.told.urgent;
      all.yielding += node.told.yielding;
    }
    Node* node = draw(&Told::yielding);
    if (node != nullptr) return all.urgent == node->told.urgent ? node : nullptr;
    const std::size_t first = random_.below(nodes_.size());
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& late = nodes_[(first + i) % nodes_.size()];
      const bool none_elsewhere =
          all.urgent == late.told.urgent && all.yielding == late.told.yielding;
      if (!late.waiting.empty() && none_elsewhere) return &late;
    }
    return nullptr;
  }

  void place() {
    while (runs_.size() < play_.slots) {
      Node* node = contender();
      if (node == nullptr) break;
      const auto first = std::min_element(
          node->waiting.begin(), node->waiting.end(),
          [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
      node->turns->placed(first->request, first->turn, now_);
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
    if (waits) outcome_.idle_seconds += to_seconds(kStep) * (play_.slots - runs_.size());
  }

  Play play_;
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
