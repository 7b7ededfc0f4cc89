/// @file
/// Response side of one online request: relays events to the caller and completes the response.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/timer.h"
#include "net/engine_client.h"
#include "net/http.h"
#include "server/one_shot.h"

namespace stoathold {

/// Final result of a request, as decided by the core.
struct SessionOutcome {
  bool succeeded = false;
  Error error;
};

/// Relays the event streams of engines to the connection of the caller.
///
/// Runs on the connection's strand. The handler of the request owns the exchange; engine streams
/// share the session through a `shared_ptr`, and `on_events` returns false once it is closed.
class OnlineSession : public EngineEventSink {
 public:
  /// @param exchange must outlive the call of `run`.
  /// @param wants_stream whether the caller asked for server-sent events.
  OnlineSession(HttpExchange& exchange, std::string body, std::string request_name,
                bool wants_stream);

  /// Relays events, or buffers them if the caller asked for a single response.
  /// @return false if the session is closed or the connection failed.
  boost::asio::awaitable<bool> on_events(std::string_view events,
                                         std::uint32_t last_token) override;

  /// Waits for the outcome and for the end of all streams, then completes the response.
  boost::asio::awaitable<void> run(const std::string& model);
  /// Sets the outcome. May be called on any thread.
  void finish(SessionOutcome outcome) { outcome_->set(std::move(outcome)); }

  /// Count the engine streams that may still write to the connection; `run` waits for them.
  void stream_started() { ++streams_; }
  void stream_ended();

  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] const std::string& request_name() const { return request_name_; }
  [[nodiscard]] boost::asio::any_io_executor executor() const { return exchange_.executor(); }

 private:
  boost::asio::awaitable<void> write_stream_end(const SessionOutcome& outcome);
  boost::asio::awaitable<void> write_complete_response(const SessionOutcome& outcome,
                                                       const std::string& model);

  HttpExchange& exchange_;
  const std::string body_;
  const std::string request_name_;
  const bool wants_stream_;
  bool head_sent_ = false;
  bool closed_ = false;
  std::string buffered_events_;
  std::uint32_t streams_ = 0;
  std::shared_ptr<OneShot<SessionOutcome>> outcome_;
  Timer streams_ended_timer_;
};

/// Concatenates the text of a sequence of server-sent events; events without text are skipped.
std::string text_of_events(std::string_view events);

}  // namespace stoathold
