#include "base/event_rate_limiter.h"

namespace stoathold {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
/// Maximum number of lines of one event in a window.
constexpr std::uint32_t kMaxLinesPerWindow = 200;
/// Limit for events that are frequent and say little individually.
constexpr std::uint32_t kMaxFrequentLinesPerWindow = 40;
/// Limit for first runner choices. A failed attempt logs again what its runner was chosen from, so
/// a sample of the first choices is enough.
constexpr std::uint32_t kMaxFirstChoiceLinesPerWindow = 5;

std::uint32_t lines_per_window(Event event) {
  switch (event) {
    case Event::kRequestSent:
      return kMaxFirstChoiceLinesPerWindow;
    case Event::kRequestServed:
    case Event::kNoRoute:
    case Event::kCallerRefused:
    case Event::kDenialUnconfirmed:
    case Event::kTenantOverLimit:
    case Event::kPeerDatagramFailed:
    case Event::kRunnerListed:
      return kMaxFrequentLinesPerWindow;
    default:
      return kMaxLinesPerWindow;
  }
}

}  // namespace

LineAdmission EventRateLimiter::admit(Event event, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  Window& window = windows_[event];
  LineAdmission result;
  if (window.start == TimePoint{} || now - window.start >= kWindow) {
    result.dropped_before = window.dropped;
    window = {now, 0, 0};
  }
  result.admitted = window.written < lines_per_window(event);
  if (result.admitted) {
    ++window.written;
  } else {
    ++window.dropped;
  }
  return result;
}

}  // namespace stoathold
