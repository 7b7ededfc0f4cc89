// Prints the benefit of reserving slots for the next peak that batch work would otherwise use: the
// table of docs/design/demand-forecast.md. Simulates one pool of slots with online work that
// oscillates (3.4 s at 0.383 times its mean, 2.4 s at 1.87 times) and preempts batch items, and
// with jobs of 10 items due in 18 s. The peak is known in advance, so no forecast could do better.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <vector>

#include "base/random.h"

namespace stoathold {
namespace {

constexpr double kStep = 0.001;
constexpr double kSeconds = 60;
constexpr double kLow = 0.383;
constexpr double kLowSeconds = 3.4;
constexpr double kHigh = 1.87;
constexpr double kPeriod = 5.8;
constexpr double kItemsOfJob = 10;
constexpr double kItemDue = 18;
/// Online work that waits longer than this is late.
constexpr double kOnlineMaxWait = 0.255;
/// Additional run time of a preempted item.
constexpr double kResumeTime = 0.007;
/// Production limits of batch work: its maximum load, and the margin after online work had to wait.
constexpr double kBatchLimit = 0.85;
constexpr double kBurstMargin = 0.4;
constexpr double kBurstDecayTime = 0.4;

struct Load {
  double slots;
  double online;        ///< Mean number of slots needed.
  double slot_time;     ///< Of an online request, in seconds.
  double items;         ///< Per second.
  double item_time;     ///< Seconds.
  double preempt_time;  ///< Seconds until the slot of a preempted item serves online work.
};

struct Item {
  double left;
  double due;

  [[nodiscard]] double start_by() const { return due - left; }
};

class Pool {
 public:
  /// @param reserved_fraction part of the rise to the peak that batch work leaves free.
  Pool(const Load& load, double reserved_fraction)
      : load_(load), reserved_fraction_(reserved_fraction) {}

  void run() {
    while (now_ < kSeconds) {
      arrive();
      end_work();
      place_online();
      place_batch();
      now_ += kStep;
    }
    std::printf("| %.0f | %.0f | %.2f | %.2f | %.1f | %.1f | %.0f | %.1f |\n", load_.slots,
                1000 * load_.preempt_time, reserved_fraction_, 100 * late_ / arrived_,
                1000 * wait_ / arrived_, preempted_ / kSeconds, batch_slots_ / kSeconds,
                done_ / kSeconds);
  }

 private:
  void arrive() {
    const bool low = std::fmod(now_, kPeriod) < kLowSeconds;
    const double rate = load_.online * (low ? kLow : kHigh) / load_.slot_time;
    for (int reserved_fraction = 0; reserved_fraction < 10; ++reserved_fraction) {
      if (random_.unit() < rate * kStep / 10) waiting_.push_back(now_);
    }
    if (random_.unit() >= load_.items / kItemsOfJob * kStep) return;
    for (int i = 0; i < kItemsOfJob; ++i) queue_.push_back({load_.item_time, now_ + kItemDue});
    std::stable_sort(queue_.begin(), queue_.end(), [](const Item& left, const Item& right) {
      return left.start_by() < right.start_by();
    });
  }

  void end_work() {
    std::erase_if(online_, [this](double end) { return end <= now_; });
    for (Item& item : batch_) item.left -= kStep;
    done_ +=
        static_cast<double>(std::erase_if(batch_, [](const Item& item) { return item.left <= 0; }));
    batch_slots_ += static_cast<double>(batch_.size()) * kStep;
  }

  [[nodiscard]] double taken() const { return static_cast<double>(online_.size() + batch_.size()); }

  void place_online() {
    while (!waiting_.empty()) {
      double begin = now_;
      if (taken() >= load_.slots) {
        if (batch_.empty()) return;
        preempt();
        begin += load_.preempt_time;
      }
      const double waited = begin - waiting_.front();
      waiting_.pop_front();
      ++arrived_;
      wait_ += waited;
      late_ += waited > kOnlineMaxWait ? 1 : 0;
      online_.push_back(begin + load_.slot_time * (0.875 + 0.25 * random_.unit()));
    }
  }

  /// Preempts the item with the most time left.
  void preempt() {
    const auto item = std::max_element(
        batch_.begin(), batch_.end(),
        [](const Item& left, const Item& right) { return left.start_by() < right.start_by(); });
    queue_.push_front({item->left + kResumeTime, item->due});
    batch_.erase(item);
    ++preempted_;
    last_wait_ = now_;
  }

  void place_batch() {
    const double burst =
        kBurstMargin * std::clamp(1 - (now_ - last_wait_) / kBurstDecayTime, 0., 1.);
    const double rise = load_.online * kHigh - static_cast<double>(online_.size());
    const double reserve = reserved_fraction_ * std::max(0., rise) / load_.slots;
    const double limit = (kBatchLimit - std::max(burst, reserve)) * load_.slots;
    while (!queue_.empty() && taken() < limit) {
      batch_.push_back(queue_.front());
      queue_.pop_front();
    }
  }

  Load load_;
  double reserved_fraction_;
  Random random_{1};
  double now_ = 0;
  double last_wait_ = -kBurstDecayTime;
  std::deque<double> waiting_;  ///< Arrival times of waiting online requests.
  std::vector<double> online_;  ///< End times of running online requests.
  std::vector<Item> batch_;     ///< Running items.
  std::deque<Item> queue_;      ///< Waiting items.
  double arrived_ = 0;
  double late_ = 0;
  double wait_ = 0;
  double preempted_ = 0;
  double batch_slots_ = 0;
  double done_ = 0;
};

}  // namespace
}  // namespace stoathold

int main() {
  for (const double preempt_time : {0.01, 0.1, 0.3}) {
    const stoathold::Load alike{480, 172, 0.70, 26, 5.0, preempt_time};
    const stoathold::Load uneven{712, 325, 0.80, 51, 5.2, preempt_time};
    for (const auto& load : {alike, uneven}) {
      for (const double reserved_fraction : {0.0, 0.25, 0.5, 1.0})
        stoathold::Pool(load, reserved_fraction).run();
    }
  }
  return 0;
}
