/// @file
/// HTTP/1.1 client for requests to runners, with pooled connections, responses matched by request
/// id and streamed bodies. Boost.Beast is confined to the .cc file.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "gateway/header_dialect.h"
#include "net/http.h"

namespace stoathold {

/// How a step of an upstream request ended.
enum class UpstreamStatus : std::uint8_t {
  kOk,
  kNotSent,     ///< No connection was made; the runner saw nothing.
  kUnsendable,  ///< A header exceeds the limit of the HTTP library; nothing was sent.
  kBroken,      ///< Reset, closed early or malformed response; the runner may have run it.
  kTimeout,     ///< The deadline passed; the runner may have run it.
  kCancelled,   ///< `cancel` was called.
};

/// Returns the status' name for logs.
std::string_view to_string(UpstreamStatus status);

/// A GET request that a runner has to answer before the actual request is sent to it.
struct UpstreamProbe {
  std::string target;
  std::vector<HttpHeader> headers;
};

/// Where a probe is sent without a request.
struct UpstreamTarget {
  std::string address;       ///< `ip:port`.
  std::uint64_t runner = 0;  ///< Runner instance.
};

/// A request to a runner. Framing headers are added when it is sent.
struct UpstreamRequest {
  std::string address;       ///< `ip:port`.
  std::uint64_t runner = 0;  ///< Runner instance; connections to other instances are not used.
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string request_id;  ///< Responses with another id are skipped.
  /// Longest idle time of a pooled connection that may be used; 0 requires a new connection. The
  /// runner may be closing an idle connection, in which case the request fails with an unknown
  /// outcome. Requests that may not be repeated should therefore set a short time.
  Duration max_idle_time = Duration::max();
  /// Sent first over the same connection. The request is only sent if the answer has status 200: a
  /// runner that is ending, or another one at its address, may answer otherwise.
  std::optional<UpstreamProbe> probe = std::nullopt;
};

/// The head of a response.
struct UpstreamHead {
  int status = 0;
  std::vector<HttpHeader> headers;
  BodyFraming framing = BodyFraming::kLength;
  std::uint64_t length = 0;  ///< With `BodyFraming::kLength`.

  /// Returns a header's value, or an empty view.
  [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Pool of connections to runners. Not thread-safe; must outlive its exchanges.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::any_io_executor executor, HeaderDialect dialect);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Returns whether the pool has a usable idle connection to a runner instance.
  [[nodiscard]] bool has_idle(const std::string& address, std::uint64_t runner,
                              Duration max_idle_time = Duration::max()) const;
  /// Returns the number of connections made so far, for metrics.
  [[nodiscard]] std::uint64_t connects() const;

 private:
  friend class UpstreamExchange;
  struct State;
  std::unique_ptr<State> state_;
};

/// One request and its response. Owned by a shared pointer, since the write of a long body may
/// outlast the caller of the exchange. Not thread-safe; `cancel` may be called while a read is
/// suspended.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  explicit UpstreamExchange(UpstreamPool& pool);
  ~UpstreamExchange();
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;

  /// Encodes the request, connects or takes an idle connection from the pool, probes the runner if
  /// requested, and starts to send the request.
  boost::asio::awaitable<UpstreamStatus> send(UpstreamRequest request, Duration connect_timeout);
  /// Sends only a probe, over an idle connection or a new one.
  /// @return the status of the answer; 0 if there was none.
  boost::asio::awaitable<int> send_probe(UpstreamTarget target, UpstreamProbe probe,
                                         Duration connect_timeout);
  /// Reads the head of the response to this request.
  boost::asio::awaitable<UpstreamStatus> read_head();
  [[nodiscard]] const UpstreamHead& head() const;
  /// Reads more of the body.
  /// @param view set to the bytes, or empty at the regular end of the body. Valid until the next
  /// call.
  boost::asio::awaitable<UpstreamStatus> read_body(std::string_view& view);
  /// Sets the deadline after which a pending step ends with `kTimeout`.
  void set_deadline(TimePoint deadline);
  /// Called when the deadline has passed; returns a later deadline, or `nullopt` to time out.
  using DeadlineExtender = std::function<std::optional<TimePoint>()>;
  void set_deadline_extender(DeadlineExtender extender);
  /// Returns when the connection that the request was sent on began to be opened; a connection from
  /// the pool was opened for an earlier request.
  [[nodiscard]] TimePoint connected() const;
  /// Returns when the request began to be sent.
  [[nodiscard]] TimePoint sent() const;
  /// Returns the status of the answer to the probe; 0 if there was none.
  [[nodiscard]] int probe_status() const;
  /// Returns whether the request was sent after an answer to its probe.
  [[nodiscard]] bool probed() const { return probe_status() > 0 && sent() != TimePoint{}; }
  /// Returns whether a step failed because the runner closed or reset the connection.
  [[nodiscard]] bool closed_by_runner() const;
  /// Cancels the request and closes the connection, so that the runner stops working on it.
  void cancel();
  /// Returns the connection to the pool, if it is reusable, after the complete response was read.
  void release();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace stoathold
