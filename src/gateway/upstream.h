/// @file
/// One request to a runner over HTTP/1.1: pooled connections, answers matched by request id, bodies
/// read as they arrive. Boost.Beast stays in the .cc file.
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
  kNotSent,    ///< No connection was made; the runner saw nothing.
  kBroken,     ///< Reset, cut off or not an answer; the runner may have run it.
  kTimeout,    ///< `set_deadline` passed; the runner may have run it.
  kCancelled,  ///< `cancel` was called.
};

/// Returns the status' name for logs.
std::string_view to_string(UpstreamStatus status);

/// A request as it is sent; the framing headers are added.
struct UpstreamRequest {
  std::string address;       ///< `ip:port`.
  std::uint64_t runner = 0;  ///< The start that is meant; a connection made for another isn't used.
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string request_id;  ///< Answers that name another one are skipped.
  /// Longest time for which an idle connection may have rested that is used; 0: a new one is made.
  /// The runner could be closing it just now: the request may then fail without a word, so what may
  /// not be repeated should allow little.
  Duration max_idle_time = Duration::max();
};

/// The head of an answer.
struct UpstreamHead {
  int status = 0;
  std::vector<HttpHeader> headers;
  BodyFraming framing = BodyFraming::kLength;
  std::uint64_t length = 0;  ///< With `BodyFraming::kLength`.

  /// Returns a header's value, or an empty view.
  [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Idle connections to runners. Used on one thread; outlives its exchanges.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::any_io_executor executor, HeaderDialect dialect);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Whether an idle connection to the start of a runner is kept that may be used now.
  [[nodiscard]] bool has_idle(const std::string& address, std::uint64_t runner,
                              Duration max_idle_time = Duration::max()) const;
  /// Connections made so far, for metrics.
  [[nodiscard]] std::uint64_t connects() const;

 private:
  friend class UpstreamExchange;
  struct State;
  std::unique_ptr<State> state_;
};

/// One request and its answer. Held by a shared pointer, since the write of a long body may outlive
/// the reader's interest. Used on one thread; `cancel` may be called while a read is suspended.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  explicit UpstreamExchange(UpstreamPool& pool);
  ~UpstreamExchange();
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;

  /// Connects or takes an idle connection, and starts to send the request.
  boost::asio::awaitable<UpstreamStatus> send(UpstreamRequest request, Duration connect_timeout);
  /// Reads the head of the answer to this request.
  boost::asio::awaitable<UpstreamStatus> read_head();
  [[nodiscard]] const UpstreamHead& head() const;
  /// Reads more of the body.
  /// @param view set to the bytes; empty at the body's proper end. Valid until the next call.
  boost::asio::awaitable<UpstreamStatus> read_body(std::string_view& view);
  /// Steps that are not done by then end with `kTimeout`.
  void set_deadline(TimePoint deadline);
  /// Asked when the deadline has passed: a later one, or nothing to let the step end.
  using DeadlineExtender = std::function<std::optional<TimePoint>()>;
  void set_deadline_extender(DeadlineExtender extender);
  /// Whether a step failed since the runner closed or reset the connection.
  [[nodiscard]] bool closed_by_runner() const;
  /// Ends the request: the connection is closed, so that the runner stops work.
  void cancel();
  /// The whole answer was read: keeps the connection for others if it is fit for that.
  void release();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace stoathold
