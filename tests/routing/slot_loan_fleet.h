/// @file
/// A fleet without sockets in which ways to place work at other zones' runners are compared:
/// arrivals, delays between zones and a cut zone, all from one seed. Inside a zone everything is
/// known at once, but for what lenders tell: all ways gain alike from that.
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
/// An answer takes 0.8 s give or take an eighth; its first event is wanted 300 ms after the request
/// came, of which 45 ms pass from its placement.
inline constexpr double kSlotSeconds = 0.8;
inline constexpr Duration kDue = std::chrono::milliseconds(255);
inline constexpr Duration kGiveUp = std::chrono::milliseconds(2000);
/// Requests that a runner keeps waiting before it turns further ones away.
inline constexpr std::size_t kRunnerQueue = 8;
/// Age of what the nodes of a zone know of one another.
inline constexpr Duration kDigestAge = std::chrono::milliseconds(15);
/// How much later the second copy of a doubled message comes.
inline constexpr Duration kDoubledLater = std::chrono::milliseconds(30);
/// Bytes of a request with its answer, and of a message about loans or loads beside its entries.
inline constexpr double kRequestBytes = 4000;
inline constexpr double kMessageBytes = 60;
inline constexpr double kEntryBytes = 10;

enum class Way : std::uint8_t {
  kReports,         ///< Loads each 250 ms; runners below 0.75 take work.
  kOftenerReports,  ///< Loads each 50 ms; the better of two runners with a free slot.
  kLoans,           ///< Granted slots only, wanted for whatever waits.
  kLoansIfLate,     ///< Granted slots only, wanted for what would be late in its own zone.
  kOnePool,         ///< All nodes know all runners: the bound.
};

struct Play {
  Way way = Way::kLoans;
  std::size_t nodes = 89;
  std::size_t zones = 3;
  Duration delay = std::chrono::milliseconds(1);  ///< One way between zones.
  double hot_factor = 4;                          ///< Arrivals of zone 0 against those of another.
  double utilisation = 0.88;                      ///< Work wanted against all slots.
  double seconds = 12;
  double cut_from = 0;    ///< Zone 1 is cut off from others from then on; 0: never.
  double restart_at = 0;  ///< The lenders of zone 1 lose their books then; 0: never.
  double loss = 0;        ///< Part of the messages between zones that is lost.
  double doubled = 0;     ///< Part that comes twice, the second time late.
  std::uint64_t seed = 1;
};

struct Outcome {
  double late_hot = 0;     ///< In 100 requests of zone 0.
  double late_others = 0;  ///< In 100 of the others.
  double late_all = 0;
  double shed = 0;              ///< Requests that a runner turned away, in 100.
  double remote = 0;            ///< Requests that ran in another zone, in 100.
  double kilobytes = 0;         ///< Between zones, a second.
  double messages = 0;          ///< About loans and loads between zones, a second.
  std::uint32_t most_held = 0;  ///< Slots of a runner that borrowers held at once, at most.
  std::uint32_t unaccounted =
      0;  ///< Most slots of a runner held beyond those that its lender counts.
  std::uint32_t lent_at_end = 0;  ///< Slots of zone 1 that its lenders count as lent at the end.
  std::uint32_t held_at_end = 0;  ///< Slots of zone 1 that borrowers hold at the end.
};

