#include "base/bounded_log_writer.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace stoathold {

struct BoundedLogWriter::State {
  Write write;
  LogWriterBounds bounds;
  /// Guards what follows; nothing else is locked while it is held.
  std::mutex mutex;
  std::condition_variable changed;
  std::string waiting;
  bool writing = false;
  bool hurry = false;  ///< Set by an urgent line and by a flush.
  bool stopped = false;
};

BoundedLogWriter::BoundedLogWriter(Write write, LogWriterBounds bounds)
    : state_(std::make_shared<State>()) {
  state_->write = std::move(write);
  state_->bounds = bounds;
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
  if (state.waiting.size() + line.size() >= state.bounds.waiting_bytes) return false;
  const bool first = state.waiting.empty();
  const bool first_urgent = urgent && !state.hurry;
  state.waiting.append(line).push_back('\n');
  state.hurry = state.hurry || urgent;
  if (first || first_urgent) state.changed.notify_all();
  return true;
}

bool BoundedLogWriter::flush(Duration limit) {
  State& state = *state_;
  std::unique_lock lock(state.mutex);
  state.hurry = true;
  state.changed.notify_all();
  return state.changed.wait_for(lock, limit,
                                [&] { return state.waiting.empty() && !state.writing; });
}

void BoundedLogWriter::write_forever(const std::shared_ptr<State>& state) {
  std::unique_lock lock(state->mutex);
  while (true) {
    state->changed.wait(lock, [&] { return state->stopped || !state->waiting.empty(); });
    state->changed.wait_for(lock, state->bounds.gather_time,
                            [&] { return state->stopped || state->hurry; });
    if (state->stopped) return;
    const std::string lines = std::exchange(state->waiting, {});
    state->hurry = false;
    state->writing = true;
    lock.unlock();
    state->write(lines);
    lock.lock();
    state->writing = false;
    state->changed.notify_all();
  }
}

}  // namespace stoathold
