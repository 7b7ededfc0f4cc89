#include "gateway/peer_gauges.h"

#include <array>
#include <cstdint>

namespace stoathold {

void add_loan_gauges(const SlotExchange& exchange, const std::string& zone,
                     std::vector<MetricValue>& gauges) {
  const TimePoint now = monotonic_now();
  const SlotExchangeCounts counts = exchange.counts();
  gauges.push_back({"stoathold_slots_lent",
                    "Slots of this zone that this node lends to others.",
                    static_cast<double>(counts.lent_now),
                    {"zone", zone}});
  for (const std::string& other : exchange.zones()) {
    gauges.push_back({"stoathold_slots_borrowed",
                      "Slots of other zones that this node holds.",
                      static_cast<double>(exchange.borrowed_from(other, now)),
                      {"zone", other}});
  }
  gauges.push_back(
      {"stoathold_loans_granted", "Slots lent since the start.", static_cast<double>(counts.lent)});
  gauges.push_back({"stoathold_loans_refused", "Requests of other zones that got no slot.",
                    static_cast<double>(counts.refused)});
  gauges.push_back({"stoathold_loans_expired", "Slots of loans that nobody renewed.",
                    static_cast<double>(counts.expired)});
}

namespace {

void add_traffic(const PeerTraffic& traffic, std::vector<MetricValue>& gauges) {
  struct Column {
    const char* name;
    const char* help;
    std::uint64_t PeerMessageCount::*value;
  };
  constexpr std::array kColumns{
      Column{"stoathold_peer_messages_sent", "Messages sent to other nodes since the start.",
             &PeerMessageCount::messages_sent},
      Column{"stoathold_peer_bytes_sent", "Bytes of these messages.",
             &PeerMessageCount::bytes_sent},
      Column{"stoathold_peer_messages_received", "Messages received from other nodes.",
             &PeerMessageCount::messages_received},
      Column{"stoathold_peer_bytes_received", "Bytes of these messages.",
             &PeerMessageCount::bytes_received}};
  for (const Column& column : kColumns) {
    for (const auto& [purpose, count] : traffic.counts()) {
      const auto value = static_cast<double>(count.*column.value);
      gauges.push_back({column.name, column.help, value, {"purpose", std::string(purpose)}});
    }
  }
}

void add_reads(const TopicReadCounts& counts, std::vector<MetricValue>& gauges) {
  const auto add = [&gauges](const std::string& source, std::uint64_t count) {
    gauges.push_back({"stoathold_topic_reads",
                      "Reads of followed topics since the start, by where they were answered.",
                      static_cast<double>(count),
                      {"source", source}});
  };
  add("log", counts.from_log);
  add("peer", counts.from_peer);
  add("failed_peer", counts.peer_failures);
}

}  // namespace

void add_peer_gauges(const PeerTraffic& traffic, const TopicReadCounts& reads,
                     std::vector<MetricValue>& gauges) {
  add_traffic(traffic, gauges);
  add_reads(reads, gauges);
}

}  // namespace stoathold
