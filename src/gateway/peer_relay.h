/// @file
/// Relays a caller's request to another node of the zone.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/header_dialect.h"
#include "net/http.h"

namespace stoathold {

/// Relays calls that need the log while this node cannot reach it: the log may refuse some nodes
/// and serve others. Only idempotent calls may be relayed. Not thread-safe; must outlive its calls.
class PeerRelay {
 public:
  /// Returns the addresses (`ip:port`) at which other nodes accept relayed calls.
  using PeerSource = std::function<std::vector<std::string>()>;

  /// @param dialect must outlive this.
  PeerRelay(const boost::asio::any_io_executor& executor, const HeaderDialect& dialect,
            PeerSource peers);

  /// Tries a few other nodes in turn until one of them does not refuse the call.
  /// @param deadline time after which no further node is tried.
  /// @return the response of that node. `HttpProgress::kNotSent` means that no node executed the
  /// call;
  ///         `kSent` means that the last node did not respond and may have executed it.
  boost::asio::awaitable<HttpReply> relay(const HttpExchange& exchange, TimePoint deadline);

 private:
  [[nodiscard]] HttpCall make_call(const HttpExchange& exchange) const;

  HttpClient client_;
  const HeaderDialect& dialect_;
  PeerSource peers_;
};

}  // namespace stoathold
