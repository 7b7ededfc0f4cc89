/// @file
/// The stages of open items and what was read of results as gauges of the metrics page.
#pragma once

#include <vector>

#include "gateway/metrics_page.h"
#include "jobs/item_stages.h"
#include "jobs/job_data_log.h"

namespace stoathold {

/// Adds the items of each stage and the age of the oldest in it, empty stages too.
void add_stage_gauges(const StageSummary& summary, std::vector<MetricValue>& gauges);

/// Adds what was read of results, lists and texts apart.
void add_result_gauges(const ResultBytes& read, std::vector<MetricValue>& gauges);

}  // namespace stoathold
