// Names of the outcomes of steps, and access to headers of responses.
#include "gateway/upstream.h"

namespace stoathold {

std::string_view to_string(UpstreamStatus status) {
  switch (status) {
    case UpstreamStatus::kOk:
      return "ok";
    case UpstreamStatus::kNotSent:
      return "not_sent";
    case UpstreamStatus::kUnsendable:
      return "unsendable";
    case UpstreamStatus::kBroken:
      return "broken";
    case UpstreamStatus::kTimeout:
      return "timeout";
    case UpstreamStatus::kCancelled:
      break;
  }
  return "cancelled";
}

std::string_view UpstreamHead::header(std::string_view name) const {
  return find_header(headers, name);
}

}  // namespace stoathold
