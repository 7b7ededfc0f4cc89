/// @file
/// What the quarantine has to do with one request or batch item, whoever sends it to runners.
#pragma once

#include <optional>

#include "quarantine/quarantine.h"

namespace stoathold {

/// How a run at a runner ended, as far as the quarantine needs it.
struct EndedRun {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  RunStage stage = RunStage::kWaiting;
  bool progressed = false;        ///< The request was served, or the batch item got on.
  bool closed_by_runner = false;  ///< The runner closed the connection before the answer was whole.
};

/// Hashes the content when it is first needed: most requests never need it. The quarantine, and
/// what the content's parts point to, outlive it. Used on one thread.
class QuarantineCheck {
 public:
  QuarantineCheck(Quarantine& quarantine, RequestContent content)
      : quarantine_(quarantine), parts_(content) {}

  [[nodiscard]] ContentHash content();
  /// Whether the request is kept from runners now.
  [[nodiscard]] bool is_quarantined();
  /// How long it still is.
  [[nodiscard]] Duration time_left();
  /// A runner that closed its connection before the first event may have ended with the request.
  void note_run(const EndedRun& run);

 private:
  Quarantine& quarantine_;
  RequestContent parts_;
  std::optional<ContentHash> content_;
};

}  // namespace stoathold
