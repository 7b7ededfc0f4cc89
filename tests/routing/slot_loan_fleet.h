/// @file
/// Simulation of a fleet, without sockets, that compares policies for placing requests at runners
/// of other zones. Arrivals, message loss and service times derive from one seed; delays between
/// zones and a partitioned zone are part of the scenario. Inside a zone all state is known
/// immediately, except for the lent slots; this simplification favors all policies alike.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "routing/slot_loans.h"

namespace stoathold::slot_loan_fleet {

inline constexpr Duration kStep = std::chrono::milliseconds(1);
inline constexpr std::uint32_t kSlots = 8;
/// A request occupies a slot for 0.8 s, plus or minus an eighth. Its first event is due 300 ms
/// after its arrival and takes 45 ms from its placement.
inline constexpr double kSlotSeconds = 0.8;
inline constexpr Duration kPlacementDeadline = std::chrono::milliseconds(255);
inline constexpr Duration kRequestTimeout = std::chrono::milliseconds(2000);
/// Number of requests that a runner queues before it rejects further ones.
inline constexpr std::size_t kRunnerQueue = 8;
/// Age of the state that the nodes of a zone know of one another.
inline constexpr Duration kDigestAge = std::chrono::milliseconds(15);
/// Additional delay of the second copy of a duplicated message.
inline constexpr Duration kDuplicateDelay = std::chrono::milliseconds(30);
/// Size in bytes of a request with its response, of a loan or load message without its entries, and
/// of one entry.
inline constexpr double kRequestBytes = 4000;
inline constexpr double kMessageBytes = 60;
inline constexpr double kEntryBytes = 10;

enum class PlacementStrategy : std::uint8_t {
  kReports,  ///< Loads are reported every 250 ms; runners below a load of 0.75 are eligible.
  kFrequentReports,  ///< Loads are reported every 50 ms; the less loaded of two random runners with
                     ///< a free slot is selected.
  kLoansForAll,      ///< Granted slots only, requested for all waiting requests.
  kLoansForLate,     ///< Granted slots only, requested for requests that would be late in their own
                     ///< zone.
  kSinglePool,       ///< All nodes know all runners: the optimum.
};

struct Scenario {
  PlacementStrategy policy = PlacementStrategy::kLoansForAll;
  std::size_t nodes = 89;
  std::size_t zones = 3;
  Duration delay = std::chrono::milliseconds(1);  ///< One-way delay between zones.
  double hot_factor = 4;      ///< Arrival rate of zone 0 relative to that of each other zone.
  double utilisation = 0.88;  ///< Offered load relative to all slots.
  double seconds = 12;
  double partitioned_from =
      0;  ///< Time from which zone 1 is partitioned from the others, s; 0: never.
  double restart_at =
      0;            ///< Time at which the lenders of zone 1 restart without state, s; 0: never.
  double loss = 0;  ///< Fraction of the messages between zones that is lost.
  double duplicated = 0;  ///< Fraction that arrives twice, the second time late.
  std::uint64_t seed = 1;
};

struct Outcome {
  double late_hot = 0;     ///< Percentage of the requests of zone 0.
  double late_others = 0;  ///< Percentage of the requests of the other zones.
  double late_all = 0;
  double shed = 0;       ///< Rejections by runners, as a percentage of all requests.
  double remote = 0;     ///< Percentage of requests that ran in another zone.
  double kilobytes = 0;  ///< Traffic between zones per second.
  double messages = 0;   ///< Loan and load messages between zones per second.
  std::uint32_t max_held =
      0;  ///< Maximum number of slots of one runner held by borrowers at a time.
  std::uint32_t unaccounted =
      0;  ///< Maximum number of slots of one runner held in excess of its lender's count.
  std::uint32_t lent_at_end =
      0;  ///< Slots of zone 1 that its lenders count as lent when the run ends.
  std::uint32_t held_at_end = 0;  ///< Slots of zone 1 that borrowers hold when the run ends.
};

class FleetSimulation {
 public:
  explicit FleetSimulation(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    for (std::size_t node = 0; node < scenario.nodes; ++node) {
      nodes_.push_back({node % scenario.zones, SlotBorrower(node + 1), {}});
    }
    for (std::size_t i = 0; i < scenario.nodes; ++i) runners_.push_back({i % scenario.zones});
    for (std::size_t zone = 0; zone < scenario.zones; ++zone) {
      Zone entry;
      for (std::size_t turn = 0; turn < 2; ++turn) {
        const std::size_t node = zone + turn * scenario.zones;
        entry.lenders.push_back(node + 1);
        // Started early enough that earlier loans have expired and lending is allowed.
        lenders_.emplace(node, SlotLender(node + 1, TimePoint{} - kLoanLifetime));
      }
      zones_.push_back(std::move(entry));
    }
    for (auto& [node, lender] : lenders_)
      lender.set_runners(owned_by(node), TimePoint{} - kLoanLifetime);
    reported_.resize(runners_.size());
    local_history_.assign(kDigestAge / kStep + 1, std::vector<std::uint32_t>(runners_.size()));
  }

