#include "tests/routing/batch_replay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "routing/batch_arbiter.h"

namespace stoathold::batch_replay {
namespace {

constexpr double kStep = 0.001;
constexpr std::size_t kZones = 3;
constexpr std::size_t kSlots = 8;
constexpr std::size_t kRunnerCapacity = 32;  ///< Slots and queue of a runner.
constexpr std::uint64_t kService = 7;
/// Online work: mean demand of 325 of 712 slots, alternating between low and high; 0.8 s per
/// request.
constexpr double kOnlineSlots = 325.0 / 712;
constexpr double kOnlineTime = 0.8;
constexpr double kLowRate = 0.383;
constexpr double kLowSeconds = 3.4;
constexpr double kHighRate = 1.87;
constexpr double kPeriod = 5.8;
constexpr double kOnlineDeadline = 0.255;
constexpr double kOnlinePatience = 1.0;
/// Batch: 51 items per second for 712 slots, in jobs of 10, 5.2 s each, due after 18 s.
constexpr double kItemsPerSlot = 51.0 / 712;
constexpr double kItemsOfJob = 10;
constexpr double kItemTime = 5.2;
constexpr double kItemDeadline = 18;
/// Two bursts of online work, and one of batch jobs.
constexpr double kBurstSeconds = 3;
constexpr double kBatchLimit = 0.85;
constexpr double kBurstReserve = 0.4;
constexpr double kBurstReserveDecay = 0.4;
constexpr double kRemoteLimit = 0.75;
constexpr double kRemoteReport = 0.25;
constexpr double kDigestDelay = 0.002;
constexpr double kDigestInterval = 0.015;
constexpr double kOnlineReportDelay = 0.015;
constexpr double kShareWindow = 0.02;
constexpr double kRejectionPause = 0.05;

TimePoint at(double seconds) {
  return TimePoint{} + std::chrono::hours(1) + Duration(static_cast<Duration::rep>(seconds * 1e6));
}

struct Item {
  double due = 0;
  double left = kItemTime;
  std::size_t node = 0;
  double not_before = 0;
};

struct Entry {
  bool online = false;
  std::size_t item = 0;
  double left = 0;
  double arrival = 0;
  bool begun = false;
};

struct Runner {
  std::size_t zone = 0;
  std::vector<Entry> entries;
  std::size_t online = 0;
};

struct Snapshot {
  double time = 0;
  std::vector<std::uint8_t> use;  ///< By runner.
  BatchQueueDepth waiting;
};

struct Node {
  std::size_t zone = 0;
  double interval = 0.005;
  double next = 0;
  double published = -1;
  std::vector<std::uint8_t> use;
  std::vector<std::size_t> waiting;
  std::deque<Snapshot> snapshots;
  std::unique_ptr<BatchArbiter> arbiter;
  BatchQueueDepth announced{.service = kService};  ///< Waiting items reported to `arbiter`.
  double window = -1;
  double budget = 0;
  std::vector<std::uint8_t> begun_remote;
  double remote_window = -1;
};

class Fleet {
 public:
  explicit Fleet(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    for (std::size_t i = 0; i < scenario.nodes; ++i) {
      Runner runner;
      runner.zone = i % kZones;
      runners_.push_back(runner);
      Node node;
      node.zone = i % kZones;
      node.interval = scenario.half_slow_nodes && (i / kZones) % 2 == 0 ? 0.1 : 0.005;
      node.next = random_.unit() * node.interval;
      node.arbiter = std::make_unique<BatchArbiter>();
      node.arbiter->set_self(i + 1);
      nodes_.push_back(std::move(node));
    }
    for (auto& node : nodes_) {
      node.use.assign(scenario.nodes, 0);
      node.begun_remote.assign(scenario.nodes, 0);
    }
    reported_loads_.assign(scenario.nodes, 0);
    last_online_demand_.assign(kZones, -10);
    online_queue_.resize(kZones);
  }

