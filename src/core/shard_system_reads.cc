/// @file
/// Linearizable reads of job status and results, for `ShardSystem`. A read is answered after the
/// replica has read the stream to its tail, so that it sees every operation acknowledged before.
#include <algorithm>
#include <mutex>
#include <utility>

#include "core/policy_switches.h"
#include "core/rendezvous.h"
#include "core/shard_system.h"

namespace stoathold {
namespace {

constexpr std::uint32_t kResultsPageLimit = 200;

}  // namespace

void ShardSystem::process_waiting_reads(ShardRow& row, TimePoint now, Effects& effects) {
  auto reads = std::exchange(row.reads, {});
  for (auto& read : reads) {
    if (!row.owned) {
      reply_failure(read.caller, ErrorCode::kShardMoving, Execution::kNotRun, effects);
    } else if (row.replica.barrier_passed(read.ticket)) {
      answer_read(row, read, now, effects);
    } else if (now - read.queued_at > knobs_.log_down_timeout) {
      reply_failure(read.caller, ErrorCode::kLogUnavailable, Execution::kNotRun, effects);
    } else {
      row.reads.push_back(std::move(read));
    }
  }
  std::erase_if(row.pages, [&](const auto& item) {
    return now - item.second.started_at > knobs_.call_timeout;
  });
}

void ShardSystem::answer_read(ShardRow& row, const WaitingRead& read, TimePoint now,
                              Effects& effects) {
  if (const auto* results = std::get_if<JobResultsCall>(&read.request)) {
    start_results_page(row, read, *results, now, effects);
    return;
  }
  const auto* cancel = std::get_if<CancelJobCall>(&read.request);
  const JobId id = cancel != nullptr ? cancel->job : std::get<JobStatusCall>(read.request).job;
  const auto* job = row.replica.state().find_job(id);
  if (job != nullptr && cancel != nullptr) {
    serve_cancel(row, read.caller, *cancel, now, effects);
    return;
  }
  if (job == nullptr) {
    reply_failure(read.caller, ErrorCode::kNotFound, Execution::kNotRun, effects);
  } else {
    reply(read.caller, status_of(id, *job), effects);
  }
}

void ShardSystem::start_results_page(ShardRow& row, const WaitingRead& read,
                                     const JobResultsCall& call, TimePoint now, Effects& effects) {
  const auto* job = row.replica.state().find_job(call.job);
  if (job == nullptr) {
    reply_failure(read.caller, ErrorCode::kNotFound, Execution::kNotRun, effects);
    return;
  }
  ResultsPage page;
  page.caller = read.caller;
  page.job = call.job;
  page.started_at = now;
  page.page.item_count = job->item_count;
  const std::uint32_t limit = std::clamp(call.limit, 1U, kResultsPageLimit);
  std::uint32_t index = call.first_index;
  for (; index < job->item_count && index - call.first_index < limit; ++index) {
    if (job->item_completed(index)) page.missing[job->result_offsets[index]].push_back(index);
  }
  page.page.next_index = std::min(index, job->item_count);
  if (page.missing.empty()) {
    reply(read.caller, page.page, effects);
    return;
  }
  const std::uint64_t page_id = new_operation();
  for (const auto& [offset, indexes] : page.missing) {
    const std::uint64_t token = new_direct_read_token();
    row.page_reads[token] = {page_id, offset};
    effects.push_back(ReadFromLog{shard_stream_name(row.replica.shard()), offset, 1, token});
  }
  row.pages[page_id] = std::move(page);
}

void ShardSystem::add_to_results_page(ShardRow& row, std::uint64_t page_id, Offset offset,
                                      const ShardEntry& entry, Effects& effects) {
  const auto found = row.pages.find(page_id);
  if (found == row.pages.end()) return;
  auto& page = found->second;
  auto indexes = page.missing[offset];
  for (const auto& record : entry.records) {
    const auto* completed = std::get_if<ItemsCompleted>(&record);
    if (completed == nullptr || completed->job != page.job) continue;
    for (const auto& result : completed->results) {
      if (std::erase(indexes, result.index) > 0) page.page.results.push_back(result);
    }
  }
  page.missing.erase(offset);
  if (!page.missing.empty()) return;
  const auto by_index = [](const auto& left, const auto& right) {
    return left.index < right.index;
  };
  std::sort(page.page.results.begin(), page.page.results.end(), by_index);
  reply(page.caller, page.page, effects);
  row.pages.erase(found);
}

}  // namespace stoathold
