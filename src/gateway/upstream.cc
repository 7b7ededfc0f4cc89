#include "gateway/upstream.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <charconv>

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
/// Assumed when a runner does not state how long it keeps idle connections.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(1);
/// Foreign answers that are skipped before the connection counts as broken.
constexpr int kMaxSkippedAnswers = 4;

/// Quantile of the times that connections take, and how many times that is waited for another.
constexpr double kConnectQuantile = 0.9;
constexpr double kConnectPatience = 8;
/// No connection is given up sooner: a lost packet or a busy moment of this node is no evidence.
constexpr Duration kShortestConnect = std::chrono::milliseconds(60);

/// Reads N of `timeout=N` in a `Keep-Alive` header.
Duration keep_alive_of(beast::string_view value) {
  const std::string_view text(value.data(), value.size());
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t found = text.find(kTimeout);
  if (found == std::string_view::npos) return kDefaultKeepAlive;
  std::uint32_t seconds = 0;
  const char* begin = text.data() + found + kTimeout.size();
  const auto result = std::from_chars(begin, text.data() + text.size(), seconds);
  return result.ec == std::errc{} ? Duration(std::chrono::seconds(seconds)) : kDefaultKeepAlive;
}

}  // namespace

std::string_view to_string(UpstreamStatus status) {
  switch (status) {
    case UpstreamStatus::kOk:
      return "ok";
    case UpstreamStatus::kNotSent:
      return "not_sent";
    case UpstreamStatus::kBroken:
      return "broken";
    case UpstreamStatus::kTimeout:
      return "timeout";
    case UpstreamStatus::kCancelled:
      break;
  }
  return "cancelled";
}

std::string_view UpstreamHead::header(std::string_view name) const {
  return find_header(headers, name);
}

struct UpstreamPool::State {
  State(asio::any_io_executor executor_in, HeaderDialect dialect_in)
      : executor(std::move(executor_in)), dialect(std::move(dialect_in)) {}

  /// How long a connection may take; a runner that takes longer is taken for dark.
  [[nodiscard]] Duration connect_patience(Duration longest) const {
    if (connect_times.value().count() == 0) return longest;
    return std::clamp(scale(connect_times.value(), kConnectPatience),
                      std::min(kShortestConnect, longest), longest);
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
  return state_->idle.has(address, runner, max_idle_time);
}

std::uint64_t UpstreamPool::connects() const {
  return state_->connects;
}

struct UpstreamExchange::State : std::enable_shared_from_this<UpstreamExchange::State> {
  explicit State(UpstreamPool::State& pool_in)
      : pool(pool_in), timer(pool_in.executor), read_buffer(kReadBytes) {}

  using Parser = http::response_parser<http::buffer_body>;

  void start_parser() {
    parser = std::make_unique<Parser>();
    parser->body_limit(boost::none);
    parser->header_limit(kHeadBytes);
    if (request.method() == http::verb::head) parser->skip(true);
  }

  void close() {
    timer.cancel();
    extender = nullptr;
    if (!socket) return;
    boost::system::error_code ignored;
    socket->close(ignored);
  }

  /// The timer is only armed anew when the deadline moves nearer; when it fires too early it goes
  /// on to the deadline of that moment. Moving a deadline away costs nothing.
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
        state->end(UpstreamStatus::kTimeout);
      }
    });
  }
  void set_deadline(TimePoint at) {
    deadline = at;
    if (armed_until == TimePoint{} || at < armed_until) arm(at);
  }
  void end(UpstreamStatus status) {
    if (ended != UpstreamStatus::kOk) return;
    ended = status;
    close();
  }
  /// The status of a step that failed with a socket or parser error.
  [[nodiscard]] UpstreamStatus failure(UpstreamStatus otherwise) const {
    return ended == UpstreamStatus::kOk ? otherwise : ended;
  }

  asio::awaitable<UpstreamStatus> connect(Duration timeout);
  asio::awaitable<UpstreamStatus> read_next_head();
  asio::awaitable<UpstreamStatus> read_some(std::string_view& view);
  /// Takes body bytes out of what has been read; none if more must be read first.
  /// @return false if the bytes are no body.
  bool parse_body(std::string_view& view);
  [[nodiscard]] bool answers_this_request() const;
  void copy_head();

  UpstreamPool::State& pool;
  Timer timer;
  TimePoint deadline{};
  TimePoint armed_until{};
  DeadlineExtender extender;
  UpstreamStatus ended = UpstreamStatus::kOk;
  std::string address;
  std::uint64_t runner = 0;
  std::string request_id;
  http::request<http::string_body> request;
  bool written = false;
  bool closed_by_runner = false;
  std::unique_ptr<Tcp::socket> socket;
  beast::flat_buffer buffer;
  std::unique_ptr<Parser> parser;
  std::vector<char> read_buffer;
  UpstreamHead head;
};

