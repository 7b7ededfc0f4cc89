#include "gateway/quarantine_page.h"

#include "base/ids.h"
#include "base/log_fields.h"

namespace stoathold {

std::string render_quarantine(const Quarantine& quarantine, TimePoint now) {
  std::string page;
  for (const QuarantineStatus& request : quarantine.status(now)) {
    page += "content=" + to_hex(value_of(request.content));
    page += " age_ms=" + milliseconds_text(request.age);
    page += " ends=" + std::to_string(request.exits);
    page += " trials=" + std::to_string(request.trials);
    page += " recorded=" + std::string(request.recorded ? "yes" : "no");
    const std::string next_trial = milliseconds_text(request.next_trial_in);
    page += " next_trial_ms=" + (request.has_trial_left ? next_trial : std::string("none"));
    page += "\n";
  }
  return page;
}

void add_quarantine_gauges(const Quarantine& quarantine, std::vector<MetricValue>& gauges) {
  gauges.push_back({"stoathold_quarantined_requests", "Requests that are kept from runners.",
                    static_cast<double>(quarantine.size())});
  gauges.push_back({"stoathold_quarantine_suspects", "Requests with which runners have ended.",
                    static_cast<double>(quarantine.suspect_count())});
  gauges.push_back({"stoathold_quarantine_part_exits",
                    "Runner exits that are evidence against prompt parts.",
                    static_cast<double>(quarantine.part_exit_count())});
}

}  // namespace stoathold
