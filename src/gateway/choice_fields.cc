#include "gateway/choice_fields.h"

#include "gateway/log_fields.h"

namespace stoathold {

std::string choice_text(const Selection& choice, TimePoint now) {
  std::string text = "candidates=" + std::to_string(choice.candidates);
  text += ",load=" + decimal_text(choice.load);
  text += ",load_age_ms=" + choice.runner->load_age_text(now);
  text += ",unread=" + std::to_string(choice.backlog_tokens);
  text += choice.warm ? ",rule=warm" : ",rule=least_cost";
  return text;
}

}  // namespace stoathold
