#include "gateway/choice_fields.h"

#include "base/log_fields.h"

namespace stoathold {

std::string choice_text(const Selection& choice, TimePoint now) {
  std::string text = "candidates=" + std::to_string(choice.candidates);
  text += ",load=" + decimal_text(choice.load);
  text += ",load_age_ms=" + choice.runner->load_age_text(now);
  text += ",unread=" + std::to_string(choice.backlog_tokens);
  if (choice.expected) {
    const RunnerSpeed& speed = choice.runner->speed();
    text += ",first_event_ms=" + milliseconds_text(choice.expected->first_event);
    text += ",event_gap_ms=" + milliseconds_text(choice.expected->event_gap);
    text += ",slowness=" + std::to_string(speed.reported_percent());
    text += ",slowness_age_ms=" + milliseconds_text(now - speed.reported_at());
    text += ",relative_time=" + decimal_text(speed.relative_time());
    text += ",rule=better_of_two";
    return text;
  }
  text += choice.warm ? ",rule=warm" : ",rule=least_cost";
  return text;
}

}  // namespace stoathold
