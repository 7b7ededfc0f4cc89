/// @file
/// Quarantine handling of a single request or batch item.
#pragma once

#include <optional>

#include "quarantine/prompt_parts.h"
#include "quarantine/quarantine.h"

namespace stoathold {

/// Result of a run at a runner, as far as it affects the quarantine.
struct FinishedRun {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  TimePoint connected{};     ///< When its connection began to be opened.
  RunStage stage = RunStage::kWaiting;
  bool reached_live_runner = true;  ///< `ClosedRun::reached_live_runner`.
  bool progressed = false;          ///< The request was served, or the batch item made progress.
  /// The runner closed the connection before the response was complete.
  bool closed_by_runner = false;
};

/// Hashes the content lazily, because most requests never need the hash. The quarantine and the
/// data to which the content refers must outlive it. Used on one thread.
class QuarantineCheck {
 public:
  QuarantineCheck(Quarantine& quarantine, RequestContent content)
      : quarantine_(quarantine), parts_(content) {}

  /// @param prompt_prefix the parts of the prompt, `id:tokens,id:tokens,...`.
  void set_prompt_prefix(std::string_view prompt_prefix) { prompt_prefix_ = prompt_prefix; }

  [[nodiscard]] ContentHash content();
  /// Returns the ids of the prompt's parts, for logs.
  [[nodiscard]] std::string parts_text() const { return prompt_parts_text(prompt_prefix_); }
  /// Returns whether the request is quarantined now.
  [[nodiscard]] bool is_quarantined();
  /// Returns whether the request may only be sent to a runner that has just responded.
  [[nodiscard]] bool requires_live_runner();
  /// Returns whether a trial of the request may be claimed now.
  [[nodiscard]] bool is_trial_due();
  /// Returns the time until the request may be tried or its quarantine expires.
  [[nodiscard]] Duration retry_after();
  /// Records a finished run. If the runner closed its connection before the first event, it may
  /// have exited because of the request.
  void record_run(const FinishedRun& run);

 private:
  Quarantine& quarantine_;
  RequestContent parts_;
  std::string_view prompt_prefix_;
  std::optional<ContentHash> content_;
};

}  // namespace stoathold
