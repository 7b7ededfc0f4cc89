#include "net/peer_transport.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <deque>
#include <mutex>
#include <system_error>
#include <unordered_map>

#include "base/timer.h"
#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kFrameHeaderBytes = 4;
constexpr std::size_t kReceivePieceBytes = 64UL * 1024;
constexpr std::size_t kQueuedBytesLimit = 64ULL * 1024 * 1024;
constexpr auto kConnectTimeout = std::chrono::milliseconds(800);
constexpr auto kReconnectDelay = std::chrono::milliseconds(200);

std::string make_frame(const std::string& body) {
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string frame;
  frame.reserve(kFrameHeaderBytes + body.size());
  for (unsigned shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>((size >> shift) & 0xffU));
  }
  frame += body;
  return frame;
}

std::uint32_t read_size(const std::array<unsigned char, kFrameHeaderBytes>& header) {
  std::uint32_t size = 0;
  for (std::size_t i = 0; i < header.size(); ++i) {
    size |= static_cast<std::uint32_t>(header[i]) << (8 * i);
  }
  return size;
}

}  // namespace

struct PeerTransport::State : std::enable_shared_from_this<PeerTransport::State> {
  /// An outgoing connection with its send queue. Its members are used on its strand only.
  struct Connection {
    explicit Connection(const asio::any_io_executor& executor) : strand(executor), socket(strand) {}
    asio::strand<asio::any_io_executor> strand;
    Tcp::socket socket;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    bool sending = false;
    bool connected = false;
    TimePoint retry_at;
  };

  State(asio::any_io_executor executor_in, Receiver receiver_in)
      : executor(std::move(executor_in)),
        acceptor(asio::make_strand(executor)),
        receiver(std::move(receiver_in)) {}

  std::shared_ptr<Connection> connection_to(const std::string& address) {
    const std::scoped_lock lock(mutex);
    auto& connection = connections[address];
    if (!connection) connection = std::make_shared<Connection>(executor);
    return connection;
  }

  void enqueue(const std::shared_ptr<Connection>& connection, const std::string& address,
               std::string frame) {
    if (connection->queued_bytes + frame.size() > kQueuedBytesLimit ||
        monotonic_now() < connection->retry_at) {
      ++dropped;
      return;
    }
    connection->queued_bytes += frame.size();
    connection->queue.push_back(std::move(frame));
    if (connection->sending) return;
    connection->sending = true;
    asio::co_spawn(connection->strand, send_queued(connection, address), asio::detached);
  }

  asio::awaitable<bool> connect(std::shared_ptr<Connection> connection, std::string address) {
    std::string host;
    std::uint16_t port = 0;
    boost::system::error_code error;
    if (!split_address(address, host, port)) co_return false;
    const Tcp::endpoint endpoint(asio::ip::make_address(host, error), port);
    if (error) co_return false;
    connection->socket = Tcp::socket(connection->strand);
    Timer timer(connection->strand, kConnectTimeout);
    timer.async_wait([connection](boost::system::error_code timer_error) {
      boost::system::error_code ignored;
      if (!timer_error && !connection->connected) connection->socket.close(ignored);
    });
    const auto [connect_error] = co_await connection->socket.async_connect(endpoint, kNoThrow);
    timer.cancel();
    if (connect_error) co_return false;
    boost::system::error_code ignored;
    connection->socket.set_option(Tcp::no_delay(true), ignored);
    connection->connected = true;
    asio::co_spawn(connection->strand, watch_for_close(connection), asio::detached);
    co_return true;
  }

  /// Detects that the peer has closed the connection. Peers send nothing on it, so any read that
  /// completes ends it.
  static asio::awaitable<void> watch_for_close(std::shared_ptr<Connection> connection) {
    std::array<char, 1> byte{};
    const auto [error, count] =
        co_await connection->socket.async_read_some(asio::buffer(byte), kNoThrow);
    if (error == asio::error::operation_aborted) co_return;
    boost::system::error_code ignored;
    connection->socket.close(ignored);
    connection->connected = false;
  }

  asio::awaitable<void> send_queued(std::shared_ptr<Connection> connection, std::string address) {
    const auto self = shared_from_this();
    while (!connection->queue.empty() && !stopped) {
      bool connected = connection->connected;
      if (!connected) connected = co_await connect(connection, address);
      if (!connected) {
        dropped += connection->queue.size();
        connection->queue.clear();
        connection->queued_bytes = 0;
        connection->retry_at = monotonic_now() + kReconnectDelay;
        break;
      }
      const std::string frame = std::move(connection->queue.front());
      connection->queue.pop_front();
      connection->queued_bytes -= frame.size();
      const auto [error, count] =
          co_await asio::async_write(connection->socket, asio::buffer(frame), kNoThrow);
      if (error) {
        boost::system::error_code ignored;
        connection->socket.close(ignored);
        connection->connected = false;
        ++dropped;
        continue;
      }
      ++messages_out;
      bytes_out += frame.size();
    }
    connection->sending = false;
  }

