/// @file
/// One request on a server's connection and its answer. Include in implementation files only.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/answer_backlog.h"
#include "net/http.h"
#include "net/server_bounds.h"

namespace stoathold {

/// Sent as `Server` in each answer.
inline constexpr const char* kServerName = "stoathold";

/// Notices that the caller closes its connection while its request is handled. One per connection;
/// shared with the pending wait, which may outlive the request it was started for.
class DisconnectWatch : public std::enable_shared_from_this<DisconnectWatch> {
 public:
  explicit DisconnectWatch(boost::asio::ip::tcp::socket& socket) : socket_(&socket) {}

  void start(std::function<void()> on_disconnect);
  /// The request has ended: nothing is called any more.
  void forget() { on_disconnect_ = nullptr; }
  /// The connection's socket is about to go.
  void detach() {
    forget();
    socket_ = nullptr;
  }
  /// The connection has been closed from this side.
  void disconnected();

 private:
  void check();

  boost::asio::ip::tcp::socket* socket_;
  std::function<void()> on_disconnect_;
  bool waiting_ = false;
};

/// What all exchanges of a server share. Outlives them.
struct ExchangeSurroundings {
  const std::atomic<bool>& draining;
  const ServerBounds& bounds;
  ByteHolders& holders;
};

/// The exchange that a server hands to its handler.
class ServerExchange final : public HttpExchange {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  ServerExchange(boost::beast::tcp_stream& stream, Request request, const HttpLimits& limits,
                 const ExchangeSurroundings& surroundings, DisconnectWatch& watch)
      : stream_(stream),
        request_(std::move(request)),
        limits_(limits),
        surroundings_(surroundings),
        watch_(watch) {}
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  [[nodiscard]] std::string_view method() const override;
  [[nodiscard]] std::string_view target() const override;
  [[nodiscard]] std::string_view header(std::string_view name) const override;
  [[nodiscard]] std::vector<HttpHeader> headers() const override;
  [[nodiscard]] const std::string& body() const override { return request_.body(); }
  [[nodiscard]] boost::asio::any_io_executor executor() const override;

  boost::asio::awaitable<void> respond(int status, std::string_view content_type, std::string body,
                                       std::vector<HttpHeader> headers) override;
  boost::asio::awaitable<bool> start_stream(std::string_view content_type) override;
  boost::asio::awaitable<bool> start_response(const ResponseHead& head) override;
  boost::asio::awaitable<bool> write(std::string_view bytes) override;
  boost::asio::awaitable<bool> write_ahead(std::string_view bytes) override;
  boost::asio::awaitable<bool> flush() override;
  boost::asio::awaitable<bool> finish_stream() override;
  void abort() override;
  void watch_disconnect(std::function<void()> on_disconnect) override;

  [[nodiscard]] bool reusable() const { return healthy_ && keep_alive_ && answered_; }

 private:
  bool send_piece(std::string_view bytes);
  template <typename Buffers>
  bool send(const Buffers& buffers);
  template <typename Buffers>
  void keep_rest(const Buffers& buffers, std::size_t written);
  boost::asio::awaitable<bool> drain();
  [[nodiscard]] std::size_t read_ahead_bytes() const;
  [[nodiscard]] bool may_keep_alive() const {
    return request_.keep_alive() && !surroundings_.draining;
  }

  boost::beast::tcp_stream& stream_;
  Request request_;
  const HttpLimits& limits_;
  const ExchangeSurroundings& surroundings_;
  DisconnectWatch& watch_;
  std::shared_ptr<AnswerBacklog> backlog_;  ///< Null while the socket has taken everything.
  BodyFraming framing_ = BodyFraming::kChunked;
  bool healthy_ = true;
  bool keep_alive_ = false;
  bool answered_ = false;
};

}  // namespace stoathold
