/// @file
/// The current stage of each open item of the jobs that a node runs, and when it was entered.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "jobs/job_records.h"

namespace stoathold {

/// Stage of an open item, in the usual order of processing.
enum class ItemStage : std::uint8_t {
  kJobQueued,       ///< The results and progress of its job are queued or being read.
  kReadingRequest,  ///< Its request is queued or being read.
  kWaitingForTurn,  ///< Its request is read; the node is at its item concurrency limit.
  kWaitingForSlot,  ///< Waits for a free slot of a runner.
  kQuarantined,     ///< Its request is quarantined and not sent to runners.
  kRunning,
  kBackingOff,  ///< Waits after a failed attempt, or while its route is missing.
  kWritingResult,
};

inline constexpr std::size_t kItemStageCount = 8;

/// Returns the stage's name for logs and metrics.
std::string_view to_string(ItemStage stage);

/// Statistics of the items in one stage.
struct StageCount {
  std::size_t items = 0;
  Duration oldest{0};  ///< Longest time that an item has been in the stage; 0 if there is none.
};

/// The oldest open item: of the job that this node has run for longest, the item that has been in
/// its stage for longest.
struct OldestItem {
  JobKey job;
  std::optional<std::uint32_t> index;  ///< Empty if the job has not been read yet.
  ItemStage stage = ItemStage::kJobQueued;
  Duration time_in_stage{0};
  Duration time_on_node{0};  ///< Time since this node started the job.
};

/// Summary of all open items at one point in time.
struct StageSummary {
  std::array<StageCount, kItemStageCount> stages{};
  std::size_t jobs_queued = 0;  ///< Jobs that have not been read yet.
  std::size_t open_items = 0;
  std::optional<OldestItem> oldest;

  [[nodiscard]] const StageCount& of(ItemStage stage) const {
    return stages[static_cast<std::size_t>(stage)];
  }
};

/// Returns the non-empty stages as a comma-separated list of `name=items/seconds of the oldest`.
std::string stages_text(const StageSummary& summary);

/// Tracks the stage of each open item; a job that has not been read yet is tracked as a whole. Not
/// thread-safe.
class ItemStages {
 public:
  /// Adds a job that this node started; its items are in `kJobQueued` until it has been read.
  void add_job(const JobKey& job, std::size_t items, TimePoint now);
  /// Records that a job has been read; its open items are then added by calls to `enter`.
  void mark_job_read(const JobKey& job);
  /// Sets the stage of an item; ignored if its job is unknown. The time in the stage continues if
  /// the item already was in it.
  void enter(const JobKey& job, std::uint32_t index, ItemStage stage, TimePoint now);
  /// Removes an item that is no longer open.
  void remove_item(const JobKey& job, std::uint32_t index);
  /// Removes a job that this node no longer runs.
  void remove_job(const JobKey& job);

  [[nodiscard]] bool empty() const { return jobs_.empty(); }
  [[nodiscard]] StageSummary summary(TimePoint now) const;

 private:
  struct Row {
    ItemStage stage = ItemStage::kJobQueued;
    TimePoint since{};
  };
  struct Job {
    TimePoint since{};
    std::size_t unread_items = 0;
    bool read = false;
    std::map<std::uint32_t, Row> items;
  };

  std::map<JobKey, Job> jobs_;
};

}  // namespace stoathold
