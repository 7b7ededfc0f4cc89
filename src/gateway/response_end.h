/// @file
/// Decides whether a response that ends with its connection is complete.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/upstream.h"

namespace stoathold {

/// What the regular end of a response's body shows about the response.
enum class ResponseEnd : std::uint8_t {
  kComplete,
  kUnconfirmed,  ///< The runner is running, but an earlier run has not ended at the same event.
  kCutOff,       ///< The runner may have exited; the response may lack its rest.
};

/// Decides for one request or batch item whether responses to it are complete. Online requests and
/// batch items use the same decision. Used on one thread.
///
/// Chunks or a length show where a response ends. Without either it ends with its connection, which
/// the kernel also closes when the process of the runner exits, between two events as well. Such an
/// end only counts if the runner with the same id responds afterwards: each start has a new id.
/// Where a live runner may still have cut the response off, a second run of the text has to end at
/// the same event.
class ResponseEndCheck {
 public:
  explicit ResponseEndCheck(GatewayContext& context) : context_(context) {}

  /// How many runs have to end at an event before the text counts as complete.
  enum class Proof : std::uint8_t { kOneRun, kTwoRuns };

  /// Checks the end of a response whose body was read completely.
  /// @param host value of the `Host` header that the runner expects.
  /// @param last_event last event of the text so far; nothing if it has none.
  boost::asio::awaitable<ResponseEnd> check(const UpstreamHead& head, const Runner& runner,
                                            std::string host,
                                            std::optional<std::uint64_t> last_event, Proof proof);
  /// Ends a check that is under way; its result is `kCutOff`.
  void cancel();
  /// Forgets the ends of earlier runs, when the text starts again from its first event.
  void forget_earlier_ends() { ended_at_.reset(); }

 private:
  boost::asio::awaitable<bool> is_running(const Runner& runner, std::string host);

  GatewayContext& context_;
  std::shared_ptr<UpstreamExchange> probe_;
  /// Last event when a response ended with its connection and its runner was running afterwards.
  std::optional<std::uint64_t> ended_at_;
};

}  // namespace stoathold
