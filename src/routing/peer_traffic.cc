#include "routing/peer_traffic.h"

#include "base/event_log.h"

namespace stoathold {
namespace {

PeerMessageCount difference(const PeerMessageCount& now, const PeerMessageCount& before) {
  return {now.messages_sent - before.messages_sent, now.bytes_sent - before.bytes_sent,
          now.messages_received - before.messages_received,
          now.bytes_received - before.bytes_received};
}

}  // namespace

void PeerTraffic::add_sent(std::string_view purpose, std::size_t bytes) {
  PeerMessageCount& count = counts_[purpose];
  ++count.messages_sent;
  count.bytes_sent += bytes;
}

void PeerTraffic::add_received(std::string_view purpose, std::size_t bytes) {
  PeerMessageCount& count = counts_[purpose];
  ++count.messages_received;
  count.bytes_received += bytes;
}

void PeerTraffic::log_periodically(TimePoint now) {
  if (now - last_logged_ < kLogInterval) return;
  last_logged_ = now;
  Counts changes;
  for (const auto& [purpose, count] : counts_) {
    if (count != logged_[purpose]) changes[purpose] = difference(count, logged_[purpose]);
  }
  if (changes.empty()) return;
  logged_ = counts_;
  log_event(Event::kPeerTraffic, {{"by_purpose", peer_traffic_text(changes)}});
}

std::string peer_traffic_text(const PeerTraffic::Counts& counts) {
  std::string text;
  for (const auto& [purpose, count] : counts) {
    if (!text.empty()) text += ",";
    text += std::string(purpose) + "=" + std::to_string(count.messages_sent) + "/" +
            std::to_string(count.bytes_sent) + "/" + std::to_string(count.messages_received) + "/" +
            std::to_string(count.bytes_received);
  }
  return text;
}

}  // namespace stoathold
