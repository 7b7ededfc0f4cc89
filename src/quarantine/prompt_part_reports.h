/// @file
/// Reports about prompt parts that wait to be sent to one group of nodes.
#pragma once

#include "base/ids.h"
#include "base/saturating_cast.h"
#include "quarantine/prompt_part_exits.h"
#include "quarantine/prompt_part_messages.h"
#include "quarantine/repeated_sends.h"

namespace stoathold {

/// Queue of reports that are sent several times, because datagrams may be lost. Used on one thread.
class PendingPartReports {
 public:
  /// @param repeats how often each report is sent.
  explicit PendingPartReports(int repeats)
      : exits_(repeats, kMaxExitsInMessage), served_(repeats, kMaxServedInMessage) {}

  /// Adds a report of an exit.
  void add(const PromptPartExit& exit) {
    PromptPartExitReport report{.runner = exit.start.runner,
                                .restarts = exit.start.restarts,
                                .content = value_of(exit.content),
                                .tenant = exit.tenant,
                                .parts = {}};
    for (const PartHash part : exit.parts) report.parts.push_back(static_cast<std::uint64_t>(part));
    exits_.add(report, exit.at);
  }
  /// Adds a report of a part that was served at `at`.
  void add_served(PartHash part, TimePoint at) {
    served_.add({.part = static_cast<std::uint64_t>(part)}, at);
  }

  /// Returns the reports of the next datagram.
  PromptPartReports next(TimePoint now) {
    PromptPartReports reports;
    for (auto& entry : exits_.next()) {
      entry.message.ms_ago = saturating_milliseconds(now - entry.at);
      reports.exits.push_back(std::move(entry.message));
    }
    for (auto& entry : served_.next()) {
      entry.message.ms_ago = saturating_milliseconds(now - entry.at);
      reports.served.push_back(entry.message);
    }
    return reports;
  }

 private:
  /// With `kMaxPartsPerPrompt` parts each, this many reports fit into a datagram.
  static constexpr std::size_t kMaxExitsInMessage = 3;
  static constexpr std::size_t kMaxServedInMessage = 30;

  RepeatedSends<PromptPartExitReport> exits_;
  RepeatedSends<ServedPartReport> served_;
};

}  // namespace stoathold
