#include "jobs/item_run.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"
#include "gateway/choice_fields.h"
#include "gateway/headers.h"
#include "gateway/prompt_prefix.h"
#include "gateway/runner_response.h"
#include "gateway/stream_resumption.h"
#include "jobs/item_retention.h"
#include "routing/runner_selector.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum wait for a runner's slot before the route is looked up again.
constexpr Duration kPlacementTimeout = std::chrono::seconds(2);
/// Interval between lookups while the configuration or the route is missing.
constexpr Duration kRoutePollInterval = std::chrono::milliseconds(100);
/// Interval between checks of whether a quarantined item may be sent to runners again.
constexpr Duration kQuarantinePollInterval = std::chrono::seconds(1);
/// Time for which a route must be missing before its items are dead-lettered.
constexpr Duration kMissingRouteGracePeriod = std::chrono::seconds(5);
/// Maximum load of a runner that receives batch items; online requests preempt them quickly.
constexpr double kBatchLoadLimit = 0.85;
/// The same for an item in quarantine, whose trial may make the runner exit.
constexpr double kTrialLoadLimit = 0.5;
/// Maximum failures of an item for each attempt that its route allows, including failures excused
/// because the runner fails many of its requests. One less than the service requirements allow.
constexpr std::uint32_t kMaxFailuresPerAttempt = 2;
/// Maximum bytes of an item's text.
constexpr std::uint64_t kMaxTextBytes = 8UL * 1024 * 1024;
/// Divisor for the share of the memory budget that a text may take. A node that reads a text holds
/// copies of it in the list of results and in the response.
constexpr std::uint64_t kTextBudgetDivisor = 8;
/// Interval between checks of the retention of an item that is not run again.
constexpr Duration kRetentionPollInterval = std::chrono::seconds(1);
constexpr BackoffBounds kRetryBounds{std::chrono::milliseconds(30), std::chrono::milliseconds(800)};
/// The same after runs during which runners may have exited. The exits are not held against the
/// item, so only this limits how many runners one item can cost.
constexpr BackoffBounds kRetryBoundsAfterExits{std::chrono::milliseconds(250),
                                               std::chrono::milliseconds(4000)};

}  // namespace

ItemRun::ItemRun(GatewayContext& context, ItemContext item, ItemRequest request,
                 ItemProgress progress, Duration clock_skew)
    : context_(context),
      item_(std::move(item)),
      request_(std::move(request)),
      progress_(std::move(progress)),
      clock_skew_(clock_skew),
      quarantine_check_(context.quarantine,
                        {.tenant = item_.tenant,
                         .host = item_.host,
                         .target = request_.path,
                         .body = request_.body},
                        RequestSource::kBatchItem),
      end_check_(context),
      timer_(context.executor) {
  progress_.job = item_.job;
  progress_.item = item_.index;
  for (const auto& [name, value] : request_.headers) {
    const HeaderDialect& dialect = context_.dialect;
    if (same_header_name(name, dialect.prompt_prefix)) {
      prompt_ = parse_prompt_prefix(value);
      quarantine_check_.set_prompt_prefix(value);
    }
    if (same_header_name(name, dialect.token_usage)) answer_tokens_ = parse_response_tokens(value);
  }
}

void ItemRun::stop() {
  stopped_ = true;
  if (ticket_) ticket_->cancel();
  if (upstream_) upstream_->cancel();
  end_check_.cancel();
  timer_.cancel();
}

