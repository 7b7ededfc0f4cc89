/// @file
/// Actions that the core requests from its driver, and the results that the driver reports. Effects
/// are values: the core itself performs no input or output.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "core/peer_messages.h"

namespace stoathold {

/// Sends a message to a peer; the message may be lost.
struct SendToPeer {
  NodeId target{};
  std::string address;  ///< `ip:port`.
  PeerMessage message;
};

/// Appends bytes to a stream of the log. `NodeCore::on_log_appended` receives the result.
struct AppendToLog {
  std::string stream;
  std::string bytes;
  std::uint64_t token = 0;  ///< Echoed in the result.
};

/// Reads entries starting at `from`. `NodeCore::on_log_read` receives the result.
struct ReadFromLog {
  std::string stream;
  Offset from{};
  std::uint32_t limit = 0;
  std::uint64_t token = 0;
};

/// Reads the offset that the next append will get. `NodeCore::on_log_head` receives the result.
struct ReadLogHead {
  std::string stream;
  std::uint64_t token = 0;
};

/// Class of a stream; engines give online streams priority over batch streams.
enum class StreamClass : std::uint8_t { kOnline, kBatch };

/// Opens a stream on an engine. `NodeCore::on_stream_ended` receives its end.
struct OpenStream {
  StreamId stream{};
  RunnerId runner{};
  std::string address;
  StreamClass stream_class = StreamClass::kOnline;
  RequestId request{};              ///< For online streams: the request whose body is sent.
  std::string service;              ///< For batch streams.
  std::string prompt;               ///< For batch streams.
  std::uint32_t max_tokens = 0;     ///< For batch streams.
  std::uint32_t resume_tokens = 0;  ///< Tokens already delivered; the engine continues after them.
  std::string resume_text;          ///< For batch streams: the text of those tokens.
  Duration first_token_timeout{0};
};

/// Cancels a stream on an engine; its end is still reported, with the progress made.
struct CancelStream {
  StreamId stream{};
};

/// Completes an online request: successfully after its last token, or with an error.
struct FinishRequest {
  RequestId request{};
  bool succeeded = false;
  Error error;
};

/// Delivers the response to a shard call made through this node's API.
struct AnswerCall {
  std::uint64_t call = 0;
  ShardAnswer answer;
};

/// Delivers the result of a resource change made through this node's API.
struct AnswerChange {
  std::uint64_t call = 0;
  bool accepted = false;
  Offset version{};
  Error error;
};

using Effect = std::variant<SendToPeer, AppendToLog, ReadFromLog, ReadLogHead, OpenStream,
                            CancelStream, FinishRequest, AnswerCall, AnswerChange>;

/// Effects, in the order in which they must be executed.
using Effects = std::vector<Effect>;

/// Result of a call to the platform's log.
enum class LogStatus : std::uint8_t {
  kOk,
  kUnknown,  ///< No response: the call may have taken effect.
};

/// Outcome of a stream on an engine.
enum class StreamOutcome : std::uint8_t {
  kCompleted,
  kNotSent,    ///< The request was never sent (connection refused).
  kRefused,    ///< The engine rejected the request.
  kBroken,     ///< The stream failed or stalled after the request was sent.
  kCancelled,  ///< Stopped by `CancelStream`.
};

/// End of a stream, as reported by the driver.
struct StreamEnd {
  StreamId stream{};
  StreamOutcome outcome = StreamOutcome::kCompleted;
  std::uint32_t tokens = 0;  ///< Tokens of the response so far, including the resumed ones.
  std::string text;          ///< For batch streams: the text, including the resumed part.
};

/// One entry read from the log.
struct LogEntry {
  Offset offset{};
  std::string bytes;
};

}  // namespace stoathold
