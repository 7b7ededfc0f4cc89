/// @file
/// Simulation of the platform's log with injectable faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "core/effects.h"
#include "fuzz/event_queue.h"

namespace stoathold::fuzz {

/// Injected faults of the log; probabilities are in percent.
struct LogFaults {
  bool outage = false;
  Duration added_latency{0};          ///< Added to the delay of each request and response.
  std::uint32_t lost_responses = 0;   ///< Appended, but reported as unknown.
  std::uint32_t delayed_appends = 0;  ///< Reported as unknown, appended up to 6 s later.
  std::set<std::size_t> cut_nodes;    ///< Nodes that cannot reach the log.
};

/// An append-only log. Not thread safe.
class SimulatedLog {
 public:
  using Appended = std::function<void(LogStatus, Offset)>;
  using Read = std::function<void(LogStatus, std::vector<LogEntry>, Offset)>;
  using Head = std::function<void(LogStatus, Offset)>;

  SimulatedLog(EventQueue& events, Random& random) : events_(events), random_(random) {}

  void append(std::size_t node, const std::string& stream, const std::string& bytes, Appended done);
  void read(std::size_t node, const std::string& stream, Offset from, std::uint32_t limit,
            Read done);
  void head(std::size_t node, const std::string& stream, Head done);
  LogFaults& faults() { return faults_; }
  [[nodiscard]] std::uint64_t appends() const { return appends_; }

 private:
  [[nodiscard]] bool reachable(std::size_t node) const {
    return !faults_.outage && !faults_.cut_nodes.contains(node);
  }
  Duration delay() { return Duration{1000 + random_.below(4000)} + faults_.added_latency; }
  Offset store(const std::string& stream, const std::string& bytes);

  EventQueue& events_;
  Random& random_;
  LogFaults faults_;
  std::map<std::string, std::vector<std::string>> streams_;
  std::uint64_t appends_ = 0;
};

}  // namespace stoathold::fuzz
