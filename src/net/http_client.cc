#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <mutex>
#include <optional>

#include "net/beast_helpers.h"
#include "net/http.h"
#include "net/message_framing.h"
#include "net/response_head.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

using ReplyParser = http::response_parser<http::string_body>;
using StreamParser = http::response_parser<http::buffer_body>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPooledPerAddress = 32;
constexpr std::uint32_t kReplyHeadBytes = 16U * 1024;
/// Maximum bytes that are kept of the body of an error response to a streamed request.
constexpr std::size_t kErrorBodyBytes = 64UL * 1024;
constexpr std::size_t kReadBufferBytes = 16UL * 1024;

http::request<http::string_body> make_request(const HttpCall& call) {
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.target);
  request.version(11);
  request.set(http::field::host, call.address);
  request.set(http::field::content_type, call.content_type);
  for (const auto& header : call.headers) request.set(header.name, header.value);
  request.keep_alive(true);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

}  // namespace

std::string_view HttpReply::header(std::string_view name) const {
  return find_header(headers, name);
}

struct HttpClient::Pool {
  Pool(asio::any_io_executor executor_in, LoopThreads threads_in)
      : executor(std::move(executor_in)), threads(threads_in) {}

  std::unique_ptr<beast::tcp_stream> acquire(const std::string& address) {
    const std::scoped_lock lock(mutex);
    auto& list = idle[address];
    if (list.empty()) return nullptr;
    auto stream = std::move(list.back());
    list.pop_back();
    return stream;
  }
  void return_to_pool(const std::string& address, std::unique_ptr<beast::tcp_stream> stream) {
    const std::scoped_lock lock(mutex);
    auto& list = idle[address];
    if (list.size() < kPooledPerAddress) list.push_back(std::move(stream));
  }

  void discard_idle(const std::string& address) {
    const std::scoped_lock lock(mutex);
    idle.erase(address);
  }

  asio::any_io_executor executor;
  LoopThreads threads;
  std::mutex mutex;
  std::map<std::string, std::vector<std::unique_ptr<beast::tcp_stream>>> idle;
};

HttpClient::HttpClient(asio::any_io_executor executor, LoopThreads threads)
    : pool_(std::make_shared<Pool>(std::move(executor), threads)) {}
HttpClient::~HttpClient() = default;

namespace {

/// Returns whether bytes of a response arrived within the last half of the request's timeout.
bool received_recently(TimePoint sent, TimePoint last_received, Duration timeout) {
  return last_received > sent && monotonic_now() - last_received < timeout / 2;
}

/// Returns whether the peer has kept a pooled connection open.
bool is_open(beast::tcp_stream& stream) {
  return peek_socket(stream.socket()) == asio::error::would_block;
}

/// Sends a request and reads its response.
/// @param last_received set to the time of the last received bytes; unchanged if there were none.
/// @return whether the connection can be reused.
asio::awaitable<bool> exchange(beast::tcp_stream& stream, const HttpCall& call, HttpReply& reply,
                               TimePoint& last_received) {
  const auto request = make_request(call);
  reply.progress = HttpProgress::kSent;
  const auto [write_error, written] = co_await http::async_write(stream, request, kNoThrow);
  if (write_error) co_return false;
  beast::flat_buffer buffer(max_receive_buffer_bytes(kReplyHeadBytes));
  std::optional<ReplyParser> reply_parser;
  const auto start = [&]() -> ReplyParser& {
    reply_parser.emplace();
    reply_parser->header_limit(kReplyHeadBytes);
    reply_parser->body_limit(call.max_reply_bytes);
    return *reply_parser;
  };
  const beast::error_code head_error =
      co_await read_response_head(stream, buffer, start, kReplyHeadBytes);
  // A stated length above the limit is an error of the head.
  reply.oversized = head_error == http::error::body_limit;
  if (head_error) co_return false;
  ReplyParser& parser = *reply_parser;
  last_received = monotonic_now();
  while (!parser.is_done()) {
    const auto [error, read] = co_await http::async_read_some(stream, buffer, parser, kNoThrow);
    reply.oversized = error == http::error::body_limit;
    if (error) co_return false;
    last_received = monotonic_now();
  }
  auto response = parser.release();
  reply.progress = HttpProgress::kAnswered;
  reply.status = response.result_int();
  reply.headers = copy_headers(response.base());
  reply.body = std::move(response.body());
  co_return response.keep_alive();
}

}  // namespace