  asio::awaitable<void> accept_loop() {
    const auto self = shared_from_this();
    while (!stopped) {
      auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor), kNoThrow);
      if (error == asio::error::operation_aborted || stopped) co_return;
      if (error) {
        Timer retry_delay(acceptor.get_executor(), kReconnectDelay);
        co_await retry_delay.async_wait(kNoThrow);
        continue;
      }
      auto connection_executor = socket.get_executor();
      asio::co_spawn(connection_executor, receive(std::move(socket)), asio::detached);
    }
  }

  /// Receives the body of a frame in pieces, so that memory is taken only for bytes that arrive.
  static asio::awaitable<bool> receive_body(Tcp::socket& socket, std::size_t size,
                                            std::string& body) {
    body.clear();
    while (body.size() < size) {
      const std::size_t begin = body.size();
      const std::size_t piece = std::min(size - begin, kReceivePieceBytes);
      body.resize(begin + piece);
      const auto target = asio::buffer(body.data() + begin, piece);
      const auto [error, count] = co_await asio::async_read(socket, target, kNoThrow);
      if (error) co_return false;
    }
    co_return true;
  }

  asio::awaitable<void> receive(Tcp::socket socket) {
    const auto self = shared_from_this();
    std::array<unsigned char, kFrameHeaderBytes> header{};
    std::string body;
    while (!stopped) {
      const auto [header_error, header_count] =
          co_await asio::async_read(socket, asio::buffer(header), kNoThrow);
      if (header_error) co_return;
      const std::uint32_t size = read_size(header);
      if (size > kMaxPeerFrameBytes) co_return;
      const bool received = co_await receive_body(socket, size, body);
      if (!received) co_return;
      ++messages_in;
      bytes_in += kFrameHeaderBytes + size;
      PeerEnvelope envelope;
      if (!decode(body, envelope)) co_return;
      receiver(envelope);
      if (body.capacity() > kMaxPeerFrameBytes / 1024) std::string().swap(body);
    }
  }

  asio::any_io_executor executor;
  Tcp::acceptor acceptor;
  Receiver receiver;
  std::mutex mutex;
  std::unordered_map<std::string, std::shared_ptr<Connection>> connections;
  std::atomic<bool> stopped{false};
  std::atomic<std::uint64_t> messages_in{0};
  std::atomic<std::uint64_t> messages_out{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> dropped{0};
};

PeerTransport::PeerTransport(const asio::any_io_executor& executor, const std::string& address,
                             Receiver receiver)
    : state_(std::make_shared<State>(executor, std::move(receiver))) {
  std::string host;
  std::uint16_t port = 0;
  boost::system::error_code error;
  if (!split_address(address, host, port)) {
    throw std::system_error(std::make_error_code(std::errc::invalid_argument),
                            "peer address " + address);
  }
  const Tcp::endpoint endpoint(asio::ip::make_address(host, error), port);
  if (!error) state_->acceptor.open(endpoint.protocol(), error);
  if (!error) state_->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) state_->acceptor.bind(endpoint, error);
  if (!error) state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) throw std::system_error(std::error_code(error), "peer address " + address);
}

PeerTransport::~PeerTransport() {
  stop();
}

void PeerTransport::start() {
  asio::co_spawn(state_->acceptor.get_executor(), state_->accept_loop(), asio::detached);
}

void PeerTransport::stop() {
  if (state_->stopped.exchange(true)) return;
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
}

void PeerTransport::send(const std::string& address, const PeerEnvelope& envelope) {
  auto frame = make_frame(encode(envelope));
  const auto connection = state_->connection_to(address);
  asio::post(connection->strand,
             [state = state_, connection, address, frame = std::move(frame)]() mutable {
               state->enqueue(connection, address, std::move(frame));
             });
}

std::string PeerTransport::address() const {
  boost::system::error_code ignored;
  const auto endpoint = state_->acceptor.local_endpoint(ignored);
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

PeerTraffic PeerTransport::traffic() const {
  return {state_->messages_in, state_->messages_out, state_->bytes_in, state_->bytes_out,
          state_->dropped};
}

}  // namespace stoathold
