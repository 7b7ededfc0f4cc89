/// @file
/// Records which requests were at runners that exited, and to which of them the exits are
/// attributed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "quarantine/request_content.h"
#include "quarantine/run_stage.h"

namespace stoathold {

/// A request was at a runner when the runner exited.
struct RunnerExit {
  ContentHash content{};
  std::uint64_t runner = 0;  ///< `Runner::hash`, which changes with each start of a runner.
  RunStage stage = RunStage::kWaiting;
  TimePoint at{};
};

/// Weights of exits as evidence against a request. An exit weighs more if the response had started,
/// because that run was in progress, while a run without a response may have been waiting in the
/// runner's queue.
struct ExitWeights {
  std::uint32_t begun = 5;
  std::uint32_t waiting = 3;
  /// Weight that leads to a quarantine: three exits of runs with a started response, or five
  /// others.
  std::uint32_t limit = 15;
};

/// Exits by request and by runner. The set only grows, so that nodes that have exchanged the same
/// exits reach the same result in any order. Used on one thread.
///
/// Most requests at a runner that exits are not the cause. So an exit is attributed to at most one
/// request: the one whose response had started, if there was only one; otherwise the one with the
/// most other exits.
class RunnerExitTable {
 public:
  /// Returns when the runner was last heard from by any node, as far as known here; nothing if
  /// never.
  using LastReceiveTime = std::function<std::optional<TimePoint>(std::uint64_t runner)>;

  explicit RunnerExitTable(LastReceiveTime last_receive_time, ExitWeights weights = {})
      : last_receive_time_(std::move(last_receive_time)), weights_(weights) {}

  /// Adds an exit.
  /// @return whether it was new or has a later stage than the known one.
  bool add(const RunnerExit& exit);
  /// Records that the request was served or made progress: earlier exits are not attributed to it.
  void clear(ContentHash content, TimePoint now);
  /// Removes all exits of the request.
  void forget(ContentHash content);
  /// Removes requests whose exits are too old to count.
  void expire(TimePoint now);

  /// Returns the weight of the exits attributed to the request.
  [[nodiscard]] std::uint32_t attributed_weight(ContentHash content) const;
  /// Returns whether that weight is enough for a quarantine.
  [[nodiscard]] bool over_limit(ContentHash content) const {
    return attributed_weight(content) >= weights_.limit;
  }
  /// Returns the number of runners that exited with the request, regardless of attribution.
  [[nodiscard]] std::size_t exit_count(ContentHash content) const;
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct Exit {
    RunStage stage = RunStage::kWaiting;
    TimePoint at{};
  };
  /// Evidence against one request.
  struct Suspect {
    std::map<std::uint64_t, Exit> exits;  ///< By runner.
    std::optional<TimePoint> cleared;     ///< Exits up to this time do not count.
    TimePoint changed{};
  };

  [[nodiscard]] std::uint32_t weight_of(RunStage stage) const {
    return stage == RunStage::kResponseStarted ? weights_.begun : weights_.waiting;
  }
  /// Returns whether the exit counts: it was not cleared, and no node has heard from the runner
  /// since.
  [[nodiscard]] bool is_valid(const Suspect& suspect, std::uint64_t runner, const Exit& exit) const;
  [[nodiscard]] std::uint32_t total_weight(const Suspect& suspect) const;
  /// Returns whether another request explains the exit at least as well.
  [[nodiscard]] bool has_likelier_suspect(ContentHash content, std::uint64_t runner,
                                          const Exit& exit, std::uint32_t weight) const;
  void evict_one();

  LastReceiveTime last_receive_time_;
  ExitWeights weights_;
  std::unordered_map<ContentHash, Suspect> requests_;
  std::unordered_map<std::uint64_t, std::vector<ContentHash>> by_runner_;
};

}  // namespace stoathold
