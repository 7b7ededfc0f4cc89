/// @file
/// Commands that the fuzzer generates, and their execution on the simulated cluster.
#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "fuzz/simulated_cluster.h"

namespace stoathold::fuzz {

/// Action of a command. Any sequence of commands is valid; an inapplicable one has no effect.
enum class Action : std::uint8_t {
  kOnlineBurst,
  kUnsafeKeyed,
  kUnsafeKeyedTwice,  ///< Sends the same key to two nodes concurrently.
  kUnsafeUnkeyed,
  kSubmit,
  kSubmitTwice,  ///< Submits the same job to two nodes concurrently.
  kCancel,
  kReadStatus,
  kReadResults,
  kChange,
  kChangeRace,  ///< Two operators change the same version on two nodes.
  kCrash,
  kRestart,
  kFreeze,
  kUnfreeze,
  kDrain,
  kCutOneWay,
  kCutBothWays,
  kHealLinks,
  kReorder,
  kInOrder,
  kLogOutage,
  kLogSlow,
  kLogLosesResponses,
  kLogDelaysAppends,
  kLogCutFromNode,
  kLogHeals,
  kEngineDown,
  kEngineFrozen,
  kEngineRefuses,
  kEngineBreaks,
  kEngineSlow,
  kEngineLeaves,
  kEngineHeals,
  kWait,
};

inline constexpr int kActionCount = static_cast<int>(Action::kWait) + 1;

/// A command. The meaning of its operands depends on the action.
struct Command {
  Action action = Action::kWait;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
  std::uint32_t pause_ms = 0;  ///< Simulated time to run after the command.
};

/// Prints a command with its operands, so that a failing sequence can be replayed.
std::ostream& operator<<(std::ostream& stream, const Command& command);

/// Result of one run.
struct RunResult {
  std::vector<std::string> violations;  ///< Of the oracle; empty if every guarantee held.
  std::uint64_t operations = 0;
  std::uint64_t faults = 0;
};
/// Runs commands on a new cluster, then heals all faults and checks the final state.
RunResult run_commands(std::uint64_t seed, const std::vector<Command>& commands);

}  // namespace stoathold::fuzz
