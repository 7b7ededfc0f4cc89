/// @file
/// Simulates the slots of a zone under oscillating arrivals, without sockets or runners, to compare
/// admission strategies. The decisions are those of the production code. The simulation provides
/// the nodes, slots, retrying callers and delayed reports.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <vector>

#include "admission/admission_control.h"
#include "admission/retry_bookings.h"
#include "admission/retry_times.h"
#include "admission/zone_backlog.h"
#include "base/random.h"
#include "base/time.h"

namespace stoathold::admission_replay {

inline constexpr Duration kMs = std::chrono::milliseconds(1);

/// Admission strategies.
enum class Strategy : std::uint8_t {
  kWaitUntilTimeout,  ///< All requests wait for 2 s and retry after 0.2 s, as without the policy.
  kPredictedWait,     ///< The production policy.
  kDelayControl,      ///< CoDel: rejects at an increasing rate while all waits exceed a target.
  kNewestFirst,       ///< LIFO: the newest request gets the next slot; late ones are rejected.
};

/// Parameters of a simulation.
struct Scenario {
  Strategy strategy = Strategy::kPredictedWait;
  std::size_t nodes = 9;
  std::uint32_t slots = 120;
  double mean_rate = 61;  ///< Arrivals per second in the zone.
  double low = 0.383;     ///< Relative to the mean rate, for 3.4 s.
  double high = 1.87;     ///< Relative to the mean rate, for 2.4 s.
  Duration slot_time = 700 * kMs;
  double factor = 1;  ///< Multiplies the arrivals from second 8 on.
  Duration message_delay = 20 * kMs;
  double message_loss = 0;
  bool duplicate_messages = false;
  std::size_t partitioned_node = SIZE_MAX;  ///< Exchanges no reports from second 8 on.
  double restart_at = -1;                   ///< Second at which all nodes lose their state.
  bool batch = false;  ///< Batch items use the slots that online work leaves, and yield to it.
  bool measures_rejection_delay = false;  ///< Measures the delay from certainty to rejection; slow.
  double seconds = 20;
  std::uint64_t seed = 1;
};

/// Results for requests whose first attempt arrived in seconds 8 to 20.
struct Outcome {
  double callers = 0;
  double in_time = 0;              ///< First event within the objective of the first attempt.
  double in_time_after_retry = 0;  ///< First event within the objective of the retry.
  double late = 0;
  double rejected = 0;                ///< Never served, but answered.
  double abandoned = 0;               ///< The caller left without any answer.
  double rejections = 0;              ///< Rejections of first attempts and retries.
  double p99_wait_ms = 0;             ///< Wait of the served attempt.
  double p99_rejection_delay_ms = 0;  ///< From certainty to the rejection.
  double rejected_despite_idle = 0;
  /// While enough batch items held slots for the request and all requests ahead of it. Percentage
  /// of the slot time from second 8 on.
  double rejected_despite_batch = 0;
  double idle_slots = 0;   ///< The same, held by batch items.
  double batch_slots = 0;  ///< Peak arrivals per second with retries, relative to those without.
  /// Time from the preemption of a batch item until it ends at the runner.
  double retry_peak_ratio = 0;
};

class Zone {
 public:
  explicit Zone(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), nodes_(scenario.nodes) {}

  Outcome run() {
    const auto steps = static_cast<std::int64_t>((scenario_.seconds + 6) * 1000);
    for (std::int64_t step = 0; step < steps; ++step) {
      now_ = TimePoint{std::chrono::hours(1)} + step * kMs;
      seconds_ = static_cast<double>(step) / 1000;
      if (scenario_.restart_at >= 0 && std::abs(seconds_ - scenario_.restart_at) < 1e-9) restart();
      deliver();
      free_slots();
      dispatch();
      if (seconds_ < scenario_.seconds) arrive();
      arrive_retries();
      if (scenario_.batch) fill_with_batch();
      if (seconds_ >= 8 && seconds_ < scenario_.seconds) {
        outcome_.idle_slots += free_slots_now();
        outcome_.batch_slots += batch_;
      }
      if (scenario_.measures_rejection_delay) record_certain_rejections();
      if (step % 5 == 0) check_waiting();
      remove_abandoned();
      report(step);
    }
    return finish();
  }

