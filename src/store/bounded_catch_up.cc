#include "store/bounded_catch_up.h"

#include <boost/asio/use_awaitable.hpp>

namespace stoathold {
namespace {

/// Maximum wait of a caller. A read takes about 10 ms.
constexpr Duration kTimeout = std::chrono::milliseconds(300);
/// Time after a failure during which callers fail at once.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(300);

}  // namespace

boost::asio::awaitable<bool> BoundedCatchUp::run() {
  const TimePoint now = monotonic_now();
  const bool failed_recently =
      last_failure_ != TimePoint{} && now - last_failure_ < kFailureBackoff;
  if (failed_recently) co_return false;
  const CoalescedRead::Read read = [replica = replica_] { return replica->catch_up(); };
  const LogStatus status = co_await reads_.run(read, now + kTimeout);
  if (status != LogStatus::kOk) last_failure_ = monotonic_now();
  co_return status == LogStatus::kOk;
}

}  // namespace stoathold
