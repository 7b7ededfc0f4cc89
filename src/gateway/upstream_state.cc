// The steps of a request to a runner: connect, probe, and read the head and body of its response.
#include "gateway/upstream_state.h"

#include "net/message_framing.h"
#include "net/response_head.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 16UL * 1024;
constexpr std::uint32_t kHeadBytes = 64U * 1024;
/// Maximum bytes of the body of a response that is skipped: one to another request or to a probe.
constexpr std::size_t kMaxSkippedBytes = 1024UL * 1024;
/// Maximum wait for the answer to a probe. A busy runner may let it wait for a slot.
constexpr Duration kProbeTimeout = std::chrono::seconds(1);

/// Factor of the quantile of the observed connect times that gives the connect timeout.
constexpr double kConnectTimeoutFactor = 8;
/// Lower bound of the connect timeout: a lost packet or a short stall of this node must not make a
/// runner count as unreachable.
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(60);

}  // namespace

Duration UpstreamPool::State::adaptive_connect_timeout(Duration max_timeout) const {
  if (connect_times.value().count() == 0) return max_timeout;
  return std::clamp(scale(connect_times.value(), kConnectTimeoutFactor),
                    std::min(kMinConnectTimeout, max_timeout), max_timeout);
}

UpstreamExchange::State::State(UpstreamPool::State& pool_in)
    : pool(pool_in),
      timer(pool_in.executor),
      write_ended(pool_in.executor),
      buffer(max_receive_buffer_bytes(kHeadBytes)),
      read_buffer(kReadBytes) {}

void UpstreamExchange::State::start_parser(http::verb method) {
  parser = std::make_unique<Parser>();
  parser->body_limit(boost::none);
  parser->header_limit(kHeadBytes);
  if (method == http::verb::head) parser->skip(true);
}

void UpstreamExchange::State::close() {
  timer.cancel();
  extender = nullptr;
  if (!socket) return;
  boost::system::error_code ignored;
  socket->close(ignored);
}

void UpstreamExchange::State::arm(TimePoint at) {
  armed_until = at;
  timer.expires_after(std::max(Duration{0}, at - monotonic_now()));
  timer.async_wait([self = weak_from_this()](boost::system::error_code error) {
    const auto state = self.lock();
    if (error || !state) return;
    state->armed_until = {};
    if (monotonic_now() >= state->deadline && state->extender) {
      const auto later = state->extender();
      if (later) state->deadline = *later;
    }
    if (monotonic_now() < state->deadline) {
      state->arm(state->deadline);
    } else {
      state->finish(UpstreamStatus::kTimeout);
    }
  });
}

void UpstreamExchange::State::set_deadline(TimePoint at) {
  deadline = at;
  if (armed_until == TimePoint{} || at < armed_until) arm(at);
}

void UpstreamExchange::State::finish(UpstreamStatus status) {
  if (end_status != UpstreamStatus::kOk) return;
  end_status = status;
  close();
}

void UpstreamExchange::State::take_idle(Duration max_idle_time) {
  auto idle = pool.idle.take(address, runner, max_idle_time);
  socket = std::move(idle.socket);
  connected = idle.connected;
}

bool UpstreamExchange::State::encode(UpstreamRequest& source) {
  request.method_string(source.method);
  request.target(source.target);
  request.version(11);
  if (!insert_headers(request, source.headers)) return false;
  request.body() = std::move(source.body);
  request.prepare_payload();
  return true;
}

asio::awaitable<UpstreamStatus> UpstreamExchange::State::connect(Duration timeout) {
  Tcp::endpoint endpoint;
  if (!parse_endpoint(address, endpoint)) co_return UpstreamStatus::kNotSent;
  const TimePoint request_deadline = deadline;
  ++pool.connects;
  socket = std::make_unique<Tcp::socket>(pool.executor);
  const TimePoint start = monotonic_now();
  connected = start;
  set_deadline(std::min(request_deadline, start + pool.adaptive_connect_timeout(timeout)));
  const auto [error] = co_await socket->async_connect(endpoint, kNoThrow);
  if (end_status == UpstreamStatus::kCancelled) co_return end_status;
  if (error || end_status != UpstreamStatus::kOk) co_return UpstreamStatus::kNotSent;
  pool.connect_times.observe(monotonic_now() - start);
  deadline = request_deadline;
  boost::system::error_code ignored;
  socket->set_option(Tcp::no_delay(true), ignored);
  co_return UpstreamStatus::kOk;
}

