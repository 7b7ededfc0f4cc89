#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <mutex>
#include <system_error>

#include "base/timer.h"
#include "net/beast_helpers.h"
#include "net/caller_connections.h"
#include "net/http.h"
#include "net/request_reader.h"
#include "net/server_exchange.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// A read buffer beyond this is given back between two requests.
constexpr std::size_t kKeptBufferBytes = 32UL * 1024;
/// Of a connection's send buffer, on servers with a limit of memory (the kernel doubles it): left
/// to itself it grows to some MB for each caller who does not read. One of this size carries 60 MB
/// a second over 2 ms.
constexpr int kSendBufferBytes = 64 * 1024;
/// Connections beyond the bound that are answered at a time; further ones are closed unread.
constexpr std::size_t kMostRefusals = 64;
/// Time for the first byte of a request that is refused whatever it is.
constexpr Duration kRefusalTime = std::chrono::seconds(1);
constexpr int kUnavailableStatus = 503;
/// Of an IPv6 address: what one subscriber usually has.
constexpr std::size_t kNetworkBytes = 8;
constexpr std::string_view kNoConnection = "this node has no connection left for the request now";

/// Whether a whole head of a request has come.
bool holds_head(const beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  return text.find("\r\n\r\n") != std::string_view::npos;
}

CallerAddress address_of(const Tcp::socket& socket) {
  boost::system::error_code error;
  const asio::ip::address address = socket.remote_endpoint(error).address();
  if (error) return 0;
  if (address.is_v4()) return address.to_v4().to_uint();
  const auto bytes = address.to_v6().to_bytes();
  CallerAddress network = 0;
  for (std::size_t i = 0; i < kNetworkBytes; ++i) network = network << 8U | bytes[i];
  return network;
}

}  // namespace

