#include "store/append_with_retry.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/timer.h"

namespace stoathold {

namespace asio = boost::asio;

asio::awaitable<AppendResult> append_with_retry(asio::any_io_executor executor, RecordLog& log,
                                                PartitionName partition,
                                                std::vector<KeyedRecord> records,
                                                TimePoint deadline, BackoffBounds backoff_bounds) {
  Backoff backoff(backoff_bounds);
  Timer timer(executor);
  while (true) {
    const AppendResult result = co_await log.append(partition, records, std::nullopt);
    if (result.status == LogStatus::kOk || result.status == LogStatus::kRejected) co_return result;
    const Duration wait = backoff.next();
    if (monotonic_now() + wait >= deadline) co_return result;
    timer.expires_after(wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace stoathold
