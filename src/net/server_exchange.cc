#include "net/server_exchange.h"

#include "net/beast_helpers.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/// Maximum number of response bytes that are read ahead for a client: more than the responses to
/// chat requests (some kB), so that a slow client does not occupy a runner's slot.
constexpr std::size_t kReadAheadBytes = 1024UL * 1024;
/// Memory that reading ahead may use before availability is checked again.
constexpr std::size_t kReadAheadReserveBytes = 64UL * 1024;
/// Interval of the checks for memory while the buffer of a client cannot grow.
constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(100);
/// Response bodies of at least this size count towards the memory budget and may be reclaimed while
/// they wait for their clients.
constexpr std::size_t kMinAccountedBodyBytes = 16UL * 1024;

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
  if (write_buffer_) write_buffer_->detach();
  watch_.clear_callback();
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
  const bool counted = context_.resource_limits.limited() && body.size() >= kMinAccountedBodyBytes;
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
  if (!send_body_part(bytes)) co_return false;
  const bool drained = co_await drain();
  co_return drained;
}

asio::awaitable<bool> ServerExchange::write_ahead(std::string_view bytes) {
  if (!send_body_part(bytes)) co_return false;
  if (!write_buffer_ || write_buffer_->pending() == 0) co_return true;
  const TimePoint give_up = monotonic_now() + limits_.write_timeout;
  // Memory may become available during the wait, also from clients that have reached the stall
  // threshold by then.
  std::size_t max_pending = read_ahead_bytes();
  while (!write_buffer_->failed() && write_buffer_->pending() > max_pending) {
    const Duration left = give_up - monotonic_now();
    co_await write_buffer_->wait(max_pending, std::min(kMemoryPollInterval, left));
    if (left <= kMemoryPollInterval && write_buffer_->pending() > max_pending)
      write_buffer_->fail();
    max_pending = read_ahead_bytes();
  }
  healthy_ = healthy_ && !write_buffer_->failed();
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
  if (write_buffer_) write_buffer_->fail();
  boost::system::error_code ignored;
  if (framing_ == BodyFraming::kUntilClose) {
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  }
  stream_.close();
}

void ServerExchange::watch_disconnect(std::function<void()> on_disconnect) {
  watch_.start(std::move(on_disconnect));
}

bool ServerExchange::send_body_part(std::string_view bytes) {
  const asio::const_buffer piece(bytes.data(), bytes.size());
  if (framing_ == BodyFraming::kChunked) return send(http::make_chunk(piece));
  return send(piece);
}

/// Writes what the socket accepts immediately and buffers the rest. Most clients read faster than
/// runners write, and a wait would cost event loop iterations and a timer.
template <typename Buffers>
bool ServerExchange::send(const Buffers& buffers) {
  if (!healthy_) return false;
  std::size_t written = 0;
  if (!write_buffer_ || (write_buffer_->pending() == 0 && !write_buffer_->failed())) {
    boost::system::error_code error;
    written = write_at_once(stream_.socket(), buffers, error);
    healthy_ = !error;
    if (error || written == asio::buffer_size(buffers)) return healthy_;
  }
  buffer_remainder(buffers, written);
  healthy_ = !write_buffer_->failed();
  return healthy_;
}

template <typename Buffers>
void ServerExchange::buffer_remainder(const Buffers& buffers, std::size_t written) {
  if (!write_buffer_) {
    const auto on_reclaimed = [executor = stream_.get_executor(), watch = watch_.weak_from_this()] {
      asio::post(executor, [watch] {
        if (const auto alive = watch.lock()) alive->disconnected();
      });
    };
    write_buffer_ = std::make_shared<ResponseWriteBuffer>(
        stream_.socket(), context_.resource_limits, context_.buffer_registry, on_reclaimed);
  }
  beast::buffers_suffix<Buffers> rest(buffers);
  rest.consume(written);
  for (const asio::const_buffer piece : beast::buffers_range_ref(rest)) {
    write_buffer_->append({static_cast<const char*>(piece.data()), piece.size()});
  }
  write_buffer_->start();
}

/// Returns how many bytes may be buffered ahead: none without a memory limit, and none beyond the
/// bytes already received while memory is short.
std::size_t ServerExchange::read_ahead_bytes() const {
  const ServerResourceLimits& resource_limits = context_.resource_limits;
  if (!resource_limits.limited()) return 0;
  return resource_limits.budget->reclaim_until_fits(MemoryAccount::kResponses,
                                                    kReadAheadReserveBytes)
             ? kReadAheadBytes
             : 0;
}

asio::awaitable<bool> ServerExchange::drain() {
  if (!write_buffer_ || !healthy_) co_return healthy_;
  const auto write_buffer = write_buffer_;
  co_await write_buffer->wait(0, limits_.write_timeout);
  // Neither drained nor failed: the wait timed out.
  if (write_buffer->pending() > 0) write_buffer->fail();
  healthy_ = healthy_ && !write_buffer->failed();
  co_return healthy_;
}

}  // namespace stoathold
