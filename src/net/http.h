/// @file
/// HTTP/1.1 server and client over Boost.Asio coroutines; Boost.Beast stays in the .cc files.
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
#include "net/server_bounds.h"

namespace stoathold {

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Whether two header names are the same; case does not matter.
bool same_header_name(std::string_view left, std::string_view right);
/// Returns a header's value, or an empty view.
std::string_view find_header(const std::vector<HttpHeader>& headers, std::string_view name);

/// Bounds that a server puts on what callers send.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(10);  ///< Whole header, from its first byte.
  Duration body_timeout = std::chrono::seconds(30);    ///< Whole body.
  Duration idle_timeout = std::chrono::seconds(75);    ///< Between two requests.
  Duration write_timeout = std::chrono::seconds(30);   ///< One write to a slow reader.
};

/// How the end of a response body is told.
enum class BodyFraming : std::uint8_t {
  kChunked,     ///< Chunks; the last one is empty.
  kLength,      ///< `Content-Length`.
  kUntilClose,  ///< The end of the connection; it is reset if the body is broken off.
};

/// The head of a response whose body is written piece by piece.
struct ResponseHead {
  int status = 200;
  std::vector<HttpHeader> headers;  ///< Without those that frame the body.
  BodyFraming framing = BodyFraming::kChunked;
  std::uint64_t length = 0;  ///< Of the body in bytes, with `kLength`.
};

/// One request on a connection, and the means to answer it.
///
/// Lives as long as its handler's coroutine; used on the connection's strand only. A handler either
/// calls `respond` once, or `start_stream` or `start_response`, any number of `write`, and
/// `finish_stream`.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual std::string_view method() const = 0;
  [[nodiscard]] virtual std::string_view target() const = 0;
  /// Returns a header's value, or an empty view.
  [[nodiscard]] virtual std::string_view header(std::string_view name) const = 0;
  /// Returns all header fields in their order.
  [[nodiscard]] virtual std::vector<HttpHeader> headers() const = 0;
  [[nodiscard]] virtual const std::string& body() const = 0;
  [[nodiscard]] virtual boost::asio::any_io_executor executor() const = 0;

  /// Sends a whole response; a failed write closes the connection.
  virtual boost::asio::awaitable<void> respond(int status, std::string_view content_type,
                                               std::string body,
                                               std::vector<HttpHeader> headers = {}) = 0;
  /// Sends the head of a chunked response. Returns false if the caller is gone.
  virtual boost::asio::awaitable<bool> start_stream(std::string_view content_type) = 0;
  /// Sends the head of a response. Returns false if the caller is gone.
  virtual boost::asio::awaitable<bool> start_response(const ResponseHead& head) = 0;
  /// Sends one piece of the body. Returns false if the caller is gone.
  virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
  /// The same, but returns while the caller has yet to take a bounded part of what was written; on
  /// a server without a limit of memory it waits as `write` does.
  virtual boost::asio::awaitable<bool> write_ahead(std::string_view bytes) = 0;
  /// Waits until the caller's socket has taken all. Returns false if the caller is gone.
  virtual boost::asio::awaitable<bool> flush() = 0;
  /// Ends a response that was started, behind all that was written. Returns false if the caller is
  /// gone.
  virtual boost::asio::awaitable<bool> finish_stream() = 0;
  /// Closes the connection without a proper end, so that the caller sees a broken answer.
  virtual void abort() = 0;
  /// Calls `on_disconnect` at most once, on the connection's strand, if the caller closes the
  /// connection before the handler has ended. Further pipelined requests stop the watch.
  virtual void watch_disconnect(std::function<void()> on_disconnect) = 0;
};

/// Handles one request; runs on the connection's strand.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

/// How many threads run the event loop behind an executor. With one, connections need no strands,
/// each of which would cost a turn of the loop for every step of a connection.
enum class LoopThreads : std::uint8_t { kMany, kOne };

/// Accepts connections until `stop`. Thread safe.
class HttpServer {
 public:
  /// Binds at once; throws `std::system_error` naming the address if that fails.
  /// @param address `ip:port`; port 0 takes a free one.
  HttpServer(boost::asio::any_io_executor executor, const std::string& address, HttpLimits limits,
             HttpHandler handler, LoopThreads threads = LoopThreads::kMany);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// To be called before `start`, on a server that runs on one thread.
  void set_bounds(ServerBounds bounds);
  void start();
  /// Bounds for requests that are read from now on.
  void set_limits(const HttpLimits& limits);
  /// From now on every response closes its connection; new connections are still served.
  void start_drain();
  /// Closes the connections on which no request is being read or answered.
  void close_idle();
  /// Closes the listening socket; open connections finish their request.
  void stop();
  /// The address bound, with the port that was taken.
  [[nodiscard]] std::string address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// A request to send.
struct HttpCall {
  std::string address;  ///< `ip:port`.
  std::string method;
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  Duration timeout = std::chrono::seconds(10);
};

/// How far a call came.
enum class HttpProgress : std::uint8_t {
  kNotSent,  ///< No connection was made; nothing left this process.
  kSent,     ///< Sent at least in part, but not answered whole.
  kAnswered,
};

/// The answer to a call.
struct HttpReply {
  HttpProgress progress = HttpProgress::kNotSent;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  [[nodiscard]] bool ok() const {
    return progress == HttpProgress::kAnswered && status >= 200 && status < 300;
  }
  /// Returns a header's value, or an empty view.
  [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Sends one request on a pooled connection. Thread safe.
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
/// Used on one strand. `close` may be called while a read is suspended, and makes it end.
class HttpStream {
 public:
  explicit HttpStream(const boost::asio::any_io_executor& executor);
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  /// Sends the request and reads the response's head.
  /// @return the progress, and the status if the head arrived. For a status other than 200 the body
  ///         has been read into `error_body`.
  boost::asio::awaitable<std::pair<HttpProgress, int>> open(const HttpCall& call);
  /// Reads more of the body.
  /// @param view set to the bytes read; valid until the next call.
  /// @return false at the end or on a failure; `complete` tells which.
  boost::asio::awaitable<bool> read(std::string_view& view, Duration timeout);
  /// Whether the body ended properly.
  [[nodiscard]] bool complete() const;
  [[nodiscard]] const std::string& error_body() const;
  void close();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Splits `ip:port`; returns false if it is malformed.
bool split_address(const std::string& address, std::string& host, std::uint16_t& port);
/// Parses `ip:port`; returns false if it is malformed.
bool parse_endpoint(const std::string& address, boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace stoathold