std::string_view to_string(ShortageAct act) {
  switch (act) {
    case ShortageAct::kBodyRefused:
      return "body_refused";
    case ShortageAct::kBodyCutOff:
      return "body_cut_off";
    case ShortageAct::kAnswerCutOff:
      return "answer_cut_off";
    case ShortageAct::kIdleClosed:
      return "idle_closed";
    case ShortageAct::kConnectionRefused:
      return "connection_refused";
    case ShortageAct::kConnectionClosed:
      break;
  }
  return "connection_closed";
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  /// What becomes of a new connection.
  enum class Admission : std::uint8_t {
    kServed,
    kRefused,  ///< Answered with 503.
    kClosed,   ///< Unread.
  };
  /// A connection that waits for a request, or for the rest of its head.
  struct IdleConnection {
    beast::tcp_stream* stream = nullptr;
    CallerAddress caller = 0;
    bool begun = false;  ///< A part of a head has come.
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
        Timer pause(co_await asio::this_coro::executor, std::chrono::milliseconds(50));
        co_await pause.async_wait(kNoThrow);
        continue;
      }
      boost::system::error_code ignored;
      const CallerAddress caller = address_of(socket);
      const Admission admission = admit_connection(caller);
      if (admission == Admission::kClosed) {
        socket.close(ignored);
        continue;
      }
      socket.set_option(Tcp::no_delay(true), ignored);
      if (bounds.limited()) {
        socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
      }
      socket.non_blocking(true, ignored);
      if (admission == Admission::kServed) {
        asio::co_spawn(own_executor, serve(std::move(socket), caller), asio::detached);
      } else {
        asio::co_spawn(own_executor, refuse(std::move(socket)), asio::detached);
      }
    }
  }

  /// Counts a new connection in. At the bound, one that is idle goes for it, or else a caller that
  /// does not go on.
  Admission admit_connection(CallerAddress caller) {
    const std::scoped_lock lock(mutex);
    const bool few = bounds.most_connections == 0 || open_connections < bounds.most_connections;
    const bool fits =
        !bounds.limited() || bounds.budget->has_room(MemoryAccount::kConnections, kConnectionBytes);
    const bool admitted =
        (few && fits) || close_idle_for(caller) || holders.cut_off_slowest(monotonic_now());
    if (admitted) {
      ++open_connections;
      connections.opened(caller);
      return Admission::kServed;
    }
    if (bounds.limited()) bounds.budget->count_refusal(MemoryAccount::kConnections);
    const bool refused = open_refusals < kMostRefusals;
    bounds.tell({.act = refused ? ShortageAct::kConnectionRefused : ShortageAct::kConnectionClosed,
                 .status = refused ? kUnavailableStatus : 0,
                 .bytes = kConnectionBytes});
    if (refused) ++open_refusals;
    return refused ? Admission::kRefused : Admission::kClosed;
  }

  /// Tells a caller to come back, whatever it asks for.
  asio::awaitable<void> refuse(Tcp::socket socket) {
    auto self = shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    const HttpLimits limits = current_limits();
    RequestReader reader(stream, buffer, limits, bounds, holders);
    stream.expires_after(kRefusalTime);
    const auto first_bytes = buffer.prepare(1);
    const auto [error, count] = co_await stream.async_read_some(first_bytes, kNoThrow);
    const ReadOutcome outcome{false, kUnavailableStatus, kNoConnection};
    if (!error) co_await reader.refuse(outcome);
    const std::scoped_lock lock(mutex);
    --open_refusals;
  }

  asio::awaitable<void> serve(Tcp::socket socket, CallerAddress caller) {
    auto self = shared_from_this();
    MemoryReservation reservation;
    if (bounds.limited()) {
      reservation = bounds.budget->charge(MemoryAccount::kConnections, kConnectionBytes);
    }
    beast::tcp_stream stream(std::move(socket));
    const auto watch = std::make_shared<DisconnectWatch>(stream.socket());
    co_await serve_requests(stream, *watch, caller);
    watch->detach();
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    const std::scoped_lock lock(mutex);
    --open_connections;
    connections.closed(caller);
  }

  asio::awaitable<void> serve_requests(beast::tcp_stream& stream, DisconnectWatch& watch,
                                       CallerAddress caller) {
    beast::flat_buffer buffer;
    while (!stopped) {
      const HttpLimits limits = current_limits();
      if (buffer.size() == 0) {
        if (buffer.capacity() > kKeptBufferBytes) buffer.shrink_to_fit();
        const bool begun = co_await await_request(stream, buffer, limits, caller);
        if (!begun) break;
      }
      RequestReader reader(stream, buffer, limits, bounds, holders);
      const bool trickles = !holds_head(buffer);
      const std::uint64_t turn = trickles ? enter_idle(stream, caller, true) : 0;
      ReadOutcome outcome = co_await reader.read_head();
      if (trickles) leave_idle(turn, caller);
      if (outcome.whole) outcome = co_await reader.read_body();
      if (!outcome.whole) {
        if (outcome.status != 0) co_await reader.refuse(outcome);
        break;
      }
      stream.expires_never();
      const MemoryReservation body = reader.take_reservation();
      ServerExchange exchange(stream, reader.release(), limits, surroundings, watch);
      co_await handler(exchange);
      if (!exchange.reusable()) break;
    }
  }

  /// Waits for the first bytes of a request. @return false if none came.
  asio::awaitable<bool> await_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                      const HttpLimits& limits, CallerAddress caller) {
    stream.expires_after(limits.idle_timeout);
    const auto mutable_bytes = buffer.prepare(limits.header_bytes);
    const std::uint64_t turn = enter_idle(stream, caller, false);
    const auto [error, count] = co_await stream.async_read_some(mutable_bytes, kNoThrow);
    leave_idle(turn, caller);
    buffer.commit(count);
    co_return !error;
  }

  HttpLimits current_limits() {
    const std::scoped_lock lock(mutex);
    return limits;
  }
  /// @return the connection's turn among the idle ones, which rises with time.
  std::uint64_t enter_idle(beast::tcp_stream& stream, CallerAddress caller, bool begun) {
    const std::scoped_lock lock(mutex);
    const std::uint64_t turn = connections.enter_idle(caller, monotonic_now());
    idle.emplace(turn, IdleConnection{&stream, caller, begun});
    return turn;
  }
  void leave_idle(std::uint64_t turn, CallerAddress caller) {
    const std::scoped_lock lock(mutex);
    connections.leave_idle(caller, turn);
    idle.erase(turn);
  }
  /// A connection is closed on its own strand, and only if it is idle then. The lock is held.
  void close_idle(std::uint64_t turn, const IdleConnection& connection) {
    connections.leave_idle(connection.caller, turn);
    asio::post(connection.stream->get_executor(), [self = shared_from_this(), turn] {
      const std::scoped_lock lock(self->mutex);
      const auto found = self->idle.find(turn);
      if (found != self->idle.end()) found->second.stream->close();
    });
  }
  void close_all_idle() {
    const std::scoped_lock lock(mutex);
    for (const auto& [turn, connection] : idle) {
      if (!connection.begun) close_idle(turn, connection);
    }
  }
  /// Closes a connection for that of a newcomer. The lock is held. @return false if none may go.
  bool close_idle_for(CallerAddress newcomer) {
    const TimePoint now = monotonic_now();
    const auto choice = connections.choose_for(newcomer, now);
    if (!choice) return false;
    close_idle(choice->turn, idle.at(choice->turn));
    const Duration idle_time = now - choice->since;
    bounds.tell({.act = ShortageAct::kIdleClosed, .age = idle_time, .stalled = idle_time});
    return true;
  }

  asio::any_io_executor executor;
  LoopThreads threads;
  Tcp::acceptor acceptor;
  HttpLimits limits;
  HttpHandler handler;
  std::atomic<bool> stopped{false};
  std::atomic<bool> draining{false};
  ServerBounds bounds;  ///< Set before the start.
  ByteHolders holders;  ///< With bounds only.
  ExchangeSurroundings surroundings{draining, bounds, holders};
  /// Guards what follows, and `limits`; nothing else is locked while it is held.
  std::mutex mutex;
  std::map<std::uint64_t, IdleConnection> idle;  ///< By turn: the oldest first.
  CallerConnections connections;
  std::size_t open_connections = 0;
  std::size_t open_refusals = 0;
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

void HttpServer::set_bounds(ServerBounds bounds) {
  state_->bounds = std::move(bounds);
  if (!state_->bounds.limited()) return;
  state_->bounds.budget->set_reclaimer([weak = std::weak_ptr<State>(state_)] {
    const auto state = weak.lock();
    return state && state->holders.cut_off_slowest(monotonic_now());
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

void HttpServer::close_idle() {
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
