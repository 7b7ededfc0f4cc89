/// @file
/// Pool of idle connections to runners.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// Returns the time for which a runner keeps an idle connection open: `timeout=N`, in seconds, in a
/// `Keep-Alive` header, or a default.
Duration parse_keep_alive(std::string_view value);

/// Keeps a few idle connections per address and reuses the most recently used one first. Not
/// thread-safe.
class IdleConnections {
 public:
  /// An open connection.
  struct Connection {
    std::unique_ptr<boost::asio::ip::tcp::socket> socket;  ///< Null: no connection.
    TimePoint connected{};                                 ///< When it began to be opened.
  };

  /// Removes a connection from the pool and returns it.
  /// @param runner instance of the runner that the connection must belong to.
  /// @param max_idle_time longest time that it may have been idle.
  /// @return a connection without a socket if there is no usable one.
  Connection take(const std::string& address, std::uint64_t runner, Duration max_idle_time);
  /// Adds a connection to the pool.
  /// @param keep_alive time for which the runner keeps it open while idle.
  void put(const std::string& address, std::uint64_t runner, Connection connection,
           Duration keep_alive);
  /// Returns whether there is a usable connection.
  [[nodiscard]] bool has_usable(const std::string& address, std::uint64_t runner,
                                Duration max_idle_time) const;

 private:
  /// A connection to a runner that is gone may look open if its machine lost power, and another
  /// runner may have taken over its address. Each entry therefore names its runner instance.
  struct IdleConnection {
    std::uint64_t runner = 0;  ///< Instance that it was made to.
    Connection connection;
    TimePoint usable_until{};
    TimePoint idle_since{};

    [[nodiscard]] bool usable(std::uint64_t expected_runner, Duration max_idle_time) const;
  };

  std::map<std::string, std::vector<IdleConnection>>
      by_address_;  ///< Each list ends with the most recent.
};

}  // namespace stoathold
