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

  /// Adds the reports of an exit: as many as its parts need, each with the last part of the prompt.
  void add(const PromptPartExit& exit) {
    const std::uint64_t own_part = value_of(exit.parts.back());
    PromptPartExitReport report = make_report(exit);
    for (const PartHash part : exit.parts) {
      report.parts.push_back(value_of(part));
      const bool is_last = value_of(part) == own_part;
      const bool is_full = report.parts.size() + 1 == kMaxPartsPerReport;
      if (is_full && !is_last) report.parts.push_back(own_part);
      if (!is_full && !is_last) continue;
      exits_.add(report, exit.at);
      report.parts.clear();
    }
  }
  /// Adds a report of a part that was served at `at`.
  void add_served(PartHash part, TimePoint at) {
    served_.add({.part = static_cast<std::uint64_t>(part)}, at);
  }

  /// Returns whether there are reports that have not been sent yet.
  [[nodiscard]] bool has_unsent() const { return exits_.has_unsent() || served_.has_unsent(); }
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
  static PromptPartExitReport make_report(const PromptPartExit& exit) {
    return {.runner = exit.start.runner,
            .restarts = exit.start.restarts,
            .content = value_of(exit.content),
            .tenant = exit.tenant,
            .parts = {}};
  }

  /// With `kMaxPartsPerReport` parts each, this many reports fit into a datagram.
  static constexpr std::size_t kMaxExitsInMessage = 3;
  static constexpr std::size_t kMaxServedInMessage = 30;

  RepeatedSends<PromptPartExitReport> exits_;
  RepeatedSends<ServedPartReport> served_;
};

}  // namespace stoathold
