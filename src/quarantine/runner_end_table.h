/// @file
/// Which requests were at runners that ended, and which of them the ends are put down to.
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

/// A request was at a runner when the runner ended.
struct RunnerEnd {
  ContentHash content{};
  std::uint64_t runner = 0;  ///< `Runner::hash`: another for each start of a runner.
  RunStage stage = RunStage::kWaiting;
  TimePoint at{};
};

/// How strongly ends speak against a request. An end of a run whose answer had begun weighs more:
/// that run was under way, while one without an answer may have waited in the runner's queue.
struct EndWeights {
  std::uint32_t begun = 5;
  std::uint32_t waiting = 3;
  /// Against a request: reached by three ends of runs that had begun, by five of others.
  std::uint32_t limit = 15;
};

/// Ends by request and by runner. A set that only grows, so that nodes which have reported to one
/// another the same ends come to the same judgement, in whatever order. Used on one thread.
///
/// Most requests at a runner that ends are innocent. So an end is put down to one request at most:
/// the one whose run had begun, if just one had; else the one with the most ends elsewhere.
class RunnerEndTable {
 public:
  /// Returns when the runner was last heard, by any node as far as known here; nothing if never.
  using LastHeard = std::function<std::optional<TimePoint>(std::uint64_t runner)>;

  explicit RunnerEndTable(LastHeard last_heard, EndWeights weights = {})
      : last_heard_(std::move(last_heard)), weights_(weights) {}

  /// Takes in an end.
  /// @return whether it was not known, or not in so late a stage.
  bool add(const RunnerEnd& end);
  /// The request was served, or got on: ends before that are not put down to it.
  void clear(ContentHash content, TimePoint now);
  /// Forgets all ends of the request.
  void forget(ContentHash content);
  /// Forgets what is older than the lifetime of an end.
  void expire(TimePoint now);

  /// Returns the weight of the ends that are put down to the request.
  [[nodiscard]] std::uint32_t weight_against(ContentHash content) const;
  /// Whether that is enough to keep the request from runners.
  [[nodiscard]] bool over_limit(ContentHash content) const {
    return weight_against(content) >= weights_.limit;
  }
  /// Returns the runners that ended with the request, whatever the ends are put down to.
  [[nodiscard]] std::size_t ends_of(ContentHash content) const;
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct End {
    RunStage stage = RunStage::kWaiting;
    TimePoint at{};
  };
  /// What speaks against one request.
  struct Suspect {
    std::map<std::uint64_t, End> ends;  ///< By runner.
    std::optional<TimePoint> cleared;   ///< Ends up to then don't count.
    TimePoint changed{};
  };

  [[nodiscard]] std::uint32_t weight_of(RunStage stage) const {
    return stage == RunStage::kBegun ? weights_.begun : weights_.waiting;
  }
  /// Whether the end counts at all: nobody has heard the runner since.
  [[nodiscard]] bool stands(const Suspect& suspect, std::uint64_t runner, const End& end) const;
  [[nodiscard]] std::uint32_t whole_weight(const Suspect& suspect) const;
  /// Whether another request explains the end at least as well.
  [[nodiscard]] bool has_rival(ContentHash content, std::uint64_t runner, const End& end,
                               std::uint32_t weight) const;
  void make_room();

  LastHeard last_heard_;
  EndWeights weights_;
  std::unordered_map<ContentHash, Suspect> requests_;
  std::unordered_map<std::uint64_t, std::vector<ContentHash>> by_runner_;
};

}  // namespace stoathold
