/// @file
/// Arrivals that swing before the slots of a zone, replayed without sockets or runners, to compare
/// ways to decide who waits. Decisions are the program's own; the zone is its nodes, slots, callers
/// that come back as told, and reports that come late.
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
#include "admission/return_times.h"
#include "admission/returning_callers.h"
#include "admission/zone_backlog.h"
#include "base/random.h"
#include "base/time.h"

namespace stoathold::admission_replay {

inline constexpr Duration kMs = std::chrono::milliseconds(1);

/// Ways to decide.
enum class Way : std::uint8_t {
  kWaitOn,         ///< All wait for 2 s, then come back after 0.2 s: without the policy.
  kPredictedWait,  ///< The program's.
  kDelayControl,   ///< CoDel: rejects ever more often while all waits stay over a target.
  kNewestFirst,    ///< The newest gets the next slot; who is late is rejected.
};

/// What is played.
struct Play {
  Way way = Way::kPredictedWait;
  std::size_t nodes = 9;
  std::uint32_t slots = 120;
  double mean_rate = 61;  ///< Arrivals a second, of the zone.
  double low = 0.383;     ///< Of the mean, for 3.4 s.
  double high = 1.87;     ///< Of the mean, for 2.4 s.
  Duration slot_time = 700 * kMs;
  double factor = 1;  ///< Of the arrivals from second 8 on.
  Duration message_delay = 20 * kMs;
  double message_loss = 0;
  bool messages_twice = false;
  std::size_t cut_node = SIZE_MAX;  ///< Neither sends nor gets reports from second 8 on.
  double restart_at = -1;           ///< Second at which all nodes lose what they have learned.
  bool batch = false;               ///< Batch items take what online work leaves, and yield to it.
  bool notes_certain = false;       ///< Measures the time from certainty to rejection; slow.
  double seconds = 20;
  std::uint64_t seed = 1;
};

/// What came out, of those that came first in seconds 8 to 20.
struct Outcome {
  double callers = 0;
  double in_time = 0;       ///< First event within the objective of the first attempt.
  double in_time_back = 0;  ///< Within that of the return, after a rejection.
  double late = 0;
  double rejected = 0;        ///< Never served, though answered.
  double gone = 0;            ///< Left without any answer.
  double rejections = 0;      ///< Answers that reject, of first and second attempts.
  double p99_wait_ms = 0;     ///< Of those served: wait of the attempt that was.
  double p99_certain_ms = 0;  ///< From the moment of certainty to the rejection.
  double refused_beside_idle = 0;
  double refused_beside_batch = 0;  ///< While so many batch items held slots that all ahead, and
                                    ///< the request, could have had one.
  double slots_idle = 0;            ///< In 100 of the slot time from second 8 on.
  double batch_slots = 0;           ///< The same, held by batch items.
  double load_of_returns = 0;       ///< Most arrivals in a second with returns, over most without.
};

class Zone {
 public:
  explicit Zone(const Play& play) : play_(play), random_(play.seed), nodes_(play.nodes) {}

  Outcome run() {
    const auto steps = static_cast<std::int64_t>((play_.seconds + 6) * 1000);
    for (std::int64_t step = 0; step < steps; ++step) {
      now_ = TimePoint{std::chrono::hours(1)} + step * kMs;
      seconds_ = static_cast<double>(step) / 1000;
      if (play_.restart_at >= 0 && std::abs(seconds_ - play_.restart_at) < 1e-9) restart();
      deliver();
      free_slots();
      dispatch();
      if (seconds_ < play_.seconds) arrive();
      come_back();
      if (play_.batch) fill_with_batch();
      if (seconds_ >= 8 && seconds_ < play_.seconds) {
        outcome_.slots_idle += free_slots_now();
        outcome_.batch_slots += batch_;
      }
      if (play_.notes_certain) note_certain();
      if (step % 5 == 0) review_all();
      leave();
      report(step);
    }
    return finish();
  }

 private:
  static constexpr Duration kObjective = 300 * kMs;
  static constexpr Duration kFirstEvent = 45 * kMs;
  static constexpr Duration kPatience = 2000 * kMs;
  static constexpr Duration kDeadline = 5000 * kMs;
  /// From the request to a batch item to its end at the runner.
  static constexpr Duration kYield = 60 * kMs;
  static constexpr std::uint64_t kService = 7;

