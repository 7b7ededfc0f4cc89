/// @file
/// Gauges of the metrics page for the stages of open items and the result bytes read.
#pragma once

#include <vector>

#include "gateway/metrics_page.h"
#include "jobs/item_stages.h"
#include "jobs/job_data_log.h"

namespace stoathold {

/// Adds the item count of each stage and the age of its oldest item, including empty stages.
void add_stage_gauges(const StageSummary& summary, std::vector<MetricValue>& gauges);

/// Adds the result bytes read from the log, with separate gauges for listings and texts.
void add_result_gauges(const ResultBytes& read, std::vector<MetricValue>& gauges);

}  // namespace stoathold
