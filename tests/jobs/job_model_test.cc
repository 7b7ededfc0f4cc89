/// Stateful fuzzing of batch jobs in the log: several nodes access one log through connections with
/// injected faults, and an oracle checks later answers against those that nodes gave earlier.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

#include "jobs/job_store.h"
#include "tests/jobs/append_results.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr int kNodes = 3;
constexpr int kJobs = 4;
constexpr std::uint32_t kItems = 3;
constexpr std::uint64_t kTokensPerItem = 100;
constexpr std::uint64_t kQueueLimit = 700;  // Two jobs of the four.
constexpr const char* kHost = "drafts.example";

/// Minimum length of the texts of results; long texts are stored in separate records.
std::size_t result_bytes() {
  const char* bytes = std::getenv("STOATHOLD_RESULT_BYTES");
  return bytes == nullptr ? 0 : std::strtoul(bytes, nullptr, 10);
}

LogLimits limits() {
  LogLimits limits;
  limits.record_bytes = 4000;
  limits.call_bytes = 16000;
  limits.partitions = 2;
  limits.group_slots = 4;
  return limits;
}

/// Whether the texts of results are stored in several records.
bool has_multipart_texts() {
  return result_bytes() > limits().record_bytes;
}
/// Upper bound of the appends of one writer, which may be too few for its text.
constexpr int kMaxAppends = 9;

std::string job_id(int job) {
  return "job-" + std::to_string(job);
}
JobKey job_key(int job) {
  return make_job_key(kHost, job_id(job));
}

/// Answers that callers have received.
struct Oracle {
  std::set<int> accepted;
  std::set<int> uncertain;                               ///< May have been accepted.
  std::map<int, std::vector<std::string>> results_seen;  ///< Longest list of results read.
  std::set<std::pair<int, std::uint32_t>> finished;
  std::set<int> cancelled;
};

/// Counts over all runs, to detect runs that exercise nothing.
struct Totals {
  std::uint64_t commands = 0;
  std::uint64_t accepted = 0;
  std::uint64_t results_read = 0;
  std::uint64_t faults = 0;
};
Totals& totals() {
  static Totals counts;
  return counts;
}

/// The nodes. A crash replaces the store of a node by an empty one.
struct Fleet {
  Fleet() : model(std::make_shared<emulator::LogModel>()) {
    for (int node = 0; node < kNodes; ++node) {
      logs.push_back(std::make_unique<FaultyRecordLog>(model, limits()));
      stores.push_back(nullptr);
      restart(node);
    }
  }
  void restart(int node) {
    const std::string name = "n" + std::to_string(node) + "-" + std::to_string(starts++);
    stores[node] =
        std::make_unique<JobStore>(loop.get_executor(), *logs[node], name, short_timeouts());
  }

  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;
  std::vector<std::unique_ptr<FaultyRecordLog>> logs;
  std::vector<std::unique_ptr<JobStore>> stores;
  int starts = 0;
};

using Command = rc::state::Command<Oracle, Fleet>;

int pick_node() {
  return *rc::gen::inRange(0, kNodes);
}
int pick_job() {
  return *rc::gen::inRange(0, kJobs);
}

NewJob make_job(int job) {
  NewJob made;
  made.submission.id = job_id(job);
  made.submission.host = kHost;
  made.submission.path = "/drafts/";
  made.submission.route = "drafts";
  made.max_queued_tokens = kQueueLimit;
  for (std::uint32_t i = 0; i < kItems; ++i) {
    JobItem item;
    item.id = std::to_string(i);
    item.tokens = kTokensPerItem;
    made.submission.items.push_back(item);
    const ItemRequest request{"/p", {}, job_id(job) + ":" + std::to_string(i)};
    made.requests.push_back(encode(request));
  }
  return made;
}

// Answers received in the current run; commands share them because the model state of the framework
// does not contain what the system answered.
Oracle& observed_answers() {
  static Oracle oracle;
  return oracle;
}

struct Submit : Command {
  int node = pick_node();
  int job = pick_job();

