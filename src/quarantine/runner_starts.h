/// @file
/// Tells the starts of a runner apart that the directory does not list, or not yet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "quarantine/run_stage.h"
#include "quarantine/runner_life.h"

namespace stoathold {

/// Time for which an exit counts. Copies of a request may arrive minutes apart.
inline constexpr Duration kExitLifetime = std::chrono::minutes(10);

/// One start of a runner's process.
struct RunnerStart {
  std::uint64_t runner = 0;  ///< `Runner::hash`, which changes with each start that is listed.
  /// Number of restarts inferred from exits since the listed start.
  std::uint32_t restarts = 0;

  auto operator<=>(const RunnerStart&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A run at a runner whose connection was closed.
struct ClosedRun {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  TimePoint connected{};     ///< When its connection began to be opened.
  RunStage stage = RunStage::kWaiting;
  /// The runner is known to have been running when the request reached it.
  bool reached_live_runner = true;

  /// Returns whether the runner may have exited before the request reached it.
  [[nodiscard]] bool is_unproven() const {
    return stage == RunStage::kWaiting && !reached_live_runner;
  }
};

/// Numbers the starts of each runner by their exits. A connection that was opened after an exit
/// belongs to a later start. The number of a start travels with each report of its exit. So nodes
/// that know the same exits give one exit the same number, however late their reports arrive, and
/// give two exits two numbers. A node that has not heard of the last exit counts the next one as
/// the same. Used on one thread.
class RunnerStarts {
 public:
  /// Returns what is known about a runner; nothing if it was never heard from or is not listed.
  using LifeSource = std::function<std::optional<RunnerLife>(std::uint64_t runner)>;

  explicit RunnerStarts(LifeSource life_source) : life_source_(std::move(life_source)) {}

  /// Returns the start that a closed run belonged to.
  [[nodiscard]] RunnerStart start_of(const ClosedRun& run) const;
  /// Records an exit. Of several times for one start the earliest counts.
  void add_exit(const RunnerStart& start, TimePoint at);
  /// Records that a start which was taken for exited has exited later.
  void replace_exit(const RunnerStart& start, TimePoint at);
  /// Returns whether the runner was running after a reported exit without having restarted, so that
  /// there was no exit.
  [[nodiscard]] bool is_refuted(std::uint64_t runner, TimePoint exit_at) const;
  /// Forgets exits of runners without a recent exit.
  void expire(TimePoint now);

 private:
  /// Exit times by the number of restarts.
  using Exits = std::map<std::uint32_t, TimePoint>;

  Exits& exits_of(std::uint64_t runner);

  LifeSource life_source_;
  std::unordered_map<std::uint64_t, Exits> exits_;  ///< By runner.
};

}  // namespace stoathold
