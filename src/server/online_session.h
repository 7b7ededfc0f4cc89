/// @file
/// One caller's online request: passes events on as they arrive and writes the end.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/timer.h"
#include "net/engine_client.h"
#include "net/http.h"
#include "server/one_shot.h"

namespace stoathold {

/// How a request ended, as the core decided.
struct SessionEnd {
  bool succeeded = false;
  Error error;
};

/// Sink between an engine's stream and the caller's connection.
///
/// Used on the connection's strand. Lives until its handler has written the end; streams hold it by
/// shared pointer and find it closed afterwards.
class OnlineSession : public EngineEventSink {
 public:
  /// @param exchange must outlive the call of `run`.
  /// @param wants_stream whether the caller asked for server-sent events.
  OnlineSession(HttpExchange& exchange, std::string body, std::string name, bool wants_stream);

  boost::asio::awaitable<bool> on_events(std::string_view events,
                                         std::uint32_t last_token) override;

  /// Waits for the core's decision, then writes the end of the answer.
  boost::asio::awaitable<void> run(const std::string& model);
  /// Provides the core's decision. Any thread.
  void finish(SessionEnd end) { end_->set(std::move(end)); }

  /// Counts streams that may still write; `run` waits for them.
  void stream_started() { ++streams_; }
  void stream_ended();

  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] boost::asio::any_io_executor executor() const { return exchange_.executor(); }

 private:
  boost::asio::awaitable<void> write_stream_end(const SessionEnd& end);
  boost::asio::awaitable<void> write_whole(const SessionEnd& end, const std::string& model);

  HttpExchange& exchange_;
  const std::string body_;
  const std::string name_;
  const bool wants_stream_;
  bool head_sent_ = false;
  bool closed_ = false;
  std::string collected_;
  std::uint32_t streams_ = 0;
  std::shared_ptr<OneShot<SessionEnd>> end_;
  Timer idle_;
};

/// Joins the text of a run of server-sent events; events without text are passed over.
std::string text_of_events(std::string_view events);

}  // namespace stoathold
