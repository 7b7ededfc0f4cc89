/// @file
/// What a runner is taken to hold for this node, and how much more it may be given. Pure.
#pragma once

#include <cstdint>
#include <memory>

#include "base/time.h"

namespace stoathold {

class Runner;

/// A refusal as full by a runner that has free places is evidence of its memory: until it is too
/// old, no work goes there that would make it hold as much again. Smaller work does. How much
/// memory a runner has is not asked for. Used on one thread.
class RunnerRoom {
 public:
  /// A request with so many prompt tokens was sent there, or has ended.
  void take(std::uint32_t tokens) { held_ += tokens; }
  void give_back(std::uint32_t tokens) { held_ -= tokens; }
  /// Prompt tokens that were sent there and whose requests have not ended.
  [[nodiscard]] std::uint64_t held() const { return held_; }
  /// The runner turned away a request that still counts as held, though it has free places.
  void refused(TimePoint now);
  /// Whether a request with so many tokens may find room.
  [[nodiscard]] bool fits(std::uint32_t tokens, TimePoint now) const;

 private:
  std::uint64_t held_ = 0;
  std::uint64_t too_much_ = 0;  ///< Held when it refused, with the request that it refused.
  TimePoint known_until_{};
};

/// Counts a request as held by a runner for as long as it lives.
class RunnerHold {
 public:
  RunnerHold(std::shared_ptr<Runner> runner, std::uint32_t tokens);
  ~RunnerHold();
  RunnerHold(const RunnerHold&) = delete;
  RunnerHold& operator=(const RunnerHold&) = delete;

 private:
  std::shared_ptr<Runner> runner_;
  std::uint32_t tokens_;
};

}  // namespace stoathold
