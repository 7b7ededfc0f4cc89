/// @file
/// The jobs of one partition of the jobs topic: a fold of its records.
#pragma once

#include <functional>
#include <map>

#include "jobs/job_records.h"
#include "store/partition_replica.h"

namespace stoathold {

/// One job as the log holds it.
struct JobEntry {
  JobSubmission submission;
  bool ended = false;                 ///< Its submitter ended it: nothing more is run.
  bool finished = false;              ///< All of its items are listed.
  std::uint64_t finished_tokens = 0;  ///< Of its listed items, as last reported; may lag.

  [[nodiscard]] bool open() const { return !ended && !finished; }
};

/// Folds records in the order of their offsets; equal at all nodes that have read as far.
class JobTable final : public RecordSink {
 public:
  /// Called after a job was added, was ended or was finished; one that is erased counts as
  /// finished.
  using Listener = std::function<void(const JobKey&, const JobEntry&)>;

  explicit JobTable(Listener listener) : listener_(std::move(listener)) {}

  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest) override;

  /// Returns the job, or null.
  [[nodiscard]] const JobEntry* find(const JobKey& key) const;
  [[nodiscard]] const std::map<JobKey, JobEntry>& jobs() const { return jobs_; }
  /// Tokens of a tenant's items on a route that wait or run, over all nodes. Never too low.
  [[nodiscard]] std::uint64_t queued_tokens(const std::string& route,
                                            const std::string& tenant) const;

 private:
  void apply_submission(const JobKey& key, const StoredRecord& record);
  void remove(const JobKey& key);
  void notify(const JobKey& key, const JobEntry& job) const;

  Listener listener_;
  std::map<JobKey, JobEntry> jobs_;
  bool replaying_ = false;  ///< The newest records are applied in place of a lost history.
};

}  // namespace stoathold
