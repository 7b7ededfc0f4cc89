/// @file
/// Test helper that writes results as nodes do, with retries until they are durable.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <vector>

#include "jobs/job_store.h"

namespace stoathold {

/// Appends results of a job; retries until the append succeeds or `running` returns false.
/// @param make returns the records; called for each attempt, since each needs new keys.
/// @return whether an append succeeded.
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

/// Appends a result whose text takes several appends, likewise.
inline boost::asio::awaitable<bool> append_multipart(JobStore& store, ItemResult result,
                                                     MultipartResult appends,
                                                     std::function<bool()> running) {
  const PartitionName partition = store.partition_of(JobData::kResults, result.job);
  while (!appends.is_complete()) {
    if (!running()) co_return false;
    std::vector<KeyedRecord> records = appends.next_append(result);
    appends.observe(co_await store.append_records(partition, std::move(records)));
  }
  co_return true;
}

}  // namespace stoathold
