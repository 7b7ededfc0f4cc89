/// @file
/// Export of the node's metrics in the Prometheus text format.
#pragma once

#include <string>

namespace stoathold {

class NodeRuntime;

/// Returns the current counters and gauges of the node, serialised by prometheus-cpp.
std::string render_metrics(NodeRuntime& runtime);

}  // namespace stoathold
