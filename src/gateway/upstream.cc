#include "gateway/upstream.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "base/timer.h"
#include "gateway/idle_connections.h"
#include "net/beast_helpers.h"
#include "routing/latency_quantile.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 16UL * 1024;
constexpr std::uint32_t kHeadBytes = 64U * 1024;
/// Maximum wait for the answer to a probe. A busy runner may let it wait for a slot.
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
/// Maximum number of responses to other requests that are skipped before the connection counts as
/// broken.
constexpr int kMaxSkippedResponses = 4;

/// The connect timeout is this quantile of the observed connect times, multiplied by the factor.
constexpr double kConnectQuantile = 0.9;
constexpr double kConnectTimeoutFactor = 8;
/// Lower bound of the connect timeout: a lost packet or a short stall of this node must not make a
/// runner count as unreachable.
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(60);

}  // namespace

struct UpstreamPool::State {
  State(asio::any_io_executor executor_in, HeaderDialect dialect_in)
      : executor(std::move(executor_in)), dialect(std::move(dialect_in)) {}

  /// Returns the connect timeout; a runner that takes longer counts as unreachable.
  [[nodiscard]] Duration adaptive_connect_timeout(Duration max_timeout) const {
    if (connect_times.value().count() == 0) return max_timeout;
    return std::clamp(scale(connect_times.value(), kConnectTimeoutFactor),
                      std::min(kMinConnectTimeout, max_timeout), max_timeout);
  }

  asio::any_io_executor executor;
  HeaderDialect dialect;
  IdleConnections idle;
  LatencyQuantile connect_times{kConnectQuantile};
  std::uint64_t connects = 0;
};

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

struct UpstreamExchange::State : std::enable_shared_from_this<UpstreamExchange::State> {
  explicit State(UpstreamPool::State& pool_in)
      : pool(pool_in), timer(pool_in.executor), read_buffer(kReadBytes) {}

  using Parser = http::response_parser<http::buffer_body>;

  void start_parser(http::verb method) {
    parser = std::make_unique<Parser>();
    parser->body_limit(boost::none);
    parser->header_limit(kHeadBytes);
    if (method == http::verb::head) parser->skip(true);
  }

  void close() {
    timer.cancel();
    extender = nullptr;
    if (!socket) return;
    boost::system::error_code ignored;
    socket->close(ignored);
  }

  /// The timer is re-armed only if the deadline moves closer. If it fires before the current
  /// deadline, it is re-armed for that deadline, so postponing a deadline costs nothing.
  void arm(TimePoint at) {
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
  void set_deadline(TimePoint at) {
    deadline = at;
    if (armed_until == TimePoint{} || at < armed_until) arm(at);
  }
  void finish(UpstreamStatus status) {
    if (end_status != UpstreamStatus::kOk) return;
    end_status = status;
    close();
  }
  /// Returns the status of a step that failed with a socket or parser error.
  [[nodiscard]] UpstreamStatus failure(UpstreamStatus otherwise) const {
    return end_status == UpstreamStatus::kOk ? otherwise : end_status;
  }

  /// Encodes a request into `request`.
  /// @return false if a header exceeds the limit of the HTTP library, 64 kB.
  bool encode(UpstreamRequest& source);
  asio::awaitable<UpstreamStatus> connect(Duration timeout);
  /// Sends a probe and reads its response.
  /// @return whether the runner is well.
  asio::awaitable<bool> probe(UpstreamProbe probe);
  /// @param method of the message that the response answers.
  asio::awaitable<UpstreamStatus> read_next_head(http::verb method);
  asio::awaitable<UpstreamStatus> read_some(std::string_view& view);
  /// Parses body bytes from the read buffer; `view` is empty if more must be read first.
  /// @return false if the bytes are malformed.
  bool parse_body(std::string_view& view);
  [[nodiscard]] bool matches_request_id() const;
  void copy_head();

  UpstreamPool::State& pool;
  Timer timer;
  TimePoint deadline{};
  TimePoint armed_until{};
  DeadlineExtender extender;
  UpstreamStatus end_status = UpstreamStatus::kOk;
  std::string address;
  std::uint64_t runner = 0;
  std::string request_id;
  http::request<http::string_body> request;
  bool written = false;
  bool closed_by_runner = false;
  TimePoint connected{};
  TimePoint sent{};
  int probe_status = 0;
  bool probe_keeps_connection = false;
  std::unique_ptr<Tcp::socket> socket;
  beast::flat_buffer buffer;
  std::unique_ptr<Parser> parser;
  std::vector<char> read_buffer;
  UpstreamHead head;
};

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
  std::string_view view;
  do {
    if (status == UpstreamStatus::kOk) status = co_await read_some(view);
  } while (status == UpstreamStatus::kOk && !view.empty());
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
  start_parser(method);
  const auto [error, count] = co_await http::async_read_header(*socket, buffer, *parser, kNoThrow);
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
    auto [error, count] = co_await socket->async_read_some(buffer.prepare(kReadBytes), kNoThrow);
    buffer.commit(count);
    closed_by_runner = end_status == UpstreamStatus::kOk && is_closed_by_peer(error);
    if (error == asio::error::eof) {
      error = {};
      parser->put_eof(error);
    }
    if (error || end_status != UpstreamStatus::kOk) co_return failure(UpstreamStatus::kBroken);
  }
  co_return UpstreamStatus::kOk;
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
    auto idle = state->pool.idle.take(request.address, request.runner, request.max_idle_time);
    state->socket = std::move(idle.socket);
    state->connected = idle.connected;
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
  // Not awaited, since a runner may respond before it has read the complete body.
  http::async_write(
      *state->socket, state->request,
      [state](boost::system::error_code error, std::size_t /*count*/) { state->written = !error; });
  co_return state->failure(UpstreamStatus::kOk);
}

asio::awaitable<UpstreamStatus> UpstreamExchange::read_head() {
  const auto state = state_;
  for (int skipped = 0; skipped < kMaxSkippedResponses;) {
    const UpstreamStatus status = co_await state->read_next_head(state->request.method());
    if (status != UpstreamStatus::kOk) co_return status;
    if (state->parser->get().result_int() < 200) continue;
    if (state->matches_request_id()) {
      state->copy_head();
      co_return UpstreamStatus::kOk;
    }
    ++skipped;
    std::string_view view;
    do {
      const UpstreamStatus body_status = co_await state->read_some(view);
      if (body_status != UpstreamStatus::kOk) co_return body_status;
    } while (!view.empty());
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
  const bool complete = state.parser && state.parser->is_done() && state.written;
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