  void run(const Oracle& /*before*/, Fleet& fleet) const override {
    ++totals().commands;
    Oracle& oracle = observed_answers();
    std::uint64_t queued_tokens = 0;
    for (const int accepted : oracle.accepted) {
      if (oracle.cancelled.contains(accepted)) continue;
      for (std::uint32_t item = 0; item < kItems; ++item) {
        if (!oracle.finished.contains({accepted, item})) queued_tokens += kTokensPerItem;
      }
    }
    const SubmitStatus status =
        run_awaitable(fleet.loop, fleet.stores[node]->submit(make_job(job)));
    if (status == SubmitStatus::kAccepted) {
      const bool added = oracle.accepted.insert(job).second;
      ++totals().accepted;
      if (added && !oracle.uncertain.contains(job)) {
        RC_ASSERT(queued_tokens + kItems * kTokensPerItem <= kQueueLimit);
      }
    } else if (status == SubmitStatus::kUncertain) {
      oracle.uncertain.insert(job);
    } else {
      RC_ASSERT(!oracle.accepted.contains(job) || status == SubmitStatus::kRefused);
    }
  }
  void show(std::ostream& os) const override { os << "submit " << job << " at " << node; }
};

struct WriteResult : Command {
  int node = pick_node();
  int job = pick_job();
  std::uint32_t item = *rc::gen::inRange<std::uint32_t>(0, kItems);
  int max_appends = has_multipart_texts() ? *rc::gen::inRange(1, kMaxAppends) : 0;

  void run(const Oracle& /*before*/, Fleet& fleet) const override {
    ++totals().commands;
    Oracle& oracle = observed_answers();
    if (!oracle.accepted.contains(job)) return;
    JobStore& store = *fleet.stores[node];
    const JobKey key = job_key(job);
    const bool done = has_multipart_texts() ? write_multipart(fleet, store, key)
                                            : write_records(fleet, store, key);
    if (done) oracle.finished.insert({job, item});
  }
  bool write_records(Fleet& fleet, JobStore& store, const JobKey& key) const {
    int tries = 0;
    const auto make = [&] {
      ItemResult result{key, item, ItemState::kCompleted, store.unique_name()};
      result.text.resize(std::max(result.text.size(), result_bytes()), '.');
      return store.records_of(result);
    };
    return run_awaitable(fleet.loop, append_results(store, key, make, [&] { return tries++ < 2; }));
  }
  /// The writer may end between two appends.
  bool write_multipart(Fleet& fleet, JobStore& store, const JobKey& key) const {
    int appends = 0;
    ItemResult result{key, item, ItemState::kCompleted, {}};
    const std::string name = store.unique_name();
    while (result.text.size() < result_bytes()) {
      result.text += name + " " + std::to_string(result.text.size()) + " ";
    }
    const auto multipart = store.multipart_of(result);
    if (!multipart) return false;  // The node has not read the job.
    return run_awaitable(fleet.loop, append_multipart(store, result, *multipart,
                                                      [&] { return appends++ < max_appends; }));
  }
  void show(std::ostream& os) const override {
    os << "write result of item " << item << " of " << job << " at " << node;
  }
};

/// Returns the text that a caller has read at a position, without the item index.
std::string result_text_seen(const std::vector<std::string>& results_seen, std::size_t position) {
  return results_seen[position].substr(results_seen[position].find('=') + 1);
}

struct Read : Command {
  int node = pick_node();
  int job = pick_job();

