#include "net/server_exchange.h"

#include "net/beast_helpers.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/// Most of an answer that is read ahead for a caller: longer than the answers of chat requests
/// (some kB), so that their runners' places never wait for a caller.
constexpr std::size_t kReadAheadBytes = 1024UL * 1024;
/// Room that reading on may take before it is asked for again.
constexpr std::size_t kReadAheadStep = 64UL * 1024;
/// Between two looks for room while a caller's backlog has none.
constexpr Duration kRoomPoll = std::chrono::milliseconds(100);
/// Bodies of this size and more are counted and may be cut off while they wait for their callers.
constexpr std::size_t kCountedBodyBytes = 16UL * 1024;

std::string_view view_of(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void DisconnectWatch::start(std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
  if (waiting_) return;
  waiting_ = true;
  socket_->async_wait(Tcp::socket::wait_read,
                      [self = shared_from_this()](boost::system::error_code error) {
                        self->waiting_ = false;
                        if (!error) self->check();
                      });
}

void DisconnectWatch::check() {
  if (socket_ == nullptr || !on_disconnect_) return;
  const boost::system::error_code error = peek_socket(*socket_);
  if (!error || error == asio::error::would_block) return;
  disconnected();
}

void DisconnectWatch::disconnected() {
  const auto call = std::exchange(on_disconnect_, nullptr);
  if (call) call();
}

ServerExchange::~ServerExchange() {
  if (backlog_) backlog_->detach();
  watch_.forget();
}

std::string_view ServerExchange::method() const {
  return view_of(request_.method_string());
}

std::string_view ServerExchange::target() const {
  return view_of(request_.target());
}

std::string_view ServerExchange::header(std::string_view name) const {
  return view_of(request_[beast::string_view(name.data(), name.size())]);
}

std::vector<HttpHeader> ServerExchange::headers() const {
  return copy_headers(request_.base());
}

asio::any_io_executor ServerExchange::executor() const {
  return const_cast<beast::tcp_stream&>(stream_).get_executor();
}

asio::awaitable<void> ServerExchange::respond(int status, std::string_view content_type,
                                              std::string body, std::vector<HttpHeader> headers) {
  http::response<http::string_body> response{static_cast<http::status>(status), request_.version()};
  response.set(http::field::server, kServerName);
  response.set(http::field::content_type,
               beast::string_view(content_type.data(), content_type.size()));
  for (const auto& header : headers) response.set(header.name, header.value);
  response.keep_alive(may_keep_alive());
  const bool counted = surroundings_.bounds.limited() && body.size() >= kCountedBodyBytes;
  response.body() = std::move(body);
  response.prepare_payload();
  stream_.expires_after(limits_.write_timeout);
  if (counted) {
    http::response_serializer<http::string_body> serializer(response);
    const auto [error, count] = co_await http::async_write_header(stream_, serializer, kNoThrow);
    healthy_ = !error;
    framing_ = BodyFraming::kLength;
    const bool written = co_await write(response.body());
    healthy_ = written;
  } else {
    const auto [error, count] = co_await http::async_write(stream_, response, kNoThrow);
    healthy_ = !error;
  }
  keep_alive_ = response.keep_alive();
  answered_ = true;
}

asio::awaitable<bool> ServerExchange::start_stream(std::string_view content_type) {
  ResponseHead head;
  head.headers.push_back({"Server", kServerName});
  head.headers.push_back({"Content-Type", std::string(content_type)});
  head.headers.push_back({"Cache-Control", "no-store"});
  co_return co_await start_response(head);
}

asio::awaitable<bool> ServerExchange::start_response(const ResponseHead& head) {
  http::response<http::empty_body> response{static_cast<http::status>(head.status),
                                            request_.version()};
  for (const auto& header : head.headers) response.insert(header.name, header.value);
  framing_ = head.framing;
  response.keep_alive(framing_ != BodyFraming::kUntilClose && may_keep_alive());
  if (framing_ == BodyFraming::kChunked) response.chunked(true);
  if (framing_ == BodyFraming::kLength) response.content_length(head.length);
  http::response_serializer<http::empty_body> serializer(response);
  stream_.expires_after(limits_.write_timeout);
  const auto [error, count] = co_await http::async_write_header(stream_, serializer, kNoThrow);
  healthy_ = !error;
  keep_alive_ = response.keep_alive();
  answered_ = true;
  co_return healthy_;
}

asio::awaitable<bool> ServerExchange::write(std::string_view bytes) {
  if (!send_piece(bytes)) co_return false;
  const bool drained = co_await drain();
  co_return drained;
}

asio::awaitable<bool> ServerExchange::write_ahead(std::string_view bytes) {
  if (!send_piece(bytes)) co_return false;
  if (!backlog_ || backlog_->pending() == 0) co_return true;
  const TimePoint give_up = monotonic_now() + limits_.write_timeout;
  // Room may come free meanwhile, also from callers that have been stalled for long enough by then.
  std::size_t most = read_ahead_bytes();
  while (!backlog_->failed() && backlog_->pending() > most) {
    const Duration left = give_up - monotonic_now();
    co_await backlog_->wait(most, std::min(kRoomPoll, left));
    if (left <= kRoomPoll && backlog_->pending() > most) backlog_->fail();
    most = read_ahead_bytes();
  }
  healthy_ = healthy_ && !backlog_->failed();
  co_return healthy_;
}

asio::awaitable<bool> ServerExchange::flush() {
  const bool drained = co_await drain();
  co_return drained;
}

asio::awaitable<bool> ServerExchange::finish_stream() {
  if (!healthy_) co_return false;
  if (framing_ == BodyFraming::kChunked) healthy_ = send(http::make_chunk_last());
  const bool drained = co_await drain();
  co_return drained;
}

void ServerExchange::abort() {
  healthy_ = false;
  if (backlog_) backlog_->fail();
  boost::system::error_code ignored;
  if (framing_ == BodyFraming::kUntilClose) {
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  }
  stream_.close();
}

void ServerExchange::watch_disconnect(std::function<void()> on_disconnect) {
  watch_.start(std::move(on_disconnect));
}

bool ServerExchange::send_piece(std::string_view bytes) {
  const asio::const_buffer piece(bytes.data(), bytes.size());
  if (framing_ == BodyFraming::kChunked) return send(http::make_chunk(piece));
  return send(piece);
}

/// Writes at once what the socket takes: most callers read faster than runners write, and a wait
/// costs turns of the loop and a timer. What it does not take waits in the backlog.
template <typename Buffers>
bool ServerExchange::send(const Buffers& buffers) {
  if (!healthy_) return false;
  std::size_t written = 0;
  if (!backlog_ || (backlog_->pending() == 0 && !backlog_->failed())) {
    boost::system::error_code error;
    written = write_at_once(stream_.socket(), buffers, error);
    healthy_ = !error;
    if (error || written == asio::buffer_size(buffers)) return healthy_;
  }
  keep_rest(buffers, written);
  healthy_ = !backlog_->failed();
  return healthy_;
}

template <typename Buffers>
void ServerExchange::keep_rest(const Buffers& buffers, std::size_t written) {
  if (!backlog_) {
    const auto cut_off = [executor = stream_.get_executor(), watch = watch_.weak_from_this()] {
      asio::post(executor, [watch] {
        if (const auto alive = watch.lock()) alive->disconnected();
      });
    };
    backlog_ = std::make_shared<AnswerBacklog>(stream_.socket(), surroundings_.bounds,
                                               surroundings_.holders, cut_off);
  }
  beast::buffers_suffix<Buffers> rest(buffers);
  rest.consume(written);
  for (const asio::const_buffer piece : beast::buffers_range_ref(rest)) {
    backlog_->append({static_cast<const char*>(piece.data()), piece.size()});
  }
  backlog_->start();
}

/// Without a limit nothing is read ahead, and where room is short only what is at hand is held.
std::size_t ServerExchange::read_ahead_bytes() const {
  const ServerBounds& bounds = surroundings_.bounds;
  if (!bounds.limited()) return 0;
  return bounds.budget->make_room(MemoryAccount::kAnswers, kReadAheadStep) ? kReadAheadBytes : 0;
}

asio::awaitable<bool> ServerExchange::drain() {
  if (!backlog_ || !healthy_) co_return healthy_;
  const auto backlog = backlog_;
  co_await backlog->wait(0, limits_.write_timeout);
  // Neither drained nor failed: the time is over.
  if (backlog->pending() > 0) backlog->fail();
  healthy_ = healthy_ && !backlog->failed();
  co_return healthy_;
}

}  // namespace stoathold
