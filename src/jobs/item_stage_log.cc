#include "jobs/item_stage_log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/log_fields.h"
#include "base/timer.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Interval between log lines. Short enough that an item that is stuck for as long as its
/// completion objective appears in several lines.
constexpr Duration kLogInterval = std::chrono::seconds(5);

}  // namespace

ItemStageLog::ItemStageLog(asio::any_io_executor executor, const ItemStages& stages,
                           ItemIdLookup item_id_lookup)
    : executor_(std::move(executor)), stages_(stages), item_id_lookup_(std::move(item_id_lookup)) {}

void ItemStageLog::log_summary() const {
  const StageSummary summary = stages_.summary(monotonic_now());
  if (!summary.oldest) return;
  const OldestItem& oldest = *summary.oldest;
  log_event(Event::kItemsOpen,
            {{"items", std::to_string(summary.open_items)},
             {"jobs_queued", std::to_string(summary.jobs_queued)},
             {"stages", stages_text(summary)},
             {"job", oldest.job},
             {"item", oldest.index ? item_id_lookup_(oldest.job, *oldest.index) : std::string()},
             {"stage", std::string(to_string(oldest.stage))},
             {"stage_ms", milliseconds_text(oldest.time_in_stage)},
             {"here_ms", milliseconds_text(oldest.time_on_node)}});
}

asio::awaitable<void> ItemStageLog::run(std::function<bool()> running) const {
  Timer timer(executor_);
  while (running()) {
    timer.expires_after(kLogInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    log_summary();
  }
}

}  // namespace stoathold
