/// @file
/// The stages of open items as gauges of the metrics page.
#pragma once

#include <vector>

#include "gateway/metrics_page.h"
#include "jobs/item_stages.h"

namespace stoathold {

/// Adds the items of each stage and the age of the oldest in it, empty stages too.
void add_stage_gauges(const StageSummary& summary, std::vector<MetricValue>& gauges);

}  // namespace stoathold