 private:
  static constexpr Duration kObjective = 300 * kMs;
  static constexpr Duration kFirstEvent = 45 * kMs;
  static constexpr Duration kPatience = 2000 * kMs;
  static constexpr Duration kDeadline = 5000 * kMs;
  /// Delay control: start of the period in which all waits exceed the target.
  static constexpr Duration kYieldTime = 60 * kMs;
  static constexpr std::uint64_t kService = 7;

  struct Caller {
    std::uint64_t content = 0;
    TimePoint first_arrival{};
    TimePoint attempt{};
    bool is_retry = false;
    bool counted = false;
    AdmissionClass admission_class = AdmissionClass::kNewRequest;
    TimePoint rejection_certain_since{};
    [[nodiscard]] TimePoint due() const { return attempt + kObjective - kFirstEvent; }
    [[nodiscard]] TimePoint latest_start() const { return attempt + kPatience - kFirstEvent; }
  };
  struct Node {
    ZoneBacklog backlog;
    RetryBookings retry_bookings;
    std::vector<Caller> waiting;
    TimePoint above_since{};  ///< Records when rejections become certain between two reviews.
    TimePoint next_drop{};
    std::uint32_t drops = 0;
  };
  struct Message {
    TimePoint at{};
    std::size_t from = 0;
    std::vector<ServiceBacklog> backlogs;
    std::vector<RetryBookingReport> returns;
  };

