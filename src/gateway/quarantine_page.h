/// @file
/// What operators see of the quarantine.
#pragma once

#include <string>
#include <vector>

#include "gateway/metrics_page.h"
#include "quarantine/quarantine.h"

namespace stoathold {

/// Renders one line of text per quarantined request: its content hash, which is the key of its log
/// record, its age, and the evidence.
std::string render_quarantine(const Quarantine& quarantine, TimePoint now);

/// Adds gauges of the numbers of quarantined and suspected requests.
void add_quarantine_gauges(const Quarantine& quarantine, std::vector<MetricValue>& gauges);

}  // namespace stoathold
