#include "fuzz/commands.h"

#include <array>

namespace stoathold::fuzz {
namespace {

constexpr std::array<const char*, kActionCount> kActionNames{
    "online_burst",   "unsafe_keyed",  "unsafe_keyed_twice",
    "unsafe_unkeyed", "submit",        "submit_twice",
    "cancel",         "read_status",   "read_results",
    "change",         "change_race",   "crash",
    "restart",        "freeze",        "wake",
    "drain",          "cut_one_way",   "cut_both_ways",
    "heal_links",     "reorder",       "in_order",
    "log_outage",     "log_slow",      "log_loses",
    "log_late",       "log_cut",       "log_heals",
    "engine_down",    "engine_frozen", "engine_refuses",
    "engine_breaks",  "engine_slow",   "engine_leaves",
    "engine_heals",   "wait"};

constexpr std::uint32_t kKeys = 4;
constexpr std::uint32_t kMaxItems = 20;
constexpr std::uint32_t kMinBurstSize = 24;

/// Repeated submissions under one key must be identical, so the item count depends only on the key.
constexpr std::uint32_t item_count_of(std::uint32_t key) {
  return 1 + key * 7 % kMaxItems;
}

void run_client_action(SimulatedCluster& cluster, const Command& command) {
  const std::uint32_t first = command.first;
  const std::uint32_t second = command.second;
  switch (command.action) {
    case Action::kOnlineBurst:
      for (std::uint32_t i = 0; i < kMinBurstSize + second % kMinBurstSize; ++i) {
        const Duration deadline = std::chrono::milliseconds(1000 + 500 * (second % 20));
        cluster.online(first + i % 2, 1 + (second + i) % 12, deadline);
      }
      break;
    case Action::kUnsafeKeyed:
      cluster.unsafe_online(first, second % kKeys);
      break;
    case Action::kUnsafeKeyedTwice:
      cluster.unsafe_online(first, second % kKeys);
      cluster.unsafe_online(first + 1, second % kKeys);
      break;
    case Action::kUnsafeUnkeyed:
      for (std::uint32_t i = 0; i <= second % 8; ++i) cluster.unsafe_online_unkeyed(first + i);
      break;
    case Action::kSubmit:
      cluster.submit(first, second % kKeys, item_count_of(second % kKeys));
      break;
    case Action::kSubmitTwice:
      cluster.submit(first, second % kKeys, item_count_of(second % kKeys));
      cluster.submit(first + 1, second % kKeys, item_count_of(second % kKeys));
      break;
    case Action::kCancel:
      cluster.cancel(first, second % kKeys);
      break;
    case Action::kReadStatus:
      cluster.read_status(first, second % kKeys);
      break;
    case Action::kReadResults:
      cluster.read_results(first, second % kKeys);
      break;
    case Action::kChange:
      for (std::uint32_t i = 0; i <= second % 4; ++i) {
        cluster.change(first, 1 + i, std::nullopt, 1 + (second + i) % 9);
      }
      break;
    case Action::kChangeRace:
      cluster.change(first, 1 + second % 2, std::nullopt, 1 + second % 9);
      cluster.change(first + 1, 1 + second % 2, std::nullopt, 2 + second % 9);
      break;
    default:
      break;
  }
}

void inject_node_fault(SimulatedCluster& cluster, const Command& command) {
  const std::uint32_t first = command.first;
  switch (command.action) {
    case Action::kCrash:
      cluster.crash(first);
      break;
    case Action::kRestart:
      cluster.restart(first);
      break;
    case Action::kFreeze:
      cluster.freeze(first);
      break;
    case Action::kUnfreeze:
      cluster.unfreeze(first);
      break;
    case Action::kDrain:
      cluster.drain(first);
      break;
    case Action::kCutOneWay:
      cluster.cut(first, command.second, false);
      break;
    case Action::kCutBothWays:
      cluster.cut(first, command.second, true);
      break;
    case Action::kHealLinks:
      cluster.heal_links();
      break;
    case Action::kReorder:
      cluster.set_reorder(true);
      break;
    case Action::kInOrder:
      cluster.set_reorder(false);
      break;
    default:
      break;
  }
}

void inject_log_fault(SimulatedCluster& cluster, const Command& command) {
  auto& faults = cluster.log().faults();
  switch (command.action) {
    case Action::kLogOutage:
      faults.outage = true;
      break;
    case Action::kLogSlow:
      faults.added_latency = std::chrono::milliseconds(command.second % 900);
      break;
    case Action::kLogLosesResponses:
      faults.lost_responses = 20 + command.second % 60;
      break;
    case Action::kLogDelaysAppends:
      faults.delayed_appends = 20 + command.second % 60;
      break;
    case Action::kLogCutFromNode:
      faults.cut_nodes.insert(command.first % cluster.node_count());
      break;
    case Action::kLogHeals:
      faults = {};
      break;
    default:
      break;
  }
}

void inject_engine_fault(SimulatedCluster& cluster, const Command& command) {
  auto& engine = cluster.engine(command.first);
  auto& faults = engine.faults();
  switch (command.action) {
    case Action::kEngineDown:
      faults.down = true;
      break;
    case Action::kEngineFrozen:
      faults.frozen = true;
      break;
    case Action::kEngineRefuses:
      faults.refusing = true;
      break;
    case Action::kEngineBreaks:
      faults.break_after_tokens = 1 + command.second % 6;
      break;
    case Action::kEngineSlow:
      faults.slow_factor = 1 + static_cast<int>(command.second % 20);
      break;
    case Action::kEngineLeaves:
      cluster.set_leaving(command.first, true);
      break;
    case Action::kEngineHeals:
      faults = {};
      cluster.set_leaving(command.first, false);
      break;
    default:
      return;
  }
  engine.apply_faults();
}

}  // namespace

std::ostream& operator<<(std::ostream& stream, const Command& command) {
  return stream << kActionNames[static_cast<std::size_t>(command.action)] << "(" << command.first
                << ", " << command.second << ", +" << command.pause_ms << "ms)";
}

RunResult run_commands(std::uint64_t seed, const std::vector<Command>& commands) {
  SimulatedCluster cluster(seed);
  std::uint64_t faults = 0;
  for (const auto& command : commands) {
    run_client_action(cluster, command);
    inject_node_fault(cluster, command);
    inject_log_fault(cluster, command);
    inject_engine_fault(cluster, command);
    if (command.action >= Action::kCrash && command.action != Action::kWait) ++faults;
    cluster.run_for(std::chrono::milliseconds(command.pause_ms));
  }
  cluster.finish();
  return {cluster.oracle().violations(), cluster.oracle().operations(), faults};
}

}  // namespace stoathold::fuzz
