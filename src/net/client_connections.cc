#include "net/client_connections.h"

namespace stoathold {

void ClientConnections::remove_connection(ClientAddress client) {
  const auto found = clients_.find(client);
  if (found != clients_.end() && --found->second.open == 0) clients_.erase(found);
}

std::uint64_t ClientConnections::mark_idle(ClientAddress client, TimePoint now) {
  clients_[client].idle.emplace(++last_sequence_, now);
  return last_sequence_;
}

void ClientConnections::mark_busy(ClientAddress client, std::uint64_t sequence) {
  const auto found = clients_.find(client);
  if (found != clients_.end()) found->second.idle.erase(sequence);
}

std::optional<ClientConnections::EvictionCandidate> ClientConnections::select_eviction_candidate(
    ClientAddress new_client, TimePoint now) const {
  const auto own = clients_.find(new_client);
  const std::size_t new_client_connections = own == clients_.end() ? 0 : own->second.open;
  std::optional<EvictionCandidate> candidate;
  std::size_t max_open = 0;
  for (const auto& [address, client] : clients_) {
    const bool eligible = client.open > new_client_connections || address == new_client;
    if (!eligible || client.idle.empty() || client.open < max_open) continue;
    const auto& [sequence, idle_since] = *client.idle.begin();
    if (now - idle_since < kMinIdleTime) continue;
    if (client.open == max_open && candidate && candidate->sequence < sequence) continue;
    candidate = EvictionCandidate{address, sequence, idle_since};
    max_open = client.open;
  }
  return candidate;
}

}  // namespace stoathold