class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), random_(play.seed) {
    for (std::size_t node = 0; node < play.nodes; ++node) {
      nodes_.push_back({node % play.zones, SlotBorrower(node + 1), {}});
    }
    for (std::size_t i = 0; i < play.nodes; ++i) runners_.push_back({i % play.zones});
    for (std::size_t zone = 0; zone < play.zones; ++zone) {
      Zone entry;
      for (std::size_t turn = 0; turn < 2; ++turn) {
        const std::size_t node = zone + turn * play.zones;
        entry.lenders.push_back(node + 1);
        // What was lent before the play has ended.
        lenders_.emplace(node, SlotLender(node + 1, TimePoint{} - kLoanLifetime));
      }
      zones_.push_back(std::move(entry));
    }
    for (auto& [node, lender] : lenders_)
      lender.set_runners(owned_by(node), TimePoint{} - kLoanLifetime);
    reported_.resize(runners_.size());
    ring_.assign(kDigestAge / kStep + 1, std::vector<std::uint32_t>(runners_.size()));
  }

  Outcome run() {
    const auto steps = static_cast<std::int64_t>(play_.seconds * 1000);
    for (std::int64_t step = 0; step < steps; ++step) {
      now_ = TimePoint{} + step * kStep;
      while (!events_.empty() && events_.top().at <= now_) {
        const auto act = events_.top().act;
        events_.pop();
        act();
      }
      arrive();
      report(step);
      for (std::size_t zone = 0; zone < zones_.size(); ++zone) place_waiting(zone);
      if (loans()) tick_loans();
      if (play_.restart_at > 0 && to_seconds(now_ - TimePoint{}) == play_.restart_at)
        restart_lenders();
      remember(step);
    }
    return outcome();
  }

 private:
  struct Request {
    std::size_t node = 0;
    TimePoint arrival{};
    std::set<std::size_t> tried;
    bool lent = false;
  };
  struct Node {
    std::size_t zone;
    SlotBorrower borrower;
    std::map<std::size_t, std::uint32_t> at_remote;  ///< Own requests by runner of another zone.
    std::map<std::size_t, std::uint32_t> since_report{};
  };
  struct Runner {
    std::size_t zone;
    std::uint32_t running = 0;
    std::deque<Request> queue{};
    std::uint32_t local = 0;         ///< Requests of its own zone there.
    std::uint32_t remote_known = 0;  ///< Those of other zones, or lent, as its zone knows them.
    std::uint32_t remote = 0;        ///< Those of other zones indeed.
  };
  struct Zone {
    std::vector<std::uint64_t> lenders{};
    std::deque<Request> waiting{};
    double due_arrivals = 0;
  };
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  [[nodiscard]] bool loans() const {
    return play_.way == Way::kLoans || play_.way == Way::kLoansIfLate;
  }
  void after(Duration delay, std::function<void()> act) {
    events_.push({now_ + delay, ++event_number_, std::move(act)});
  }
  [[nodiscard]] bool cut(std::size_t from, std::size_t to) const {
    const bool apart = from != to && (from == 1 || to == 1);
    return play_.cut_from > 0 && apart && to_seconds(now_ - TimePoint{}) >= play_.cut_from;
  }
  /// Sends something between zones.
  void send(std::size_t from, std::size_t to, double entries, std::function<void()> act) {
    ++messages_;
    bytes_ += kMessageBytes + kEntryBytes * entries;
    if (cut(from, to) || random_.unit() < play_.loss) return;
    if (random_.unit() < play_.doubled) after(play_.delay + kDoubledLater, act);
    after(play_.delay, std::move(act));
  }
  [[nodiscard]] std::set<std::uint64_t> owned_by(std::size_t node) const {
    const std::size_t zone = node % play_.zones;
    std::set<std::uint64_t> owned;
    for (std::size_t id = 0; id < runners_.size(); ++id) {
      const auto& lenders = zones_[zone].lenders;
      if (runners_[id].zone == zone && lenders[lender_of(id + 1, lenders)] == node + 1) {
        owned.insert(id + 1);
      }
    }
    return owned;
  }

  void arrive() {
    const double all =
        play_.utilisation * static_cast<double>(runners_.size()) * kSlots / kSlotSeconds;
    const double parts = play_.hot_factor + static_cast<double>(play_.zones) - 1;
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
      const double rate = all * (zone == 0 ? play_.hot_factor : 1) / parts;
      // Binomial arrivals in tenths of a step: close to a Poisson process.
      for (int tenth = 0; tenth < 10; ++tenth) {
        const double chance = rate * to_seconds(kStep) / 10;
        for (double left = chance; left > 0; left -= 1) {
          if (random_.unit() >= left) continue;
          const std::size_t members = (play_.nodes + play_.zones - 1 - zone) / play_.zones;
          zones_[zone].waiting.push_back(
              {zone + play_.zones * random_.below(members), now_, {}, false});
          ++(zone == 0 ? hot_ : others_);
        }
      }
    }
  }

  /// Load of a runner as its own zone knows it.
  [[nodiscard]] double known_load(const Runner& runner) const {
    return static_cast<double>(runner.local + runner.remote_known) / kSlots;
  }

  std::size_t least_loaded(std::size_t zone, double limit) {
    std::size_t best = runners_.size();
    double best_load = limit;
    const std::size_t start = random_.below(runners_.size());
    for (std::size_t i = 0; i < runners_.size(); ++i) {
      const std::size_t id = (start + i) % runners_.size();
      const Runner& runner = runners_[id];
      if (runner.zone != zone && play_.way != Way::kOnePool) continue;
      const double load = play_.way == Way::kOnePool
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
    // What can still be in time goes first.
    std::stable_partition(waiting.begin(), waiting.end(), [this](const Request& request) {
      return now_ - request.arrival <= kDue;
    });
    std::deque<Request> left;
    bool local_full = false;
    std::set<std::size_t> nodes_without;
    while (!waiting.empty()) {
      Request request = std::move(waiting.front());
      waiting.pop_front();
      if (now_ - request.arrival >= kGiveUp) {
        finish_late(request);
        continue;
      }
      std::size_t runner = local_full ? runners_.size() : least_loaded(zone, 1);
      if (runner == runners_.size()) local_full = true;
      if (runner == runners_.size() && !nodes_without.contains(request.node)) {
        runner = remote_runner(request);
        if (runner == runners_.size()) nodes_without.insert(request.node);
      }
      if (runner == runners_.size()) {
        left.push_back(std::move(request));
      } else {
        begin(std::move(request), runner);
      }
    }
    waiting = std::move(left);
  }

  std::size_t remote_runner(const Request& request) {
    Node& node = nodes_[request.node];
    if (loans()) {
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        if (node.borrower.held(id + 1, now_) > node.at_remote[id]) return id;
      }
      return runners_.size();
    }
    if (play_.way == Way::kOnePool) return runners_.size();
    const auto load = [&](std::size_t id) {
      return reported_[id] + static_cast<double>(node.since_report[id]) / kSlots;
    };
    std::vector<std::size_t> candidates;
    const double limit = play_.way == Way::kReports ? 0.75 : 1.0;
    for (std::size_t id = 0; id < runners_.size(); ++id) {
      const bool remote = runners_[id].zone != node.zone && !cut(node.zone, runners_[id].zone);
      if (remote && !request.tried.contains(id) && load(id) < limit) candidates.push_back(id);
    }
    if (candidates.empty()) return runners_.size();
    if (play_.way == Way::kOftenerReports) {
      const std::size_t first = candidates[random_.below(candidates.size())];
      const std::size_t second = candidates[random_.below(candidates.size())];
      return load(first) <= load(second) ? first : second;
    }
    // Those about as good are taken by chance, as the selector does.
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](auto a, auto b) { return load(a) < load(b); });
    const double least = load(*best);
    std::erase_if(candidates, [&](std::size_t id) { return load(id) > least + 0.025; });
    return candidates[random_.below(candidates.size())];
  }

  void begin(Request request, std::size_t id) {
    const std::size_t from = nodes_[request.node].zone;
    Runner& runner = runners_[id];
    if (runner.zone == from || play_.way == Way::kOnePool) {
      ++runner.local;
      reach(std::move(request), id);
      return;
    }
    ++remote_;
    bytes_ += kRequestBytes;
    Node& node = nodes_[request.node];
    ++node.at_remote[id];
    ++node.since_report[id];
    request.lent = true;
    after(play_.delay, [this, request = std::move(request), id]() mutable {
      ++runners_[id].remote;
      reach(std::move(request), id);
    });
  }

  void reach(Request request, std::size_t id) {
    Runner& runner = runners_[id];
    if (runner.running < kSlots) return start(std::move(request), id);
    if (runner.queue.size() < kRunnerQueue) {
      runner.queue.push_back(std::move(request));
      return;
    }
    ++shed_;
    leave(request, id);
    const std::size_t zone = nodes_[request.node].zone;
    request.tried.insert(id);
    after(request.lent ? play_.delay : Duration{0},
          [this, zone, request = std::move(request)]() mutable {
            request.lent = false;
            zones_[zone].waiting.push_front(std::move(request));
          });
  }

  void start(Request request, std::size_t id) {
    ++runners_[id].running;
    if (now_ - request.arrival > kDue) finish_late(request);
    const double seconds = kSlotSeconds * (0.875 + 0.25 * random_.unit());
    after(scale(std::chrono::seconds(1), seconds), [this, request, id] {
      Runner& runner = runners_[id];
      --runner.running;
      leave(request, id);
      if (runner.queue.empty()) return;
      Request next = std::move(runner.queue.front());
      runner.queue.pop_front();
      start(std::move(next), id);
    });
  }

  void leave(const Request& request, std::size_t id) {
    Runner& runner = runners_[id];
    if (!request.lent) {
      --runner.local;
      return;
    }
    --runner.remote;
    after(play_.delay, [this, id, number = request.node] {
      Node& node = nodes_[number];
      --node.at_remote[id];
      if (node.since_report[id] > 0) --node.since_report[id];
    });
  }

  void finish_late(const Request& request) {
    ++(nodes_[request.node].zone == 0 ? late_hot_ : late_others_);
  }

  /// Loads of runners go to the other zones, and the use of runners to the zones that have them.
  void report(std::int64_t step) {
    const std::int64_t interval = play_.way == Way::kOftenerReports ? 50 : 250;
    if (loans() || play_.way == Way::kOnePool || step % interval != 0) return;
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
            for (const auto& [id, load] : loads) node.since_report[id] = 0;
          }
        });
      }
    }
    if (step % 250 != 0 && play_.way == Way::kReports) return;
    std::map<std::size_t, std::uint32_t> uses;
    for (Node& node : nodes_) {
      std::size_t entries = 0;
      for (const auto& [id, count] : node.at_remote) {
        uses[id] += count;
        if (count > 0) ++entries;
      }
      if (entries == 0) continue;
      ++messages_;
      bytes_ += kMessageBytes + kEntryBytes * static_cast<double>(entries);
    }
    after(play_.delay, [this, uses] {
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        const auto found = uses.find(id);
        runners_[id].remote_known = found == uses.end() ? 0 : found->second;
      }
    });
  }

  /// Work at a node that wants slots of other zones.
  std::uint16_t wanted(std::size_t number) {
    const Node& node = nodes_[number];
    const auto& waiting = zones_[node.zone].waiting;
    const double zone_slots =
        kSlots * static_cast<double>(runners_.size()) / static_cast<double>(play_.zones);
    std::vector<WaitingWork> own;
    for (const Request& request : waiting) {
      if (request.node != number) continue;
      own.push_back(
          {1, kDue - (now_ - request.arrival), scale(std::chrono::seconds(1), kSlotSeconds)});
    }
    if (play_.way == Way::kLoans) return static_cast<std::uint16_t>(own.size());
    const ZoneSupply supply{zone_slots, static_cast<double>(waiting.size() - own.size())};
    return slots_worth_borrowing(own, supply, node.borrower.answer_time());
  }

  void tick_loans() {
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      Node& node = nodes_[number];
      const std::uint16_t wanted_here = zones_[node.zone].waiting.empty() ? 0 : wanted(number);
      const auto used = [&](std::uint64_t runner) { return node.at_remote[runner - 1]; };
      for (std::size_t turn = 0; turn < zones_.size(); ++turn) {
        const std::size_t zone = (turn + number + tick_) % zones_.size();
        if (zone == node.zone) continue;
        const std::string name = std::to_string(zone);
        const std::uint16_t lacking = node.borrower.lacking(wanted_here, used, now_);
        if (!node.borrower.involved(name, now_) && lacking == 0) continue;
        const std::uint32_t spare = node.borrower.reclaimed(name) ? 0 : wanted_here;
        const auto returned = node.borrower.give_back(name, used, spare, now_);
        if (returned) {
          send(node.zone, zone, static_cast<double>(returned->slots.size()),
               [this, zone, message = *returned] { take_back(zone, message); });
        }
        const auto request = node.borrower.next_request(name, 1, lacking, now_);
        if (!request) continue;
        send(node.zone, zone, static_cast<double>(request->held.size()),
             [this, zone, number, message = *request] { ask(zone, number, message); });
      }
    }
    ++tick_;
  }

  void take_back(std::size_t zone, const SlotLoanReturn& returned) {
    for (const std::uint64_t lender : zones_[zone].lenders) {
      lenders_.at(lender - 1).take_back(returned);
    }
  }

  void ask(std::size_t zone, std::size_t borrower, const SlotLoanRequest& request) {
    const auto& ids = zones_[zone].lenders;
    for (std::size_t index = 0; index < ids.size(); ++index) {
      SlotLoanRequest part = request;
      part.slots = part_of_lender(request.slots, index, ids.size(), request.number);
      SlotLender& lender = lenders_.at(ids[index] - 1);
      const auto loan =
          lender.answer(part, free_slots(zone, lender), !zones_[zone].waiting.empty(), now_);
      if (!loan) continue;
      send(zone, nodes_[borrower].zone, static_cast<double>(loan->slots.size()),
           [this, borrower, answer = *loan] { nodes_[borrower].borrower.take(answer, now_); });
    }
  }

  std::vector<LentSlots> free_slots(std::size_t zone, const SlotLender& lender) {
    const auto lent = lender.lent();
    std::vector<LentSlots> free;
    for (std::size_t id = 0; id < runners_.size(); ++id) {
      if (runners_[id].zone != zone) continue;
      const auto found = lent.find(id + 1);
      const std::uint32_t taken = ring_[0][id] + (found == lent.end() ? 0 : found->second);
      if (taken < kSlots) free.push_back({id + 1, static_cast<std::uint16_t>(kSlots - taken)});
    }
    std::sort(free.begin(), free.end(), [](const LentSlots& left, const LentSlots& right) {
      return left.slots > right.slots;
    });
    return free;
  }

  /// What the nodes of a zone know of one another is some milliseconds old.
  void remember(std::int64_t) {
    std::rotate(ring_.begin(), ring_.begin() + 1, ring_.end());
    for (std::size_t id = 0; id < runners_.size(); ++id) ring_.back()[id] = runners_[id].local;
    if (!loans()) return;
    std::map<std::uint64_t, std::uint32_t> lent;
    for (auto& [node, lender] : lenders_) {
      lender.expire(now_);
      for (const auto& [runner, slots] : lender.lent()) lent[runner] += slots;
    }
    compare_books(lent);
    after(kDigestAge, [this, lent] {
      for (std::size_t id = 0; id < runners_.size(); ++id) {
        const auto found = lent.find(id + 1);
        runners_[id].remote_known = found == lent.end() ? 0 : found->second;
      }
    });
  }

  void compare_books(const std::map<std::uint64_t, std::uint32_t>& lent) {
    std::map<std::uint64_t, std::uint32_t> held;
    for (const Node& node : nodes_) {
      node.borrower.for_each([&](std::uint64_t runner, std::uint16_t slots, TimePoint until, bool) {
        if (now_ < until) held[runner] += slots;
      });
    }
    for (const auto& [runner, slots] : held) {
      most_held_ = std::max(most_held_, slots);
      const auto found = lent.find(runner);
      const std::uint32_t counted = found == lent.end() ? 0 : found->second;
      if (slots > counted) unaccounted_ = std::max(unaccounted_, slots - counted);
    }
  }

  void restart_lenders() {
    for (const std::uint64_t id : zones_[1].lenders) {
      SlotLender fresh(id, now_);
      fresh.set_runners(owned_by(id - 1), now_);
      lenders_.at(id - 1) = fresh;
    }
  }

  [[nodiscard]] Outcome outcome() const {
    const double all = hot_ + others_;
    std::uint32_t lent = 0;
    for (const std::uint64_t id : zones_[1].lenders) {
      for (const auto& [runner, slots] : lenders_.at(id - 1).lent()) lent += slots;
    }
    std::uint32_t held = 0;
    for (const Node& node : nodes_) held += node.borrower.held_in("1", now_);
    return {.late_hot = 100 * late_hot_ / hot_,
            .late_others = 100 * late_others_ / others_,
            .late_all = 100 * (late_hot_ + late_others_) / all,
            .shed = 100 * shed_ / all,
            .remote = 100 * remote_ / all,
            .kilobytes = bytes_ / 1000 / play_.seconds,
            .messages = messages_ / play_.seconds,
            .most_held = most_held_,
            .unaccounted = unaccounted_,
            .lent_at_end = lent,
            .held_at_end = held};
  }

  Play play_;
  Random random_;
  TimePoint now_{};
  std::vector<Node> nodes_;
  std::vector<Runner> runners_;
  std::vector<Zone> zones_;
  std::map<std::size_t, SlotLender> lenders_;  ///< By node.
  std::vector<double> reported_;               ///< Loads as the zones reported them.
  std::vector<std::vector<std::uint32_t>> ring_;
  std::priority_queue<Event> events_;
  std::uint64_t event_number_ = 0;
  std::size_t tick_ = 0;
  double hot_ = 0;
  double others_ = 0;
  double late_hot_ = 0;
  double late_others_ = 0;
  double shed_ = 0;
  double remote_ = 0;
  double bytes_ = 0;
  double messages_ = 0;
  std::uint32_t most_held_ = 0;
  std::uint32_t unaccounted_ = 0;
};

}  // namespace stoathold::slot_loan_fleet