asio::awaitable<UpstreamStatus> UpstreamExchange::State::connect(Duration timeout) {
  Tcp::endpoint endpoint;
  if (!parse_endpoint(address, endpoint)) co_return UpstreamStatus::kNotSent;
  const TimePoint whole_deadline = deadline;
  ++pool.connects;
  socket = std::make_unique<Tcp::socket>(pool.executor);
  const TimePoint start = monotonic_now();
  set_deadline(std::min(whole_deadline, start + pool.connect_patience(timeout)));
  const auto [error] = co_await socket->async_connect(endpoint, kNoThrow);
  if (ended == UpstreamStatus::kCancelled) co_return ended;
  if (error || ended != UpstreamStatus::kOk) co_return UpstreamStatus::kNotSent;
  pool.connect_times.observe(monotonic_now() - start);
  deadline = whole_deadline;
  boost::system::error_code ignored;
  socket->set_option(Tcp::no_delay(true), ignored);
  co_return UpstreamStatus::kOk;
}

bool UpstreamExchange::State::answers_this_request() const {
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

asio::awaitable<UpstreamStatus> UpstreamExchange::State::read_next_head() {
  start_parser();
  const auto [error, count] = co_await http::async_read_header(*socket, buffer, *parser, kNoThrow);
  closed_by_runner = ended == UpstreamStatus::kOk && is_closed_by_peer(error);
  if (error || ended != UpstreamStatus::kOk) co_return failure(UpstreamStatus::kBroken);
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

/// Parses what has been read before it waits for more: a chunk's size line and its bytes, which
/// arrive together, then cost one turn of the loop.
asio::awaitable<UpstreamStatus> UpstreamExchange::State::read_some(std::string_view& view) {
  view = {};
  while (!parser->is_done()) {
    if (!parse_body(view)) co_return failure(UpstreamStatus::kBroken);
    if (!view.empty() || parser->is_done()) break;
    auto [error, count] = co_await socket->async_read_some(buffer.prepare(kReadBytes), kNoThrow);
    buffer.commit(count);
    closed_by_runner = ended == UpstreamStatus::kOk && is_closed_by_peer(error);
    if (error == asio::error::eof) {
      error = {};
      parser->put_eof(error);
    }
    if (error || ended != UpstreamStatus::kOk) co_return failure(UpstreamStatus::kBroken);
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
  if (request.max_idle_time.count() > 0) {
    state->socket = state->pool.idle.take(request.address, request.runner, request.max_idle_time);
  }
  if (!state->socket) {
    const UpstreamStatus status = co_await state->connect(connect_timeout);
    if (status != UpstreamStatus::kOk) co_return status;
  }
  auto& message = state->request;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  for (const auto& header : request.headers) message.insert(header.name, header.value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  // Not awaited: a runner may answer before it has read the whole body.
  http::async_write(
      *state->socket, message,
      [state](boost::system::error_code error, std::size_t /*count*/) { state->written = !error; });
  co_return state->failure(UpstreamStatus::kOk);
}

asio::awaitable<UpstreamStatus> UpstreamExchange::read_head() {
  const auto state = state_;
  for (int skipped = 0; skipped < kMaxSkippedAnswers;) {
    const UpstreamStatus status = co_await state->read_next_head();
    if (status != UpstreamStatus::kOk) co_return status;
    if (state->parser->get().result_int() < 200) continue;
    if (state->answers_this_request()) {
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
  state_->end(UpstreamStatus::kCancelled);
}

void UpstreamExchange::release() {
  auto& state = *state_;
  state.timer.cancel();
  state.extender = nullptr;
  const bool whole = state.parser && state.parser->is_done() && state.written;
  const bool fit = whole && state.ended == UpstreamStatus::kOk && state.parser->keep_alive() &&
                   !state.parser->need_eof() && state.buffer.size() == 0;
  if (!fit) {
    state.close();
    return;
  }
  const Duration keep_alive = keep_alive_of(state.parser->get()[http::field::keep_alive]);
  state.pool.idle.give(state.address, state.runner, std::move(state.socket), keep_alive);
}

}  // namespace stoathold
