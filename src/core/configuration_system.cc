#include "core/configuration_system.h"

#include <algorithm>
#include <mutex>

#include "core/policy_switches.h"

namespace stoathold {
namespace {

constexpr std::uint32_t kMaxEntriesPerRead = 256;

}  // namespace

ConfigurationSystem::ConfigurationSystem(NodeId self, Incarnation incarnation, const Knobs& knobs)
    : self_(self), incarnation_(incarnation), knobs_(knobs) {}

void ConfigurationSystem::start_change(std::uint64_t call, ResourceChange change, TimePoint now,
                                       Effects& effects) {
  const std::scoped_lock lock(mutex_);
  OpenChange open;
  open.id = {self_, incarnation_, ++last_sequence_};
  open.bytes = encode(ConfigurationEntry{open.id, std::move(change)});
  open.deadline = now + knobs_.call_timeout;
  auto& stored = changes_[call] = std::move(open);
  send_change(stored, now, effects);
}

void ConfigurationSystem::send_change(OpenChange& change, TimePoint now, Effects& effects) {
  change.sent_at = now;
  change.token = ++last_token_;
  effects.push_back(AppendToLog{kConfigurationStream, change.bytes, change.token});
}

void ConfigurationSystem::send_read(TimePoint now, Effects& effects) {
  read_token_ = ++last_token_;
  read_sent_at_ = now;
  next_poll_ = now + knobs_.configuration_poll_period;
  effects.push_back(
      ReadFromLog{kConfigurationStream, state_.next_offset(), kMaxEntriesPerRead, read_token_});
}

void ConfigurationSystem::tick(bool read_log, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (read_token_ != 0 && now - read_sent_at_ > knobs_.log_retry_period * 2) read_token_ = 0;
  const bool wants_read = read_log || !current_ || !changes_.empty();
  if (wants_read && read_token_ == 0 && now >= next_poll_) send_read(now, effects);
  for (auto position = changes_.begin(); position != changes_.end();) {
    auto& change = position->second;
    if (now >= change.deadline) {
      Error error{make_error_code(ErrorCode::kLogUnavailable),
                  Step::kAppend,
                  "log",
                  "the change may or may not be accepted later",
                  Execution::kUnknown,
                  knobs_.log_down_timeout};
      if (!policy_switches().report_unknown_execution) error.execution = Execution::kNotRun;
      effects.push_back(AnswerChange{position->first, false, {}, std::move(error)});
      position = changes_.erase(position);
      continue;
    }
    if (now - change.sent_at >= knobs_.log_retry_period) send_change(change, now, effects);
    ++position;
  }
  update_current(now);
}

void ConfigurationSystem::update_current(TimePoint now) {
  if (current_ || !first_peer_offset_time_) return;
  const bool wait_elapsed = now - *first_peer_offset_time_ >= knobs_.heartbeat_period * 2;
  if (wait_elapsed && state_.next_offset() >= highest_peer_offset_) current_ = true;
}

void ConfigurationSystem::on_log_appended(std::uint64_t token, LogStatus status, Offset offset,
                                          TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const auto matches = [token](const auto& item) { return item.second.token == token; };
  const auto found = std::find_if(changes_.begin(), changes_.end(), matches);
  if (found == changes_.end() || status != LogStatus::kOk) return;
  if (!policy_switches().acknowledge_only_applied) {
    effects.push_back(AnswerChange{found->first, true, offset, {}});
    changes_.erase(found);
    return;
  }
  if (read_token_ == 0) {
    send_read(now, effects);
  } else {
    reread_requested_ = true;
  }
}

void ConfigurationSystem::on_log_read(std::uint64_t token, LogStatus status,
                                      const std::vector<LogEntry>& entries, Offset head,
                                      TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (token != read_token_ || read_token_ == 0) return;
  read_token_ = 0;
  if (status != LogStatus::kOk) return;
  for (const auto& entry : entries) apply_entry(entry.offset, entry.bytes);
  const bool at_head = state_.next_offset() >= head;
  if (at_head && state_.next_offset() >= highest_peer_offset_) current_ = true;
  on_entries_applied(effects);
  if (!at_head || reread_requested_) {
    reread_requested_ = false;
    send_read(now, effects);
  }
}

void ConfigurationSystem::apply_entry(Offset offset, const std::string& bytes) {
  const bool strictly_ordered = policy_switches().monotonic_configuration_offsets;
  if (strictly_ordered && offset != state_.next_offset()) return;
  ConfigurationEntry entry;
  if (!decode(bytes, entry)) {
    state_.skip(offset);
    return;
  }
  state_.apply(offset, entry);
  recent_entries_.push_back({offset, bytes});
  if (recent_entries_.size() > knobs_.max_recent_configuration_entries) recent_entries_.pop_front();
}

void ConfigurationSystem::on_entries_applied(Effects& effects) {
  refresh_views();
  for (auto position = changes_.begin(); position != changes_.end();) {
    const auto result = state_.result_of(position->second.id);
    if (!result) {
      ++position;
      continue;
    }
    AnswerChange answer;
    answer.call = position->first;
    answer.accepted = result->first == ConfigurationApplyResult::kAccepted;
    answer.version = result->second;
    if (!answer.accepted) {
      answer.error = {
          make_error_code(ErrorCode::kConflict),          Step::kApply,       "",
          "the resource changed since the version given", Execution::kNotRun, Duration{0}};
    }
    effects.push_back(std::move(answer));
    position = changes_.erase(position);
  }
}

void ConfigurationSystem::refresh_views() {
  services_.clear();
  priority_classes_.clear();
  tenants_.clear();
  for (const auto& [key, resource] : state_.resources()) {
    if (key.first == kServiceKind) {
      services_[key.second] = {parse_service(resource.body), resource.version};
    } else if (key.first == kPriorityClassKind) {
      priority_classes_[key.second] = parse_priority_class(resource.body);
    } else if (key.first == kTenantKind) {
      tenants_[key.second] = parse_tenant(resource.body);
    }
  }
}

std::optional<ConfigurationPull> ConfigurationSystem::on_peer_offset(Offset peer_next,
                                                                     TimePoint now) {
  const std::scoped_lock lock(mutex_);
  if (!first_peer_offset_time_) first_peer_offset_time_ = now;
  highest_peer_offset_ = std::max(highest_peer_offset_, peer_next);
  if (peer_next <= state_.next_offset()) return std::nullopt;
  return ConfigurationPull{state_.next_offset()};
}

std::vector<PeerMessage> ConfigurationSystem::on_pull(const ConfigurationPull& pull) const {
  const std::scoped_lock lock(mutex_);
  if (pull.from >= state_.next_offset()) return {};
  const bool covers_request =
      !recent_entries_.empty() && recent_entries_.front().offset <= pull.from &&
      value_of(recent_entries_.back().offset) - value_of(recent_entries_.front().offset) + 1 ==
          recent_entries_.size();
  if (!covers_request) return {ConfigurationSnapshot{encode_configuration(state_)}};
  ConfigurationEntries entries;
  entries.first = pull.from;
  for (const auto& entry : recent_entries_) {
    if (entry.offset >= pull.from) entries.entries.push_back(entry.bytes);
  }
  return {std::move(entries)};
}

void ConfigurationSystem::on_entries(const ConfigurationEntries& entries, TimePoint now,
                                     Effects& effects) {
  const std::scoped_lock lock(mutex_);
  Offset offset = entries.first;
  for (const auto& bytes : entries.entries) {
    apply_entry(offset, bytes);
    offset = next_of(offset);
  }
  on_entries_applied(effects);
  update_current(now);
}

void ConfigurationSystem::on_snapshot(const ConfigurationSnapshot& snapshot, TimePoint now,
                                      Effects& effects) {
  const std::scoped_lock lock(mutex_);
  ConfigurationState received;
  if (!decode_configuration(snapshot.state, received)) return;
  const bool newer = received.next_offset() > state_.next_offset();
  if (!newer && policy_switches().monotonic_configuration_offsets) return;
  state_ = std::move(received);
  recent_entries_.clear();
  on_entries_applied(effects);
  update_current(now);
}

Offset ConfigurationSystem::next_offset() const {
  const std::scoped_lock lock(mutex_);
  return state_.next_offset();
}

bool ConfigurationSystem::current() const {
  const std::scoped_lock lock(mutex_);
  return current_;
}

std::optional<ServiceView> ConfigurationSystem::service(const std::string& name) const {
  const std::scoped_lock lock(mutex_);
  const auto found = services_.find(name);
  if (found == services_.end()) return std::nullopt;
  return found->second;
}

std::vector<std::string> ConfigurationSystem::service_names() const {
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> names;
  for (const auto& [name, view] : services_) names.push_back(name);
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<PriorityClassSpecification> ConfigurationSystem::priority_class(
    const std::string& name) const {
  const std::scoped_lock lock(mutex_);
  const auto found = priority_classes_.find(name);
  if (found == priority_classes_.end()) return std::nullopt;
  return found->second;
}

TenantSpecification ConfigurationSystem::tenant(const std::string& name) const {
  const std::scoped_lock lock(mutex_);
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? TenantSpecification{} : found->second;
}

std::vector<Resource> ConfigurationSystem::list(const std::string& kind) const {
  const std::scoped_lock lock(mutex_);
  std::vector<Resource> resources;
  for (const auto& [key, resource] : state_.resources()) {
    if (kind.empty() || key.first == kind) resources.push_back(resource);
  }
  return resources;
}

std::optional<Resource> ConfigurationSystem::find(const std::string& kind,
                                                  const std::string& name) const {
  const std::scoped_lock lock(mutex_);
  const auto* resource = state_.find(kind, name);
  if (resource == nullptr) return std::nullopt;
  return *resource;
}

}  // namespace stoathold