asio::awaitable<void> ItemRun::sleep_for(Duration duration) {
  if (stopped_) co_return;
  timer_.expires_after(duration);
  co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

void ItemRun::yield() {
  if (yielding_ || !runner_) return;
  yielding_ = true;
  runner_->begin_yield();
  if (upstream_) upstream_->cancel();
  end_check_.cancel();
}

ItemSchedule ItemRun::schedule() const {
  ItemSchedule schedule{.objective = objective_, .age = job_age(item_.submitted_ms)};
  schedule.remaining = context_.response_durations.remaining_time(route_name_, answer_tokens_,
                                                                  EventCount{progress_.last_event});
  const bool use_speed = runner_ && context_.load_policy.uses_runner_speeds;
  if (use_speed) schedule.remaining = scale(schedule.remaining, runner_->speed().relative_time());
  return schedule;
}

bool ItemRun::can_continue() const {
  return context_.runners.has_available(text_service_, progress_.origin->version);
}

std::string ItemRun::next_service(const Route& route) {
  if (progress_.last_event == 0) return context_.split.next_service(route);
  if (!progress_.origin) {
    restart_text("origin_unknown");
    return context_.split.next_service(route);
  }
  const std::string* service = find_origin_service(route, *progress_.origin);
  if (service == nullptr) {
    restart_text("service_changed");
    return context_.split.next_service(route);
  }
  text_service_ = *service;
  if (can_continue()) return text_service_;
  restart_text("no_runner_of_version");
  return context_.split.next_service(route);
}

void ItemRun::restart_text(const char* reason) {
  const SoftwareVersion version = progress_.origin ? progress_.origin->version : SoftwareVersion{};
  log_event(Event::kItemRestarted, {{"job", item_.job},
                                    {"item", item_.item_id},
                                    {"reason", reason},
                                    {"version", context_.runners.versions().text(version)},
                                    {"last_event", std::to_string(progress_.last_event)}});
  clear_text();
}

void ItemRun::clear_text() {
  progress_.last_event = 0;
  progress_.text = std::string();
  progress_.origin.reset();
  end_check_.forget_earlier_ends();
}

std::uint64_t ItemRun::max_text_bytes() const {
  const MemoryBudget& budget = *context_.memory;
  if (!budget.limited()) return kMaxTextBytes;
  return std::min(kMaxTextBytes, budget.limit() / kTextBudgetDivisor);
}

/// A runner in trouble may send a text without end, so a second run has to be too long as well.
void ItemRun::on_text_too_long(std::uint64_t runner) {
  log_event(Event::kItemTextTooLong, {{"job", item_.job},
                                      {"item", item_.item_id},
                                      {"bytes", std::to_string(progress_.text.size())},
                                      {"limit", std::to_string(max_text_bytes())}});
  clear_text();
  is_text_too_long_ = long_text_from_.has_value();
  if (is_text_too_long_) return;
  long_text_from_ = runner;
}

asio::awaitable<std::shared_ptr<Runner>> ItemRun::acquire_runner(const Route& route) {
  const TimePoint now = monotonic_now();
  route_name_ = route.name;
  objective_ = route.completion_objective;
  const ItemSchedule schedule = this->schedule();
  PlacementRequest request;
  request.work = WorkClass::kBatch;
  const std::string service = next_service(route);
  quarantine_check_.set_service(service);
  request.selection = {.service = service,
                       .zone = context_.zone,
                       .affinity_key = prompt_.shared_key,
                       .prompt_tokens = prompt_.tokens,
                       .shared_prefix_tokens = prompt_.shared_prefix_tokens,
                       .load_limit = is_on_trial_ ? kTrialLoadLimit : kBatchLoadLimit,
                       .excluded = runners_to_avoid(service),
                       .has_reusable_connection = context_.idle_connection_predicate(),
                       .prefer_reusable_connections = context_.load_policy.reuses_connections,
                       .node = context_.node};
  if (progress_.origin) request.selection.software_version = progress_.origin->version;
  request.selection.speeds = context_.enabled_speed_model();
  request.selection.work = WorkClass::kBatch;
  request.selection.latency_objectives.route = stable_hash(route.name);
  request.priority = route.priority;
  request.tenant = item_.tenant;
  request.route = route.name;
  request.slot_time = schedule.remaining;
  // Items with the earliest start deadline go first; items that will be late anyway go last.
  request.due = schedule.objective.count() > 0 ? now + schedule.slack() : TimePoint::max();
  request.queue_deadline = now + kPlacementTimeout;
  const QueueEntry entry = join_queue(request, schedule);
  request.is_obsolete = [this] {
    const bool is_quarantined = !is_on_trial_ && quarantine_check_.is_quarantined();
    return is_quarantined || (progress_.last_event > 0 && !can_continue());
  };
  ticket_ = context_.placement.make_ticket(std::move(request));
  const auto runner = co_await context_.placement.acquire(ticket_);
  if (entry.active) context_.batch_arbiter.end_wait(entry.service, entry.urgency);
  const Selection choice = ticket_->selection();
  uncached_tokens_ = choice.uncached_prompt_tokens;
  runner_work_ = choice.runner_work();
  ticket_.reset();
  if (runner) log_selection(choice, schedule);
  if (runner) context_.startup.mark_reached(StartupStep::kFirstItemPlaced, monotonic_now());
  co_return runner;
}

/// The item has been accepted, so it is tried for as long as the quarantine and its retention last.
asio::awaitable<std::shared_ptr<Runner>> ItemRun::acquire_permitted_runner(const Route& route) {
  // The service of the next attempt, for which prompt parts are quarantined, may not be known yet.
  const bool has_one_service = route.services.size() == 1;
  quarantine_check_.set_service(has_one_service ? route.services.front().service : std::string());
  const bool is_quarantined = quarantine_check_.is_quarantined();
  if (!is_quarantined) has_claimed_trial_ = false;
  is_on_trial_ = is_quarantined && (has_claimed_trial_ || quarantine_check_.is_trial_due());
  set_stage(is_quarantined ? ItemStage::kQuarantined : ItemStage::kWaitingForSlot);
  if (is_quarantined && !is_on_trial_) {
    co_await sleep_for(kQuarantinePollInterval);
    co_return nullptr;
  }
  const auto runner = co_await acquire_runner(route);
  if (!runner) co_return nullptr;
  const bool permitted = is_on_trial_ ? has_claimed_trial_ : !quarantine_check_.is_quarantined();
  if (permitted) co_return runner;
  if (is_on_trial_) {
    std::vector<QuarantineTrial> trials = quarantine_check_.trials();
    has_claimed_trial_ = co_await context_.claim_quarantine_trials(std::move(trials));
  }
  if (has_claimed_trial_ && !stopped_) co_return runner;
  runner->end_attempt(AttemptOutcome::kAbandoned, monotonic_now(),
                      std::exchange(uncached_tokens_, 0), WorkClass::kBatch);
  context_.placement.capacity_changed();
  co_await sleep_for(kQuarantinePollInterval);
  co_return nullptr;
}

ItemRun::QueueEntry ItemRun::join_queue(PlacementRequest& request, const ItemSchedule& schedule) {
  if (!context_.load_policy.distributes_batch_runners) return {};
  BatchArbiter& arbiter = context_.batch_arbiter;
  const QueueEntry entry{.active = true,
                         .service = stable_hash(request.selection.service),
                         .urgency = schedule.late() ? ItemUrgency::kLate : ItemUrgency::kInTime};
  request.selection.batch_arbiter = &arbiter;
  request.selection.urgency = entry.urgency;
  arbiter.begin_wait(entry.service, entry.urgency);
  return entry;
}

/// Excludes runners on which the item has failed, or that sent a text that is too long, as long as
/// the service has other runners.
std::vector<std::uint64_t> ItemRun::runners_to_avoid(const std::string& service) const {
  std::vector<std::uint64_t> avoided = failed_runners_;
  if (long_text_from_) avoided.push_back(*long_text_from_);
  bool has_others = avoided.size() < context_.runners.for_service(service).size();
  if (progress_.origin) {
    has_others =
        has_others && context_.runners.has_available(service, progress_.origin->version, avoided);
  }
  return has_others ? avoided : std::vector<std::uint64_t>{};
}

void ItemRun::log_selection(const Selection& choice, const ItemSchedule& schedule) {
  const bool is_retry = send_count_++ > 0;
  choice_ = choice_text(choice, monotonic_now());
  log_event(is_retry ? Event::kRequestSentAgain : Event::kRequestSent,
            {{"job", item_.job},
             {"item", item_.item_id},
             {"runner", choice.runner->record().id},
             {"choice", choice_},
             {"slack_ms", milliseconds_text(schedule.slack())},
             {"last_event", std::to_string(progress_.last_event)}});
}

bool ItemRun::must_give_up(const Route& route) const {
  const bool has_retention = route.item_retention.count() > 0;
  if (is_text_too_long_ && !has_retention) return true;
  return is_past_retention(route, item_.submitted_ms, clock_skew_);
}

ItemResult ItemRun::make_result(ItemState state) const {
  ItemResult result;
  result.job = item_.job;
  result.item = item_.index;
  result.state = state;
  if (state == ItemState::kCompleted) result.text = progress_.text;
  return result;
}

/// Failures on suspect runners, which fail many of their requests, are not held against the item;
/// failures on other runners are. The total number of failures is limited in any case.
bool ItemRun::has_exhausted_attempts(const Route& route) const {
  if (progress_.failures >= kMaxFailuresPerAttempt * route.max_attempts) return true;
  const TimePoint now = monotonic_now();
  std::uint32_t excused_failures = 0;
  for (const std::uint64_t runner_hash : failed_runners_) {
    const Runner* runner = context_.runners.find_by_hash(runner_hash);
    if (runner != nullptr && runner->has_high_error_rate(now)) ++excused_failures;
  }
  return progress_.failures - excused_failures >= route.max_attempts;
}

std::optional<ItemResult> ItemRun::apply_attempt(const Route& route, std::uint64_t runner,
                                                 AttemptResult result) {
  if (result == AttemptResult::kCompleted) return make_result(ItemState::kCompleted);
  if (result == AttemptResult::kImpossible) return make_result(ItemState::kDeadLettered);
  if (result == AttemptResult::kTooLong) on_text_too_long(runner);
  if (result != AttemptResult::kFailed) return std::nullopt;
  ++progress_.failures;
  failed_runners_.push_back(runner);
  if (has_exhausted_attempts(route)) return make_result(ItemState::kDeadLettered);
  return std::nullopt;
}

asio::awaitable<std::optional<ItemResult>> ItemRun::run() {
  const auto self = shared_from_this();
  Backoff backoff(kRetryBounds);
  Backoff exit_backoff(kRetryBoundsAfterExits);
  std::optional<TimePoint> route_missing_since;
  while (!stopped_) {
    const auto configuration = context_.configuration;
    const Route* route =
        configuration ? configuration->find_route(item_.host, item_.path) : nullptr;
    if (route == nullptr || route->kind != RouteKind::kBatch) {
      const TimePoint now = monotonic_now();
      if (!route_missing_since) route_missing_since = now;
      set_stage(ItemStage::kBackingOff);
      if (configuration && now - *route_missing_since > kMissingRouteGracePeriod) {
        const bool confirmed = co_await context_.confirm_configuration();
        const bool is_removed = confirmed && context_.configuration == configuration;
        if (is_removed) co_return make_result(ItemState::kDeadLettered);
      }
      co_await sleep_for(kRoutePollInterval);
      continue;
    }
    route_missing_since.reset();
    if (must_give_up(*route)) co_return make_result(ItemState::kDeadLettered);
    if (is_text_too_long_) {
      set_stage(ItemStage::kBackingOff);
      co_await sleep_for(kRetentionPollInterval);
      continue;
    }
    const auto runner = co_await acquire_permitted_runner(*route);
    if (!runner) continue;
    const std::uint64_t events_before = progress_.last_event;
    set_stage(ItemStage::kRunning);
    const AttemptResult result = co_await attempt(runner);
    context_.placement.capacity_changed();
    ++context_.metrics.batch_items[std::string(to_string(result))];
    const std::optional<ItemResult> item_result = apply_attempt(*route, runner->hash(), result);
    if (item_result) co_return item_result;
    if (progress_.last_event > events_before) {
      backoff.reset();
      exit_backoff.reset();
    }
    const bool runs_on =
        result == AttemptResult::kYielded || result == AttemptResult::kUnconfirmedEnd;
    if (runs_on || is_text_too_long_) continue;
    set_stage(ItemStage::kBackingOff);
    Backoff& next_wait = runner_may_have_exited_ ? exit_backoff : backoff;
    if (!stopped_) co_await sleep_for(next_wait.next());
  }
  co_return std::nullopt;
}

}  // namespace stoathold
