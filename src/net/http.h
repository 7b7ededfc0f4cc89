/// @file
/// HTTP/1.1 server and client on Boost.Asio coroutines. Boost.Beast is used in the .cc files only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/server_resource_limits.h"

namespace stoathold {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Returns whether two header names are equal, ignoring case.
bool same_header_name(std::string_view left, std::string_view right);
/// Returns the value of a header, or an empty view if it is missing.
std::string_view find_header(const std::vector<HttpHeader>& headers, std::string_view name);

/// Limits on the size and duration of requests and responses.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  Duration header_timeout =
      std::chrono::seconds(10);  ///< For the complete header, from its first byte.
  Duration body_timeout = std::chrono::seconds(30);   ///< For the complete body.
  Duration idle_timeout = std::chrono::seconds(75);   ///< Between two requests.
  Duration write_timeout = std::chrono::seconds(30);  ///< For one write to a slow client.
};

/// How the end of a response body is marked.
enum class BodyFraming : std::uint8_t {
  kChunked,     ///< Chunked transfer encoding, ended by an empty chunk.
  kLength,      ///< `Content-Length`.
  kUntilClose,  ///< Closing the connection; an aborted body resets it instead.
};

/// The head of a response whose body is written in parts.
struct ResponseHead {
  int status = 200;
  std::vector<HttpHeader> headers;  ///< Without `Content-Length` and `Transfer-Encoding`.
  BodyFraming framing = BodyFraming::kChunked;
  std::uint64_t length = 0;  ///< Body size in bytes, used with `kLength`.
};

/// A request on a connection, with the operations to respond to it.
///
/// Lives as long as its handler's coroutine; used on the connection's strand only. A handler calls
/// either `respond` once, or `start_stream` or `start_response`, then `write` any number of times,
/// then `finish_stream`.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual std::string_view method() const = 0;
  [[nodiscard]] virtual std::string_view target() const = 0;
  /// Returns the value of a header, or an empty view if it is missing.
  [[nodiscard]] virtual std::string_view header(std::string_view name) const = 0;
  /// Returns all header fields in their order.
  [[nodiscard]] virtual std::vector<HttpHeader> headers() const = 0;
  [[nodiscard]] virtual const std::string& body() const = 0;
  /// Returns whether the response may be sent in chunks: not to HTTP/1.0 clients, nor to HEAD.
  [[nodiscard]] virtual bool accepts_chunks() const = 0;
  [[nodiscard]] virtual boost::asio::any_io_executor executor() const = 0;

  /// Sends a complete response; a failed write closes the connection.
  virtual boost::asio::awaitable<void> respond(int status, std::string_view content_type,
                                               std::string body,
                                               std::vector<HttpHeader> headers = {}) = 0;
  /// Sends the head of a chunked response. Returns false if the client has disconnected.
  virtual boost::asio::awaitable<bool> start_stream(std::string_view content_type) = 0;
  /// Sends the head of a response. Returns false if the client has disconnected.
  virtual boost::asio::awaitable<bool> start_response(const ResponseHead& head) = 0;
  /// Sends a part of the body and waits until it is written to the socket. Returns false if the
  /// client has disconnected.
  virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
  /// Like `write`, but returns while a bounded number of bytes is still buffered for the client; on
  /// a server without a memory limit it waits as `write` does.
  virtual boost::asio::awaitable<bool> write_ahead(std::string_view bytes) = 0;
  /// Waits until all buffered bytes are written to the socket. Returns false if the client has
  /// disconnected.
  virtual boost::asio::awaitable<bool> flush() = 0;
  /// Ends a response that was started, after all its buffered bytes. Returns false if the client
  /// has disconnected.
  virtual boost::asio::awaitable<bool> finish_stream() = 0;
  /// Closes the connection without ending the body, so that the client sees an incomplete response.
  virtual void abort() = 0;
  /// Calls `on_disconnect` at most once, on the connection's strand, if the client closes the
  /// connection before the handler has returned. Stops watching if the client pipelines another
  /// request.
  virtual void watch_disconnect(std::function<void()> on_disconnect) = 0;
};

