/// @file
/// Estimates how much more work fits into a runner's memory. Pure.
#pragma once

#include <cstdint>
#include <memory>

#include "base/time.h"

namespace stoathold {

class Runner;

/// If a runner rejects a request as full although it has free slots, its memory is full. Until that
/// evidence expires, no request is sent that would bring the runner to the same amount of prompt
/// tokens, while smaller requests still are. Runners are not asked for the size of their memory.
/// Used on one thread.
class RunnerMemoryEstimate {
 public:
  /// Adds, or removes, a request with this many prompt tokens.
  void add(std::uint32_t tokens) { held_tokens_ += tokens; }
  void remove(std::uint32_t tokens) { held_tokens_ -= tokens; }
  /// Returns the prompt tokens of this node's unfinished requests at the runner.
  [[nodiscard]] std::uint64_t held_tokens() const { return held_tokens_; }
  /// The runner rejected a request, which is still included in `held_tokens`, although it has free
  /// slots.
  void record_rejection(TimePoint now);
  /// Returns whether a request with this many tokens is expected to fit.
  [[nodiscard]] bool fits(std::uint32_t tokens, TimePoint now) const;

 private:
  std::uint64_t held_tokens_ = 0;
  /// Tokens held at the rejection, with those of the rejected request.
  std::uint64_t rejected_amount_ = 0;
  TimePoint evidence_expiry_{};
};

/// Includes a request in a runner's memory estimate for the lifetime of this object.
class RunnerMemoryReservation {
 public:
  RunnerMemoryReservation(std::shared_ptr<Runner> runner, std::uint32_t tokens);
  ~RunnerMemoryReservation();
  RunnerMemoryReservation(const RunnerMemoryReservation&) = delete;
  RunnerMemoryReservation& operator=(const RunnerMemoryReservation&) = delete;

 private:
  std::shared_ptr<Runner> runner_;
  std::uint32_t tokens_;
};

}  // namespace stoathold
