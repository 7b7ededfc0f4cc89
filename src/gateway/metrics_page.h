/// @file
/// The gateway's metrics in the Prometheus text format.
#pragma once

#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "routing/slot_exchange.h"

namespace stoathold {

/// Label of a metric value; without a name, the value has no label.
struct MetricLabel {
  std::string name;
  std::string value;
};

/// A gauge whose value is read when the page is rendered.
struct MetricValue {
  std::string name;  ///< With the `stoathold_` prefix.
  std::string help;
  double value = 0;
  MetricLabel label{};
};

/// Adds gauges of the slots that this node lends and borrows, by zone.
/// @param zone the zone of this node.
void add_loan_gauges(const SlotExchange& exchange, const std::string& zone,
                     std::vector<MetricValue>& gauges);

/// Renders the counters of the gateway, the state of the runners and additional gauges.
/// @param gauges values of one name must be adjacent.
std::string render_gateway_metrics(const GatewayContext& context,
                                   const std::vector<MetricValue>& gauges);

}  // namespace stoathold
