#include "store/peer_topic_reader.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "base/event_log.h"
#include "store/topic_page.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Timeout of a call to another node, in addition to the wait that it requests and to the one for a
/// node that is still reading.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1000);
/// Longest wait that is requested from another node. It bounds, with `kPeerTimeout`, the delay that
/// a node causes that has died.
constexpr Duration kMaxPeerWait = std::chrono::milliseconds(1000);
/// Age up to which another node's claim is believed that there are no more records. The log
/// confirms it to the first node with reads of 2 s, and each node on the way adds up to
/// `kMaxPeerWait`. A node whose own reads fail says so, whatever the age.
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(10);

/// Longest time for which other nodes are given to read the partition first. If all nodes of a
/// large fleet start together and read the log instead, its bandwidth delays them by more.
constexpr Duration kMaxLoadTime = std::chrono::seconds(6);
/// Time after which no other node is asked after one has failed, but the log.
constexpr Duration kMaxRetryTime = std::chrono::milliseconds(300);
/// Page size of a read of all newest records.
constexpr std::uint64_t kMaxNewestPageBytes = 256UL * 1024;

HttpCall make_call(std::string address, const PartitionName& partition, RecordOffset from,
                   std::uint64_t max_bytes, Duration wait) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpCall call;
  call.address = std::move(address);
  call.method = "GET";
  call.target = std::string(kTopicPath) + "?topic=" + partition.topic +
                "&part=" + std::to_string(partition.partition) + "&from=" + std::to_string(from) +
                "&max_bytes=" + std::to_string(max_bytes) + "&wait_ms=" + std::to_string(wait_ms);
  call.timeout = wait + kMaxLoadWait + kPeerTimeout;
  return call;
}

PeerTopicReader::Call call_by_http(const asio::any_io_executor& executor) {
  auto client = std::make_shared<HttpClient>(executor, LoopThreads::kOne);
  return [client](HttpCall call) { return client->call(std::move(call)); };
}

/// Returns the result of a read that is to be tried again soon.
ReadResult not_done() {
  ReadResult result;
  result.status = LogStatus::kNotDone;
  return result;
}

}  // namespace

PeerTopicReader::PeerTopicReader(const asio::any_io_executor& executor, RecordReader& log,
                                 Source source, FailureListener failure_listener)
    : PeerTopicReader(executor, log, std::move(source), std::move(failure_listener),
                      call_by_http(executor)) {}

PeerTopicReader::PeerTopicReader(const asio::any_io_executor& executor, RecordReader& log,
                                 Source source, FailureListener failure_listener, Call call)
    : call_(std::move(call)),
      hold_timer_(executor),
      log_(log),
      source_(std::move(source)),
      failure_listener_(std::move(failure_listener)) {}

void PeerTopicReader::hold(Duration limit) {
  held_ = true;
  hold_timer_.expires_after(limit);
}

void PeerTopicReader::begin() {
  held_ = false;
  hold_timer_.cancel();
}

asio::awaitable<void> PeerTopicReader::wait_until_begun() {
  if (!held_) co_return;
  co_await hold_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  held_ = false;
}

bool PeerTopicReader::may_wait_for_load(const PartitionName& partition) {
  const TimePoint now = monotonic_now();
  const auto [since, is_new] = loading_since_.try_emplace(partition, now);
  return now - since->second < kMaxLoadTime;
}

asio::awaitable<std::optional<ReadResult>> PeerTopicReader::read_from(std::string address,
                                                                      PartitionName partition,
                                                                      RecordOffset from,
                                                                      std::uint64_t max_bytes,
                                                                      Duration wait) {
  const TimePoint sent = monotonic_now();
  HttpCall call =
      make_call(std::move(address), partition, from, max_bytes, std::min(wait, kMaxPeerWait));
  const HttpReply reply = co_await call_(std::move(call));
  if (reply.status == kStatusLoading && may_wait_for_load(partition)) co_return not_done();
  TopicPage page;
  if (!reply.ok() || !decode_page(reply.body, page)) co_return std::nullopt;
  const TimePoint confirmed = sent + std::chrono::milliseconds(page.confirmed_ms);
  // Records are valid however old the confirmation is; only a claim that there are no more needs to
  // be recent.
  const bool outdated = page.next >= page.end && monotonic_now() - confirmed > kMaxConfirmationAge;
  if (page.end < from || page.next < from || outdated) co_return std::nullopt;
  loading_since_.erase(partition);
  ReadResult result;
  result.status = LogStatus::kOk;
  result.records = std::move(page.records);
  result.end = page.end;
  result.confirmed = confirmed;
  result.next = page.next;
  result.deletions_from = page.deletions_from;
  co_return result;
}

asio::awaitable<std::optional<ReadResult>> PeerTopicReader::read_from_sources(
    PartitionName partition, RecordOffset from, std::uint64_t max_bytes, Duration wait) {
  co_await wait_until_begun();
  const TimePoint start = monotonic_now();
  std::optional<std::string> source = source_();
  const bool has_source = source.has_value();
  if (!has_source) ++counts_.from_log;
  while (source) {
    std::optional<ReadResult> result =
        co_await read_from(*source, partition, from, max_bytes, wait);
    if (result) {
      ++counts_.from_peer;
      co_return result;
    }
    ++counts_.peer_failures;
    log_event(Event::kTopicSourceFailed, {{"topic", partition.topic}, {"peer", *source}});
    failure_listener_(*source);
    // After a slow failure the log is read instead, since another slow one would delay records too
    // much.
    if (monotonic_now() - start > kMaxRetryTime) break;
    source = source_();
  }
  // Nodes that start together find their sources starting as well.
  const bool starting = from == 0 && has_source;
  if (starting && may_wait_for_load(partition)) co_return not_done();
  co_return std::nullopt;
}

asio::awaitable<ReadResult> PeerTopicReader::read(PartitionName partition, RecordOffset from,
                                                  std::uint64_t max_bytes, Duration wait) {
  const TimePoint start = monotonic_now();
  std::optional<ReadResult> result = co_await read_from_sources(partition, from, max_bytes, wait);
  if (result) co_return std::move(*result);
  const Duration left = std::max(Duration{0}, wait - (monotonic_now() - start));
  ReadResult from_log = co_await log_.read(std::move(partition), from, max_bytes, left);
  co_return from_log;
}

asio::awaitable<ReadResult> PeerTopicReader::read_newest(PartitionName partition, KeyRange range,
                                                         Duration page_timeout) {
  ReadResult newest;
  std::map<std::string, StoredRecord> by_key;
  RecordOffset from = 0;
  const bool whole = range.after.empty() && range.through.empty();
  while (whole) {
    std::optional<ReadResult> page =
        co_await read_from_sources(partition, from, kMaxNewestPageBytes, Duration{0});
    if (!page) break;
    if (page->status != LogStatus::kOk) co_return std::move(*page);
    // The deletion of a key of an earlier page is not read again below `end`.
    for (const StoredRecord& record : page->records) by_key[record.key] = record;
    // Without progress the read ends where the other node has read to, short of the log's end.
    const bool has_more = *page->next > from && *page->next < page->end;
    from = *page->next;
    newest.end = from;
    newest.status = LogStatus::kOk;
    if (has_more) continue;
    for (auto& [key, record] : by_key) {
      if (!record.value.empty()) newest.records.push_back(std::move(record));
    }
    co_return newest;
  }
  ReadResult from_log =
      co_await log_.read_newest(std::move(partition), std::move(range), page_timeout);
  co_return from_log;
}

}  // namespace stoathold
