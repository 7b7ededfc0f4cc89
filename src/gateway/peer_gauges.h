/// @file
/// Gauges of what this node exchanges with other nodes.
#pragma once

#include <string>
#include <vector>

#include "gateway/metrics_page.h"
#include "routing/peer_traffic.h"
#include "routing/slot_exchange.h"
#include "store/peer_topic_reader.h"

namespace stoathold {

/// Adds gauges of the slots that this node lends and borrows, by zone.
/// @param zone the zone of this node.
void add_loan_gauges(const SlotExchange& exchange, const std::string& zone,
                     std::vector<MetricValue>& gauges);

/// Adds gauges of the messages exchanged with other nodes, by purpose, and of the reads of the
/// topics that all nodes follow, by where they were answered.
void add_peer_gauges(const PeerTraffic& traffic, const TopicReadCounts& reads,
                     std::vector<MetricValue>& gauges);

}  // namespace stoathold
