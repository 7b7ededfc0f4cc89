#include "routing/stream_origins.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/random.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum number of origins in one message, so that it fits into a datagram.
constexpr std::size_t kMaxEntriesPerMessage = 40;

std::uint32_t milliseconds_of(Duration duration) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

}  // namespace

StreamOrigins::StreamOrigins(asio::any_io_executor executor, const RunnerRegistry& runners)
    : executor_(std::move(executor)),
      runners_(runners),
      table_(kMaxOrigins),
      next_query_(process_random().next()) {}

void StreamOrigins::set_members(const std::vector<MemberName>& members, const std::string& self) {
  std::vector<std::string> addresses;
  for (const MemberName& member : members) addresses.push_back(member.peer_address);
  if (addresses == members_) return;
  members_ = std::move(addresses);
  replicas_.set_members(members, self);
  for (auto& [service, own] : own_streams_) own.sent = 0;
}

std::optional<SoftwareVersion> StreamOrigins::sole_version(const std::string& service) const {
  return runners_.versions().sole_version_since(service, monotonic_now() - lifetime_);
}

bool StreamOrigins::agrees_with_history(const std::string& service, SoftwareVersion version) const {
  return runners_.versions().sole_known_version(service) == version;
}

/// While this node's list is old, others may already know a second version and need the origins.
bool StreamOrigins::must_send(const std::string& service) const {
  const bool list_is_old = monotonic_now() - runners_.confirmed_at() > kMaxListAge;
  return list_is_old || !sole_version(service);
}

void StreamOrigins::record(StreamKey stream, const std::string& service, SoftwareVersion version) {
  const TimePoint now = monotonic_now();
  const StreamOrigin origin{stable_hash(service), version};
  table_.record(stream, {.origin = origin, .expires = now + lifetime_}, now);
  if (!transport_) return;
  OwnStreams& own = own_streams_[service];
  own.streams.push_back(stream);
  if (must_send(service)) send_unsent(own);
}

void StreamOrigins::send_pending() {
  const TimePoint now = monotonic_now();
  for (auto& [service, own] : own_streams_) {
    while (!own.streams.empty() && table_.find(own.streams.front(), now) == nullptr) {
      own.streams.pop_front();
      if (own.sent > 0) --own.sent;
    }
    if (own.sent < own.streams.size() && must_send(service)) send_unsent(own);
  }
}

StreamOriginEntry StreamOrigins::make_entry(StreamKey stream, const StreamOriginTable::Entry& entry,
                                            TimePoint now) const {
  return {stream, entry.origin, entry.conflicting, milliseconds_of(entry.expires - now)};
}

void StreamOrigins::send_unsent(OwnStreams& own) {
  const TimePoint now = monotonic_now();
  std::map<std::string, StreamOriginReport> reports;
  for (; own.sent < own.streams.size(); ++own.sent) {
    const StreamKey stream = own.streams[own.sent];
    const StreamOriginTable::Entry* entry = table_.find(stream, now);
    if (entry == nullptr) continue;
    for (const std::string& address : replicas_.holders(stream)) {
      StreamOriginReport& report = reports[address];
      report.entries.push_back(make_entry(stream, *entry, now));
      if (report.entries.size() < kMaxEntriesPerMessage) continue;
      transport_(address, std::exchange(report, {}));
    }
  }
  for (const auto& [address, report] : reports) {
    if (!report.entries.empty()) transport_(address, report);
  }
}

OriginLookup StreamOrigins::find_here(StreamKey stream) const {
  const StreamOriginTable::Entry* entry = table_.find(stream, monotonic_now());
  if (entry == nullptr) return {};
  const auto knowledge =
      entry->conflicting ? OriginKnowledge::kConflicting : OriginKnowledge::kRecorded;
  return {knowledge, entry->origin, {}};
}

