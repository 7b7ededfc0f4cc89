/// @file
/// Client interface of a model engine: response streams, cancellation, load reports and fenced
/// model orders.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/effects.h"
#include "net/http.h"

namespace stoathold {

/// Parameters of a stream to open on an engine.
struct EngineStreamCall {
  StreamId stream{};
  std::string address;
  std::string body;  ///< OpenAI-compatible request; the engine always responds with a stream.
  std::string request_name;  ///< The engine returns it as the completion's id.
  StreamClass stream_class = StreamClass::kOnline;
  std::uint32_t resume_tokens = 0;
  Duration first_token_timeout{0};
  Duration token_timeout{0};
};

/// Receives the events of a stream as they arrive, on the stream's strand.
class EngineEventSink {
 public:
  virtual ~EngineEventSink() = default;
  /// Receives complete server-sent events, unmodified; the last one carries token `last_token`.
  /// @return false to stop the stream, because the client has disconnected.
  virtual boost::asio::awaitable<bool> on_events(std::string_view events,
                                                 std::uint32_t last_token) = 0;
};

/// An engine's load report.
struct EngineLoad {
  RunnerLoad load;
  std::uint64_t cache_sequence = 0;  ///< Sequence number of the newest cache event.
};

/// Sends requests to engines. Thread safe.
class EngineClient {
 public:
  using LoadDone = std::function<void(bool ok, EngineLoad load)>;
  /// @param accepted false if the engine has seen a newer epoch or did not respond.
  using OrderDone = std::function<void(bool accepted)>;

  virtual ~EngineClient() = default;
  /// Runs a stream to its end on the calling coroutine's executor. Tokens that were already
  /// delivered are dropped; a gap in the token numbers ends the stream as broken.
  virtual boost::asio::awaitable<StreamEnd> run(EngineStreamCall call, EngineEventSink& sink) = 0;
  /// Cancels a running stream; its `run` returns `kCancelled`.
  virtual void cancel(StreamId stream) = 0;
  virtual void read_load(const std::string& address, LoadDone done) = 0;
  /// Orders an engine to serve a model version. Engines reject orders of an older epoch.
  virtual void order_model(const std::string& address, Epoch epoch, const std::string& model,
                           const std::string& version, OrderDone done) = 0;
};

/// Names of the headers in requests to engines.
inline constexpr const char* kEnginePriorityHeader = "x-priority";
inline constexpr const char* kEngineResumeHeader = "x-resume-from";
inline constexpr const char* kEngineRequestHeader = "x-request-id";

/// Creates a client for the engines' HTTP protocol: OpenAI-compatible server-sent events, each with
/// the field `id: <token>`.
std::unique_ptr<EngineClient> make_http_engine_client(const boost::asio::any_io_executor& executor);

}  // namespace stoathold
