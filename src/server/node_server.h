/// @file
/// The node process: worker threads, signal handling and the HTTP server of a `NodeRuntime`.
#pragma once

#include "server/settings.h"

namespace stoathold {

/// Runs a node until SIGTERM or SIGINT, then drains it and shuts it down.
/// @return the exit code of the process: 0 after a graceful shutdown, 1 if the node could not
/// start.
int run_node(const NodeSettings& settings);

}  // namespace stoathold