  void run(const Oracle& /*before*/, Fleet& fleet) const override {
    ++totals().commands;
    Oracle& oracle = observed_answers();
    const auto& results_seen = oracle.results_seen[job];
    const std::uint64_t position = results_seen.empty() ? 0 : results_seen.size() - 1;
    const ResultPage page = run_awaitable(
        fleet.loop, fleet.stores[node]->read_results(kHost, job_key(job), position, Duration{0}));
    if (page.status == LookupStatus::kUncertain) return;
    if (page.status == LookupStatus::kAbsent) {
      RC_ASSERT(!oracle.accepted.contains(job));
      return;
    }
    RC_ASSERT(oracle.accepted.contains(job) || oracle.uncertain.contains(job));
    RC_ASSERT(page.job->submission.items.size() == kItems);
    std::vector<std::string> texts;
    std::set<std::uint32_t> items;
    for (const auto& result : page.results->listed()) {
      // No read fails here, so only texts before the position may be missing.
      const bool asked_for = texts.size() >= position;
      RC_ASSERT(result.has_text() || (!asked_for && result_bytes() > 0));
      const std::string text =
          result.has_text() ? result.text : result_text_seen(results_seen, texts.size());
      texts.push_back(std::to_string(result.item) + "=" + text);
      RC_ASSERT(items.insert(result.item).second);
    }
    RC_ASSERT(texts.size() >= results_seen.size());
    for (std::size_t i = 0; i < std::min(results_seen.size(), texts.size()); ++i) {
      RC_ASSERT(texts[i] == results_seen[i]);
    }
    totals().results_read += texts.size();
    if (texts.size() > results_seen.size()) oracle.results_seen[job] = texts;
  }
  void show(std::ostream& os) const override { os << "read " << job << " at " << node; }
};

struct ReadRequests : Command {
  int node = pick_node();
  int job = pick_job();

  void run(const Oracle& /*before*/, Fleet& fleet) const override {
    JobStore& store = *fleet.stores[node];
    const JobEntry* entry = nullptr;
    const LookupStatus found = run_awaitable(fleet.loop, store.find(kHost, job_key(job), entry));
    if (found != LookupStatus::kFound) return;
    for (std::uint32_t i = 0; i < kItems; ++i) {
      ItemRequest request;
      const LookupStatus status =
          run_awaitable(fleet.loop, store.read_request(job_key(job), i, request));
      if (status == LookupStatus::kUncertain) continue;
      RC_ASSERT(status == LookupStatus::kFound);
      RC_ASSERT(request.body == job_id(job) + ":" + std::to_string(i));
    }
  }
  void show(std::ostream& os) const override { os << "read requests of " << job << " at " << node; }
};

struct Crash : Command {
  int node = pick_node();

  void run(const Oracle& /*before*/, Fleet& fleet) const override { fleet.restart(node); }
  void show(std::ostream& os) const override { os << "crash " << node; }
};

struct InjectFault : Command {
  int node = pick_node();
  int kind = *rc::gen::inRange(0, 5);
  int count = *rc::gen::inRange(1, 4);

  void run(const Oracle& /*before*/, Fleet& fleet) const override {
    FaultyRecordLog& log = *fleet.logs[node];
    ++totals().faults;
    if (kind == 0) log.faults.lose_answers = count;
    if (kind == 1) log.faults.drop_appends = count;
    if (kind == 2) log.faults.delayed_appends = count;
    if (kind == 3) log.apply_delayed();
    if (kind == 4) fleet.model->drop_history();
  }
  void show(std::ostream& os) const override {
    constexpr std::array<const char*, 5> kNames{"lose answers", "drop appends", "delay appends",
                                                "apply delayed appends", "drop history"};
    os << kNames[kind] << " of " << node << " x" << count;
  }
};

}  // namespace
}  // namespace stoathold

int main() {
  using namespace stoathold;
  const bool held = rc::check("jobs in the log keep what callers were told", [] {
    observed_answers() = Oracle{};
    Fleet fleet;
    const Oracle initial;
    rc::state::check(initial, fleet,
                     rc::state::gen::execOneOfWithArgs<Submit, WriteResult, Read, ReadRequests,
                                                       Crash, InjectFault>());
  });
  std::printf("%llu commands on jobs, %llu acceptances, %llu results read, %llu faults\n",
              static_cast<unsigned long long>(totals().commands),
              static_cast<unsigned long long>(totals().accepted),
              static_cast<unsigned long long>(totals().results_read),
              static_cast<unsigned long long>(totals().faults));
  constexpr std::uint64_t kEnough = 500;
  const bool tested = totals().accepted > kEnough && totals().results_read > kEnough;
  return held && tested ? 0 : 1;
}
