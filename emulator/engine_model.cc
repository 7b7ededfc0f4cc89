#include "emulator/engine_model.h"

#include <algorithm>

#include "base/ids.h"

namespace stoathold::emulator {
namespace {

constexpr std::size_t kBytesPerToken = 4;

}  // namespace

std::shared_ptr<Sequence> EngineModel::add(bool online, const std::string& prompt,
                                           std::uint32_t prompt_tokens,
                                           std::uint32_t completion_tokens,
                                           std::uint32_t resume_tokens) {
  auto sequence = std::make_shared<Sequence>();
  sequence->id = ++last_id_;
  sequence->online = online;
  sequence->prompt_tokens = prompt_tokens;
  sequence->completion_tokens = completion_tokens;
  sequence->generated = std::min(resume_tokens, completion_tokens);
  const std::size_t block_bytes = parameters_.block_tokens * kBytesPerToken;
  std::uint64_t chain = 0;
  for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
    chain = stable_hash(std::string_view(prompt).substr(at, block_bytes), chain);
    sequence->prefix_blocks.push_back(chain);
  }
  (online ? online_queue_ : batch_queue_).push_back(sequence);
  return sequence;
}

void EngineModel::remove(const std::shared_ptr<Sequence>& sequence) {
  if (sequence->running) release_blocks(*sequence);
  std::erase(running_, sequence);
  std::erase(online_queue_, sequence);
  std::erase(batch_queue_, sequence);
}

bool EngineModel::idle() const {
  return running_.empty() && online_queue_.empty() && batch_queue_.empty();
}

void EngineModel::release_blocks(Sequence& sequence) {
  blocks_used_ -= sequence.blocks;
  sequence.blocks = 0;
  sequence.running = false;
}

std::uint32_t EngineModel::cached_tokens(const Sequence& sequence) {
  std::uint32_t blocks = 0;
  for (const std::uint64_t block : sequence.prefix_blocks) {
    const auto found = cache_.find(block);
    if (found == cache_.end()) break;
    cache_order_.splice(cache_order_.end(), cache_order_, found->second);
    ++blocks;
  }
  if (blocks > 0) ++prefix_hits_;
  return blocks * parameters_.block_tokens;
}

void EngineModel::cache_prefix(const Sequence& sequence) {
  for (const std::uint64_t block : sequence.prefix_blocks) {
    if (cache_.contains(block)) continue;
    if (!allocate_blocks(1)) return;
    cache_order_.push_back(block);
    cache_[block] = std::prev(cache_order_.end());
    ++cache_sequence_;
  }
}

void EngineModel::evict_cache(std::uint32_t needed) {
  while (!cache_order_.empty() && parameters_.kv_blocks - blocks_used_ < needed) {
    cache_.erase(cache_order_.front());
    cache_order_.pop_front();
    --blocks_used_;
    ++cache_sequence_;
  }
}

bool EngineModel::allocate_blocks(std::uint32_t count) {
  evict_cache(count);
  if (parameters_.kv_blocks - blocks_used_ < count) return false;
  blocks_used_ += count;
  return true;
}

bool EngineModel::admit(const std::shared_ptr<Sequence>& sequence) {
  if (running_.size() >= parameters_.max_sequences) return false;
  const std::uint32_t tokens = sequence->prompt_tokens + sequence->completion_tokens;
  const std::uint32_t blocks = tokens / parameters_.block_tokens + 1;
  const std::uint32_t cached = std::min(cached_tokens(*sequence), sequence->prompt_tokens);
  if (!allocate_blocks(std::min(blocks, parameters_.kv_blocks / 2))) return false;
  sequence->blocks = std::min(blocks, parameters_.kv_blocks / 2);
  sequence->prefill_left = sequence->prompt_tokens - cached + sequence->generated;
  sequence->running = true;
  running_.push_back(sequence);
  return true;
}

bool EngineModel::preempt_batch_sequence() {
  const auto is_batch = [](const auto& sequence) { return !sequence->online; };
  const auto found = std::find_if(running_.rbegin(), running_.rend(), is_batch);
  if (found == running_.rend()) return false;
  const auto sequence = *found;
  release_blocks(*sequence);
  std::erase(running_, sequence);
  batch_queue_.push_front(sequence);
  ++preemptions_;
  return true;
}

void EngineModel::admit_from(Queue& queue) {
  while (!queue.empty() && admit(queue.front())) queue.pop_front();
}

Duration EngineModel::begin_step() {
  admit_from(online_queue_);
  while (!online_queue_.empty() && preempt_batch_sequence()) admit_from(online_queue_);
  if (online_queue_.empty()) admit_from(batch_queue_);
  Duration time = parameters_.step_base +
                  parameters_.step_per_sequence * static_cast<Duration::rep>(running_.size());
  std::uint32_t chunk = parameters_.prefill_chunk;
  for (const bool online : {true, false}) {
    for (const auto& sequence : running_) {
      if (sequence->online != online) continue;
      const std::uint32_t tokens = std::min(sequence->prefill_left, chunk);
      sequence->prefill_left -= tokens;
      chunk -= tokens;
      time += parameters_.prefill_per_token * tokens;
    }
  }
  return time;
}

std::vector<std::shared_ptr<Sequence>> EngineModel::end_step() {
  std::vector<std::shared_ptr<Sequence>> advanced;
  for (const auto& sequence : running_) {
    if (sequence->prefill_left > 0) continue;
    if (sequence->generated < sequence->completion_tokens) ++sequence->generated;
    advanced.push_back(sequence);
  }
  for (const auto& sequence : advanced) {
    if (!sequence->done()) continue;
    release_blocks(*sequence);
    std::erase(running_, sequence);
    cache_prefix(*sequence);
  }
  return advanced;
}

EngineStatistics EngineModel::statistics() const {
  EngineStatistics statistics;
  for (const auto& sequence : running_) {
    ++(sequence->online ? statistics.online_running : statistics.batch_running);
  }
  statistics.online_queued = static_cast<std::uint32_t>(online_queue_.size());
  statistics.batch_queued = static_cast<std::uint32_t>(batch_queue_.size());
  statistics.blocks_used = blocks_used_;
  statistics.preemptions = preemptions_;
  statistics.prefix_hits = prefix_hits_;
  statistics.cache_sequence = cache_sequence_;
  return statistics;
}

}  // namespace stoathold::emulator
