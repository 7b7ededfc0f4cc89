/// @file
/// The results of the jobs of one partition of the results topic: a fold of its records.
#pragma once

#include <map>
#include <set>

#include "jobs/job_records.h"
#include "store/partition_replica.h"

namespace stoathold {

/// A result at its fixed position.
struct ListedResult {
  std::uint32_t item = 0;
  ItemState state = ItemState::kCompleted;
  std::string text;
};

/// What is known of a job's items.
struct JobResults {
  std::vector<ListedResult> listed;  ///< In the order of positions; only grows.
  std::set<std::uint32_t> listed_items;
};

/// Folds records in the order of their offsets: of an item's results the first counts, and its
/// place among the job's first results is its position.
class ResultTable final : public RecordSink {
 public:
  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest) override;

  /// Returns what is known of a job; empty if nothing is.
  [[nodiscard]] const JobResults& of_job(const JobKey& key) const;

 private:
  std::map<JobKey, JobResults> jobs_;
};

/// The newest progress of the items of one partition of the progress topic.
class ProgressTable final : public RecordSink {
 public:
  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest) override;

  /// Returns how far an item came, or null.
  [[nodiscard]] const ItemProgress* find(const JobKey& job, std::uint32_t item) const;

 private:
  std::map<std::pair<JobKey, std::uint32_t>, ItemProgress> items_;
};

}  // namespace stoathold