asio::awaitable<HttpReply> HttpClient::call(HttpCall call) {
  const auto pool = pool_;
  HttpReply reply;
  Tcp::endpoint endpoint;
  if (!parse_endpoint(call.address, endpoint)) co_return reply;
  auto stream = pool->acquire(call.address);
  if (stream && !is_open(*stream)) stream.reset();
  const bool is_new = !stream;
  if (is_new) {
    stream =
        std::make_unique<beast::tcp_stream>(connection_executor(pool->executor, pool->threads));
  }
  stream->expires_after(call.timeout);
  if (is_new) {
    const auto [error] = co_await stream->async_connect(endpoint, kNoThrow);
    if (error) co_return reply;
    boost::system::error_code ignored;
    stream->socket().set_option(Tcp::no_delay(true), ignored);
  }
  const TimePoint sent = monotonic_now();
  TimePoint last_received = sent;
  const bool reusable = co_await exchange(*stream, call, reply, last_received);
  if (reusable) {
    stream->expires_never();
    pool->return_to_pool(call.address, std::move(stream));
  } else if (reply.progress != HttpProgress::kAnswered &&
             !received_recently(sent, last_received, call.timeout)) {
    // If the peer stopped sending, its other idle connections are probably dead as well. A peer
    // that sent bytes until the timeout is alive behind a slow link, so its connections stay.
    pool->discard_idle(call.address);
  }
  co_return reply;
}

struct HttpStream::State {
  explicit State(const asio::any_io_executor& executor)
      : stream(executor), buffer(max_receive_buffer_bytes(kReplyHeadBytes)) {}

  StreamParser& start_parser() {
    parser.emplace();
    parser->header_limit(kReplyHeadBytes);
    parser->body_limit(boost::none);
    return *parser;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<StreamParser> parser;  ///< Empty until a head is read.
  std::vector<char> bytes = std::vector<char>(kReadBufferBytes);
  std::string error_body;
  bool complete = false;
};

HttpStream::HttpStream(const asio::any_io_executor& executor)
    : state_(std::make_unique<State>(executor)) {}
HttpStream::~HttpStream() = default;

asio::awaitable<std::pair<HttpProgress, int>> HttpStream::open(const HttpCall& call) {
  auto& state = *state_;
  Tcp::endpoint endpoint;
  if (!parse_endpoint(call.address, endpoint)) co_return std::pair{HttpProgress::kNotSent, 0};
  state.stream.expires_after(call.timeout);
  const auto [connect_error] = co_await state.stream.async_connect(endpoint, kNoThrow);
  if (connect_error) co_return std::pair{HttpProgress::kNotSent, 0};
  boost::system::error_code ignored;
  state.stream.socket().set_option(Tcp::no_delay(true), ignored);
  const auto request = make_request(call);
  const auto [write_error, written] = co_await http::async_write(state.stream, request, kNoThrow);
  if (write_error) co_return std::pair{HttpProgress::kSent, 0};
  const auto start = [&state]() -> StreamParser& { return state.start_parser(); };
  const beast::error_code read_error =
      co_await read_response_head(state.stream, state.buffer, start, kReplyHeadBytes);
  if (read_error) co_return std::pair{HttpProgress::kSent, 0};
  const int status = state.parser->get().result_int();
  if (status != static_cast<int>(http::status::ok)) {
    std::string_view view;
    while (state.error_body.size() < kErrorBodyBytes) {
      const bool more = co_await this->read(view, call.timeout);
      if (!more) break;
      state.error_body.append(view);
    }
  }
  co_return std::pair{HttpProgress::kAnswered, status};
}

asio::awaitable<bool> HttpStream::read(std::string_view& view, Duration timeout) {
  auto& state = *state_;
  if (!state.parser) co_return false;
  while (!state.parser->is_done()) {
    auto& body = state.parser->get().body();
    body.data = state.bytes.data();
    body.size = state.bytes.size();
    body.more = true;
    state.stream.expires_after(timeout);
    auto [error, count] =
        co_await http::async_read_some(state.stream, state.buffer, *state.parser, kNoThrow);
    if (error == http::error::need_buffer) error = {};
    if (error) co_return false;
    const std::size_t size = state.bytes.size() - body.size;
    if (size == 0) continue;
    view = {state.bytes.data(), size};
    co_return true;
  }
  state.complete = true;
  co_return false;
}

bool HttpStream::complete() const {
  return state_->complete;
}
const std::string& HttpStream::error_body() const {
  return state_->error_body;
}
void HttpStream::close() {
  state_->stream.close();
}

}  // namespace stoathold
