/// @file
/// State of a request to a runner and the steps on its connection. Include in implementation files
/// of `UpstreamExchange` only.
#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "gateway/idle_connections.h"
#include "gateway/upstream.h"
#include "net/beast_helpers.h"
#include "routing/latency_quantile.h"

namespace stoathold {

struct UpstreamPool::State {
  /// The connect timeout is this quantile of the observed connect times, multiplied by a factor.
  static constexpr double kConnectQuantile = 0.9;

  State(boost::asio::any_io_executor executor_in, HeaderDialect dialect_in)
      : executor(std::move(executor_in)), dialect(std::move(dialect_in)) {}

  /// Returns the connect timeout; a runner that takes longer counts as unreachable.
  [[nodiscard]] Duration adaptive_connect_timeout(Duration max_timeout) const;

  boost::asio::any_io_executor executor;
  HeaderDialect dialect;
  IdleConnections idle;
  LatencyQuantile connect_times{kConnectQuantile};
  std::uint64_t connects = 0;
};

/// Progress of writing a request to a runner.
enum class RequestWrite : std::uint8_t { kNotStarted, kPending, kComplete, kFailed };

/// Owned by its exchange and by the write of its request.
struct UpstreamExchange::State : std::enable_shared_from_this<UpstreamExchange::State> {
  using Tcp = boost::asio::ip::tcp;
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  explicit State(UpstreamPool::State& pool_in);

  void start_parser(boost::beast::http::verb method);
  void close();
  /// The timer is re-armed only if the deadline moves closer. If it fires before the current
  /// deadline, it is re-armed for that deadline, so postponing a deadline costs nothing.
  void arm(TimePoint at);
  void set_deadline(TimePoint at);
  void finish(UpstreamStatus status);
  /// Returns the status of a step that failed with a socket or parser error.
  [[nodiscard]] UpstreamStatus failure(UpstreamStatus otherwise) const {
    return end_status == UpstreamStatus::kOk ? otherwise : end_status;
  }

  /// Encodes a request into `request`.
  /// @return false if a header exceeds the limit of the HTTP library, 64 kB.
  bool encode(UpstreamRequest& source);
  boost::asio::awaitable<UpstreamStatus> connect(Duration timeout);
  /// Sends a probe and reads its response.
  /// @return whether the runner is well.
  boost::asio::awaitable<bool> probe(UpstreamProbe probe);
  /// Reads the head of the next final response.
  /// @param method of the message that the response answers.
  boost::asio::awaitable<UpstreamStatus> read_next_head(boost::beast::http::verb method);
  boost::asio::awaitable<UpstreamStatus> read_some(std::string_view& view);
  /// Records the end of the write of the request.
  void end_write(bool failed);
  /// Waits for the end of the write. @return false if it failed.
  boost::asio::awaitable<bool> wait_for_write();
  /// Parses body bytes from the read buffer; `view` is empty if more must be read first.
  /// @return false if the bytes are malformed.
  bool parse_body(std::string_view& view);
  /// Reads the body of a response to another request and drops it.
  boost::asio::awaitable<UpstreamStatus> skip_body();
  /// Takes an idle connection from the pool, if there is one.
  void take_idle(Duration max_idle_time);
  [[nodiscard]] bool matches_request_id() const;
  void copy_head();

  UpstreamPool::State& pool;
  Timer timer;
  TimePoint deadline{};
  TimePoint armed_until{};
  DeadlineExtender extender;
  UpstreamStatus end_status = UpstreamStatus::kOk;
  std::string address;
  std::uint64_t runner = 0;
  std::string request_id;
  boost::beast::http::request<boost::beast::http::string_body> request;
  RequestWrite write = RequestWrite::kNotStarted;
  Timer write_ended;  ///< Cancelled when the write ends; never expires.
  bool closed_by_runner = false;
  TimePoint connected{};
  TimePoint sent{};
  int probe_status = 0;
  bool probe_keeps_connection = false;
  std::unique_ptr<Tcp::socket> socket;
  boost::beast::flat_buffer buffer;
  std::unique_ptr<Parser> parser;
  std::vector<char> read_buffer;
  UpstreamHead head;
};

}  // namespace stoathold
