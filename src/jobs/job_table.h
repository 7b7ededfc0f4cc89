/// @file
/// Materialized view of one partition of the jobs topic.
#pragma once

#include <functional>
#include <map>

#include "jobs/job_records.h"
#include "store/partition_replica.h"

namespace stoathold {

/// State of one job as recorded in the log.
struct JobEntry {
  JobSubmission submission;
  bool cancelled = false;             ///< Cancelled by its submitter; no more items are run.
  bool finished = false;              ///< Each of its items has a listed result.
  std::uint64_t finished_tokens = 0;  ///< Of its listed items, as last reported; may lag.

  [[nodiscard]] bool open() const { return !cancelled && !finished; }
};

/// Applies records in offset order. Nodes that have applied the same records have the same state.
class JobTable final : public RecordSink {
 public:
  /// Called after a job is added, cancelled or finished. An erased job is reported as finished.
  using Listener = std::function<void(const JobKey&, const JobEntry&)>;

  explicit JobTable(Listener listener) : listener_(std::move(listener)) {}

  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest, RecordOffset end) override;

  /// Returns the job, or null if the table does not contain it.
  [[nodiscard]] const JobEntry* find(const JobKey& key) const;
  [[nodiscard]] const std::map<JobKey, JobEntry>& jobs() const { return jobs_; }
  /// Returns the tokens of a tenant's queued and running items on a route, over all nodes. Progress
  /// counts lag, so the value may be too high but never too low.
  [[nodiscard]] std::uint64_t queued_tokens(const std::string& route,
                                            const std::string& tenant) const;

 private:
  void apply_submission(const JobKey& key, const StoredRecord& record);
  void remove(const JobKey& key);
  void notify(const JobKey& key, const JobEntry& job) const;

  Listener listener_;
  std::map<JobKey, JobEntry> jobs_;
  bool replaying_ = false;  ///< `reset` is applying records; listener calls are deferred.
};

}  // namespace stoathold
