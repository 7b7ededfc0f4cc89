// Streams that a caller takes up again: where they may go on, and their refusal.
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/log_fields.h"
#include "gateway/online_request.h"
#include "gateway/stream_resumption.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

}  // namespace

/// Finds the runners at which the stream may go on, or refuses the request.
asio::awaitable<bool> OnlineRequest::resolve_origin() {
  std::optional<StreamKey> stream;
  if (!resumed_attempt_.empty()) stream = own_stream_key(resumed_attempt_);
  const OriginLookup lookup = co_await find_stream_origin(context_, route_, stream);
  if (stopped_) {
    co_await finish_without_response();
    co_return false;
  }
  const bool known = lookup.knowledge == OriginKnowledge::kRecorded ||
                     lookup.knowledge == OriginKnowledge::kSoleVersion;
  const std::string* service = known ? find_origin_service(route_, lookup.origin) : nullptr;
  const char* reason = nullptr;
  if (!known) {
    reason = "stream_origin_unknown";
  } else if (service == nullptr) {
    reason = "stream_service_changed";
  } else {
    origin_ = lookup.origin;
    service_ = *service;
    if (!has_runner_of_origin()) reason = kNoRunnerOfVersion;
  }
  const std::string knowledge(to_string(lookup.knowledge));
  ++context_.metrics.resumptions[reason == nullptr ? knowledge : reason];
  log_event(reason == nullptr ? Event::kStreamResumed : Event::kResumptionRefused,
            {{"request", id_},
             {"resumes", resumed_attempt_.substr(0, kMaxLoggedIdBytes)},
             {"last_event", std::to_string(last_event_.value_or(0))},
             {"origin", knowledge},
             {"version", context_.runners.versions().text(lookup.origin.version)},
             {"from", lookup.source},
             {"reason", reason == nullptr ? "" : reason},
             {"age_ms", milliseconds_text(monotonic_now() - arrival_)}});
  if (reason == nullptr) co_return true;
  co_await refuse_resumption(reason);
  co_return false;
}

StreamKey OnlineRequest::own_stream_key(std::string_view attempt_id) const {
  return stream_key(caller_.tenant, route_.host, attempt_id);
}

/// Records which software begins the stream, before its first event is delivered.
void OnlineRequest::record_origin(const Runner& runner) {
  if (origin_ || !route_.resumable) return;
  origin_ = StreamOrigin{stable_hash(service_), runner.software_version()};
  context_.origins.record(own_stream_key(id_), service_, origin_->version);
}

/// Returns whether a runner that can continue the stream accepts work. Runners that were tried
/// count: one that broke the stream off by restarting is listed again soon.
bool OnlineRequest::has_runner_of_origin() const {
  return context_.runners.has_available(service_, origin_->version);
}

asio::awaitable<void> OnlineRequest::refuse_malformed_position() {
  const Refusal refusal{.status = 400, .reason = "malformed_last_event_id"};
  co_await refuse(refusal);
}

/// A retry of the resumption cannot succeed, but the caller may begin a new stream at once.
asio::awaitable<void> OnlineRequest::refuse_resumption(const char* reason) {
  const Refusal refusal{.status = 503, .reason = reason, .advice = RetryAdvice::kComputedDelay};
  co_await refuse(refusal);
}

}  // namespace stoathold
