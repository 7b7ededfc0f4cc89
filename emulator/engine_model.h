/// @file
/// Simulation of an engine with continuous batching: steps, KV blocks, prefix cache, priorities.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace stoathold::emulator {

/// Parameters of an engine; read from a YAML file.
struct EngineParameters {
  Duration step_base = std::chrono::microseconds(4000);         ///< Duration of an empty step.
  Duration step_per_sequence = std::chrono::microseconds(120);  ///< Added per running sequence.
  Duration prefill_per_token = std::chrono::microseconds(20);   ///< Added per prompt token.
  std::uint32_t prefill_chunk = 1024;                           ///< Maximum prompt tokens per step.
  std::uint32_t max_sequences = 16;                             ///< Maximum running sequences.
  std::uint32_t kv_blocks = 4096;   ///< Size of the KV cache, in blocks.
  std::uint32_t block_tokens = 16;  ///< Tokens per KV block.
};

/// One sequence: a request that the engine runs or has queued.
struct Sequence {
  std::uint64_t id = 0;
  bool online = true;
  std::vector<std::uint64_t> prefix_blocks;  ///< Chained hashes of the prompt's full blocks.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  std::uint32_t generated = 0;     ///< Tokens generated, including those before a resumption.
  std::uint32_t prefill_left = 0;  ///< Tokens still to prefill.
  std::uint32_t blocks = 0;        ///< KV blocks allocated.
  bool running = false;

  [[nodiscard]] bool done() const { return generated >= completion_tokens; }
};

/// Load and counters of an engine, for load reports.
struct EngineStatistics {
  std::uint32_t online_running = 0;
  std::uint32_t online_queued = 0;
  std::uint32_t batch_running = 0;
  std::uint32_t batch_queued = 0;
  std::uint32_t blocks_used = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t prefix_hits = 0;
  std::uint64_t cache_sequence = 0;
};

/// The engine without sockets. `begin_step` schedules sequences and returns the duration of the
/// step; `end_step` generates one token for each running sequence whose prefill is complete. Queued
/// online sequences preempt running batch sequences. Not thread safe.
class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  /// Queues a sequence that continues after `resume_tokens` tokens.
  std::shared_ptr<Sequence> add(bool online, const std::string& prompt, std::uint32_t prompt_tokens,
                                std::uint32_t completion_tokens, std::uint32_t resume_tokens);
  /// Removes a sequence, whether it is running or queued, and frees its blocks.
  void remove(const std::shared_ptr<Sequence>& sequence);

  /// Returns whether no sequence is running or queued.
  [[nodiscard]] bool idle() const;
  /// Schedules sequences for a step and returns its duration.
  Duration begin_step();
  /// Completes the step; returns the sequences that generated a token.
  std::vector<std::shared_ptr<Sequence>> end_step();
  [[nodiscard]] EngineStatistics statistics() const;

 private:
  using Queue = std::deque<std::shared_ptr<Sequence>>;

  void admit_from(Queue& queue);
  bool admit(const std::shared_ptr<Sequence>& sequence);
  bool preempt_batch_sequence();
  std::uint32_t cached_tokens(const Sequence& sequence);
  void cache_prefix(const Sequence& sequence);
  bool allocate_blocks(std::uint32_t count);
  void evict_cache(std::uint32_t needed);
  void release_blocks(Sequence& sequence);

  EngineParameters parameters_;
  Queue online_queue_;
  Queue batch_queue_;
  std::vector<std::shared_ptr<Sequence>> running_;
  std::list<std::uint64_t> cache_order_;  ///< Least recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::uint32_t blocks_used_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t preemptions_ = 0;
  std::uint64_t prefix_hits_ = 0;
  std::uint64_t cache_sequence_ = 0;
};

}  // namespace stoathold::emulator
