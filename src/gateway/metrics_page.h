/// @file
/// The gateway's metrics in the Prometheus text format.
#pragma once

#include <string>
#include <vector>

#include "gateway/gateway_context.h"

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

/// Renders the counters of the gateway, the state of the runners and additional gauges.
/// @param gauges values of one name must be adjacent.
std::string render_gateway_metrics(const GatewayContext& context,
                                   const std::vector<MetricValue>& gauges);

}  // namespace stoathold
