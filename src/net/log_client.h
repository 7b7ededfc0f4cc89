/// @file
/// Client interface of the platform's append-only log service.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/effects.h"
#include "net/http.h"

namespace stoathold {

/// Sends requests to the log service. Each call invokes its callback exactly once, on any thread;
/// `kUnknown` means that the call may have taken effect. Thread safe.
class LogClient {
 public:
  using Appended = std::function<void(LogStatus, Offset)>;
  using Read = std::function<void(LogStatus, std::vector<LogEntry>, Offset head)>;
  using Head = std::function<void(LogStatus, Offset)>;

  virtual ~LogClient() = default;
  virtual void append(const std::string& stream, std::string bytes, Appended done) = 0;
  virtual void read(const std::string& stream, Offset from, std::uint32_t limit, Read done) = 0;
  virtual void head(const std::string& stream, Head done) = 0;
};

/// Creates a client for the log service's HTTP protocol. `POST /v1/streams/S` with the bytes of an
/// entry returns its offset; `GET /v1/streams/S?from=N&limit=M` returns entries in the format of
/// `frame_entries`, and with `limit=0` only the head.
std::unique_ptr<LogClient> make_http_log_client(const boost::asio::any_io_executor& executor,
                                                std::string address, Duration timeout);

/// Response header with the next offset of a stream.
inline constexpr const char* kLogHeadHeader = "x-log-head";

/// Encodes entries as a response body: for each entry the offset and the size, as 8 bytes
/// little-endian each, then the bytes.
std::string frame_entries(const std::vector<LogEntry>& entries);
/// Decodes the output of `frame_entries`; returns false if it is truncated.
bool parse_entries(const std::string& body, std::vector<LogEntry>& entries);

}  // namespace stoathold