  [[nodiscard]] double rate() const {
    const double phase = std::fmod(seconds_, 5.8);
    const double level = phase < 3.4 ? scenario_.low : scenario_.high;
    return scenario_.mean_rate * level * (seconds_ >= 8 ? scenario_.factor : 1);
  }
  void restart() {
    for (Node& node : nodes_) {
      node.backlog = ZoneBacklog{};
      node.retry_bookings = RetryBookings{};
    }
    ++incarnation_;
  }
  void arrive() {
    double expected = rate() / 1000;
    while (random_.unit() < expected) {
      expected -= 1;
      Caller caller{.content = ++contents_, .first_arrival = now_, .attempt = now_};
      caller.counted = seconds_ >= 8 && seconds_ < 20;
      if (caller.counted) ++outcome_.callers;
      ++first_arrivals_[static_cast<std::size_t>(seconds_)];
      enter(caller);
    }
  }
  void arrive_retries() {
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      Caller caller = retries_.begin()->second;
      retries_.erase(retries_.begin());
      caller.attempt = now_;
      caller.is_retry = true;
      caller.rejection_certain_since = {};
      enter(caller);
    }
  }
  void enter(Caller caller) {
    ++all_arrivals_[static_cast<std::size_t>(seconds_)];
    Node& node = nodes_[random_.below(nodes_.size())];
    if (node.retry_bookings.consume(caller.content, now_)) {
      caller.admission_class = AdmissionClass::kBookedRetry;
    } else {
      node.backlog.record_arrival(kService, 0, now_);
    }
    if (has_slot()) return serve(node, caller);
    if (scenario_.strategy == Strategy::kPredictedWait &&
        reject_if_due(node, caller, position(node, caller))) {
      return;
    }
    node.waiting.push_back(caller);
    sort(node);
  }
  void sort(Node& node) {
    std::stable_sort(node.waiting.begin(), node.waiting.end(),
                     [this](const Caller& left, const Caller& right) {
                       if (scenario_.strategy == Strategy::kNewestFirst)
                         return left.attempt > right.attempt;
                       const bool left_new = left.admission_class == AdmissionClass::kNewRequest;
                       const bool right_new = right.admission_class == AdmissionClass::kNewRequest;
                       if (left_new != right_new) return right_new;
                       return left.attempt < right.attempt;
                     });
  }
  [[nodiscard]] QueuePosition position(const Node& node, const Caller& caller) const {
    QueuePosition position;
    const bool own_in_time = now_ < caller.due();
    bool before = true;
    for (const Caller& other : node.waiting) {
      if (other.content == caller.content) before = false;
      if (now_ >= other.due()) continue;
      position.all += {1, scenario_.slot_time};
      const bool new_request_waits = caller.admission_class == AdmissionClass::kBookedRetry &&
                                     other.admission_class == AdmissionClass::kNewRequest;
      if (before && other.content != caller.content && !new_request_waits) {
        position.ahead += {1, scenario_.slot_time};
      }
    }
    const bool queued = !before;
    if (own_in_time && !queued) position.all += {1, scenario_.slot_time};
    if (!own_in_time) position.ahead = position.all;
    return position;
  }
  [[nodiscard]] AdmissionInput input_for(Node& node, const Caller& caller,
                                         const QueuePosition& place) {
    AdmissionInput input{.admission_class = caller.admission_class,
                         .arrival = caller.attempt,
                         .due = caller.due(),
                         .latest_start = caller.latest_start(),
                         .forecast = std::nullopt,
                         .retry_after = std::nullopt};
    const ServiceStatistics statistics = node.backlog.statistics(kService, 0, now_);
    const ArrivalRateForecaster* forecaster = node.backlog.arrival_forecaster(kService, now_);
    input.forecast = predict_wait(place, statistics, slot_capacity(),
                                  forecaster ? forecaster->recent_rate() : 0);
    if (!check_admission(input, now_)) return input;
    ahead_without_batch_ = predict_wait(place, statistics, {.zone = scenario_.slots}, 0)->ahead;
    retry_ = choose_retry_time(
        {.service = kService,
         .now = now_,
         .deadline = caller.first_arrival + kDeadline,
         .first_event = kFirstEvent,
         .wait = input.forecast ? input.forecast->wait : Duration{0},
         .slots_freed_per_second = slots_freed_per_second(statistics, scenario_.slots),
         .forecaster = forecaster},
        node.retry_bookings, random_);
    if (retry_) input.retry_after = retry_->delay;
    return input;
  }
  bool reject_if_due(Node& node, const Caller& caller, const QueuePosition& place) {
    const AdmissionInput input = input_for(node, caller, place);
    if (!check_admission(input, now_)) return false;
    if (free_slots_now() > 0) ++outcome_.rejected_despite_idle;
    if (batch_ > ahead_without_batch_) ++outcome_.rejected_despite_batch;
    const bool noticed = caller.rejection_certain_since != TimePoint{};
    rejection_delays_.push_back(noticed ? to_seconds(now_ - caller.rejection_certain_since) * 1000
                                        : 0);
    reject(node, caller, input.retry_after);
    return true;
  }
  /// Callers retry once: at the given time, or soon after if none was given.
  void record_certain_rejections() {
    for (Node& node : nodes_) {
      for (Caller& caller : node.waiting) {
        const bool certain =
            check_admission(input_for(node, caller, position(node, caller)), now_).has_value();
        if (!certain) caller.rejection_certain_since = {};
        if (certain && caller.rejection_certain_since == TimePoint{})
          caller.rejection_certain_since = now_;
      }
    }
  }
  void reject(Node& node, const Caller& caller, std::optional<Duration> retry_after) {
    if (caller.counted) ++outcome_.rejections;
    // Drops the head of the queue at an increasing rate while its wait has exceeded 50 ms for the
    // last 100 ms.
    if (!caller.is_retry) {
      if (scenario_.strategy == Strategy::kPredictedWait && retry_ && retry_->has_booking) {
        node.retry_bookings.book(caller.content, kService, now_ + *retry_after, now_);
      }
      const Duration default_delay = 50 * kMs + scale(300 * kMs, random_.unit());
      retries_.emplace(now_ + retry_after.value_or(default_delay) + 6 * kMs, caller);
    } else if (caller.counted) {
      ++outcome_.rejected;
    }
  }
  void check_waiting() {
    for (Node& node : nodes_) {
      if (scenario_.strategy == Strategy::kPredictedWait) {
        std::vector<Caller> kept;
        const std::vector<Caller> all = node.waiting;
        for (Caller caller : all) {
          if (!reject_if_due(node, caller, position(node, caller))) kept.push_back(caller);
        }
        node.waiting = std::move(kept);
      } else if (scenario_.strategy == Strategy::kNewestFirst) {
        drop_if(node, [this](const Caller& caller) { return now_ >= caller.due(); });
      } else if (scenario_.strategy == Strategy::kDelayControl) {
        control_delay(node);
      }
    }
  }
  template <typename Condition>
  void drop_if(Node& node, Condition condition) {
    const std::vector<Caller> all = std::move(node.waiting);
    node.waiting.clear();
    for (const Caller& caller : all) {
      if (condition(caller)) {
        reject(node, caller, scale(200 * kMs, 0.5 + random_.unit()));
      } else {
        node.waiting.push_back(caller);
      }
    }
  }
  /// Removes requests whose callers give up. The other strategies answer just before that.
  void control_delay(Node& node) {
    if (node.waiting.empty() || now_ - node.waiting.front().attempt < 50 * kMs) {
      node.above_since = {};
      node.drops = 0;
      return;
    }
    if (node.above_since == TimePoint{}) node.above_since = node.next_drop = now_ + 100 * kMs;
    if (now_ < node.above_since) return;
    while (now_ >= node.next_drop && !node.waiting.empty()) {
      const std::uint64_t first = node.waiting.front().content;
      drop_if(node, [first](const Caller& caller) { return caller.content == first; });
      ++node.drops;
      node.next_drop += scale(100 * kMs, 1 / std::sqrt(node.drops));
    }
  }
  /// Order of service: on-time booked retries, other on-time requests, late requests.
  void remove_abandoned() {
    for (Node& node : nodes_) {
      const bool answers = scenario_.strategy != Strategy::kPredictedWait;
      std::erase_if(node.waiting, [&](const Caller& caller) {
        if (now_ < caller.latest_start()) return false;
        if (answers) {
          reject(node, caller, 200 * kMs);
        } else if (caller.counted) {
          ++outcome_.abandoned;
        }
        return true;
      });
    }
  }
  void free_slots() {
    while (!busy_.empty() && busy_.top().first <= now_) {
      Node& node = nodes_[busy_.top().second.first];
      node.backlog.record_freed_slot(kService, 0, busy_.top().second.second, now_);
      busy_.pop();
    }
  }
  /// Gives free slots to nodes in proportion to their waiting requests of the best rank.
  [[nodiscard]] int rank(const Caller& caller) const {
    if (now_ >= caller.due()) return 2;
    return caller.admission_class == AdmissionClass::kBookedRetry ? 0 : 1;
  }
  /// Returns whether a slot is free or a batch item can be preempted; each runner preempts one item
  /// at a time.
  void dispatch() {
    while (has_slot()) {
      Node* chosen = nullptr;
      std::uint64_t seen = 0;
      for (int first = 0; first <= 2 && chosen == nullptr; ++first) {
        for (Node& node : nodes_) {
          for (const Caller& caller : node.waiting) {
            if (rank(caller) == first && random_.below(++seen) == 0) chosen = &node;
          }
        }
        if (chosen == nullptr) continue;
        const auto next = std::find_if(chosen->waiting.begin(), chosen->waiting.end(),
                                       [&](const Caller& caller) { return rank(caller) == first; });
        const Caller caller = *next;
        chosen->waiting.erase(next);
        serve(*chosen, caller);
      }
      if (chosen == nullptr) return;
    }
  }
  void serve(const Node& node, const Caller& caller) {
    const Duration held = scale(scenario_.slot_time, 0.9 + 0.2 * random_.unit());
    const auto index = static_cast<std::size_t>(&node - nodes_.data());
    const TimePoint start = now_ + preempt_batch();
    busy_.push({start + held, {index, held}});
    if (!caller.counted) return;
    waits_.push_back(to_seconds(start - caller.attempt) * 1000);
    const bool in_time = start <= caller.due();
    if (!in_time) ++outcome_.late;
    if (in_time) ++(caller.is_retry ? outcome_.in_time_after_retry : outcome_.in_time);
  }
  [[nodiscard]] std::uint32_t free_slots_now() const {
    return scenario_.slots - static_cast<std::uint32_t>(busy_.size()) - batch_;
  }
  /// Preempts a batch item if no slot is free.
  /// @return the time until it yields; 0 if a slot is free.
  [[nodiscard]] bool has_slot() const {
    return free_slots_now() > 0 || (batch_ > 0 && yield_ends_.size() < scenario_.slots / 8);
  }
  [[nodiscard]] SlotCapacity slot_capacity() const {
    return {.zone = scenario_.slots, .preemptible_batch = batch_};
  }
  /// Of the latest review, without counting slots that are available at once.
  Duration preempt_batch() {
    if (free_slots_now() > 0) return Duration{0};
    --batch_;
    yield_ends_.push(now_ + kYieldTime);
    return kYieldTime;
  }
  void fill_with_batch() {
    while (!yield_ends_.empty() && yield_ends_.front() <= now_) yield_ends_.pop();
    const bool wait = std::any_of(nodes_.begin(), nodes_.end(),
                                  [](const Node& node) { return !node.waiting.empty(); });
    if (wait || !yield_ends_.empty()) return;
    const auto most = static_cast<std::uint32_t>(0.85 * scenario_.slots);
    while (busy_.size() + batch_ < most) ++batch_;
  }
  void report(std::int64_t step) {
    const auto step_number = static_cast<std::size_t>(step);
    constexpr std::size_t kInterval = 20;
    for (std::size_t from = step_number % kInterval; from < nodes_.size(); from += kInterval) {
      if (seconds_ >= 8 && from == scenario_.partitioned_node) continue;
      Node& node = nodes_[from];
      QueuedWork waiting;
      for (const Caller& caller : node.waiting) {
        if (now_ < caller.due()) waiting += {1, scenario_.slot_time};
      }
      Message message{now_ + scenario_.message_delay, from,
                      node.backlog.report({{{kService, 0}, waiting}}),
                      node.retry_bookings.report(16, now_)};
      if (scenario_.duplicate_messages) messages_.push_back(message);
      messages_.push_back(std::move(message));
    }
  }
  void deliver() {
    while (!messages_.empty() && messages_.front().at <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        const bool cut = seconds_ >= 8 && to == scenario_.partitioned_node;
        if (to == message.from || cut || network_random_.unit() < scenario_.message_loss) continue;
        nodes_[to].backlog.apply_report(message.from + 1000 * incarnation_, message.backlogs, now_);
        for (const RetryBookingReport& entry : message.returns) {
          nodes_[to].retry_bookings.apply_report(entry, now_);
        }
      }
    }
  }
  Outcome finish() {
    std::sort(waits_.begin(), waits_.end());
    std::sort(rejection_delays_.begin(), rejection_delays_.end());
    if (!waits_.empty()) outcome_.p99_wait_ms = waits_[waits_.size() * 99 / 100];
    if (!rejection_delays_.empty())
      outcome_.p99_rejection_delay_ms = rejection_delays_[rejection_delays_.size() * 99 / 100];
    outcome_.retry_peak_ratio = *std::max_element(all_arrivals_.begin(), all_arrivals_.end()) /
                                *std::max_element(first_arrivals_.begin(), first_arrivals_.end());
    for (double* part : {&outcome_.idle_slots, &outcome_.batch_slots}) {
      *part *= 100 / (scenario_.slots * (scenario_.seconds - 8) * 1000);
    }
    for (double* part : {&outcome_.in_time, &outcome_.in_time_after_retry, &outcome_.late,
                         &outcome_.rejected, &outcome_.abandoned}) {
      *part *= 100 / outcome_.callers;
    }
    return outcome_;
  }

  Scenario scenario_;
  Random random_;
  Random network_random_{2};
  std::vector<Node> nodes_;
  TimePoint now_{};
  double seconds_ = 0;
  std::uint64_t contents_ = 0;
  std::uint64_t incarnation_ = 0;
  using Busy = std::pair<TimePoint, std::pair<std::size_t, Duration>>;
  std::priority_queue<Busy, std::vector<Busy>, std::greater<>> busy_;
  std::uint32_t ahead_without_batch_ = 0;  ///< Of the latest input.
  std::optional<RetryTime> retry_;    ///< Slots held by batch items that were not asked to yield.
  std::uint32_t batch_ = 0;           ///< When the yielding items end.
  std::queue<TimePoint> yield_ends_;  ///< When those that were asked have ended.
  std::multimap<TimePoint, Caller> retries_;
  std::deque<Message> messages_;
  std::vector<double> waits_;
  std::vector<double> all_arrivals_ = std::vector<double>(64);
  std::vector<double> rejection_delays_;
  std::vector<double> first_arrivals_ = std::vector<double>(64);
  Outcome outcome_;
};

inline Outcome simulate(const Scenario& scenario) {
  return Zone(scenario).run();
}

}  // namespace stoathold::admission_replay
