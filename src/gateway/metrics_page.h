/// @file
/// The gateway's metrics in Prometheus text form.
#pragma once

#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "routing/slot_exchange.h"

namespace stoathold {

/// What tells values of one name apart; no name: there is only one.
struct MetricLabel {
  std::string name;
  std::string value;
};

/// A value that is read when the page is made.
struct MetricValue {
  std::string name;  ///< With the `stoathold_` prefix.
  std::string help;
  double value = 0;
  MetricLabel label{};
};

/// Adds what this node lends and has borrowed, by zone.
/// @param zone of this node.
void add_loan_gauges(const SlotExchange& exchange, const std::string& zone,
                     std::vector<MetricValue>& gauges);

/// Renders the counters of the gateway, the state of the runners and further gauges.
/// Those of one name stand together.
std::string render_gateway_metrics(const GatewayContext& context,
                                   const std::vector<MetricValue>& gauges);

}  // namespace stoathold
