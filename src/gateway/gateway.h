/// @file
/// Takes callers' requests: finds the route, serves it, keeps count for a planned stop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>

#include "gateway/caller_check.h"
#include "gateway/gateway_context.h"
#include "net/http.h"

namespace stoathold {

/// Serves requests of routes that take batch jobs.
using BatchSubmissionHandler = std::function<boost::asio::awaitable<void>(
    HttpExchange&, std::shared_ptr<const ServingConfiguration>, const Route&, const Caller&)>;

/// The entrance for callers. Used on one thread; outlives all requests.
class Gateway {
 public:
  Gateway(GatewayContext& context, BatchSubmissionHandler submit_batch);

  /// Serves one request.
  boost::asio::awaitable<void> serve(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> wait_for_configuration();
  /// Refuses for now what may be served soon, here or at another node.
  boost::asio::awaitable<void> refuse_unready(HttpExchange& exchange, const char* reason);
  /// A request that the configuration in force denies was refused for now instead.
  void log_unconfirmed(const HttpExchange& exchange, const CallerCheck& check);
  boost::asio::awaitable<void> serve_route(
      HttpExchange& exchange, std::shared_ptr<const ServingConfiguration> configuration,
      const CallerCheck& check);
  boost::asio::awaitable<void> refuse(HttpExchange& exchange,
                                      const ServingConfiguration& configuration,
                                      const CallerCheck& check);
  boost::asio::awaitable<void> refuse_over_limit(HttpExchange& exchange,
                                                 const ServingConfiguration& configuration,
                                                 const CallerCheck& check, Duration retry_after);
  /// Counts a request towards its tenant's limit. @param tenant null: anonymous, without a limit.
  [[nodiscard]] AdmissionDecision admit(const Tenant* tenant);

  GatewayContext& context_;
  BatchSubmissionHandler submit_batch_;
};

}  // namespace stoathold