  Outcome run() {
    for (now_ = 0; now_ < scenario_.seconds || (open_ > 0 && now_ < scenario_.seconds + 60);
         now_ += kStep) {
      if (now_ < scenario_.seconds) arrive();
      work();
      place_online();
      record_known_loads();
      if (scenario_.policy == SharingPolicy::kGlobalQueue) {
        place_from_global_queue();
      } else {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
          if (now_ >= nodes_[i].next) run_node(i);
        }
      }
      measure();
    }
    const double steps = scenario_.seconds / kStep;
    outcome_.items_late = 100.0 * static_cast<double>(late_ + open_) /
                          std::max<double>(1, static_cast<double>(items_.size()));
    outcome_.online_late = 100.0 * online_late_ / std::max(1.0, online_all_);
    outcome_.items_beyond_slots /= steps;
    outcome_.rejected /= scenario_.seconds;
    outcome_.preempted /= scenario_.seconds;
    outcome_.idle_slots /= steps;
    outcome_.idle_allowed_slots /= steps;
    return outcome_;
  }

 private:
  double scale() const { return static_cast<double>(scenario_.nodes * kSlots); }

  std::size_t poisson(double mean) {
    const double limit = std::exp(-mean);
    double product = random_.unit();
    std::size_t count = 0;
    while (product > limit) {
      product *= random_.unit();
      ++count;
    }
    return count;
  }

  void arrive() {
    const double phase = std::fmod(now_, kPeriod);
    double online =
        scale() * kOnlineSlots / kOnlineTime * (phase < kLowSeconds ? kLowRate : kHighRate);
    double batch = scale() * kItemsPerSlot / kItemsOfJob;
    batch *= scenario_.batch_rate_factor;
    if (!scenario_.bursts) return arrive(online, batch);
    if (now_ >= 9 && now_ < 9 + kBurstSeconds) batch *= 6, online *= 1.5;
    if (now_ >= 20 && now_ < 20 + kBurstSeconds) online *= 1.5;
    arrive(online, batch);
  }

  void arrive(double online, double batch) {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      const std::size_t count = poisson(online / kZones * kStep);
      for (std::size_t i = 0; i < count; ++i) online_queue_[zone].push_back({now_, now_});
      online_all_ += static_cast<double>(count);
    }
    const std::size_t jobs = poisson(batch * kStep);
    for (std::size_t job = 0; job < jobs; ++job) {
      const std::size_t node = random_.below(nodes_.size());
      for (std::size_t i = 0; i < static_cast<std::size_t>(kItemsOfJob); ++i) {
        items_.push_back({now_ + kItemDeadline, kItemTime * (0.5 + random_.unit()), node, 0});
        nodes_[node].waiting.push_back(items_.size() - 1);
        ++open_;
      }
    }
  }

