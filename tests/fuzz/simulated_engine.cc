#include "fuzz/simulated_engine.h"

#include <algorithm>
#include <utility>

#include "net/event_splitter.h"

namespace stoathold::fuzz {
namespace {

constexpr std::uint32_t kTokensPerStep = 3;
constexpr Duration kStepPeriod = std::chrono::milliseconds(25);

}  // namespace

std::string simulated_token(std::uint64_t fingerprint, std::uint32_t index) {
  return std::to_string(mix_hashes(fingerprint, index) % 97) + " ";
}

std::string simulated_response(std::uint64_t fingerprint, std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 1; i <= tokens; ++i) text += simulated_token(fingerprint, i);
  return text;
}

std::optional<StreamOutcome> SimulatedEngine::open(std::uint64_t stream, const EngineWork& work,
                                                   Deliver deliver) {
  if (faults_.down) return StreamOutcome::kNotSent;
  if (faults_.refusing) return StreamOutcome::kRefused;
  streams_[stream] = {work, std::move(deliver), work.resume, false, events_.now()};
  admit();
  return std::nullopt;
}

void SimulatedEngine::admit() {
  if (faults_.frozen) return;
  std::uint32_t running = 0;
  for (const auto& [id, stream] : streams_) running += stream.running ? 1 : 0;
  for (const bool online : {true, false}) {
    for (auto& [id, stream] : streams_) {
      if (stream.running || stream.work.online != online || running >= slots_) continue;
      stream.running = true;
      ++running;
      if (online) longest_wait_ = std::max(longest_wait_, events_.now() - stream.opened);
      schedule_step(id);
    }
  }
}

void SimulatedEngine::schedule_step(std::uint64_t stream) {
  const Duration jitter{random_.below(5000)};
  events_.after(kStepPeriod * faults_.slow_factor + jitter, [this, stream] { step(stream); });
}

void SimulatedEngine::step(std::uint64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || faults_.frozen) return;
  auto& stream = found->second;
  std::string bytes;
  for (std::uint32_t i = 0; i < kTokensPerStep && stream.sent < stream.work.tokens; ++i) {
    ++stream.sent;
    bytes += "id: " + std::to_string(stream.sent) +
             "\ndata: " + simulated_token(stream.work.fingerprint, stream.sent) + "\n\n";
  }
  const bool complete = stream.sent >= stream.work.tokens;
  const bool broken_off =
      faults_.break_after_tokens > 0 && stream.sent >= faults_.break_after_tokens;
  if (complete && !broken_off) bytes += kEndEvent;
  const Deliver deliver = stream.deliver;
  if (complete || broken_off) {
    streams_.erase(found);
  } else {
    schedule_step(id);
  }
  deliver(bytes, complete || broken_off);
  if (complete || broken_off) admit();
}

void SimulatedEngine::apply_faults() {
  if (faults_.down) {
    auto lost = std::exchange(streams_, {});
    for (auto& [id, stream] : lost) {
      events_.after(Duration{1000}, [deliver = stream.deliver] { deliver("", true); });
    }
    return;
  }
  if (faults_.frozen) return;
  for (auto& [id, stream] : streams_) {
    if (stream.running) schedule_step(id);
  }
  admit();
}

RunnerLoad SimulatedEngine::load() const {
  RunnerLoad load;
  load.runner = runner_id_from_name(name_);
  for (const auto& [id, stream] : streams_) {
    if (!stream.work.online) {
      ++load.batch_streams;
    } else if (stream.running) {
      ++load.online_streams;
    } else {
      ++load.queued;
    }
  }
  load.leaving = faults_.leaving ? 1 : 0;
  return load;
}

}  // namespace stoathold::fuzz
