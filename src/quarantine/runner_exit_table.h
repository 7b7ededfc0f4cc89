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
#include "quarantine/runner_starts.h"

namespace stoathold {

/// A request was at a runner when the runner exited.
struct RunnerExit {
  ContentHash content{};
  std::uint64_t runner = 0;  ///< `Runner::hash`, which changes with each start that is listed.
  RunStage stage = RunStage::kWaiting;
  TimePoint at{};
  std::uint32_t restarts = 0;  ///< `RunnerStart::restarts`.

  [[nodiscard]] RunnerStart start() const { return {runner, restarts}; }
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

/// Exits by request and by start of a runner. The set only grows, so that nodes that have exchanged
/// the same exits reach the same result in any order. Used on one thread.
///
/// Most requests at a runner that exits are not the cause. So an exit is attributed to at most one
/// request: the one whose response had started, if there was only one; otherwise the one with the
/// most other exits.
///
/// Requests that make runners exit at the same time share most exits: while few runners are left,
/// all of them wait for the same one. So a request with several exits backs off, for a time that
/// depends on the request, until it is served or makes a runner exit alone.
class RunnerExitTable {
 public:
  explicit RunnerExitTable(RunnerStarts::LifeSource life_source, ExitWeights weights = {})
      : starts_(std::move(life_source)), weights_(weights) {}

  /// Returns the start of a runner that a closed run belonged to.
  [[nodiscard]] RunnerStart start_of(const ClosedRun& run) const { return starts_.start_of(run); }
  /// Returns whether the runner was running after a reported exit without having restarted.
  [[nodiscard]] bool is_refuted(const RunnerStart& start, TimePoint at) const {
    return starts_.is_refuted(start.runner, at);
  }
  /// Adds an exit.
  /// @return whether it was new, has a later stage than the known one, or replaces one that was
  /// refuted.
  bool add(const RunnerExit& exit);
  /// Records that the request was served or made progress: earlier exits are not attributed to it.
  void clear(ContentHash content, TimePoint now);
  /// Removes all exits of the request.
  void forget(ContentHash content);
  /// Removes all exits of the request, and ignores exits up to `time` that are reported later.
  void forget_until(ContentHash content, TimePoint time);
  /// Removes requests whose exits are too old to count.
  void expire(TimePoint now);

  /// Returns the weight of the exits attributed to the request.
  [[nodiscard]] std::uint32_t attributed_weight(ContentHash content) const;
  /// Returns whether the exits are enough for a quarantine: all of them together weigh enough, and
  /// at least one is attributed to the request.
  [[nodiscard]] bool over_limit(ContentHash content) const;
  /// Records that this node sent the request to a runner.
  void record_send(ContentHash content, TimePoint now);
  /// Returns the time before which the request should not be sent again.
  [[nodiscard]] TimePoint backoff_until(ContentHash content) const;
  /// Returns the number of runner starts that exited with the request, regardless of attribution.
  [[nodiscard]] std::size_t exit_count(ContentHash content) const;
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct Exit {
    RunStage stage = RunStage::kWaiting;
    TimePoint at{};
    bool refuted = false;  ///< Stays set when the evidence for it is no longer known.
  };
  /// Evidence against one request.
  struct Suspect {
    std::map<RunnerStart, Exit> exits;
    std::optional<TimePoint> cleared;  ///< Exits up to this time do not count.
    TimePoint sent{};                  ///< Latest send by this node since the first exit.
    TimePoint changed{};
  };

  [[nodiscard]] std::uint32_t weight_of(RunStage stage) const {
    return stage == RunStage::kResponseStarted ? weights_.begun : weights_.waiting;
  }
  /// Returns whether the exit counts: it was neither cleared nor refuted.
  [[nodiscard]] bool is_valid(const Suspect& suspect, const RunnerStart& start,
                              const Exit& exit) const;
  [[nodiscard]] std::uint32_t total_weight(const Suspect& suspect) const;
  /// Returns whether another request explains the exit at least as well.
  [[nodiscard]] bool has_likelier_suspect(ContentHash content, const RunnerStart& start,
                                          const Exit& exit, std::uint32_t weight) const;
  /// Updates an exit of a start with which the request is known to have exited.
  /// @return whether that changes anything.
  bool update(Suspect& suspect, Exit& known, const RunnerExit& exit);
  void mark_refuted_exits(Suspect& suspect) const;
  void evict_one();

  RunnerStarts starts_;
  ExitWeights weights_;
  std::unordered_map<ContentHash, Suspect> requests_;
  std::map<RunnerStart, std::vector<ContentHash>> by_start_;
};

}  // namespace stoathold
