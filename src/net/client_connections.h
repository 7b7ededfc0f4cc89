/// @file
/// Tracks connections by client address and selects an idle one to close when a new client connects
/// at the connection or memory limit. No input or output; the current time is a parameter.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace stoathold {

/// Key of a client's network address. Clients behind one address count as one. The key only decides
/// whose idle connection is closed first; it does not limit the connections of a client while there
/// is capacity.
using ClientAddress = std::uint64_t;

/// Minimum idle time before a connection may be closed for another one: the first request on a new
/// connection may still be under way.
inline constexpr Duration kMinIdleTime = std::chrono::seconds(1);

/// Connections of a server by client address. Not thread safe.
class ClientConnections {
 public:
  void add_connection(ClientAddress client) { ++clients_[client].open; }
  /// Removes a connection of the client, which must not be marked idle.
  void remove_connection(ClientAddress client);
  /// Marks a connection as waiting for a request or for the rest of a request head.
  /// @return its idle sequence number; these numbers increase.
  std::uint64_t mark_idle(ClientAddress client, TimePoint now);
  void mark_busy(ClientAddress client, std::uint64_t sequence);

  /// An idle connection to close in favour of a new one.
  struct EvictionCandidate {
    ClientAddress client = 0;
    std::uint64_t sequence = 0;
    TimePoint idle_since{};
  };
  /// Returns the longest idle connection of the client with the most connections, among the clients
  /// with more connections than `new_client` and `new_client` itself; nothing if there is none.
  [[nodiscard]] std::optional<EvictionCandidate> select_eviction_candidate(ClientAddress new_client,
                                                                           TimePoint now) const;

 private:
  struct Client {
    std::size_t open = 0;
    std::map<std::uint64_t, TimePoint> idle;  ///< By sequence number, longest idle first.
  };
  std::map<ClientAddress, Client> clients_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace stoathold
