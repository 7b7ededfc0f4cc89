/// @file
/// Idle connections to runners that later requests may use.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// Keeps a few connections of each runner, the one used last in front. Used on one thread.
class IdleConnections {
 public:
  using Socket = std::unique_ptr<boost::asio::ip::tcp::socket>;

  /// Takes a connection out.
  /// @param runner start of the runner to which it must have been made.
  /// @param longest_rest for which it may have rested.
  /// @return null if there is none that may be used now.
  Socket take(const std::string& address, std::uint64_t runner, Duration max_idle_time);
  /// Keeps a connection.
  /// @param keep_alive for which the runner keeps it.
  void give(const std::string& address, std::uint64_t runner, Socket socket, Duration keep_alive);
  /// Whether there is a connection that may be used now.
  [[nodiscard]] bool has(const std::string& address, std::uint64_t runner,
                         Duration max_idle_time) const;

 private:
  /// A connection to a runner that has gone may look open, if its machine lost power; and another
  /// runner may have its address.
  struct IdleConnection {
    std::uint64_t runner = 0;  ///< Start of the runner to which it was made.
    Socket socket;
    TimePoint usable_until{};
    TimePoint idle_since{};

    [[nodiscard]] bool usable(std::uint64_t wanted, Duration max_idle_time) const;
  };

  std::map<std::string, std::vector<IdleConnection>> by_address_;  ///< Each the newest last.
};

}  // namespace stoathold