  struct Caller {
    std::uint64_t content = 0;
    TimePoint came{};
    TimePoint attempt{};
    bool second = false;
    bool counted = false;
    AdmissionStanding standing = AdmissionStanding::kNewcomer;
    TimePoint certain_since{};
    [[nodiscard]] TimePoint due() const { return attempt + kObjective - kFirstEvent; }
    [[nodiscard]] TimePoint last_start() const { return attempt + kPatience - kFirstEvent; }
  };
  struct Node {
    ZoneBacklog backlog;
    ReturningCallers returning;
    std::vector<Caller> waiting;
    TimePoint above_since{};  ///< Delay control: since when all waits are too long.
    TimePoint next_drop{};
    std::uint32_t drops = 0;
  };
  struct Message {
    TimePoint at{};
    std::size_t from = 0;
    std::vector<ServiceBacklog> backlogs;
    std::vector<ReturnReport> returns;
  };

  [[nodiscard]] double rate() const {
    const double phase = std::fmod(seconds_, 5.8);
    const double level = phase < 3.4 ? play_.low : play_.high;
    return play_.mean_rate * level * (seconds_ >= 8 ? play_.factor : 1);
  }
  void restart() {
    for (Node& node : nodes_) {
      node.backlog = ZoneBacklog{};
      node.returning = ReturningCallers{};
    }
    ++incarnation_;
  }
  void arrive() {
    double expected = rate() / 1000;
    while (random_.unit() < expected) {
      expected -= 1;
      Caller caller{.content = ++contents_, .came = now_, .attempt = now_};
      caller.counted = seconds_ >= 8 && seconds_ < 20;
      if (caller.counted) ++outcome_.callers;
      ++first_arrivals_[static_cast<std::size_t>(seconds_)];
      enter(caller);
    }
  }
  void come_back() {
    while (!backs_.empty() && backs_.begin()->first <= now_) {
      Caller caller = backs_.begin()->second;
      backs_.erase(backs_.begin());
      caller.attempt = now_;
      caller.second = true;
      caller.certain_since = {};
      enter(caller);
    }
  }
  void enter(Caller caller) {
    ++all_arrivals_[static_cast<std::size_t>(seconds_)];
    Node& node = nodes_[random_.below(nodes_.size())];
    if (node.returning.take(caller.content, now_)) {
      caller.standing = AdmissionStanding::kReturned;
    } else {
      node.backlog.count_arrival(kService, 0, now_);
    }
    if (has_slot()) return serve(node, caller);
    if (play_.way == Way::kPredictedWait && reject_if_due(node, caller, position(node, caller))) {
      return;
    }
    node.waiting.push_back(caller);
    sort(node);
  }
  void sort(Node& node) {
    std::stable_sort(node.waiting.begin(), node.waiting.end(),
                     [this](const Caller& left, const Caller& right) {
                       if (play_.way == Way::kNewestFirst) return left.attempt > right.attempt;
                       const bool left_new = left.standing == AdmissionStanding::kNewcomer;
                       const bool right_new = right.standing == AdmissionStanding::kNewcomer;
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
      position.all += {1, play_.slot_time};
      const bool newcomer_waits = caller.standing == AdmissionStanding::kReturned &&
                                  other.standing == AdmissionStanding::kNewcomer;
      if (before && other.content != caller.content && !newcomer_waits) {
        position.ahead += {1, play_.slot_time};
      }
    }
    const bool queued = !before;
    if (own_in_time && !queued) position.all += {1, play_.slot_time};
    if (!own_in_time) position.ahead = position.all;
    return position;
  }
  [[nodiscard]] WaitReview review_of(Node& node, const Caller& caller, const QueuePosition& place) {
    WaitReview review{.standing = caller.standing,
                      .arrival = caller.attempt,
                      .due = caller.due(),
                      .last_start = caller.last_start(),
                      .forecast = std::nullopt,
                      .retry_after = std::nullopt};
    const ServiceFigures figures = node.backlog.figures(kService, 0, now_);
    const ArrivalSwing* swing = node.backlog.swing(kService, now_);
    review.forecast = predict_wait(place, figures, room(), swing ? swing->rate() : 0);
    if (!review_wait(review, now_)) return review;
    ahead_in_all_ = predict_wait(place, figures, {.zone = play_.slots}, 0)->ahead;
    told_ = choose_return({.service = kService,
                           .now = now_,
                           .deadline = caller.came + kDeadline,
                           .first_event = kFirstEvent,
                           .wait = review.forecast ? review.forecast->wait : Duration{0},
                           .freed_per_second = freed_per_second(figures, play_.slots),
                           .swing = swing},
                          node.returning, random_);
    if (told_) review.retry_after = told_->after;
    return review;
  }
  bool reject_if_due(Node& node, const Caller& caller, const QueuePosition& place) {
    const WaitReview review = review_of(node, caller, place);
    if (!review_wait(review, now_)) return false;
    if (free_slots_now() > 0) ++outcome_.refused_beside_idle;
    if (batch_ > ahead_in_all_) ++outcome_.refused_beside_batch;
    const bool noticed = caller.certain_since != TimePoint{};
    certain_.push_back(noticed ? to_seconds(now_ - caller.certain_since) * 1000 : 0);
    reject(node, caller, review.retry_after);
    return true;
  }
  /// Notes when rejections become certain, between two reviews.
  void note_certain() {
    for (Node& node : nodes_) {
      for (Caller& caller : node.waiting) {
        const bool certain =
            review_wait(review_of(node, caller, position(node, caller)), now_).has_value();
        if (!certain) caller.certain_since = {};
        if (certain && caller.certain_since == TimePoint{}) caller.certain_since = now_;
      }
    }
  }
  void reject(Node& node, const Caller& caller, std::optional<Duration> retry_after) {
    if (caller.counted) ++outcome_.rejections;
    // Callers come back once: when they are told to, or at once.
    if (!caller.second) {
      if (play_.way == Way::kPredictedWait && told_ && told_->promised) {
        node.returning.tell(caller.content, kService, now_ + *retry_after, now_);
      }
      const Duration untold = 50 * kMs + scale(300 * kMs, random_.unit());
      backs_.emplace(now_ + retry_after.value_or(untold) + 6 * kMs, caller);
    } else if (caller.counted) {
      ++outcome_.rejected;
    }
  }
  void review_all() {
    for (Node& node : nodes_) {
      if (play_.way == Way::kPredictedWait) {
        std::vector<Caller> kept;
        const std::vector<Caller> all = node.waiting;
        for (Caller caller : all) {
          if (!reject_if_due(node, caller, position(node, caller))) kept.push_back(caller);
        }
        node.waiting = std::move(kept);
      } else if (play_.way == Way::kNewestFirst) {
        drop_if(node, [this](const Caller& caller) { return now_ >= caller.due(); });
      } else if (play_.way == Way::kDelayControl) {
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
  /// The head of the queue is dropped at rising frequency while it waited for over 50 ms during
  /// the last 100 ms.
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
  /// Callers give up; without the policy the node answers just before.
  void leave() {
    for (Node& node : nodes_) {
      const bool answers = play_.way != Way::kPredictedWait;
      std::erase_if(node.waiting, [&](const Caller& caller) {
        if (now_ < caller.last_start()) return false;
        if (answers) {
          reject(node, caller, 200 * kMs);
        } else if (caller.counted) {
          ++outcome_.gone;
        }
        return true;
      });
    }
  }
  void free_slots() {
    while (!busy_.empty() && busy_.top().first <= now_) {
      Node& node = nodes_[busy_.top().second.first];
      node.backlog.count_freed(kService, 0, busy_.top().second.second, now_);
      busy_.pop();
    }
  }
  /// Who goes first: in time and told to come back, in time, late.
  [[nodiscard]] int rank(const Caller& caller) const {
    if (now_ >= caller.due()) return 2;
    return caller.standing == AdmissionStanding::kReturned ? 0 : 1;
  }
  /// Free slots go to the nodes in proportion to what waits there of the first rank.
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
    const Duration held = scale(play_.slot_time, 0.9 + 0.2 * random_.unit());
    const auto index = static_cast<std::size_t>(&node - nodes_.data());
    const TimePoint start = now_ + slot_of_batch();
    busy_.push({start + held, {index, held}});
    if (!caller.counted) return;
    waits_.push_back(to_seconds(start - caller.attempt) * 1000);
    const bool in_time = start <= caller.due();
    if (!in_time) ++outcome_.late;
    if (in_time) ++(caller.second ? outcome_.in_time_back : outcome_.in_time);
  }
  [[nodiscard]] std::uint32_t free_slots_now() const {
    return play_.slots - static_cast<std::uint32_t>(busy_.size()) - batch_;
  }
  /// Whether a slot is free, or a batch item can be asked for one: one at a runner at a time.
  [[nodiscard]] bool has_slot() const {
    return free_slots_now() > 0 || (batch_ > 0 && yields_.size() < play_.slots / 8);
  }
  [[nodiscard]] SlotRoom room() const { return {.zone = play_.slots, .of_batch = batch_}; }
  /// Returns how long a batch item that must yield takes to end; 0: a slot is free.
  Duration slot_of_batch() {
    if (free_slots_now() > 0) return Duration{0};
    --batch_;
    yields_.push(now_ + kYield);
    return kYield;
  }
  void fill_with_batch() {
    while (!yields_.empty() && yields_.front() <= now_) yields_.pop();
    const bool wait = std::any_of(nodes_.begin(), nodes_.end(),
                                  [](const Node& node) { return !node.waiting.empty(); });
    if (wait || !yields_.empty()) return;
    const auto most = static_cast<std::uint32_t>(0.85 * play_.slots);
    while (busy_.size() + batch_ < most) ++batch_;
  }
  void report(std::int64_t step) {
    const auto turn = static_cast<std::size_t>(step);
    constexpr std::size_t kInterval = 20;
    for (std::size_t from = turn % kInterval; from < nodes_.size(); from += kInterval) {
      if (seconds_ >= 8 && from == play_.cut_node) continue;
      Node& node = nodes_[from];
      QueuedWork waiting;
      for (const Caller& caller : node.waiting) {
        if (now_ < caller.due()) waiting += {1, play_.slot_time};
      }
      Message message{now_ + play_.message_delay, from,
                      node.backlog.report({{{kService, 0}, waiting}}),
                      node.returning.report(16, now_)};
      if (play_.messages_twice) messages_.push_back(message);
      messages_.push_back(std::move(message));
    }
  }
  void deliver() {
    while (!messages_.empty() && messages_.front().at <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        const bool cut = seconds_ >= 8 && to == play_.cut_node;
        if (to == message.from || cut || network_random_.unit() < play_.message_loss) continue;
        nodes_[to].backlog.take(message.from + 1000 * incarnation_, message.backlogs, now_);
        for (const ReturnReport& entry : message.returns) {
          nodes_[to].returning.take_report(entry, now_);
        }
      }
    }
  }
  Outcome finish() {
    std::sort(waits_.begin(), waits_.end());
    std::sort(certain_.begin(), certain_.end());
    if (!waits_.empty()) outcome_.p99_wait_ms = waits_[waits_.size() * 99 / 100];
    if (!certain_.empty()) outcome_.p99_certain_ms = certain_[certain_.size() * 99 / 100];
    outcome_.load_of_returns = *std::max_element(all_arrivals_.begin(), all_arrivals_.end()) /
                               *std::max_element(first_arrivals_.begin(), first_arrivals_.end());
    for (double* part : {&outcome_.slots_idle, &outcome_.batch_slots}) {
      *part *= 100 / (play_.slots * (play_.seconds - 8) * 1000);
    }
    for (double* part : {&outcome_.in_time, &outcome_.in_time_back, &outcome_.late,
                         &outcome_.rejected, &outcome_.gone}) {
      *part *= 100 / outcome_.callers;
    }
    return outcome_;
  }

  Play play_;
  Random random_;
  Random network_random_{2};
  std::vector<Node> nodes_;
  TimePoint now_{};
  double seconds_ = 0;
  std::uint64_t contents_ = 0;
  std::uint64_t incarnation_ = 0;
  using Busy = std::pair<TimePoint, std::pair<std::size_t, Duration>>;
  std::priority_queue<Busy, std::vector<Busy>, std::greater<>> busy_;
  std::uint32_t ahead_in_all_ = 0;  ///< Of the newest review, whoever may have a slot at once.
  std::optional<ReturnTime> told_;  ///< Of the newest review.
  std::uint32_t batch_ = 0;         ///< Slots that batch items hold and were not asked for.
  std::queue<TimePoint> yields_;    ///< When those that were asked have ended.
  std::multimap<TimePoint, Caller> backs_;
  std::deque<Message> messages_;
  std::vector<double> waits_;
  std::vector<double> all_arrivals_ = std::vector<double>(64);
  std::vector<double> certain_;
  std::vector<double> first_arrivals_ = std::vector<double>(64);
  Outcome outcome_;
};

inline Outcome play(const Play& play) {
  return Zone(play).run();
}

}  // namespace stoathold::admission_replay
