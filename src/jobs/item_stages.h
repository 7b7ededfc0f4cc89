/// @file
/// Where each open item of the jobs that a node runs is, and since when.
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

/// What an open item waits for, in the order in which an item goes on.
enum class ItemStage : std::uint8_t {
  kJobQueued,       ///< Its job's results and progress are being read, or wait to be.
  kReadingRequest,  ///< Its request is being read, or waits to be.
  kWaitingForTurn,  ///< Its request is read; this node works on as many items as it may.
  kWaitingForSlot,  ///< At a runner.
  kQuarantined,     ///< Its request is kept from runners.
  kRunning,
  kBackingOff,  ///< After an attempt that failed, or while its route is missing.
  kWritingResult,
};

/// Stages that there are.
inline constexpr std::size_t kItemStageCount = 8;

/// Returns the stage's name for logs and metrics.
std::string_view to_string(ItemStage stage);

/// The items of one stage.
struct StageCount {
  std::size_t items = 0;
  Duration oldest{0};  ///< Longest time that one of them has been in the stage; 0: there is none.
};

/// The item of the job that this node has had for longest, of its items the one that has been in
/// its stage for longest.
struct OldestItem {
  JobKey job;
  std::optional<std::uint32_t> index;  ///< Empty: the whole job.
  ItemStage stage = ItemStage::kJobQueued;
  Duration time_in_stage{0};
  Duration time_on_node{0};  ///< Since this node took the job up.
};

/// All open items at one moment.
struct StageSummary {
  std::array<StageCount, kItemStageCount> stages{};
  std::size_t jobs_queued = 0;  ///< Whole jobs that are not read yet.
  std::size_t open_items = 0;
  std::optional<OldestItem> oldest;

  [[nodiscard]] const StageCount& of(ItemStage stage) const {
    return stages[static_cast<std::size_t>(stage)];
  }
};

/// Returns the stages that hold items, each as `name=items/seconds of the oldest`.
std::string stages_text(const StageSummary& summary);

/// One row for each open item, and one for a whole job that is not read yet. Used on one thread.
class ItemStages {
 public:
  /// A job was taken up; its items wait until it is read.
  void add_job(const JobKey& job, std::size_t items, TimePoint now);
  /// A job was read; its open items are entered one by one.
  void mark_job_read(const JobKey& job);
  /// An item of a job that was added came to a stage; the time in it goes on if it was there.
  void enter(const JobKey& job, std::uint32_t index, ItemStage stage, TimePoint now);
  /// An item is no longer open.
  void remove_item(const JobKey& job, std::uint32_t index);
  /// A job is no longer run here.
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