  void work() {
    for (auto& runner : runners_) {
      for (std::size_t i = 0; i < runner.entries.size() && i < kSlots; ++i) {
        Entry& entry = runner.entries[i];
        if (!entry.begun && entry.online && now_ - entry.arrival > kOnlineDeadline) ++online_late_;
        entry.begun = true;
        entry.left -= kStep;
        if (!entry.online) items_[entry.item].left = entry.left;
      }
    }
    for (std::size_t r = 0; r < runners_.size(); ++r) {
      auto& entries = runners_[r].entries;
      for (std::size_t i = 0; i < entries.size();) {
        if (entries[i].left > 0) {
          ++i;
          continue;
        }
        const Entry entry = entries[i];
        entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(i));
        if (entry.online) {
          --runners_[r].online;
        } else {
          --nodes_[items_[entry.item].node].use[r];
          --open_;
          if (now_ > items_[entry.item].due) ++late_;
        }
      }
    }
  }

  /// Returns whether the first of two items is preempted only after the second.
  bool yields_after(const Entry& first, const Entry& second) const {
    const auto rank = [this](const Entry& entry) {
      const double slack = items_[entry.item].due - now_ - entry.left;
      return std::pair(!in_time(entry.item), scenario_.preempt_most_remaining ? entry.left : slack);
    };
    return rank(first) < rank(second);
  }

  void preempt(std::size_t r) {
    auto& entries = runners_[r].entries;
    auto found = entries.end();
    for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
      if (entry->online) continue;
      const bool more = found != entries.end() && yields_after(*entry, *found);
      if (!more) found = entry;
    }
    if (found == entries.end()) return;
    const std::size_t item = found->item;
    entries.erase(found);
    --nodes_[items_[item].node].use[r];
    nodes_[items_[item].node].waiting.push_back(item);
    ++outcome_.preempted;
  }

  struct Online {
    double arrival;
    double asked;
  };

  void place_online() {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      auto& queue = online_queue_[zone];
      while (!queue.empty() && now_ - queue.front().arrival > kOnlinePatience) {
        queue.pop_front();
        ++online_late_;
      }
      while (!queue.empty() && place_one(zone, queue.front().arrival)) queue.pop_front();
      if (!queue.empty()) last_online_demand_[zone] = now_;
      for (auto& waiting : queue) {
        const double pause = waiting.asked == waiting.arrival ? 0.02 : 0.1;
        if (now_ - waiting.asked < pause) continue;
        waiting.asked = now_;
        const std::size_t r = most_batch(zone, false);
        if (r < runners_.size()) preempt(r);
      }
    }
  }

  std::size_t most_batch(std::size_t zone, bool just_full) const {
    std::size_t best = runners_.size();
    std::size_t most = 0;
    for (std::size_t r = zone; r < runners_.size(); r += kZones) {
      const std::size_t batch = runners_[r].entries.size() - runners_[r].online;
      if (just_full && runners_[r].entries.size() != kSlots) continue;
      if (batch <= most) continue;
      most = batch;
      best = r;
    }
    return best;
  }

  bool place_one(std::size_t zone, double arrival) {
    std::size_t best = zone;
    for (std::size_t r = zone; r < runners_.size(); r += kZones) {
      if (runners_[r].entries.size() < runners_[best].entries.size()) best = r;
    }
    double remaining = kOnlineTime;
    if (runners_[best].entries.size() >= kSlots) {
      best = most_batch(zone, true);
      if (best == runners_.size()) return false;
      preempt(best);
      last_online_demand_[zone] = now_;
      remaining += 0.01;
    }
    runners_[best].entries.push_back({true, 0, remaining, arrival});
    ++runners_[best].online;
    return true;
  }

  /// Records the online use of runners, which nodes see with a delay.
  void record_known_loads() {
    std::vector<std::uint8_t> online;
    for (const auto& runner : runners_) online.push_back(static_cast<std::uint8_t>(runner.online));
    recent_online_use_.push_back(std::move(online));
    if (recent_online_use_.size() > static_cast<std::size_t>(kOnlineReportDelay / kStep))
      recent_online_use_.pop_front();
    if (now_ - reported_at_ >= kRemoteReport) {
      reported_at_ = now_;
      for (std::size_t r = 0; r < runners_.size(); ++r)
        reported_loads_[r] = static_cast<double>(runners_[r].entries.size());
    }
  }

  double limit(std::size_t zone) const {
    const double part = (now_ - last_online_demand_[zone]) / kBurstReserveDecay;
    return kBatchLimit - kBurstReserve * std::clamp(1 - part, 0.0, 1.0);
  }

  bool in_time(std::size_t item) const {
    return now_ + items_[item].left * scenario_.remaining_time_factor <= items_[item].due;
  }

  void sort(std::vector<std::size_t>& waiting, bool others_late) const {
    const bool late =
        others_late || std::any_of(waiting.begin(), waiting.end(),
                                   [this](std::size_t item) { return !in_time(item); });
    const bool by_remaining = scenario_.order == ItemOrder::kLeastRemaining ||
                              (scenario_.order == ItemOrder::kAdaptive && late);
    std::sort(waiting.begin(), waiting.end(), [&](std::size_t left, std::size_t right) {
      const auto rank = [this, by_remaining](std::size_t item) {
        const bool late = !in_time(item);
        const double order =
            by_remaining ? items_[item].left : items_[item].due - items_[item].left;
        return std::tuple(late, order, item);
      };
      return rank(left) < rank(right);
    });
  }

  void send_item(std::size_t r, std::size_t item) {
    Node& node = nodes_[items_[item].node];
    if (runners_[r].entries.size() >= kRunnerCapacity) {
      ++outcome_.rejected;
      items_[item].not_before = now_ + kRejectionPause;
      node.waiting.push_back(item);
      return;
    }
    runners_[r].entries.push_back({false, item, items_[item].left, 0});
    ++node.use[r];
  }

  void place_from_global_queue() {
    std::vector<std::size_t> waiting;
    for (auto& node : nodes_) {
      waiting.insert(waiting.end(), node.waiting.begin(), node.waiting.end());
      node.waiting.clear();
    }
    if (waiting.empty()) return;
    sort(waiting, false);
    std::size_t next = 0;
    for (bool placed = true; placed && next < waiting.size();) {
      placed = false;
      for (std::size_t r = 0; r < runners_.size() && next < waiting.size(); ++r) {
        const std::size_t zone = runners_[r].zone;
        const double load = static_cast<double>(runners_[r].entries.size()) / kSlots;
        if (!online_queue_[zone].empty() || load >= limit(zone)) continue;
        send_item(r, waiting[next++]);
        placed = true;
      }
    }
    for (; next < waiting.size(); ++next)
      nodes_[items_[waiting[next]].node].waiting.push_back(waiting[next]);
  }

  const Snapshot* latest_snapshot(const Node& other) const {
    for (auto it = other.snapshots.rbegin(); it != other.snapshots.rend(); ++it) {
      if (it->time <= now_ - kDigestDelay) return &*it;
    }
    return nullptr;
  }

  /// Returns the loads of the zone's runners as known to the node.
  std::vector<double> known_loads(std::size_t self) {
    Node& node = nodes_[self];
    std::vector<double> load(runners_.size(), 0);
    for (std::size_t r = node.zone; r < runners_.size(); r += kZones)
      load[r] = recent_online_use_.front()[r] + node.use[r];
    for (std::size_t i = node.zone; i < nodes_.size(); i += kZones) {
      if (i == self) continue;
      const Snapshot* snapshot = latest_snapshot(nodes_[i]);
      if (snapshot == nullptr) continue;
      for (std::size_t r = node.zone; r < runners_.size(); r += kZones) load[r] += snapshot->use[r];
      const std::size_t items = snapshot->waiting.in_time + std::size_t{snapshot->waiting.late};
      node.arbiter->apply_report(
          i + 1, items > 0 ? std::vector{snapshot->waiting} : std::vector<BatchQueueDepth>{},
          at(snapshot->time));
      others_waiting_ += items;
      others_late_ += snapshot->waiting.late;
    }
    return load;
  }

  void update_announced_waits(Node& node) {
    std::uint16_t in_time_now = 0;
    for (const std::size_t item : node.waiting) in_time_now += in_time(item) ? 1 : 0;
    const auto all = static_cast<std::uint16_t>(node.waiting.size());
    update_announced(node, node.announced.in_time, in_time_now, ItemUrgency::kInTime);
    update_announced(node, node.announced.late, static_cast<std::uint16_t>(all - in_time_now),
                     ItemUrgency::kLate);
  }

  static void update_announced(Node& node, std::uint16_t& announced, std::uint16_t wanted,
                               ItemUrgency urgency) {
    for (; announced < wanted; ++announced) node.arbiter->begin_wait(kService, urgency);
    for (; announced > wanted; --announced) node.arbiter->end_wait(kService, urgency);
  }

  bool is_silent(std::size_t self) const {
    return now_ > 12 && static_cast<double>(self) <
                            scenario_.silent_fraction * static_cast<double>(nodes_.size());
  }

  void run_node(std::size_t self) {
    Node& node = nodes_[self];
    node.next = now_ + node.interval;
    if (is_silent(self)) return;
    others_waiting_ = 0;
    others_late_ = 0;
    if (!node.waiting.empty()) {
      std::vector<double> load = known_loads(self);
      update_announced_waits(node);
      place(node, load);
      update_announced_waits(node);
    }
    publish(node);
  }

  void publish(Node& node) {
    if (now_ - node.published < kDigestInterval) return;
    node.published = now_;
    update_announced_waits(node);
    node.snapshots.push_back({now_, node.use, node.announced});
    while (node.snapshots.size() > 20) node.snapshots.pop_front();
  }

  bool is_arbitrated() const { return scenario_.policy == SharingPolicy::kArbitrated; }

  void place(Node& node, std::vector<double>& load) {
    if (!online_queue_[node.zone].empty() ||
        now_ - last_online_demand_[node.zone] < kOnlineReportDelay)
      return;
    sort(node.waiting, others_late_ > 0);
    std::vector<std::size_t> remaining;
    const std::vector<std::size_t> waiting = std::exchange(node.waiting, {});
    renew_budget(node, load, waiting.size());
    bool full = false;
    for (const std::size_t item : waiting) {
      if (full || items_[item].not_before > now_) {
        remaining.push_back(item);
        continue;
      }
      urgency_ = in_time(item) ? ItemUrgency::kInTime : ItemUrgency::kLate;
      std::size_t r = choose(node, load);
      if (r == runners_.size()) r = choose_remote(node);
      if (r == runners_.size()) {
        full = true;
        remaining.push_back(item);
        continue;
      }
      ++load[r];
      send_item(r, item);
    }
    node.waiting.insert(node.waiting.end(), remaining.begin(), remaining.end());
  }

  void renew_budget(Node& node, const std::vector<double>& load, std::size_t own) {
    if (scenario_.policy != SharingPolicy::kProportionalBudget || now_ - node.window < kShareWindow)
      return;
    node.window = now_;
    double free = 0;
    for (std::size_t r = node.zone; r < runners_.size(); r += kZones) {
      free += std::max(0.0, std::ceil(limit(node.zone) * kSlots - load[r]));
    }
    const double part =
        free * static_cast<double>(own) / static_cast<double>(own + others_waiting_);
    node.budget = std::floor(part + random_.unit());
  }

  std::size_t choose(Node& node, const std::vector<double>& load) {
    std::vector<std::size_t> candidates;
    for (std::size_t r = node.zone; r < runners_.size(); r += kZones) {
      if (load[r] / kSlots >= limit(node.zone)) {
        node.arbiter->record_no_free_slot(r + 1);
        continue;
      }
      if (is_arbitrated() && !node.arbiter->may_use_runner(kService, urgency_, r + 1, at(now_)))
        continue;
      candidates.push_back(r);
    }
    if (candidates.empty()) return runners_.size();
    if (scenario_.policy == SharingPolicy::kProportionalBudget && node.budget < 1)
      return runners_.size();
    --node.budget;
    const std::size_t one = candidates[random_.below(candidates.size())];
    const std::size_t two = candidates[random_.below(candidates.size())];
    return load[one] <= load[two] ? one : two;
  }

  std::size_t choose_remote(Node& node) {
    if (!scenario_.remote) return runners_.size();
    if (node.remote_window != reported_at_) {
      node.remote_window = reported_at_;
      std::fill(node.begun_remote.begin(), node.begun_remote.end(), 0);
    }
    std::vector<std::size_t> candidates;
    for (std::size_t r = 0; r < runners_.size(); ++r) {
      if (runners_[r].zone == node.zone) continue;
      const double load = (reported_loads_[r] + node.begun_remote[r]) / kSlots;
      if (load >= std::min(kRemoteLimit, limit(node.zone))) continue;
      if (is_arbitrated() && !node.arbiter->is_first_in_order(kService, urgency_, r + 1, at(now_)))
        continue;
      candidates.push_back(r);
    }
    if (candidates.empty()) return runners_.size();
    const std::size_t r = candidates[random_.below(candidates.size())];
    ++node.begun_remote[r];
    return r;
  }

  void measure() {
    if (now_ >= scenario_.seconds) return;
    std::vector<std::size_t> waiting(kZones, 0);
    std::size_t all = 0;
    for (const auto& node : nodes_) {
      waiting[node.zone] += node.waiting.size();
      all += node.waiting.size();
    }
    for (const auto& runner : runners_) {
      const std::size_t size = runner.entries.size();
      outcome_.max_requests_at_runner =
          std::max(outcome_.max_requests_at_runner, static_cast<double>(size));
      if (size > kSlots) outcome_.items_beyond_slots += static_cast<double>(size - kSlots);
      if (size >= kSlots || all == 0) continue;
      outcome_.idle_slots += static_cast<double>(kSlots - size);
      const double allowed = std::ceil(limit(runner.zone) * kSlots);
      if (waiting[runner.zone] > 0 && online_queue_[runner.zone].empty())
        outcome_.idle_allowed_slots += std::max(0.0, allowed - static_cast<double>(size));
    }
  }

  Scenario scenario_;
  Random random_;
  Outcome outcome_;
  double now_ = 0;
  std::vector<Runner> runners_;
  std::vector<Node> nodes_;
  std::vector<Item> items_;
  std::vector<std::deque<Online>> online_queue_;
  std::vector<double> last_online_demand_;  ///< Last time when online work waited, by zone.
  std::deque<std::vector<std::uint8_t>> recent_online_use_;
  std::vector<double> reported_loads_;
  double reported_at_ = -1;
  std::size_t others_waiting_ = 0;
  std::size_t others_late_ = 0;
  ItemUrgency urgency_ = ItemUrgency::kInTime;  ///< Of the item being placed.
  std::size_t open_ = 0;
  std::size_t late_ = 0;
  double online_late_ = 0;
  double online_all_ = 0;
};

}  // namespace

Outcome run(const Scenario& scenario) {
  return Fleet(scenario).run();
}

}  // namespace stoathold::batch_replay
