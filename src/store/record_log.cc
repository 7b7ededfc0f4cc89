#include "store/record_log.h"

namespace stoathold {

std::string_view to_string(LogStatus status) {
  switch (status) {
    case LogStatus::kOk:
      return "ok";
    case LogStatus::kConflict:
      return "conflict";
    case LogStatus::kTruncated:
      return "truncated";
    case LogStatus::kNotDone:
      return "not_done";
    case LogStatus::kRejected:
      return "rejected";
    case LogStatus::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace stoathold
