#include "fuzz/oracle.h"

#include <algorithm>

namespace stoathold::fuzz {

void Oracle::online_started(std::uint64_t call, std::uint64_t work, bool unsafe) {
  ++operations_;
  online_[call] = {work, unsafe, false, CallOutcome::kUnknown, 0};
}

void Oracle::online_ended(std::uint64_t call, CallOutcome outcome, const std::string& text,
                          const std::string& expected) {
  auto& online = online_.at(call);
  if (online.ended) add_violation("call " + std::to_string(call) + " ended twice");
  online.ended = true;
  online.outcome = outcome;
  if (outcome == CallOutcome::kOk && text != expected) {
    add_violation("call " + std::to_string(call) + " got '" + text + "' and not '" + expected +
                  "'");
  }
  if (outcome == CallOutcome::kNotRun && online.starts > 0) {
    add_violation("call " + std::to_string(call) + " was reported as not run, but had run");
  }
}

void Oracle::engine_started_online(std::uint64_t call, std::uint64_t work) {
  auto& online = online_.at(call);
  ++online.starts;
  if (online.ended && online.outcome == CallOutcome::kNotRun) {
    add_violation("call " + std::to_string(call) + " ran after it was reported as not run");
  }
  if (!online.unsafe) return;
  if (++unsafe_starts_[work] > 1) {
    add_violation("unsafe work " + std::to_string(work) + " ran more than once");
  }
}

void Oracle::connection_lost_in_planned_shutdown(std::uint64_t call) {
  add_violation("a planned shutdown cut the connection of call " + std::to_string(call));
}

void Oracle::submit_started(std::uint64_t key, std::uint32_t items) {
  ++operations_;
  auto& job = jobs_[key];
  job.items = items;
  ++job.submissions;
}

void Oracle::submit_ended(std::uint64_t key, CallOutcome outcome, std::uint64_t id) {
  auto& job = jobs_.at(key);
  ++job.ended;
  if (outcome == CallOutcome::kNotRun) ++job.not_run;
  if (outcome != CallOutcome::kOk) return;
  job.accepted = true;
  if (job.id && *job.id != id) add_violation("job " + std::to_string(key) + " became two jobs");
  job.id = id;
}

void Oracle::cancel_started(std::uint64_t key) {
  ++operations_;
  jobs_.at(key).cancel_requested = true;
}

void Oracle::cancel_ended(std::uint64_t key, CallOutcome outcome, std::uint32_t completed) {
  auto& job = jobs_.at(key);
  if (outcome == CallOutcome::kOk && !job.completed_at_cancel) job.completed_at_cancel = completed;
}

Oracle::ReadStart Oracle::read_started(std::uint64_t key) const {
  const auto& job = jobs_.at(key);
  return {job.accepted, job.max_completed};
}

void Oracle::status_read(std::uint64_t key, const ReadStart& start, bool found,
                         std::uint32_t completed, bool cancelled) {
  ++operations_;
  auto& job = jobs_.at(key);
  const std::string name = "job " + std::to_string(key);
  if (!found) {
    if (start.accepted) add_violation(name + " was accepted, but was not found");
    return;
  }
  if (cancelled && !job.cancel_requested)
    add_violation(name + " is cancelled without a cancel request");
  if (completed < start.completed) add_violation(name + " lost completed items");
  job.max_completed = std::max(job.max_completed, completed);
  if (job.completed_at_cancel && completed > *job.completed_at_cancel) {
    add_violation(name + " completed items after it was cancelled");
  }
}

void Oracle::result_read(std::uint64_t key, std::uint32_t index, const std::string& text) {
  ++operations_;
  auto& job = jobs_.at(key);
  const auto [position, inserted] = job.results.try_emplace(index, text);
  if (!inserted && position->second != text) {
    add_violation("item " + std::to_string(index) + " of job " + std::to_string(key) +
                  " has two different results: it completed twice");
  }
}

void Oracle::check_job_at_end(std::uint64_t key, bool found, bool cancelled,
                              std::uint32_t completed,
                              const std::map<std::uint32_t, std::string>& results) {
  const std::string name = "job " + std::to_string(key);
  const auto& job = jobs_.at(key);
  if (job.accepted && !found) add_violation(name + " was accepted, but does not exist");
  const bool all_not_run = job.ended == job.submissions && job.not_run == job.submissions;
  if (all_not_run && found) add_violation(name + " was reported as not run, but exists");
  if (!found) return;
  status_read(key, read_started(key), true, completed, cancelled);
  for (const auto& [index, text] : results) result_read(key, index, text);
  if (results.size() != completed) add_violation(name + " does not return all of its results");
  if (!cancelled && completed != job.items) {
    add_violation(name + " completed " + std::to_string(completed) + " of " +
                  std::to_string(job.items));
  }
}

std::vector<std::uint64_t> Oracle::job_keys() const {
  std::vector<std::uint64_t> keys;
  for (const auto& [key, job] : jobs_) keys.push_back(key);
  return keys;
}

void Oracle::change_ended(const std::string& resource, std::uint64_t expected, CallOutcome outcome,
                          bool conflict, std::uint64_t version, const std::string& body) {
  ++operations_;
  if (conflict || outcome != CallOutcome::kOk) return;
  accepted_changes_[resource][version] = {expected, body};
  if (!used_expected_versions_[resource].insert(expected).second) {
    add_violation("two changes of " + resource + " were accepted against version " +
                  std::to_string(expected));
  }
}

void Oracle::resource_read(std::uint64_t node_start, const std::string& resource,
                           std::uint64_t version) {
  auto& last = last_read_[{node_start, resource}];
  if (version < last) add_violation(resource + " reverted from version " + std::to_string(last));
  last = version;
}

void Oracle::check_resource_at_end(const std::string& node, const std::string& resource,
                                   std::uint64_t version, const std::string& body) {
  const auto& changes = accepted_changes_[resource];
  if (changes.empty()) return;
  const auto& [newest, change] = *changes.rbegin();
  if (version < newest) {
    add_violation(resource + " on " + node + " is at version " + std::to_string(version) +
                  ", not " + std::to_string(newest));
  }
  if (version == newest && body != change.body) {
    add_violation(resource + " on " + node + " differs from the accepted change");
  }
}

std::uint64_t Oracle::newest_version(const std::string& resource) const {
  const auto found = accepted_changes_.find(resource);
  return found == accepted_changes_.end() || found->second.empty() ? 0
                                                                   : found->second.rbegin()->first;
}

void Oracle::leaving_runner_received_work(const std::string& runner) {
  add_violation("leaving runner " + runner + " received new work");
}

}  // namespace stoathold::fuzz
