#include "store/store_traffic.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/timer.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Interval between log lines; equals that of the lines on open items, so that both can be
/// compared.
constexpr Duration kLineInterval = std::chrono::seconds(5);

TrafficCount difference(const TrafficCount& now, const TrafficCount& before) {
  return {now.calls - before.calls, now.timeouts - before.timeouts,
          now.bytes_sent - before.bytes_sent, now.bytes_received - before.bytes_received,
          now.refused - before.refused};
}

/// Returns the topic without its numeric suffix: sharded topics that differ only by this suffix
/// hold one kind of record and are counted together.
std::string topic_family(const std::string& topic) {
  const std::size_t last_non_digit = topic.find_last_not_of("0123456789");
  const bool numbered = last_non_digit != std::string::npos && last_non_digit + 1 < topic.size() &&
                        topic[last_non_digit] == '-';
  return numbered ? topic.substr(0, last_non_digit) : topic;
}

}  // namespace

void StoreTraffic::add(const StoreCall& call) {
  TrafficCount& count = counts_[{call.call, topic_family(call.topic)}];
  ++count.calls;
  if (call.timed_out) ++count.timeouts;
  if (call.status == LogStatus::kNotDone) ++count.refused;
  count.bytes_sent += call.bytes_sent;
  count.bytes_received += call.bytes_received;
}

StoreTraffic::Counts StoreTraffic::take_delta() {
  Counts changes;
  for (const auto& [kind, count] : counts_) {
    TrafficCount& reported = reported_[kind];
    if (count == reported) continue;
    changes[kind] = difference(count, reported);
    reported = count;
  }
  return changes;
}

std::string traffic_text(const StoreTraffic::Counts& counts) {
  std::string text;
  for (const auto& [kind, count] : counts) {
    if (!text.empty()) text += ",";
    text += kind.first + ":" + kind.second + "=" + std::to_string(count.calls) + "/" +
            std::to_string(count.bytes_sent) + "/" + std::to_string(count.bytes_received);
    if (count.timeouts > 0) text += "/" + std::to_string(count.timeouts);
  }
  return text;
}

asio::awaitable<void> log_store_traffic(StoreTraffic& traffic) {
  Timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kLineInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const StoreTraffic::Counts changes = traffic.take_delta();
    if (changes.empty()) continue;
    TrafficCount total;
    for (const auto& [kind, count] : changes) {
      total.calls += count.calls;
      total.timeouts += count.timeouts;
      total.refused += count.refused;
      total.bytes_sent += count.bytes_sent;
      total.bytes_received += count.bytes_received;
    }
    log_event(Event::kStoreTraffic, {{"calls", std::to_string(total.calls)},
                                     {"time_outs", std::to_string(total.timeouts)},
                                     {"refused", std::to_string(total.refused)},
                                     {"bytes_sent", std::to_string(total.bytes_sent)},
                                     {"bytes_answered", std::to_string(total.bytes_received)},
                                     {"by_topic", traffic_text(changes)}});
  }
}

}  // namespace stoathold
