/// @file
/// Writing results in tests as nodes do: again and again until they are durable.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <vector>

#include "jobs/job_store.h"

namespace stoathold {

/// Appends results of a job; tries until it is done or `running` ends.
/// @param make called for each try, since a result needs a new key each time.
/// @return whether it was done.
inline boost::asio::awaitable<bool> append_results(
    JobStore& store, JobKey job, std::function<std::vector<KeyedRecord>()> make,
    std::function<bool()> running = [] { return true; }) {
  const PartitionName partition = store.partition_of(JobData::kResults, job);
  while (running()) {
    std::vector<KeyedRecord> records = make();
    const LogStatus status = co_await store.append_records(partition, std::move(records));
    if (status == LogStatus::kOk) co_return true;
  }
  co_return false;
}

}  // namespace stoathold