asio::awaitable<bool> UpstreamExchange::State::probe(UpstreamProbe probe) {
  const TimePoint request_deadline = deadline;
  set_deadline(std::min(request_deadline, monotonic_now() + kProbeTimeout));
  http::request<http::empty_body> message(http::verb::get, probe.target, 11);
  if (!insert_headers(message, probe.headers)) co_return false;
  const auto [write_error, written_bytes] = co_await http::async_write(*socket, message, kNoThrow);
  if (write_error) co_return false;
  UpstreamStatus status = co_await read_next_head(message.method());
  if (status == UpstreamStatus::kOk) status = co_await skip_body();
  // Nothing of the request has been sent, so a closed connection says nothing about the request.
  closed_by_runner = false;
  if (status != UpstreamStatus::kOk) co_return false;
  deadline = request_deadline;
  probe_status = parser->get().result_int();
  probe_keeps_connection = parser->keep_alive() && !parser->need_eof() && buffer.size() == 0;
  co_return parser->get().result() == http::status::ok;
}

bool UpstreamExchange::State::matches_request_id() const {
  const auto& name = pool.dialect.request_id;
  const auto value = parser->get()[beast::string_view(name.data(), name.size())];
  return std::string_view(value.data(), value.size()) == request_id;
}

void UpstreamExchange::State::copy_head() {
  head = {};
  head.status = parser->get().result_int();
  head.headers = copy_headers(parser->get().base());
  if (parser->chunked()) {
    head.framing = BodyFraming::kChunked;
  } else if (parser->need_eof()) {
    head.framing = BodyFraming::kUntilClose;
  } else {
    head.framing = BodyFraming::kLength;
    head.length = parser->content_length().value_or(0);
  }
}

asio::awaitable<UpstreamStatus> UpstreamExchange::State::read_next_head(http::verb method) {
  const auto start = [this, method]() -> Parser& {
    start_parser(method);
    return *parser;
  };
  const boost::system::error_code error =
      co_await read_response_head(*socket, buffer, start, kHeadBytes);
  closed_by_runner = end_status == UpstreamStatus::kOk && is_closed_by_peer(error);
  if (error || end_status != UpstreamStatus::kOk) co_return failure(UpstreamStatus::kBroken);
  co_return UpstreamStatus::kOk;
}

bool UpstreamExchange::State::parse_body(std::string_view& view) {
  while (!parser->is_done() && buffer.size() > 0) {
    auto& body = parser->get().body();
    body.data = read_buffer.data();
    body.size = read_buffer.size();
    body.more = true;
    boost::system::error_code error;
    const std::size_t used = parser->put(buffer.data(), error);
    buffer.consume(used);
    view = {read_buffer.data(), read_buffer.size() - body.size};
    if (!view.empty()) return true;
    if (error == http::error::need_more) return true;
    if (error && error != http::error::need_buffer) return false;
    if (used == 0) return false;
  }
  return true;
}

/// Parses the buffered bytes before it reads more, so that a chunk's size line and data, which
/// arrive together, need only one iteration of the event loop.
asio::awaitable<UpstreamStatus> UpstreamExchange::State::read_some(std::string_view& view) {
  view = {};
  while (!parser->is_done()) {
    if (!parse_body(view)) co_return failure(UpstreamStatus::kBroken);
    if (!view.empty() || parser->is_done()) break;
    // What is left is a part of a chunk's size line or of the trailers.
    if (buffer.size() > kMaxFramingBytes) co_return failure(UpstreamStatus::kBroken);
    auto [error, count] = co_await socket->async_read_some(buffer.prepare(kReadBytes), kNoThrow);
    buffer.commit(count);
    closed_by_runner = end_status == UpstreamStatus::kOk && is_closed_by_peer(error);
    if (error == asio::error::eof) {
      error = {};
      parser->put_eof(error);
      if (error) co_return failure(UpstreamStatus::kBroken);
      // A reset is reported once: a pending write gets the error, and a read the end of the stream.
      const bool sent = co_await wait_for_write();
      if (!sent) co_return failure(UpstreamStatus::kBroken);
    }
    if (error || end_status != UpstreamStatus::kOk) co_return failure(UpstreamStatus::kBroken);
  }
  co_return UpstreamStatus::kOk;
}

void UpstreamExchange::State::end_write(bool failed) {
  write = failed ? RequestWrite::kFailed : RequestWrite::kComplete;
  write_ended.cancel();
}

asio::awaitable<bool> UpstreamExchange::State::wait_for_write() {
  while (write == RequestWrite::kPending) {
    write_ended.expires_at(Timer::time_point::max());
    co_await write_ended.async_wait(kNoThrow);
  }
  co_return write != RequestWrite::kFailed;
}

asio::awaitable<UpstreamStatus> UpstreamExchange::State::skip_body() {
  std::size_t skipped_bytes = 0;
  std::string_view view;
  do {
    const UpstreamStatus status = co_await read_some(view);
    if (status != UpstreamStatus::kOk) co_return status;
    skipped_bytes += view.size();
    if (skipped_bytes > kMaxSkippedBytes) co_return UpstreamStatus::kBroken;
  } while (!view.empty());
  co_return UpstreamStatus::kOk;
}

}  // namespace stoathold
