/// @file
/// Entry point of callers' requests: access checks, limits, dispatch to online or batch handling.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>

#include "gateway/caller_check.h"
#include "gateway/gateway_context.h"
#include "net/http.h"

namespace stoathold {

/// Handles requests of batch routes.
using BatchSubmissionHandler = std::function<boost::asio::awaitable<void>(
    HttpExchange&, std::shared_ptr<const ServingConfiguration>, const Route&, const Caller&)>;

/// Request handler of the gateway. Not thread-safe; must outlive all requests.
class Gateway {
 public:
  Gateway(GatewayContext& context, BatchSubmissionHandler submit_batch);

  /// Serves one request, waiting for the first configuration if necessary.
  boost::asio::awaitable<void> serve(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> wait_for_configuration();
  /// Refuses with 503 and Retry-After a request that this or another node may be able to serve
  /// soon.
  boost::asio::awaitable<void> refuse_not_ready(HttpExchange& exchange, const char* reason);
  /// Logs that a denied request got a temporary refusal, since the configuration that denies it
  /// could not be confirmed as the newest.
  void log_unconfirmed_denial(const HttpExchange& exchange, const CallerCheck& check);
  boost::asio::awaitable<void> serve_route(
      HttpExchange& exchange, std::shared_ptr<const ServingConfiguration> configuration,
      const CallerCheck& check);
  boost::asio::awaitable<void> refuse(HttpExchange& exchange,
                                      const ServingConfiguration& configuration,
                                      const CallerCheck& check);
  boost::asio::awaitable<void> refuse_over_limit(HttpExchange& exchange,
                                                 const ServingConfiguration& configuration,
                                                 const CallerCheck& check, Duration retry_after);
  /// Counts a request towards its tenant's rate limit.
  /// @param tenant null for an anonymous caller, which has no limit.
  [[nodiscard]] AdmissionDecision admit(const Tenant* tenant);

  GatewayContext& context_;
  BatchSubmissionHandler submit_batch_;
};

}  // namespace stoathold
