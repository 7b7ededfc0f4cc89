#include "tests/routing/speed_replay.h"

#include <algorithm>
#include <cmath>

namespace stoathold {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kPromptTokens = 450;
constexpr std::uint32_t kOnlineEvents = 18;
constexpr std::uint32_t kBatchEvents = 123;
/// Time for which a runner's slowness is constant.
constexpr Duration kPeriod = std::chrono::milliseconds(600);
constexpr double kSlowFraction = 0.15;
constexpr double kSlowFactor = 2.5;
constexpr double kSpeeds[] = {0.6, 1.0, 1.6};
constexpr Duration kFirstEventObjective = std::chrono::milliseconds(300);
constexpr Duration kBatchObjective = std::chrono::seconds(18);
constexpr std::uint32_t kGapWindowEvents = 8;
constexpr Duration kRetry = std::chrono::milliseconds(10);
constexpr double kBatchLoadLimit = 0.85;
/// Arrivals alternate: 3.4 s at 0.38 of the mean rate, then 2.4 s at 1.87.
constexpr double kLowSeconds = 3.4;
constexpr double kCycleSeconds = 5.8;
constexpr double kLowRate = 0.38;
constexpr double kHighRate = 1.87;

Duration milliseconds(double value) {
  return Duration(static_cast<Duration::rep>(value * 1000));
}

struct Work {
  WorkClass kind = WorkClass::kOnline;
  TimePoint arrival{};
  std::size_t node = 0;
  Selection choice;
  std::size_t runner = 0;
  TimePoint sent{};
  TimePoint last_event{};
  std::uint32_t events = 0;
  TimePoint window_start{};  ///< Start of the events over which the gap is averaged.
  bool late_first = false;
  bool late_gap = false;
};
using WorkPointer = std::shared_ptr<Work>;

/// An update that one node publishes to the others.
struct PeerUpdate {
  TimePoint when{};
  std::size_t node = 0;
  std::size_t runner = 0;
  int requests = 0;
  int tokens = 0;
  SpeedReport speed;  ///< Runner 0: none.
};

struct SimulatedRunner {
  double speed = 1;
  std::uint32_t running = 0;
  std::deque<WorkPointer> queue = {};
};

struct SimulatedNode {
  RunnerRegistry registry;
  std::vector<Runner*> runners;
  SpeedModel model;
  std::deque<WorkPointer> waiting[2];  ///< Online, batch.
  std::size_t updates_seen = 0;        ///< Number of `updates_` entries applied.
  bool retries = false;
};

class Replay {
 public:
  Replay(const SpeedReplayScenario& scenario, bool predicts, const RunnerChooser& choose)
      : scenario_(scenario),
        predicts_(predicts),
        choose_(choose),
        arrivals_(scenario.seed),
        noise_(scenario.seed + 1) {
    seed_process_random(scenario.seed);
    for (std::size_t i = 0; i < scenario.nodes; ++i) {
      runners_.push_back({.speed = kSpeeds[i % 3]});
      nodes_.push_back(std::make_unique<SimulatedNode>());
    }
    for (auto& node : nodes_) {
      for (std::size_t i = 0; i < scenario.nodes; ++i) {
        node->registry.upsert({"r" + std::to_string(i), "chat", "a", "zone", kSlots});
      }
      for (std::size_t i = 0; i < scenario.nodes; ++i) {
        node->runners.push_back(node->registry.all().at("r" + std::to_string(i)).get());
        by_hash_[node->runners.back()->hash()] = i;
      }
    }
  }

  SpeedReplayResult run() {
    schedule_arrival(WorkClass::kOnline, start_);
    schedule_arrival(WorkClass::kBatch, start_);
    while (!events_.empty()) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.act();
    }
    return result_;
  }

 private:
  struct Event {
    TimePoint when{};
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };

  void at(TimePoint when, std::function<void()> act) {
    events_.push({when, next_event_++, std::move(act)});
  }

  /// Returns the current time of work at a runner as a multiple of the usual time.
  double slowness(std::size_t runner) const {
    const auto period = static_cast<std::uint64_t>(now_.time_since_epoch() / kPeriod);
    Random random(scenario_.seed * 1000003 + runner * 7919 + period * 104729);
    random.next();
    return random.unit() < kSlowFraction ? kSlowFactor : 1;
  }

