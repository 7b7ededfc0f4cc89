/// @file
/// Hands a caller's request over to another node of the zone.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "gateway/header_dialect.h"
#include "net/http.h"

namespace stoathold {

/// For calls that need the log while this node cannot reach it: the log may turn some nodes away
/// and serve the others. Only calls that may be made twice are relayed. Used on one thread;
/// outlives its calls.
class PeerRelay {
 public:
  /// Returns the addresses (`ip:port`) at which other nodes take relayed calls.
  using PeerSource = std::function<std::vector<std::string>()>;

  PeerRelay(const boost::asio::any_io_executor& executor, const HeaderDialect& dialect,
            PeerSource peers);

  /// Asks a few other nodes, one after the other, until one of them does not refuse.
  /// @return its answer. With `HttpProgress::kNotSent` no node did anything. With `kSent` the last
  ///         node did not answer, and may have done what was asked.
  boost::asio::awaitable<HttpReply> relay(const HttpExchange& exchange);

 private:
  [[nodiscard]] HttpCall make_call(const HttpExchange& exchange) const;

  HttpClient client_;
  const HeaderDialect& dialect_;
  PeerSource peers_;
};

}  // namespace stoathold
