#include "net/peer_transport.h"

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
constexpr std::size_t kQueuedBytesLimit = 64ULL * 1024 * 1024;
constexpr auto kConnectTimeout = std::chrono::milliseconds(800);
constexpr auto kReconnectPause = std::chrono::milliseconds(200);

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
  /// One outgoing connection. Its fields are used on its strand only.
  struct Link {
    explicit Link(const asio::any_io_executor& executor) : strand(executor), socket(strand) {}
    asio::strand<asio::any_io_executor> strand;
    Tcp::socket socket;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    bool running = false;
    bool connected = false;
    TimePoint retry_at;
  };

  State(asio::any_io_executor executor_in, Receiver receiver_in)
      : executor(std::move(executor_in)),
        acceptor(asio::make_strand(executor)),
        receiver(std::move(receiver_in)) {}

  std::shared_ptr<Link> link_to(const std::string& address) {
    const std::scoped_lock lock(mutex);
    auto& link = links[address];
    if (!link) link = std::make_shared<Link>(executor);
    return link;
  }

  void enqueue(const std::shared_ptr<Link>& link, const std::string& address, std::string frame) {
    if (link->queued_bytes + frame.size() > kQueuedBytesLimit || monotonic_now() < link->retry_at) {
      ++dropped;
      return;
    }
    link->queued_bytes += frame.size();
    link->queue.push_back(std::move(frame));
    if (link->running) return;
    link->running = true;
    asio::co_spawn(link->strand, drain(link, address), asio::detached);
  }

  asio::awaitable<bool> connect(std::shared_ptr<Link> link, std::string address) {
    std::string host;
    std::uint16_t port = 0;
    boost::system::error_code error;
    if (!split_address(address, host, port)) co_return false;
    const Tcp::endpoint endpoint(asio::ip::make_address(host, error), port);
    if (error) co_return false;
    link->socket = Tcp::socket(link->strand);
    Timer timer(link->strand, kConnectTimeout);
    timer.async_wait([link](boost::system::error_code timer_error) {
      boost::system::error_code ignored;
      if (!timer_error && !link->connected) link->socket.close(ignored);
    });
    const auto [connect_error] = co_await link->socket.async_connect(endpoint, kNoThrow);
    timer.cancel();
    if (connect_error) co_return false;
    boost::system::error_code ignored;
    link->socket.set_option(Tcp::no_delay(true), ignored);
    link->connected = true;
    asio::co_spawn(link->strand, watch(link), asio::detached);
    co_return true;
  }

  /// Notices that the peer closed the connection, which carries nothing towards this side.
  static asio::awaitable<void> watch(std::shared_ptr<Link> link) {
    std::array<char, 1> byte{};
    const auto [error, count] = co_await link->socket.async_read_some(asio::buffer(byte), kNoThrow);
    if (error == asio::error::operation_aborted) co_return;
    boost::system::error_code ignored;
    link->socket.close(ignored);
    link->connected = false;
  }

  asio::awaitable<void> drain(std::shared_ptr<Link> link, std::string address) {
    const auto self = shared_from_this();
    while (!link->queue.empty() && !stopped) {
      bool connected = link->connected;
      if (!connected) connected = co_await connect(link, address);
      if (!connected) {
        dropped += link->queue.size();
        link->queue.clear();
        link->queued_bytes = 0;
        link->retry_at = monotonic_now() + kReconnectPause;
        break;
      }
      const std::string frame = std::move(link->queue.front());
      link->queue.pop_front();
      link->queued_bytes -= frame.size();
      const auto [error, count] =
          co_await asio::async_write(link->socket, asio::buffer(frame), kNoThrow);
      if (error) {
        boost::system::error_code ignored;
        link->socket.close(ignored);
        link->connected = false;
        ++dropped;
        continue;
      }
      ++messages_out;
      bytes_out += frame.size();
    }
    link->running = false;
  }

  asio::awaitable<void> accept_loop() {
    const auto self = shared_from_this();
    while (!stopped) {
      auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor), kNoThrow);
      if (error == asio::error::operation_aborted || stopped) co_return;
      if (error) {
        Timer pause(acceptor.get_executor(), kReconnectPause);
        co_await pause.async_wait(kNoThrow);
        continue;
      }
      auto connection_executor = socket.get_executor();
      asio::co_spawn(connection_executor, receive(std::move(socket)), asio::detached);
    }
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
      body.resize(size);
      const auto [body_error, body_count] =
          co_await asio::async_read(socket, asio::buffer(body), kNoThrow);
      if (body_error) co_return;
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
  std::unordered_map<std::string, std::shared_ptr<Link>> links;
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
  const auto link = state_->link_to(address);
  asio::post(link->strand, [state = state_, link, address, frame = std::move(frame)]() mutable {
    state->enqueue(link, address, std::move(frame));
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
