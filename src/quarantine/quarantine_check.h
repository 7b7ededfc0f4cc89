/// @file
/// Quarantine handling of a single request or batch item.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace stoathold {

/// Result of a run at a runner, as far as it affects the quarantine.
struct FinishedRun {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  TimePoint connected{};     ///< When its connection began to be opened.
  RunStage stage = RunStage::kWaiting;
  bool reached_live_runner = true;  ///< `ClosedRun::reached_live_runner`.
  bool progressed = false;          ///< The request was served, or the batch item made progress.
  bool delivered_events = false;    ///< Events of a successful response were received.
  /// The runner closed the connection before the response was complete.
  bool closed_by_runner = false;
};

/// Whose runs a check records.
enum class RequestSource : std::uint8_t {
  kOnline,     ///< A caller's request, which may be what makes runners exit.
  kBatchItem,  ///< Never makes runners exit by itself: only its progress is recorded.
};

/// Hashes the content and the prompt parts lazily, because most requests never need the hashes. The
/// quarantine and the data to which the arguments refer must outlive it. Used on one thread.
class QuarantineCheck {
 public:
  QuarantineCheck(Quarantine& quarantine, RequestContent content, RequestSource source)
      : quarantine_(quarantine), parts_(content), source_(source) {}

  /// Sets the service that runs the request. While it is empty, prompt parts are not checked.
  void set_service(std::string_view service);
  /// @param prompt_prefix the parts of the prompt, `id:tokens,id:tokens,...`.
  void set_prompt_prefix(std::string_view prompt_prefix) { prompt_prefix_ = prompt_prefix; }

  [[nodiscard]] ContentHash content();
  /// Returns whether the request, or a part of its prompt, is quarantined now.
  [[nodiscard]] bool is_quarantined();
  /// Returns whether the request must not be sent yet after runner exits. Batch items have a
  /// backoff of their own.
  [[nodiscard]] bool is_backing_off();
  /// Returns whether the request must not be sent now, unless as a trial.
  [[nodiscard]] bool is_held_back() { return is_quarantined() || is_backing_off(); }
  /// Records that the request was sent to a runner.
  void record_send();
  /// Returns whether the request may only be sent to a runner that has just responded.
  [[nodiscard]] bool requires_live_runner();
  /// Returns whether a trial of the request may be claimed now.
  [[nodiscard]] bool is_trial_due();
  /// Returns the trials that the request has to claim to be run: one of each quarantine that
  /// applies to it, so that none is tried more often than allowed.
  [[nodiscard]] std::vector<QuarantineTrial> trials();
  /// Returns the time until the request may be sent or tried, or its quarantine expires.
  [[nodiscard]] Duration retry_after();
  /// Returns the ids of the prompt's parts, for logs.
  [[nodiscard]] std::string parts_text() const { return prompt_parts_text(prompt_prefix_); }
  /// Returns the ids of its quarantined parts, separated by commas, for logs.
  [[nodiscard]] std::string quarantined_parts_text();
  /// Records that the first event of a successful response was received.
  void record_first_event();
  /// Records a finished run. If the runner closed its connection before the first event, it may
  /// have exited because of an online request.
  void record_run(const FinishedRun& run);

 private:
  /// A quarantine that applies to the request.
  struct AppliedQuarantine {
    ContentHash key{};
    QuarantineScope scope = QuarantineScope::kRequest;
    std::size_t part = 0;  ///< Index in `part_hashes()`, for `kPromptPart`.
  };

  /// Calls `visit` with each quarantine that applies now, until it returns true.
  /// @return whether it returned true.
  bool visit_quarantines(TimePoint now, const std::function<bool(const AppliedQuarantine&)>& visit);
  const std::vector<PartHash>& part_hashes();
  [[nodiscard]] std::uint64_t tenant() const;
  [[nodiscard]] TrialLimit trial_limit() const {
    return source_ == RequestSource::kBatchItem ? TrialLimit::kNone : TrialLimit::kBounded;
  }
  void record_part_exit(const ClosedRun& run, TimePoint now);

  Quarantine& quarantine_;
  RequestContent parts_;
  RequestSource source_;
  std::string_view prompt_prefix_;
  std::string service_;
  std::optional<ContentHash> content_;
  std::optional<std::vector<PartHash>> part_hashes_;
};

}  // namespace stoathold
