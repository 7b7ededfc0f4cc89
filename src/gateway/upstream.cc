#include "gateway/upstream.h"

#include "gateway/upstream_state.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Maximum number of responses to other requests that are skipped before the connection counts as
/// broken.
constexpr int kMaxSkippedResponses = 4;

}  // namespace

UpstreamPool::UpstreamPool(asio::any_io_executor executor, HeaderDialect dialect)
    : state_(std::make_unique<State>(std::move(executor), std::move(dialect))) {}
UpstreamPool::~UpstreamPool() = default;

bool UpstreamPool::has_idle(const std::string& address, std::uint64_t runner,
                            Duration max_idle_time) const {
  return state_->idle.has_usable(address, runner, max_idle_time);
}

std::uint64_t UpstreamPool::connects() const {
  return state_->connects;
}

UpstreamExchange::UpstreamExchange(UpstreamPool& pool)
    : state_(std::make_shared<State>(*pool.state_)) {}

UpstreamExchange::~UpstreamExchange() {
  state_->close();
}

asio::awaitable<UpstreamStatus> UpstreamExchange::send(UpstreamRequest request,
                                                       Duration connect_timeout) {
  const auto state = state_;
  state->address = request.address;
  state->runner = request.runner;
  state->request_id = request.request_id;
  if (!state->encode(request)) co_return UpstreamStatus::kUnsendable;
  // The runner may be closing an idle connection, so that its probe would show nothing.
  if (request.max_idle_time.count() > 0 && !request.probe) {
    state->take_idle(request.max_idle_time);
  }
  if (!state->socket) {
    const UpstreamStatus status = co_await state->connect(connect_timeout);
    if (status != UpstreamStatus::kOk) co_return status;
  }
  if (request.probe) {
    UpstreamProbe probe = std::move(*request.probe);
    const bool answered = co_await state->probe(std::move(probe));
    if (state->end_status == UpstreamStatus::kCancelled) co_return state->end_status;
    if (!answered) co_return UpstreamStatus::kNotSent;
    if (!state->probe_keeps_connection) {
      state->buffer.clear();
      const UpstreamStatus status = co_await state->connect(connect_timeout);
      if (status != UpstreamStatus::kOk) co_return status;
    }
  }
  state->sent = monotonic_now();
  state->write = RequestWrite::kPending;
  // Not awaited, since a runner may respond before it has read the complete body.
  http::async_write(*state->socket, state->request,
                    [state](boost::system::error_code error, std::size_t /*count*/) {
                      state->end_write(error.failed());
                    });
  co_return state->failure(UpstreamStatus::kOk);
}

asio::awaitable<int> UpstreamExchange::send_probe(UpstreamTarget target, UpstreamProbe probe,
                                                  Duration connect_timeout) {
  const auto state = state_;
  state->address = std::move(target.address);
  state->runner = target.runner;
  state->take_idle(Duration::max());
  // The runner may be closing an idle connection, so that only a new one shows that it is gone.
  const bool was_idle = state->socket != nullptr;
  if (was_idle) {
    UpstreamProbe copy = probe;
    co_await state->probe(std::move(copy));
  }
  const bool is_answered = state->probe_status > 0;
  if (!is_answered && state->end_status == UpstreamStatus::kOk) {
    state->buffer.clear();
    const UpstreamStatus status = co_await state->connect(connect_timeout);
    if (status == UpstreamStatus::kOk) co_await state->probe(std::move(probe));
  }
  // No request follows the probe.
  state->write = RequestWrite::kComplete;
  co_return state->probe_status;
}

asio::awaitable<UpstreamStatus> UpstreamExchange::read_head() {
  const auto state = state_;
  for (int skipped = 0; skipped < kMaxSkippedResponses; ++skipped) {
    const UpstreamStatus status = co_await state->read_next_head(state->request.method());
    if (status != UpstreamStatus::kOk) co_return status;
    if (state->matches_request_id()) {
      state->copy_head();
      co_return UpstreamStatus::kOk;
    }
    const UpstreamStatus body_status = co_await state->skip_body();
    if (body_status != UpstreamStatus::kOk) co_return body_status;
    if (state->parser->need_eof()) co_return UpstreamStatus::kBroken;
  }
  co_return UpstreamStatus::kBroken;
}

const UpstreamHead& UpstreamExchange::head() const {
  return state_->head;
}

asio::awaitable<UpstreamStatus> UpstreamExchange::read_body(std::string_view& view) {
  const auto state = state_;
  co_return co_await state->read_some(view);
}

TimePoint UpstreamExchange::connected() const {
  return state_->connected;
}

TimePoint UpstreamExchange::sent() const {
  return state_->sent;
}

int UpstreamExchange::probe_status() const {
  return state_->probe_status;
}

bool UpstreamExchange::closed_by_runner() const {
  return state_->closed_by_runner;
}

void UpstreamExchange::set_deadline(TimePoint deadline) {
  state_->set_deadline(deadline);
}

void UpstreamExchange::set_deadline_extender(DeadlineExtender extender) {
  state_->extender = std::move(extender);
}

void UpstreamExchange::cancel() {
  state_->finish(UpstreamStatus::kCancelled);
}

void UpstreamExchange::release() {
  auto& state = *state_;
  state.timer.cancel();
  state.extender = nullptr;
  const bool written = state.write == RequestWrite::kComplete;
  const bool complete = state.parser && state.parser->is_done() && written;
  const bool reusable = complete && state.end_status == UpstreamStatus::kOk &&
                        state.parser->keep_alive() && !state.parser->need_eof() &&
                        state.buffer.size() == 0;
  if (!reusable) {
    state.close();
    return;
  }
  const auto keep_alive_header = state.parser->get()[http::field::keep_alive];
  const Duration keep_alive =
      parse_keep_alive({keep_alive_header.data(), keep_alive_header.size()});
  state.pool.idle.put(state.address, state.runner, {std::move(state.socket), state.connected},
                      keep_alive);
}

}  // namespace stoathold