  std::uint32_t reported(std::size_t runner) const {
    if (scenario_.false_slowness_percent > 0 && runner % 10 == 0)
      return scenario_.false_slowness_percent;
    const double own = scenario_.reports_include_speed ? runners_[runner].speed : 1;
    return static_cast<std::uint32_t>(slowness(runner) * own * 100);
  }

  void schedule_arrival(WorkClass kind, TimePoint after) {
    const bool online = kind == WorkClass::kOnline;
    const double service_seconds = online ? 0.8 : 5.2;
    const double slots = (online ? scenario_.online_slots : scenario_.batch_slots);
    double rate = slots * static_cast<double>(scenario_.nodes) / service_seconds;
    const double cycle_time = std::fmod(to_seconds(after - start_), kCycleSeconds);
    if (online) rate *= cycle_time < kLowSeconds ? kLowRate : kHighRate;
    const TimePoint when = after + milliseconds(-std::log(1 - arrivals_.unit()) / rate * 1000);
    if (when - start_ > scenario_.span) return;
    const std::size_t node = arrivals_.below(scenario_.nodes);
    at(when, [this, kind, node] {
      auto work = std::make_shared<Work>();
      work->kind = kind;
      work->arrival = now_;
      work->node = node;
      schedule_arrival(kind, now_);
      place(work);
    });
  }

  void receive_updates(SimulatedNode& node) {
    const TimePoint known =
        now_ -
        Duration(static_cast<Duration::rep>(noise_.below(scenario_.max_report_delay.count() + 1)));
    for (; node.updates_seen < updates_.size() && updates_[node.updates_seen].when <= known;
         ++node.updates_seen) {
      const PeerUpdate& update = updates_[node.updates_seen];
      if (nodes_[update.node].get() == &node) continue;
      Runner& runner = *node.runners[update.runner];
      runner.change_peer_use(update.requests, update.tokens, 0);
      if (update.speed.runner == 0 || scenario_.drops_peer_reports) continue;
      SpeedReport report = update.speed;
      report.slowness_age_ms += static_cast<std::uint16_t>((now_ - update.when).count() / 1000);
      node.model.apply_report(runner.speed(), report, now_);
    }
  }

  SelectionRequest request_of(const Work& work) {
    const bool online = work.kind == WorkClass::kOnline;
    SelectionRequest request;
    request.service = "chat";
    request.zone = "zone";
    request.prompt_tokens = kPromptTokens;
    request.load_limit = online ? 1.0 : kBatchLoadLimit;
    request.work = work.kind;
    request.speeds = predicts_ ? &nodes_[work.node]->model : nullptr;
    request.latency_objectives = {.route = online ? 1U : 2U,
                                  .first_event_due = work.arrival + kFirstEventObjective,
                                  .event_gap_objective = scenario_.online_gap_objective};
    return request;
  }

  void place(const WorkPointer& work) {
    SimulatedNode& node = *nodes_[work->node];
    auto& queue = node.waiting[work->kind == WorkClass::kOnline ? 0 : 1];
    queue.push_back(work);
    dispatch(work->node);
  }

  void dispatch(std::size_t index) {
    SimulatedNode& node = *nodes_[index];
    receive_updates(node);
    for (auto& queue : node.waiting) {
      while (!queue.empty()) {
        const WorkPointer work = queue.front();
        work->choice = choose_(node.registry, request_of(*work), now_);
        if (!work->choice.runner) break;
        queue.pop_front();
        send(work);
      }
    }
    const bool wait = !node.waiting[0].empty() || !node.waiting[1].empty();
    if (!wait || node.retries) return;
    node.retries = true;
    at(now_ + kRetry, [this, index] {
      nodes_[index]->retries = false;
      dispatch(index);
    });
  }

  void publish(const Work& work, int requests, int tokens, bool speed) {
    PeerUpdate update{now_, work.node, work.runner, requests, tokens, {}};
    if (speed) update.speed = work.choice.runner->speed().report(work.choice.runner->hash(), now_);
    updates_.push_back(update);
  }

  void send(const WorkPointer& work) {
    work->runner = by_hash_.at(work->choice.runner->hash());
    work->sent = now_;
    work->choice.runner->begin_attempt(kPromptTokens, work->kind);
    publish(*work, 1, kPromptTokens, false);
    SimulatedRunner& runner = runners_[work->runner];
    if (runner.running < kSlots) {
      start(work);
    } else {
      runner.queue.push_back(work);
    }
  }