  Outcome run() {
    const auto steps = static_cast<std::int64_t>(scenario_.seconds * 1000);
    for (std::int64_t step = 0; step < steps; ++step) {
      now_ = TimePoint{} + step * kStep;
      while (!events_.empty() && events_.top().time <= now_) {
        const auto action = events_.top().action;
        events_.pop();
        action();
      }
      arrive();
      send_reports(step);
      for (std::size_t zone = 0; zone < zones_.size(); ++zone) place_waiting(zone);
      if (uses_loans()) tick_loans();
      if (scenario_.restart_at > 0 && to_seconds(now_ - TimePoint{}) == scenario_.restart_at)
        restart_lenders();
      publish_state(step);
    }
    return outcome();
  }

 private:
  struct Request {
    std::size_t node = 0;
    TimePoint arrival{};
    std::set<std::size_t> tried;
    bool remote = false;
  };
  struct Node {
    std::size_t zone;
    SlotBorrower borrower;
    std::map<std::size_t, std::uint32_t>
        remote_in_flight;  ///< Own requests in other zones, by runner.
    std::map<std::size_t, std::uint32_t> sent_since_report{};
  };
  struct Runner {
    std::size_t zone;
    std::uint32_t running = 0;
    std::deque<Request> queue{};
    std::uint32_t local = 0;  ///< Requests of its own zone.
    std::uint32_t reported_remote =
        0;                     ///< Requests of other zones, or lent slots, as known in its zone.
    std::uint32_t remote = 0;  ///< Actual number of requests of other zones.
  };
  struct Zone {
    std::vector<std::uint64_t> lenders{};
    std::deque<Request> waiting{};
    double due_arrivals = 0;
  };
  struct Event {
    TimePoint time;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };

