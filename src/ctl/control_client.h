/// @file
/// Client of the command line tool: blocking calls to one node, with typed outcomes.
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"

namespace stoathold {

/// Exit codes of `stoatctl`; documented in docs/OPERATING.md.
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      ///< The node rejected the request; nothing was changed.
  kUsage = 2,        ///< Invalid arguments or an invalid file.
  kUnreachable = 3,  ///< No connection to the node.
  kConflict = 4,     ///< Another client changed the resource first.
  kUnknown = 5,      ///< The change may or may not take effect.
};

/// Response of a node, and the exit code that it stands for.
struct ControlReply {
  ExitCode code = ExitCode::kUnreachable;
  boost::json::value body;
  std::string message;  ///< Error message to print if `code` is not `kOk`.
};

/// Blocking HTTP client of one node. Not thread safe.
class ControlClient {
 public:
  explicit ControlClient(std::string server);
  ~ControlClient();

  /// Sends one request and waits at most 30 seconds for the response.
  ControlReply call(const std::string& method, const std::string& target,
                    const std::string& body = {}, std::vector<HttpHeader> headers = {});
  /// Reads a stream of JSON lines until it ends, is silent for 60 seconds, or `on_line` returns
  /// false.
  ExitCode follow(const std::string& target, const std::function<bool(std::string_view)>& on_line);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace stoathold
