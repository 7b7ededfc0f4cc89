#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <mutex>
#include <set>
#include <system_error>

#include "base/timer.h"
#include "net/beast_helpers.h"
#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr const char* kServerName = "stoathold";

/// Notices that the caller closes its connection while its request is handled. One per connection;
/// shared with the pending wait, which may outlive the request it was started for.
class DisconnectWatch : public std::enable_shared_from_this<DisconnectWatch> {
 public:
  explicit DisconnectWatch(Tcp::socket& socket) : socket_(&socket) {}

  void start(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
    if (waiting_) return;
    waiting_ = true;
    socket_->async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this()](boost::system::error_code error) {
                          self->waiting_ = false;
                          if (!error) self->check();
                        });
  }
  /// The request has ended: nothing is called any more.
  void forget() { on_disconnect_ = nullptr; }
  /// The connection's socket is about to go.
  void detach() {
    forget();
    socket_ = nullptr;
  }

 private:
  void check() {
    if (socket_ == nullptr || !on_disconnect_) return;
    const boost::system::error_code error = peek_socket(*socket_);
    if (!error || error == asio::error::would_block) return;
    const auto call = std::move(on_disconnect_);
    on_disconnect_ = nullptr;
    call();
  }

  Tcp::socket* socket_;
  std::function<void()> on_disconnect_;
  bool waiting_ = false;
};

class Exchange final : public HttpExchange {
 public:
  Exchange(beast::tcp_stream& stream, http::request<http::string_body> request,
           const HttpLimits& limits, const std::atomic<bool>& draining, DisconnectWatch& watch)
      : stream_(stream),
        request_(std::move(request)),
        limits_(limits),
        draining_(draining),
        watch_(watch) {}
  ~Exchange() override { watch_.forget(); }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::string_view method() const override {
    const auto view = request_.method_string();
    return {view.data(), view.size()};
  }
  std::string_view target() const override {
    const auto view = request_.target();
    return {view.data(), view.size()};
  }
  std::string_view header(std::string_view name) const override {
    const auto view = request_[beast::string_view(name.data(), name.size())];
    return {view.data(), view.size()};
  }
  std::vector<HttpHeader> headers() const override { return copy_headers(request_.base()); }
  const std::string& body() const override { return request_.body(); }
  asio::any_io_executor executor() const override {
    return const_cast<beast::tcp_stream&>(stream_).get_executor();
  }

