#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <mutex>
#include <system_error>

#include "base/scoped_count.h"
#include "base/timer.h"
#include "net/beast_helpers.h"
#include "net/client_connections.h"
#include "net/http.h"
#include "net/message_framing.h"
#include "net/request_reader.h"
#include "net/server_exchange.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Read buffers larger than this are shrunk between two requests.
constexpr std::size_t kMaxRetainedBufferBytes = 32UL * 1024;
/// Send buffer of a connection on a server with a memory limit (the kernel doubles the value). With
/// autotuning it grows to several MB for each client that does not read. This size sustains 60 MB/s
/// at a round-trip time of 2 ms.
constexpr int kSendBufferBytes = 64 * 1024;
/// Connections above the limit that are answered with 503 at the same time; further ones are closed
/// unread. A server with a low limit answers half as many as it serves.
constexpr std::size_t kMaxConcurrentRejections = 64;
/// Time to wait for the first byte of a request that will be rejected.
constexpr Duration kRejectionReadTimeout = std::chrono::seconds(1);
constexpr int kUnavailableStatus = 503;
/// Bytes of an IPv6 address that identify a client: a /64 prefix, which is what one subscriber
/// usually has.
constexpr std::size_t kIpv6PrefixBytes = 8;
constexpr std::string_view kConnectionLimitMessage =
    "this node has no connection left for the request now";

/// Returns whether the buffer contains a complete request head.
bool has_complete_head(const beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  return text.find("\r\n\r\n") != std::string_view::npos;
}

ClientAddress client_address_of(const Tcp::socket& socket) {
  boost::system::error_code error;
  const asio::ip::address address = socket.remote_endpoint(error).address();
  if (error) return 0;
  if (address.is_v4()) return address.to_v4().to_uint();
  const auto bytes = address.to_v6().to_bytes();
  ClientAddress network = 0;
  for (std::size_t i = 0; i < kIpv6PrefixBytes; ++i) network = network << 8U | bytes[i];
  return network;
}

}  // namespace

