#include "store/peer_topic_log.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "store/topic_page.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Timeout of a call to another node, in addition to the wait that it requests.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1000);
/// Longest wait that is requested from another node. It bounds, with `kPeerTimeout`, the delay that
/// a node causes that has died.
constexpr Duration kMaxPeerWait = std::chrono::milliseconds(1000);
/// Age up to which another node's claim is believed that there are no more records. The log
/// confirms it to the first node with reads of 2 s, and each node on the way adds up to
/// `kMaxPeerWait`. A node whose own reads fail says so, whatever the age.
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(10);

HttpCall make_call(std::string address, const PartitionName& partition, RecordOffset from,
                   std::uint64_t max_bytes, Duration wait) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpCall call;
  call.address = std::move(address);
  call.method = "GET";
  call.target = std::string(kTopicPath) + "?topic=" + partition.topic +
                "&part=" + std::to_string(partition.partition) + "&from=" + std::to_string(from) +
                "&max_bytes=" + std::to_string(max_bytes) + "&wait_ms=" + std::to_string(wait_ms);
  call.timeout = wait + kPeerTimeout;
  return call;
}

}  // namespace

PeerTopicLog::PeerTopicLog(const asio::any_io_executor& executor, RecordLog& log, Source source,
                           FailureListener failure_listener)
    : client_(executor, LoopThreads::kOne),
      log_(log),
      source_(std::move(source)),
      failure_listener_(std::move(failure_listener)) {}

asio::awaitable<std::optional<ReadResult>> PeerTopicLog::read_from(std::string address,
                                                                   PartitionName partition,
                                                                   RecordOffset from,
                                                                   std::uint64_t max_bytes,
                                                                   Duration wait) {
  const TimePoint sent = monotonic_now();
  HttpCall call =
      make_call(std::move(address), partition, from, max_bytes, std::min(wait, kMaxPeerWait));
  const HttpReply reply = co_await client_.call(std::move(call));
  TopicPage page;
  if (!reply.ok() || !decode_page(reply.body, page)) co_return std::nullopt;
  const TimePoint confirmed = sent + std::chrono::milliseconds(page.confirmed_ms);
  const RecordOffset next = page.records.empty() ? from : page.records.back().offset + 1;
  // Records are valid however old the confirmation is; only a claim that there are no more needs to
  // be recent.
  const bool outdated = next >= page.end && monotonic_now() - confirmed > kMaxConfirmationAge;
  if (page.end < from || outdated) co_return std::nullopt;
  ReadResult result;
  result.status = LogStatus::kOk;
  result.records = std::move(page.records);
  result.end = page.end;
  result.confirmed = confirmed;
  co_return result;
}

asio::awaitable<ReadResult> PeerTopicLog::read(PartitionName partition, RecordOffset from,
                                               std::uint64_t max_bytes, Duration wait) {
  const std::optional<std::string> source = source_();
  if (!source) {
    ++counts_.from_log;
    ReadResult result = co_await log_.read(std::move(partition), from, max_bytes, wait);
    co_return result;
  }
  std::optional<ReadResult> result = co_await read_from(*source, partition, from, max_bytes, wait);
  if (result) {
    ++counts_.from_peer;
    co_return std::move(*result);
  }
  ++counts_.peer_failures;
  log_event(Event::kTopicSourceFailed, {{"topic", partition.topic}, {"peer", *source}});
  failure_listener_(*source);
  ReadResult from_log = co_await log_.read(std::move(partition), from, max_bytes, Duration{0});
  co_return from_log;
}

asio::awaitable<AppendResult> PeerTopicLog::append(PartitionName partition,
                                                   std::vector<KeyedRecord> records,
                                                   std::optional<RecordOffset> expected_end) {
  return log_.append(std::move(partition), std::move(records), expected_end);
}

asio::awaitable<ReadResult> PeerTopicLog::read_newest(PartitionName partition, KeyRange range,
                                                      Duration page_timeout) {
  return log_.read_newest(std::move(partition), std::move(range), page_timeout);
}

asio::awaitable<GroupAssignment> PeerTopicLog::join(GroupMember member) {
  return log_.join(std::move(member));
}

asio::awaitable<MemberList> PeerTopicLog::members(std::string group) {
  return log_.members(std::move(group));
}

asio::awaitable<LogStatus> PeerTopicLog::leave(GroupMember member) {
  return log_.leave(std::move(member));
}

}  // namespace stoathold
