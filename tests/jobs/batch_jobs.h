/// @file
/// Small jobs and their route, for tests.
#pragma once

#include <string>

#include "base/time.h"
#include "jobs/job_store.h"
#include "routing/configuration.h"

namespace stoathold {

/// Returns a job with short requests, whose items are named after it.
inline NewJob make_batch_job(const std::string& host, const std::string& id, std::size_t items) {
  NewJob job;
  job.submission.id = id;
  job.submission.host = host;
  job.submission.path = "/drafts/";
  job.submission.route = "drafts";
  job.submission.submitted_ms = wall_clock_ms();
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item;
    item.id = id + "-" + std::to_string(i);
    job.submission.items.push_back(item);
    job.requests.push_back(encode(ItemRequest{"/drafts/1", {}, {}}));
  }
  return job;
}

/// Returns the route of these jobs.
/// @param item_retention 0: none.
inline Route make_batch_route(const std::string& host, Duration item_retention) {
  Route route;
  route.name = "drafts";
  route.host = host;
  route.path_prefix = "/drafts/";
  route.kind = RouteKind::kBatch;
  route.services = {{"chat", 1}};
  route.max_attempts = 2;
  route.item_retention = item_retention;
  return route;
}

}  // namespace stoathold