/// Handles one request on the connection's strand.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

/// Number of threads that run the event loop behind an executor. With a single thread, connections
/// need no strands, each of which would cost an extra event loop iteration per step of a
/// connection.
enum class LoopThreads : std::uint8_t { kMany, kOne };

/// Accepts connections and passes their requests to a handler, until `stop`. Thread safe.
class HttpServer {
 public:
  /// Binds immediately; throws `std::system_error` with the address in its message if that fails.
  /// @param address `ip:port`; port 0 selects a free one.
  HttpServer(boost::asio::any_io_executor executor, const std::string& address, HttpLimits limits,
             HttpHandler handler, LoopThreads threads = LoopThreads::kMany);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sets the memory and connection limits. Call before `start`. A server with a memory limit must
  /// run on a single thread.
  void set_resource_limits(ServerResourceLimits resource_limits);
  void start();
  /// Sets the limits of requests whose reading has not begun.
  void set_limits(const HttpLimits& limits);
  /// Makes every further response close its connection. New connections are still served.
  void start_drain();
  /// Returns the number of requests whose head has been read and whose response is not complete.
  [[nodiscard]] std::size_t open_requests() const;
  /// Closes the connections on which no request is being read or handled.
  void close_idle_connections();
  /// Closes the listening socket; open connections complete their current request.
  void stop();
  /// Returns the bound address with the actual port.
  [[nodiscard]] std::string address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Default of the largest body of a reply.
inline constexpr std::uint64_t kDefaultMaxReplyBytes = 8ULL * 1024 * 1024;

/// A request to send.
struct HttpCall {
  std::string address;  ///< `ip:port`.
  std::string method;
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  Duration timeout = std::chrono::seconds(10);
  /// Largest body of the reply; one with a larger body counts as incomplete. Streams have no limit.
  std::uint64_t max_reply_bytes = kDefaultMaxReplyBytes;
};

/// How far a request got.
enum class HttpProgress : std::uint8_t {
  kNotSent,  ///< No connection was established; no byte was sent.
  kSent,     ///< Sent at least partially, but without a complete response.
  kAnswered,
};

/// The result of a request.
struct HttpReply {
  HttpProgress progress = HttpProgress::kNotSent;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  bool oversized = false;  ///< Whether the body exceeded the limit of the call.

  [[nodiscard]] bool ok() const {
    return progress == HttpProgress::kAnswered && status >= 200 && status < 300;
  }
  /// Returns the value of a header, or an empty view if it is missing.
  [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Sends requests on pooled connections. Thread safe.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::any_io_executor executor,
                      LoopThreads threads = LoopThreads::kMany);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  boost::asio::awaitable<HttpReply> call(HttpCall call);

 private:
  struct Pool;
  std::shared_ptr<Pool> pool_;
};

/// A response that is read as it arrives, on a connection of its own.
///
/// Used on one strand. `close` may be called while a read is suspended; the read then ends.
class HttpStream {
 public:
  explicit HttpStream(const boost::asio::any_io_executor& executor);
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  /// Sends the request and reads the head of the response.
  /// @return the progress, and the status if the head was received. For a status other than 200 the
  /// body has been read into `error_body`, or the beginning of a long one.
  boost::asio::awaitable<std::pair<HttpProgress, int>> open(const HttpCall& call);
  /// Reads more of the body.
  /// @param view set to the bytes read; valid until the next call.
  /// @return false at the end of the body or on a failure; `complete` distinguishes them.
  boost::asio::awaitable<bool> read(std::string_view& view, Duration timeout);
  /// Returns whether the whole body was received.
  [[nodiscard]] bool complete() const;
  [[nodiscard]] const std::string& error_body() const;
  void close();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Splits `ip:port` into host and port. Returns false if it is malformed.
bool split_address(const std::string& address, std::string& host, std::uint16_t& port);
/// Parses `ip:port` into an endpoint. Returns false if it is malformed.
bool parse_endpoint(const std::string& address, boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace stoathold