std::string_view to_string(OverloadAction act) {
  switch (act) {
    case OverloadAction::kBodyRefused:
      return "body_refused";
    case OverloadAction::kBodyAborted:
      return "body_cut_off";
    case OverloadAction::kResponseAborted:
      return "answer_cut_off";
    case OverloadAction::kIdleClosed:
      return "idle_closed";
    case OverloadAction::kConnectionRefused:
      return "connection_refused";
    case OverloadAction::kConnectionClosed:
      break;
  }
  return "connection_closed";
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  /// Decision about a new connection.
  enum class Admission : std::uint8_t {
    kServed,
    kRefused,  ///< Answered with 503.
    kClosed,   ///< Closed without reading.
  };
  /// A connection that waits for a request or for the rest of a request head.
  struct IdleConnection {
    beast::tcp_stream* stream = nullptr;
    ClientAddress client = 0;
    bool head_started = false;  ///< Whether a part of a head was received.
  };

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
        Timer retry_delay(co_await asio::this_coro::executor, std::chrono::milliseconds(50));
        co_await retry_delay.async_wait(kNoThrow);
        continue;
      }
      boost::system::error_code ignored;
      const ClientAddress client = client_address_of(socket);
      const Admission admission = admit_connection(client);
      if (admission == Admission::kClosed) {
        socket.close(ignored);
        continue;
      }
      socket.set_option(Tcp::no_delay(true), ignored);
      if (resource_limits.limited()) {
        socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
      }
      socket.non_blocking(true, ignored);
      if (admission == Admission::kServed) {
        asio::co_spawn(own_executor, serve(std::move(socket), client), asio::detached);
      } else {
        asio::co_spawn(own_executor, reject(std::move(socket)), asio::detached);
      }
    }
  }

  /// Admits and counts a new connection. At the limit of connections or memory, closes an idle
  /// connection for it, or else reclaims the buffer of a stalled client.
  Admission admit_connection(ClientAddress client) {
    const std::scoped_lock lock(mutex);
    const bool below_connection_limit = resource_limits.max_client_connections == 0 ||
                                        open_connections < resource_limits.max_client_connections;
    const bool memory_available =
        !resource_limits.limited() ||
        resource_limits.budget->fits(MemoryAccount::kConnections, kConnectionOverheadBytes);
    const bool admitted = (below_connection_limit && memory_available) ||
                          evict_idle_connection(client) ||
                          buffer_registry.reclaim_slowest(monotonic_now());
    if (admitted) {
      ++open_connections;
      connections.add_connection(client);
      return Admission::kServed;
    }
    if (resource_limits.limited())
      resource_limits.budget->count_refusal(MemoryAccount::kConnections);
    const bool rejected = open_rejections < max_rejections();
    resource_limits.report({.action = rejected ? OverloadAction::kConnectionRefused
                                               : OverloadAction::kConnectionClosed,
                            .status = rejected ? kUnavailableStatus : 0,
                            .bytes = kConnectionOverheadBytes});
    if (rejected) ++open_rejections;
    return rejected ? Admission::kRefused : Admission::kClosed;
  }

  [[nodiscard]] std::size_t max_rejections() const {
    const std::size_t served = resource_limits.max_client_connections;
    if (served == 0) return kMaxConcurrentRejections;
    return std::clamp<std::size_t>(served / 2, 1, kMaxConcurrentRejections);
  }

  /// Answers the first request of a connection with 503 and `Retry-After`, whatever it is.
  asio::awaitable<void> reject(Tcp::socket socket) {
    auto self = shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    const HttpLimits limits = current_limits();
    RequestReader reader(stream, buffer, limits, resource_limits, buffer_registry);
    stream.expires_after(kRejectionReadTimeout);
    const auto first_bytes = buffer.prepare(1);
    const auto [error, count] = co_await stream.async_read_some(first_bytes, kNoThrow);
    const RequestReadResult result{false, kUnavailableStatus, kConnectionLimitMessage};
    if (!error) co_await reader.reject(result);
    const std::scoped_lock lock(mutex);
    --open_rejections;
  }

  asio::awaitable<void> serve(Tcp::socket socket, ClientAddress client) {
    auto self = shared_from_this();
    MemoryReservation reservation;
    if (resource_limits.limited()) {
      reservation =
          resource_limits.budget->charge(MemoryAccount::kConnections, kConnectionOverheadBytes);
    }
    beast::tcp_stream stream(std::move(socket));
    const auto watch = std::make_shared<DisconnectWatch>(stream.socket());
    co_await serve_requests(stream, *watch, client);
    watch->detach();
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    const std::scoped_lock lock(mutex);
    --open_connections;
    connections.remove_connection(client);
  }

  asio::awaitable<void> serve_requests(beast::tcp_stream& stream, DisconnectWatch& watch,
                                       ClientAddress client) {
    beast::flat_buffer buffer;
    while (!stopped) {
      const HttpLimits limits = current_limits();
      buffer.max_size(std::max(buffer.size(), max_receive_buffer_bytes(limits.header_bytes)));
      if (buffer.size() == 0) {
        if (buffer.capacity() > kMaxRetainedBufferBytes) buffer.shrink_to_fit();
        const bool request_started = co_await await_request(stream, buffer, limits, client);
        if (!request_started) break;
      }
      RequestReader reader(stream, buffer, limits, resource_limits, buffer_registry);
      const bool head_incomplete = !has_complete_head(buffer);
      const std::uint64_t sequence = head_incomplete ? mark_idle(stream, client, true) : 0;
      RequestReadResult result = co_await reader.read_head();
      if (head_incomplete) mark_busy(sequence, client);
      const ScopedCount in_progress(requests_in_progress);
      if (result.complete) result = co_await reader.read_body();
      if (!result.complete) {
        if (result.status != 0) co_await reader.reject(result);
        break;
      }
      stream.expires_never();
      const RequestReader::Reservations reservations = reader.take_reservations();
      ServerExchange exchange(stream, reader.release(), limits, exchange_context, watch);
      co_await handler(exchange);
      if (!exchange.reusable()) break;
    }
  }

  /// Waits for the first bytes of a request. @return false if none arrived.
  asio::awaitable<bool> await_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                      const HttpLimits& limits, ClientAddress client) {
    stream.expires_after(limits.idle_timeout);
    const auto mutable_bytes = buffer.prepare(limits.header_bytes);
    const std::uint64_t sequence = mark_idle(stream, client, false);
    const auto [error, count] = co_await stream.async_read_some(mutable_bytes, kNoThrow);
    mark_busy(sequence, client);
    buffer.commit(count);
    co_return !error;
  }

  HttpLimits current_limits() {
    const std::scoped_lock lock(mutex);
    return limits;
  }
  /// Marks a connection as idle. @return its idle sequence number; these numbers increase.
  std::uint64_t mark_idle(beast::tcp_stream& stream, ClientAddress client, bool head_started) {
    const std::scoped_lock lock(mutex);
    const std::uint64_t sequence = connections.mark_idle(client, monotonic_now());
    idle.emplace(sequence, IdleConnection{&stream, client, head_started});
    return sequence;
  }
  void mark_busy(std::uint64_t sequence, ClientAddress client) {
    const std::scoped_lock lock(mutex);
    connections.mark_busy(client, sequence);
    idle.erase(sequence);
  }
  /// Closes a connection on its own strand if it is still idle then. Requires `mutex`.
  void close_idle_connections(std::uint64_t sequence, const IdleConnection& connection) {
    connections.mark_busy(connection.client, sequence);
    asio::post(connection.stream->get_executor(), [self = shared_from_this(), sequence] {
      const std::scoped_lock lock(self->mutex);
      const auto found = self->idle.find(sequence);
      if (found != self->idle.end()) found->second.stream->close();
    });
  }
  void close_all_idle() {
    const std::scoped_lock lock(mutex);
    for (const auto& [sequence, connection] : idle) {
      if (!connection.head_started) close_idle_connections(sequence, connection);
    }
  }
  /// Closes an idle connection in favour of a new client. Requires `mutex`.
  /// @return false if no connection may be closed.
  bool evict_idle_connection(ClientAddress new_client) {
    const TimePoint now = monotonic_now();
    const auto candidate = connections.select_eviction_candidate(new_client, now);
    if (!candidate) return false;
    close_idle_connections(candidate->sequence, idle.at(candidate->sequence));
    const Duration idle_time = now - candidate->idle_since;
    resource_limits.report(
        {.action = OverloadAction::kIdleClosed, .held_for = idle_time, .stalled = idle_time});
    return true;
  }

  asio::any_io_executor executor;
  LoopThreads threads;
  Tcp::acceptor acceptor;
  HttpLimits limits;
  HttpHandler handler;
  std::atomic<bool> stopped{false};
  std::atomic<bool> draining{false};
  std::atomic<std::size_t> requests_in_progress{0};
  ServerResourceLimits resource_limits;       ///< Set before `start`.
  ReclaimableBufferRegistry buffer_registry;  ///< Empty without a memory limit.
  ExchangeContext exchange_context{draining, resource_limits, buffer_registry};
  /// Guards `limits` and the members below. No other mutex is locked while it is held.
  std::mutex mutex;
  std::map<std::uint64_t, IdleConnection> idle;  ///< By sequence number, longest idle first.
  ClientConnections connections;
  std::size_t open_connections = 0;
  std::size_t open_rejections = 0;
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

void HttpServer::set_resource_limits(ServerResourceLimits resource_limits) {
  state_->resource_limits = std::move(resource_limits);
  if (!state_->resource_limits.limited()) return;
  state_->resource_limits.budget->add_reclaimer([weak = std::weak_ptr<State>(state_)] {
    const auto state = weak.lock();
    return state && state->buffer_registry.reclaim_slowest(monotonic_now());
  });
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

std::size_t HttpServer::open_requests() const {
  return state_->requests_in_progress;
}

void HttpServer::close_idle_connections() {
  state_->close_all_idle();
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
