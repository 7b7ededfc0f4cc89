/// @file
/// The model that the cluster is checked against: the behaviour visible to callers and operators,
/// independent of leases, shards, retries and membership.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stoathold::fuzz {

/// Outcome of a call as its caller observes it.
enum class CallOutcome : std::uint8_t {
  kOk,
  kNotRun,   ///< Rejected, reported as not run.
  kUnknown,  ///< Reported as unknown, or the connection was lost.
};

/// Records acknowledgements and observed effects and reports every violated guarantee.
class Oracle {
 public:
  /// Number of client operations recorded.
  [[nodiscard]] std::uint64_t operations() const { return operations_; }
  /// Descriptions of all violations.
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

  // Online requests. `call` identifies a submission, `work` the unit that must run at most once if
  // it is unsafe to repeat.
  void online_started(std::uint64_t call, std::uint64_t work, bool unsafe);
  void online_ended(std::uint64_t call, CallOutcome outcome, const std::string& text,
                    const std::string& expected);
  void engine_started_online(std::uint64_t call, std::uint64_t work);
  void connection_lost_in_planned_shutdown(std::uint64_t call);

  // Batch jobs, identified by the caller's key.
  void submit_started(std::uint64_t key, std::uint32_t items);
  void submit_ended(std::uint64_t key, CallOutcome outcome, std::uint64_t job);
  void cancel_started(std::uint64_t key);
  void cancel_ended(std::uint64_t key, CallOutcome outcome, std::uint32_t completed);
  /// Facts established before a read started; only these can contradict its result.
  struct ReadStart {
    bool accepted = false;
    std::uint32_t completed = 0;
  };
  [[nodiscard]] ReadStart read_started(std::uint64_t key) const;
  void status_read(std::uint64_t key, const ReadStart& start, bool found, std::uint32_t completed,
                   bool cancelled);
  void result_read(std::uint64_t key, std::uint32_t index, const std::string& text);
  /// Checks the final state of a job after all faults are healed; `results` covers all pages.
  void check_job_at_end(std::uint64_t key, bool found, bool cancelled, std::uint32_t completed,
                        const std::map<std::uint32_t, std::string>& results);
  [[nodiscard]] std::vector<std::uint64_t> job_keys() const;

  // Configuration.
  void change_ended(const std::string& resource, std::uint64_t expected, CallOutcome outcome,
                    bool conflict, std::uint64_t version, const std::string& body);
  void resource_read(std::uint64_t node_start, const std::string& resource, std::uint64_t version);
  /// Checks the final state of a resource on one node.
  void check_resource_at_end(const std::string& node, const std::string& resource,
                             std::uint64_t version, const std::string& body);
  [[nodiscard]] std::uint64_t newest_version(const std::string& resource) const;

  void leaving_runner_received_work(const std::string& runner);

 private:
  struct Online {
    std::uint64_t work = 0;
    bool unsafe = false;
    bool ended = false;
    CallOutcome outcome = CallOutcome::kUnknown;
    std::uint32_t starts = 0;
  };
  struct Job {
    std::uint32_t items = 0;
    std::uint32_t submissions = 0;
    std::uint32_t not_run = 0;
    std::uint32_t ended = 0;
    bool accepted = false;
    std::optional<std::uint64_t> id;
    bool cancel_requested = false;
    std::optional<std::uint32_t> completed_at_cancel;
    std::uint32_t max_completed = 0;
    std::map<std::uint32_t, std::string> results;
  };
  struct Change {
    std::uint64_t expected = 0;
    std::string body;
  };

  void add_violation(std::string sentence) { violations_.push_back(std::move(sentence)); }

  std::uint64_t operations_ = 0;
  std::vector<std::string> violations_;
  std::map<std::uint64_t, Online> online_;
  std::map<std::uint64_t, std::uint32_t> unsafe_starts_;
  std::map<std::uint64_t, Job> jobs_;
  std::map<std::string, std::map<std::uint64_t, Change>> accepted_changes_;
  std::map<std::string, std::set<std::uint64_t>> used_expected_versions_;
  std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> last_read_;
};

}  // namespace stoathold::fuzz
