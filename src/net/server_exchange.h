/// @file
/// One request on a server's connection and its response. Include in implementation files only.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "net/response_write_buffer.h"
#include "net/server_resource_limits.h"

namespace stoathold {

/// Value of the `Server` header of each response.
inline constexpr const char* kServerName = "stoathold";

/// Detects that the client closes its connection while its request is handled. One per connection;
/// shared with the pending socket wait, which may outlive the request for which it was started.
class DisconnectWatch : public std::enable_shared_from_this<DisconnectWatch> {
 public:
  explicit DisconnectWatch(boost::asio::ip::tcp::socket& socket) : socket_(&socket) {}

  void start(std::function<void()> on_disconnect);
  /// Clears the callback when the request has ended.
  void clear_callback() { on_disconnect_ = nullptr; }
  /// Must be called before the connection's socket is destroyed.
  void detach() {
    clear_callback();
    socket_ = nullptr;
  }
  /// Calls the callback after the connection was closed from this side.
  void disconnected();

 private:
  void check();

  boost::asio::ip::tcp::socket* socket_;
  std::function<void()> on_disconnect_;
  bool waiting_ = false;
};

/// State shared by all exchanges of a server; outlives them.
struct ExchangeContext {
  const std::atomic<bool>& draining;
  const ServerResourceLimits& resource_limits;
  ReclaimableBufferRegistry& buffer_registry;
};

/// The `HttpExchange` that a server passes to its handler.
class ServerExchange final : public HttpExchange {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  ServerExchange(boost::beast::tcp_stream& stream, Request request, const HttpLimits& limits,
                 const ExchangeContext& exchange_context, DisconnectWatch& watch)
      : stream_(stream),
        request_(std::move(request)),
        limits_(limits),
        context_(exchange_context),
        watch_(watch) {}
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  [[nodiscard]] std::string_view method() const override;
  [[nodiscard]] std::string_view target() const override;
  [[nodiscard]] std::string_view header(std::string_view name) const override;
  [[nodiscard]] std::vector<HttpHeader> headers() const override;
  [[nodiscard]] const std::string& body() const override { return request_.body(); }
  [[nodiscard]] bool accepts_chunks() const override {
    constexpr unsigned kHttp11 = 11;
    return request_.version() >= kHttp11 && request_.method() != boost::beast::http::verb::head;
  }
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
  bool send_body_part(std::string_view bytes);
  template <typename Buffers>
  bool send(const Buffers& buffers);
  template <typename Buffers>
  void buffer_remainder(const Buffers& buffers, std::size_t written);
  boost::asio::awaitable<bool> drain();
  [[nodiscard]] std::size_t read_ahead_bytes() const;
  [[nodiscard]] bool may_keep_alive() const { return request_.keep_alive() && !context_.draining; }

  boost::beast::tcp_stream& stream_;
  Request request_;
  const HttpLimits& limits_;
  const ExchangeContext& context_;
  DisconnectWatch& watch_;
  std::shared_ptr<ResponseWriteBuffer> write_buffer_;  ///< Null until a write is incomplete.
  BodyFraming framing_ = BodyFraming::kChunked;
  bool healthy_ = true;
  bool keep_alive_ = false;
  bool answered_ = false;
};

}  // namespace stoathold
