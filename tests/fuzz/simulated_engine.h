/// @file
/// Simulated model engine with injectable faults. Its output is a pure function of the work.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "core/effects.h"
#include "fuzz/event_queue.h"

namespace stoathold::fuzz {

/// Injected faults of an engine.
struct EngineFaults {
  bool down = false;                     ///< Refuses connections; running streams break.
  bool frozen = false;                   ///< Accepts streams but sends nothing.
  bool refusing = false;                 ///< Passes health checks but rejects requests.
  bool leaving = false;                  ///< Reports that it is leaving.
  std::uint32_t break_after_tokens = 0;  ///< Breaks each stream at this token; 0: never.
  int slow_factor = 1;
};

/// The generation that a stream requests.
struct EngineWork {
  std::uint64_t fingerprint = 0;
  std::uint32_t tokens = 0;
  std::uint32_t resume = 0;
  bool online = true;
};

/// A simulated engine, which delivers server-sent events to its streams. Not thread safe.
class SimulatedEngine {
 public:
  /// Receives events of a stream; `ended` marks the last call, which may have no bytes.
  using Deliver = std::function<void(const std::string& bytes, bool ended)>;

  SimulatedEngine(std::string name, std::uint32_t slots, EventQueue& events, Random& random)
      : name_(std::move(name)), slots_(slots), events_(events), random_(random) {}

  /// Opens a stream.
  /// @return the outcome if the stream is rejected immediately; nothing if it was accepted.
  std::optional<StreamOutcome> open(std::uint64_t stream, const EngineWork& work, Deliver deliver);
  /// Closes a stream; nothing more is delivered.
  void close(std::uint64_t stream) { streams_.erase(stream); }
  /// Applies the changes made through `faults()`.
  void apply_faults();

  EngineFaults& faults() { return faults_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] RunnerLoad load() const;
  /// Longest time that an online stream waited for a slot.
  [[nodiscard]] Duration longest_wait_behind_batch() const { return longest_wait_; }

 private:
  struct Stream {
    EngineWork work;
    Deliver deliver;
    std::uint32_t sent = 0;
    bool running = false;
    TimePoint opened;
  };

  void admit();
  void schedule_step(std::uint64_t stream);
  void step(std::uint64_t stream);

  const std::string name_;
  const std::uint32_t slots_;
  EventQueue& events_;
  Random& random_;
  EngineFaults faults_;
  std::map<std::uint64_t, Stream> streams_;
  Duration longest_wait_{0};
};

/// Returns token `index` (from 1) of the response.
std::string simulated_token(std::uint64_t fingerprint, std::uint32_t index);
/// Returns the complete response.
std::string simulated_response(std::uint64_t fingerprint, std::uint32_t tokens);

}  // namespace stoathold::fuzz
