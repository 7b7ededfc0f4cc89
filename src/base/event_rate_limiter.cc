#include "base/event_rate_limiter.h"

namespace stoathold {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
/// Lines of one event in a window.
constexpr std::uint32_t kLinesPerWindow = 200;
/// What is many at a time and says little by itself: fewer lines of it are kept.
constexpr std::uint32_t kSuccessLinesPerWindow = 40;
/// A failed attempt tells again from what its runner was chosen, so of first choices a sample does.
constexpr std::uint32_t kFirstChoiceLinesPerWindow = 5;

std::uint32_t limit_of(Event event) {
  switch (event) {
    case Event::kRequestSent:
      return kFirstChoiceLinesPerWindow;
    case Event::kRequestServed:
    case Event::kNoRoute:
    case Event::kCallerRefused:
    case Event::kDenialUnconfirmed:
    case Event::kTenantOverLimit:
    case Event::kPeerDatagramFailed:
    case Event::kRunnerListed:
      return kSuccessLinesPerWindow;
    default:
      return kLinesPerWindow;
  }
}

}  // namespace

LineAdmission EventRateLimiter::admit(Event event, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  Window& window = windows_[event];
  LineAdmission result;
  if (window.start == TimePoint{} || now - window.start >= kWindow) {
    result.left_out_before = window.left_out;
    window = {now, 0, 0};
  }
  result.admitted = window.written < limit_of(event);
  if (result.admitted) {
    ++window.written;
  } else {
    ++window.left_out;
  }
  return result;
}

}  // namespace stoathold