  /// Returns the time between events: a full runner takes 1.5 times as long as an empty one.
  Duration event_gap(std::size_t index) {
    const SimulatedRunner& runner = runners_[index];
    const double load = static_cast<double>(runner.running) / kSlots;
    const double jitter = 0.9 + 0.2 * noise_.unit();
    return milliseconds(35 * (1 + 0.5 * load) * runner.speed * slowness(index) * jitter);
  }

  void start(const WorkPointer& work) {
    SimulatedRunner& runner = runners_[work->runner];
    ++runner.running;
    const double reading = kPromptTokens / 123.0 * runner.speed * slowness(work->runner);
    at(now_ + event_gap(work->runner) + milliseconds(reading), [this, work] { first_event(work); });
  }

  void first_event(const WorkPointer& work) {
    SimulatedNode& node = *nodes_[work->node];
    Runner& runner = *work->choice.runner;
    const SimulatedRunner& simulated = runners_[work->runner];
    runner.record_prompt_processed(kPromptTokens);
    runner.apply_load_report({.running = simulated.running,
                              .waiting = static_cast<std::uint32_t>(simulated.queue.size()),
                              .slots = kSlots},
                             now_);
    node.model.apply_slowness_report(runner.speed(), reported(work->runner), now_, true);
    const std::uint64_t route = work->kind == WorkClass::kOnline ? 1 : 2;
    node.model.observe_first_event(route, runner.speed(), work->choice.runner_work(),
                                   now_ - work->sent, now_);
    publish(*work, 0, -static_cast<int>(kPromptTokens), true);
    work->late_first = now_ > work->arrival + kFirstEventObjective;
    next_event(work);
  }

  void next_event(const WorkPointer& work) {
    const Duration gap = now_ - work->last_event;
    if (work->events > 0 && gap > scenario_.online_gap_objective) work->late_gap = true;
    work->last_event = now_;
    const std::uint32_t all = work->kind == WorkClass::kOnline ? kOnlineEvents : kBatchEvents;
    if (++work->events == all) {
      finish(work);
      return;
    }
    if (work->events % kGapWindowEvents == 1) learn_gap(*work);
    at(now_ + event_gap(work->runner), [this, work] { next_event(work); });
  }

  void learn_gap(Work& work) {
    Runner& runner = *work.choice.runner;
    const std::uint64_t route = work.kind == WorkClass::kOnline ? 1 : 2;
    if (work.window_start != TimePoint{}) {
      nodes_[work.node]->model.observe_gap(route, runner.speed(), runner.load(now_),
                                           (now_ - work.window_start) / kGapWindowEvents, now_);
    }
    work.window_start = now_;
  }

  void finish(const WorkPointer& work) {
    SimulatedRunner& runner = runners_[work->runner];
    --runner.running;
    work->choice.runner->end_attempt(AttemptOutcome::kServed, now_, 0, work->kind);
    publish(*work, -1, 0, false);
    if (!runner.queue.empty()) {
      const WorkPointer next = runner.queue.front();
      runner.queue.pop_front();
      start(next);
    }
    count(*work);
    dispatch(work->node);
  }

  void count(const Work& work) {
    if (work.arrival - start_ < scenario_.warm_up) return;
    if (work.kind == WorkClass::kOnline) {
      ++result_.online;
      result_.late_first += work.late_first ? 1 : 0;
      result_.late_gap += !work.late_first && work.late_gap ? 1 : 0;
    } else {
      ++result_.batch;
      result_.late_batch += now_ > work.arrival + kBatchObjective ? 1 : 0;
    }
  }

  SpeedReplayScenario scenario_;
  bool predicts_;
  const RunnerChooser& choose_;
  Random arrivals_;
  Random noise_;
  TimePoint start_{std::chrono::seconds(1000)};
  TimePoint now_ = start_;
  std::vector<SimulatedRunner> runners_;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::map<std::uint64_t, std::size_t> by_hash_;
  std::deque<PeerUpdate> updates_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  SpeedReplayResult result_;
};

}  // namespace

SpeedReplayResult replay_speeds(const SpeedReplayScenario& scenario, bool predicts,
                                const RunnerChooser& choose) {
  return Replay(scenario, predicts, choose).run();
}

}  // namespace stoathold