asio::awaitable<OriginLookup> StreamOrigins::find(StreamKey stream, std::string service) {
  const OriginLookup known = find_here(stream);
  if (known.knowledge != OriginKnowledge::kUnknown || !transport_) co_return known;
  const auto query = std::make_shared<PendingQuery>();
  query->service = service;
  for (const std::string& address : replicas_.candidates(stream)) query->unanswered.insert(address);
  Timer timer(executor_);
  query->timer = &timer;
  const std::uint64_t number = next_query_++;
  queries_[number] = query;
  const StreamOriginQuery message{number, stream, stable_hash(service)};
  for (int round = 0; round < kQueryRounds && !query->unanswered.empty(); ++round) {
    for (const std::string& address : query->unanswered) transport_(address, message);
    timer.expires_after(kAnswerTimeout);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  queries_.erase(number);
  co_return query->result;
}

void StreamOrigins::handle(const StreamOriginMessage& message, const std::string& sender) {
  if (const auto* report = std::get_if<StreamOriginReport>(&message)) {
    apply(*report);
  } else if (const auto* query = std::get_if<StreamOriginQuery>(&message)) {
    apply(*query, sender);
  } else {
    apply(std::get<StreamOriginAnswer>(message), sender);
  }
}

void StreamOrigins::apply(const StreamOriginReport& report) {
  for (const StreamOriginEntry& entry : report.entries) apply_entry(entry);
}

void StreamOrigins::apply_entry(const StreamOriginEntry& entry) {
  const TimePoint now = monotonic_now();
  const Duration remaining =
      std::min<Duration>(std::chrono::milliseconds(entry.remaining_ms), lifetime_);
  table_.record(
      entry.stream,
      {.origin = entry.origin, .conflicting = entry.conflicting, .expires = now + remaining}, now);
}

std::string StreamOrigins::service_name(std::uint64_t hash) const {
  for (const auto& [service, versions] : runners_.versions().all()) {
    if (stable_hash(service) == hash) return service;
  }
  return {};
}

void StreamOrigins::apply(const StreamOriginQuery& query, const std::string& sender) {
  if (!transport_) return;
  const TimePoint now = monotonic_now();
  StreamOriginAnswer answer;
  answer.number = query.number;
  const StreamOriginTable::Entry* entry = table_.find(query.stream, now);
  if (entry != nullptr) answer.entries.push_back(make_entry(query.stream, *entry, now));
  const auto sole = sole_version(service_name(query.service));
  answer.has_sole_version = sole.has_value();
  answer.sole_version = sole.value_or(SoftwareVersion{});
  answer.confirmed_ms = milliseconds_of(now - runners_.confirmed_at());
  transport_(sender, answer);
}

/// The other node's history reaches from long ago to its last confirmation, that of this node from
/// its start to now. Together they are complete if they overlap.
bool StreamOrigins::completes_history(const StreamOriginAnswer& answer,
                                      const std::string& service) const {
  const auto begin = runners_.versions().begin();
  if (!answer.has_sole_version || !begin) return false;
  const TimePoint confirmed = monotonic_now() - std::chrono::milliseconds(answer.confirmed_ms);
  return confirmed >= *begin && agrees_with_history(service, answer.sole_version);
}

void StreamOrigins::apply(const StreamOriginAnswer& answer, const std::string& sender) {
  const auto found = queries_.find(answer.number);
  if (found == queries_.end()) return;
  PendingQuery& query = *found->second;
  if (query.unanswered.erase(sender) == 0) return;
  OriginLookup& result = query.result;
  if (!answer.entries.empty()) {
    apply_entry(answer.entries.front());
    result = find_here(answer.entries.front().stream);
    result.source = sender;
    query.unanswered.clear();
  } else if (completes_history(answer, query.service)) {
    const StreamOrigin origin{stable_hash(query.service), answer.sole_version};
    result = {OriginKnowledge::kSoleVersion, origin, sender};
  }
  if (query.unanswered.empty()) query.timer->cancel();
}

}  // namespace stoathold