  [[nodiscard]] bool uses_loans() const {
    return scenario_.policy == PlacementStrategy::kLoansForAll ||
           scenario_.policy == PlacementStrategy::kLoansForLate;
  }
  void schedule(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++event_number_, std::move(action)});
  }
  [[nodiscard]] bool is_partitioned(std::size_t from, std::size_t to) const {
    const bool crosses_partition = from != to && (from == 1 || to == 1);
    return scenario_.partitioned_from > 0 && crosses_partition &&
           to_seconds(now_ - TimePoint{}) >= scenario_.partitioned_from;
  }
  /// Sends a message between zones.
  void send(std::size_t from, std::size_t to, double entries, std::function<void()> action) {
    ++messages_;
    bytes_ += kMessageBytes + kEntryBytes * entries;
    if (is_partitioned(from, to) || random_.unit() < scenario_.loss) return;
    if (random_.unit() < scenario_.duplicated) schedule(scenario_.delay + kDuplicateDelay, action);
    schedule(scenario_.delay, std::move(action));
  }
  [[nodiscard]] std::set<std::uint64_t> owned_by(std::size_t node) const {
    const std::size_t zone = node % scenario_.zones;
    std::set<std::uint64_t> owned;
    for (std::size_t id = 0; id < runners_.size(); ++id) {
      const auto& lenders = zones_[zone].lenders;
      if (runners_[id].zone == zone && lenders[lender_for_runner(id + 1, lenders)] == node + 1) {
        owned.insert(id + 1);
      }
    }
    return owned;
  }

  void arrive() {
    const double all =
        scenario_.utilisation * static_cast<double>(runners_.size()) * kSlots / kSlotSeconds;
    const double parts = scenario_.hot_factor + static_cast<double>(scenario_.zones) - 1;
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
      const double rate = all * (zone == 0 ? scenario_.hot_factor : 1) / parts;
      // Binomial arrivals in tenths of a step approximate a Poisson process.
      for (int tenth = 0; tenth < 10; ++tenth) {
        const double chance = rate * to_seconds(kStep) / 10;
        for (double remaining = chance; remaining > 0; remaining -= 1) {
          if (random_.unit() >= remaining) continue;
          const std::size_t members =
              (scenario_.nodes + scenario_.zones - 1 - zone) / scenario_.zones;
          zones_[zone].waiting.push_back(
              {zone + scenario_.zones * random_.below(members), now_, {}, false});
          ++(zone == 0 ? hot_requests_ : other_requests_);
        }
      }
    }
  }

  /// Returns the load of a runner as known in its own zone.
  [[nodiscard]] double known_load(const Runner& runner) const {
    return static_cast<double>(runner.local + runner.reported_remote) / kSlots;
  }

  std::size_t least_loaded(std::size_t zone, double limit) {
    std::size_t best = runners_.size();
    double best_load = limit;
    const std::size_t start = random_.below(runners_.size());
    for (std::size_t i = 0; i < runners_.size(); ++i) {
      const std::size_t id = (start + i) % runners_.size();
      const Runner& runner = runners_[id];
      if (runner.zone != zone && scenario_.policy != PlacementStrategy::kSinglePool) continue;
      const double load = scenario_.policy == PlacementStrategy::kSinglePool
                              ? static_cast<double>(runner.local + runner.remote) / kSlots
                              : known_load(runner);
      if (load >= best_load) continue;
      best = id;
      best_load = load;
    }
    return best;
  }

  void place_waiting(std::size_t zone) {
    auto& waiting = zones_[zone].waiting;
    // Requests that can still be in time are placed first.
    std::stable_partition(waiting.begin(), waiting.end(), [this](const Request& request) {
      return now_ - request.arrival <= kPlacementDeadline;
    });
    std::deque<Request> remaining;
    bool local_full = false;
    std::set<std::size_t> nodes_without_slots;
    while (!waiting.empty()) {
      Request request = std::move(waiting.front());
      waiting.pop_front();
      if (now_ - request.arrival >= kRequestTimeout) {
        record_late(request);
        continue;
      }
      std::size_t runner = local_full ? runners_.size() : least_loaded(zone, 1);
      if (runner == runners_.size()) local_full = true;
      if (runner == runners_.size() && !nodes_without_slots.contains(request.node)) {
        runner = remote_runner(request);
        if (runner == runners_.size()) nodes_without_slots.insert(request.node);
      }
      if (runner == runners_.size()) {
        remaining.push_back(std::move(request));
      } else {
        dispatch(std::move(request), runner);
      }
    }
    waiting = std::move(remaining);
  }

  std::size_t remote_runner(const Request& request) {
    Node& node = nodes_[request.node];
    if (uses_loans()) {
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        if (node.borrower.held_at(id + 1, now_) > node.remote_in_flight[id]) return id;
      }
      return runners_.size();
    }
    if (scenario_.policy == PlacementStrategy::kSinglePool) return runners_.size();
    const auto load = [&](std::size_t id) {
      return reported_[id] + static_cast<double>(node.sent_since_report[id]) / kSlots;
    };
    std::vector<std::size_t> candidates;
    const double limit = scenario_.policy == PlacementStrategy::kReports ? 0.75 : 1.0;
    for (std::size_t id = 0; id < runners_.size(); ++id) {
      const bool remote =
          runners_[id].zone != node.zone && !is_partitioned(node.zone, runners_[id].zone);
      if (remote && !request.tried.contains(id) && load(id) < limit) candidates.push_back(id);
    }
    if (candidates.empty()) return runners_.size();
    if (scenario_.policy == PlacementStrategy::kFrequentReports) {
      const std::size_t first = candidates[random_.below(candidates.size())];
      const std::size_t second = candidates[random_.below(candidates.size())];
      return load(first) <= load(second) ? first : second;
    }
    // Selects at random among the runners with nearly the lowest load, as the runner selector does.
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](auto a, auto b) { return load(a) < load(b); });
    const double least = load(*best);
    std::erase_if(candidates, [&](std::size_t id) { return load(id) > least + 0.025; });
    return candidates[random_.below(candidates.size())];
  }

  void dispatch(Request request, std::size_t id) {
    const std::size_t from = nodes_[request.node].zone;
    Runner& runner = runners_[id];
    if (runner.zone == from || scenario_.policy == PlacementStrategy::kSinglePool) {
      ++runner.local;
      enqueue_at_runner(std::move(request), id);
      return;
    }
    ++remote_;
    bytes_ += kRequestBytes;
    Node& node = nodes_[request.node];
    ++node.remote_in_flight[id];
    ++node.sent_since_report[id];
    request.remote = true;
    schedule(scenario_.delay, [this, request = std::move(request), id]() mutable {
      ++runners_[id].remote;
      enqueue_at_runner(std::move(request), id);
    });
  }

  void enqueue_at_runner(Request request, std::size_t id) {
    Runner& runner = runners_[id];
    if (runner.running < kSlots) return start(std::move(request), id);
    if (runner.queue.size() < kRunnerQueue) {
      runner.queue.push_back(std::move(request));
      return;
    }
    ++shed_;
    release(request, id);
    const std::size_t zone = nodes_[request.node].zone;
    request.tried.insert(id);
    schedule(request.remote ? scenario_.delay : Duration{0},
             [this, zone, request = std::move(request)]() mutable {
               request.remote = false;
               zones_[zone].waiting.push_front(std::move(request));
             });
  }

  void start(Request request, std::size_t id) {
    ++runners_[id].running;
    if (now_ - request.arrival > kPlacementDeadline) record_late(request);
    const double seconds = kSlotSeconds * (0.875 + 0.25 * random_.unit());
    schedule(scale(std::chrono::seconds(1), seconds), [this, request, id] {
      Runner& runner = runners_[id];
      --runner.running;
      release(request, id);
      if (runner.queue.empty()) return;
      Request next = std::move(runner.queue.front());
      runner.queue.pop_front();
      start(std::move(next), id);
    });
  }

  void release(const Request& request, std::size_t id) {
    Runner& runner = runners_[id];
    if (!request.remote) {
      --runner.local;
      return;
    }
    --runner.remote;
    schedule(scenario_.delay, [this, id, node_index = request.node] {
      Node& node = nodes_[node_index];
      --node.remote_in_flight[id];
      if (node.sent_since_report[id] > 0) --node.sent_since_report[id];
    });
  }

  void record_late(const Request& request) {
    ++(nodes_[request.node].zone == 0 ? late_hot_ : late_others_);
  }

  /// Sends the loads of runners to the other zones, and the use of runners to the runners' zones.
  void send_reports(std::int64_t step) {
    const std::int64_t interval =
        scenario_.policy == PlacementStrategy::kFrequentReports ? 50 : 250;
    if (uses_loans() || scenario_.policy == PlacementStrategy::kSinglePool || step % interval != 0)
      return;
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
      std::map<std::size_t, double> loads;
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        if (runners_[id].zone == zone) loads[id] = known_load(runners_[id]);
      }
      for (std::size_t other = 0; other < zones_.size(); ++other) {
        if (other == zone) continue;
        send(zone, other, static_cast<double>(loads.size()), [this, loads, other] {
          for (const auto& [id, load] : loads) reported_[id] = load;
          for (Node& node : nodes_) {
            if (node.zone != other) continue;
            for (const auto& [id, load] : loads) node.sent_since_report[id] = 0;
          }
        });
      }
    }
    if (step % 250 != 0 && scenario_.policy == PlacementStrategy::kReports) return;
    std::map<std::size_t, std::uint32_t> use_by_runner;
    for (Node& node : nodes_) {
      std::size_t entries = 0;
      for (const auto& [id, count] : node.remote_in_flight) {
        use_by_runner[id] += count;
        if (count > 0) ++entries;
      }
      if (entries == 0) continue;
      ++messages_;
      bytes_ += kMessageBytes + kEntryBytes * static_cast<double>(entries);
    }
    schedule(scenario_.delay, [this, use_by_runner] {
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        const auto found = use_by_runner.find(id);
        runners_[id].reported_remote = found == use_by_runner.end() ? 0 : found->second;
      }
    });
  }

  /// Returns the number of slots that a node wants from other zones.
  std::uint16_t wanted_slots(std::size_t node_index) {
    const Node& node = nodes_[node_index];
    const auto& waiting = zones_[node.zone].waiting;
    const double zone_slots =
        kSlots * static_cast<double>(runners_.size()) / static_cast<double>(scenario_.zones);
    std::vector<WaitingRequest> own_requests;
    for (const Request& request : waiting) {
      if (request.node != node_index) continue;
      own_requests.push_back({1, kPlacementDeadline - (now_ - request.arrival),
                              scale(std::chrono::seconds(1), kSlotSeconds)});
    }
    if (scenario_.policy == PlacementStrategy::kLoansForAll)
      return static_cast<std::uint16_t>(own_requests.size());
    const ZoneCapacity capacity{zone_slots,
                                static_cast<double>(waiting.size() - own_requests.size())};
    return slots_to_borrow(own_requests, capacity, node.borrower.round_trip_time());
  }

  void tick_loans() {
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
      Node& node = nodes_[node_index];
      const std::uint16_t wanted = zones_[node.zone].waiting.empty() ? 0 : wanted_slots(node_index);
      const auto used = [&](std::uint64_t runner) { return node.remote_in_flight[runner - 1]; };
      for (std::size_t turn = 0; turn < zones_.size(); ++turn) {
        const std::size_t zone = (turn + node_index + tick_) % zones_.size();
        if (zone == node.zone) continue;
        const std::string name = std::to_string(zone);
        const std::uint16_t uncovered_slots = node.borrower.uncovered_slots(wanted, used, now_);
        if (!node.borrower.has_activity(name, now_) && uncovered_slots == 0) continue;
        const std::uint32_t spare = node.borrower.is_reclaiming(name) ? 0 : wanted;
        const auto returned = node.borrower.return_unused(name, used, spare, now_);
        if (returned) {
          send(node.zone, zone, static_cast<double>(returned->slots.size()),
               [this, zone, message = *returned] { handle_return(zone, message); });
        }
        const auto request = node.borrower.next_request(name, 1, uncovered_slots, now_);
        if (!request) continue;
        send(node.zone, zone, static_cast<double>(request->held.size()),
             [this, zone, node_index, message = *request] {
               handle_request(zone, node_index, message);
             });
      }
    }
    ++tick_;
  }

  void handle_return(std::size_t zone, const SlotLoanReturn& returned) {
    for (const std::uint64_t lender : zones_[zone].lenders) {
      lenders_.at(lender - 1).handle_return(returned);
    }
  }

  void handle_request(std::size_t zone, std::size_t borrower, const SlotLoanRequest& request) {
    const auto& lender_ids = zones_[zone].lenders;
    for (std::size_t index = 0; index < lender_ids.size(); ++index) {
      SlotLoanRequest partial_request = request;
      partial_request.slots =
          slots_of_lender(request.slots, index, lender_ids.size(), request.sequence);
      SlotLender& lender = lenders_.at(lender_ids[index] - 1);
      const auto loan = lender.handle_request(partial_request, free_slots(zone, lender),
                                              !zones_[zone].waiting.empty(), now_);
      if (!loan) continue;
      send(zone, nodes_[borrower].zone, static_cast<double>(loan->slots.size()),
           [this, borrower, response = *loan] {
             nodes_[borrower].borrower.handle_loan(response, now_);
           });
    }
  }

  std::vector<RunnerSlots> free_slots(std::size_t zone, const SlotLender& lender) {
    const auto lent = lender.lent_by_runner();
    std::vector<RunnerSlots> free;
    for (std::size_t id = 0; id < runners_.size(); ++id) {
      if (runners_[id].zone != zone) continue;
      const auto found = lent.find(id + 1);
      const std::uint32_t taken = local_history_[0][id] + (found == lent.end() ? 0 : found->second);
      if (taken < kSlots) free.push_back({id + 1, static_cast<std::uint16_t>(kSlots - taken)});
    }
    std::sort(free.begin(), free.end(), [](const RunnerSlots& left, const RunnerSlots& right) {
      return left.slots > right.slots;
    });
    return free;
  }

  /// Updates the state that the nodes of a zone see of one another after the digest delay.
  void publish_state(std::int64_t) {
    std::rotate(local_history_.begin(), local_history_.begin() + 1, local_history_.end());
    for (std::size_t id = 0; id < runners_.size(); ++id)
      local_history_.back()[id] = runners_[id].local;
    if (!uses_loans()) return;
    std::map<std::uint64_t, std::uint32_t> lent;
    for (auto& [node, lender] : lenders_) {
      lender.expire(now_);
      for (const auto& [runner, slots] : lender.lent_by_runner()) lent[runner] += slots;
    }
    compare_bookkeeping(lent);
    schedule(kDigestAge, [this, lent] {
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        const auto found = lent.find(id + 1);
        runners_[id].reported_remote = found == lent.end() ? 0 : found->second;
      }
    });
  }

  void compare_bookkeeping(const std::map<std::uint64_t, std::uint32_t>& lent) {
    std::map<std::uint64_t, std::uint32_t> held;
    for (const Node& node : nodes_) {
      node.borrower.for_each([&](std::uint64_t runner, std::uint16_t slots, TimePoint until, bool) {
        if (now_ < until) held[runner] += slots;
      });
    }
    for (const auto& [runner, slots] : held) {
      max_held_ = std::max(max_held_, slots);
      const auto found = lent.find(runner);
      const std::uint32_t counted = found == lent.end() ? 0 : found->second;
      if (slots > counted) unaccounted_ = std::max(unaccounted_, slots - counted);
    }
  }

  void restart_lenders() {
    for (const std::uint64_t id : zones_[1].lenders) {
      SlotLender restarted(id, now_);
      restarted.set_runners(owned_by(id - 1), now_);
      lenders_.at(id - 1) = restarted;
    }
  }

  [[nodiscard]] Outcome outcome() const {
    const double all = hot_requests_ + other_requests_;
    std::uint32_t lent = 0;
    for (const std::uint64_t id : zones_[1].lenders) {
      for (const auto& [runner, slots] : lenders_.at(id - 1).lent_by_runner()) lent += slots;
    }
    std::uint32_t held = 0;
    for (const Node& node : nodes_) held += node.borrower.held_in_zone("1", now_);
    return {.late_hot = 100 * late_hot_ / hot_requests_,
            .late_others = 100 * late_others_ / other_requests_,
            .late_all = 100 * (late_hot_ + late_others_) / all,
            .shed = 100 * shed_ / all,
            .remote = 100 * remote_ / all,
            .kilobytes = bytes_ / 1000 / scenario_.seconds,
            .messages = messages_ / scenario_.seconds,
            .max_held = max_held_,
            .unaccounted = unaccounted_,
            .lent_at_end = lent,
            .held_at_end = held};
  }

  Scenario scenario_;
  Random random_;
  TimePoint now_{};
  std::vector<Node> nodes_;
  std::vector<Runner> runners_;
  std::vector<Zone> zones_;
  std::map<std::size_t, SlotLender> lenders_;  ///< By node.
  std::vector<double> reported_;               ///< Load by runner as reported by its zone.
  std::vector<std::vector<std::uint32_t>> local_history_;
  std::priority_queue<Event> events_;
  std::uint64_t event_number_ = 0;
  std::size_t tick_ = 0;
  double hot_requests_ = 0;
  double other_requests_ = 0;
  double late_hot_ = 0;
  double late_others_ = 0;
  double shed_ = 0;
  double remote_ = 0;
  double bytes_ = 0;
  double messages_ = 0;
  std::uint32_t max_held_ = 0;
  std::uint32_t unaccounted_ = 0;
};

}  // namespace stoathold::slot_loan_fleet
