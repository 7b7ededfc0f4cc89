#include "base/bounded_log_writer.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace stoathold {

struct BoundedLogWriter::State {
  Write write;
  LogWriterLimits limits;
  /// Guards the members below. No other mutex is locked while it is held.
  std::mutex mutex;
  std::condition_variable changed;
  std::string queued;
  bool writing = false;
  bool flush_requested = false;  ///< Ends the batch interval early.
  bool stopped = false;
};

BoundedLogWriter::BoundedLogWriter(Write write, LogWriterLimits limits)
    : state_(std::make_shared<State>()) {
  state_->write = std::move(write);
  state_->limits = limits;
  std::thread([state = state_] { write_forever(state); }).detach();
}

BoundedLogWriter::~BoundedLogWriter() {
  const std::scoped_lock lock(state_->mutex);
  state_->stopped = true;
  state_->changed.notify_all();
}

bool BoundedLogWriter::add(std::string_view line, bool urgent) {
  State& state = *state_;
  const std::scoped_lock lock(state.mutex);
  if (state.queued.size() + line.size() >= state.limits.max_queued_bytes) return false;
  const bool first = state.queued.empty();
  const bool first_urgent = urgent && !state.flush_requested;
  state.queued.append(line).push_back('\n');
  state.flush_requested = state.flush_requested || urgent;
  if (first || first_urgent) state.changed.notify_all();
  return true;
}

bool BoundedLogWriter::flush(Duration timeout) {
  State& state = *state_;
  std::unique_lock lock(state.mutex);
  state.flush_requested = true;
  state.changed.notify_all();
  return state.changed.wait_for(lock, timeout,
                                [&] { return state.queued.empty() && !state.writing; });
}

void BoundedLogWriter::write_forever(const std::shared_ptr<State>& state) {
  std::unique_lock lock(state->mutex);
  while (true) {
    state->changed.wait(lock, [&] { return state->stopped || !state->queued.empty(); });
    state->changed.wait_for(lock, state->limits.batch_interval,
                            [&] { return state->stopped || state->flush_requested; });
    if (state->stopped) return;
    const std::string lines = std::exchange(state->queued, {});
    state->flush_requested = false;
    state->writing = true;
    lock.unlock();
    state->write(lines);
    lock.lock();
    state->writing = false;
    state->changed.notify_all();
  }
}

}  // namespace stoathold