  asio::awaitable<void> respond(int status, std::string_view content_type, std::string body,
                                std::vector<HttpHeader> headers) override {
    http::response<http::string_body> response{static_cast<http::status>(status),
                                               request_.version()};
    response.set(http::field::server, kServerName);
    response.set(http::field::content_type,
                 beast::string_view(content_type.data(), content_type.size()));
    for (const auto& header : headers) response.set(header.name, header.value);
    response.keep_alive(may_keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    stream_.expires_after(limits_.write_timeout);
    const auto [error, count] = co_await http::async_write(stream_, response, kNoThrow);
    healthy_ = !error;
    keep_alive_ = response.keep_alive();
    answered_ = true;
  }

  asio::awaitable<bool> start_stream(std::string_view content_type) override {
    ResponseHead head;
    head.headers.push_back({"Server", kServerName});
    head.headers.push_back({"Content-Type", std::string(content_type)});
    head.headers.push_back({"Cache-Control", "no-store"});
    co_return co_await start_response(head);
  }

  asio::awaitable<bool> start_response(const ResponseHead& head) override {
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

  asio::awaitable<bool> write(std::string_view bytes) override {
    if (!healthy_) co_return false;
    const asio::const_buffer piece(bytes.data(), bytes.size());
    if (framing_ == BodyFraming::kChunked) {
      healthy_ = co_await write_all(http::make_chunk(piece));
    } else {
      healthy_ = co_await write_all(piece);
    }
    co_return healthy_;
  }

  asio::awaitable<void> finish_stream() override {
    if (!healthy_ || framing_ != BodyFraming::kChunked) co_return;
    healthy_ = co_await write_all(http::make_chunk_last());
  }

  void abort() override {
    healthy_ = false;
    boost::system::error_code ignored;
    if (framing_ == BodyFraming::kUntilClose) {
      stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    stream_.close();
  }

  void watch_disconnect(std::function<void()> on_disconnect) override {
    watch_.start(std::move(on_disconnect));
  }

  [[nodiscard]] bool reusable() const { return healthy_ && keep_alive_ && answered_; }

 private:
  /// Writes at once what the socket takes: most callers read faster than runners write, and a wait
  /// costs turns of the loop and a timer.
  template <typename Buffers>
  asio::awaitable<bool> write_all(Buffers buffers) {
    boost::system::error_code error;
    const std::size_t written = write_at_once(stream_.socket(), buffers, error);
    if (error) co_return false;
    if (written == asio::buffer_size(buffers)) co_return true;
    beast::buffers_suffix<Buffers> rest(buffers);
    rest.consume(written);
    stream_.expires_after(limits_.write_timeout);
    const auto [rest_error, count] = co_await asio::async_write(stream_, rest, kNoThrow);
    co_return !rest_error;
  }
  [[nodiscard]] bool may_keep_alive() const { return request_.keep_alive() && !draining_; }

  beast::tcp_stream& stream_;
  http::request<http::string_body> request_;
  const HttpLimits& limits_;
  const std::atomic<bool>& draining_;
  DisconnectWatch& watch_;
  BodyFraming framing_ = BodyFraming::kChunked;
  bool healthy_ = true;
  bool keep_alive_ = false;
  bool answered_ = false;
};

/// Status for a request that could not be read; 0 closes the connection without an answer.
int status_of_read_error(const beast::error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  if (error == beast::error::timeout) return 408;
  if (error == http::error::end_of_stream || error == http::error::partial_message) return 0;
  if (error.category() == http::make_error_code(http::error::bad_method).category()) return 400;
  return 0;
}

asio::awaitable<void> refuse_unreadable(beast::tcp_stream& stream, int status) {
  http::response<http::string_body> response{static_cast<http::status>(status), 11};
  response.set(http::field::server, kServerName);
  response.set(http::field::content_type, "application/json");
  response.keep_alive(false);
  response.body() = R"({"error":{"code":100,"message":"the request could not be read",)"
                    R"("execution":"not_run","step":"parse","peer":""}})";
  response.prepare_payload();
  stream.expires_after(std::chrono::seconds(2));
  co_await http::async_write(stream, response, kNoThrow);
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::any_io_executor executor_in, HttpLimits limits_in, HttpHandler handler_in,
        LoopThreads threads_in)
      : executor(std::move(executor_in)),
        threads(threads_in),
        acceptor(connection_executor(executor, threads)),
        limits(limits_in),
        handler(std::move(handler_in)) {}

  asio::awaitable<void> accept_loop() {
    auto self = shared_from_this();
    while (!stopped) {
      const auto own_executor = connection_executor(executor, threads);
      auto [error, socket] = co_await acceptor.async_accept(own_executor, kNoThrow);
      if (error == asio::error::operation_aborted || stopped) co_return;
      if (error) {
        Timer pause(co_await asio::this_coro::executor, std::chrono::milliseconds(50));
        co_await pause.async_wait(kNoThrow);
        continue;
      }
      boost::system::error_code ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      socket.non_blocking(true, ignored);
      asio::co_spawn(own_executor, serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> serve(Tcp::socket socket) {
    auto self = shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    const auto watch = std::make_shared<DisconnectWatch>(stream.socket());
    co_await serve_requests(stream, *watch);
    watch->detach();
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  asio::awaitable<void> serve_requests(beast::tcp_stream& stream, DisconnectWatch& watch) {
    beast::flat_buffer buffer;
    while (!stopped) {
      const HttpLimits limits = current_limits();
      http::request_parser<http::string_body> parser;
      parser.header_limit(limits.header_bytes);
      parser.body_limit(limits.body_bytes);
      if (buffer.size() == 0) {
        stream.expires_after(limits.idle_timeout);
        auto mutable_bytes = buffer.prepare(limits.header_bytes);
        enter_idle(stream);
        const auto [idle_error, count] = co_await stream.async_read_some(mutable_bytes, kNoThrow);
        leave_idle(stream);
        if (idle_error) break;
        buffer.commit(count);
      }
      stream.expires_after(limits.header_timeout);
      auto [header_error, header_bytes] =
          co_await http::async_read_header(stream, buffer, parser, kNoThrow);
      beast::error_code error = header_error;
      if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed{http::status::continue_, 11};
        co_await http::async_write(stream, proceed, kNoThrow);
      }
      if (!error) {
        stream.expires_after(limits.body_timeout);
        const auto [body_error, body_bytes] =
            co_await http::async_read(stream, buffer, parser, kNoThrow);
        error = body_error;
      }
      if (error) {
        const int status = status_of_read_error(error);
        if (status != 0) co_await refuse_unreadable(stream, status);
        break;
      }
      stream.expires_never();
      Exchange exchange(stream, parser.release(), limits, draining, watch);
      co_await handler(exchange);
      if (!exchange.reusable()) break;
    }
  }

  HttpLimits current_limits() {
    const std::scoped_lock lock(mutex);
    return limits;
  }
  void enter_idle(beast::tcp_stream& stream) {
    const std::scoped_lock lock(mutex);
    idle.insert(&stream);
  }
  void leave_idle(beast::tcp_stream& stream) {
    const std::scoped_lock lock(mutex);
    idle.erase(&stream);
  }
  /// Each connection is closed on its own strand, and only if it is idle then.
  void close_idle() {
    const std::scoped_lock lock(mutex);
    for (beast::tcp_stream* stream : idle) {
      asio::post(stream->get_executor(), [self = shared_from_this(), stream] {
        const std::scoped_lock inner_lock(self->mutex);
        if (self->idle.contains(stream)) stream->close();
      });
    }
  }

  asio::any_io_executor executor;
  LoopThreads threads;
  Tcp::acceptor acceptor;
  HttpLimits limits;
  HttpHandler handler;
  std::atomic<bool> stopped{false};
  std::atomic<bool> draining{false};
  std::mutex mutex;  ///< Guards `limits` and `idle`; nothing else is locked while it is held.
  std::set<beast::tcp_stream*> idle;
};

HttpServer::HttpServer(asio::any_io_executor executor, const std::string& address,
                       HttpLimits limits, HttpHandler handler, LoopThreads threads)
    : state_(std::make_shared<State>(std::move(executor), limits, std::move(handler), threads)) {
  std::string host;
  std::uint16_t port = 0;
  boost::system::error_code error;
  if (!split_address(address, host, port)) {
    throw std::system_error(std::make_error_code(std::errc::invalid_argument),
                            "listen address " + address);
  }
  const Tcp::endpoint endpoint(asio::ip::make_address(host, error), port);
  if (!error) state_->acceptor.open(endpoint.protocol(), error);
  if (!error) state_->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) state_->acceptor.bind(endpoint, error);
  if (!error) state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) throw std::system_error(std::error_code(error), "listen address " + address);
}

HttpServer::~HttpServer() {
  stop();
}

void HttpServer::start() {
  asio::co_spawn(state_->acceptor.get_executor(), state_->accept_loop(), asio::detached);
}

void HttpServer::set_limits(const HttpLimits& limits) {
  const std::scoped_lock lock(state_->mutex);
  state_->limits = limits;
}

void HttpServer::start_drain() {
  state_->draining = true;
}

void HttpServer::close_idle() {
  state_->close_idle();
}

void HttpServer::stop() {
  if (state_->stopped.exchange(true)) return;
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
}

std::string HttpServer::address() const {
  boost::system::error_code ignored;
  const auto endpoint = state_->acceptor.local_endpoint(ignored);
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace stoathold
