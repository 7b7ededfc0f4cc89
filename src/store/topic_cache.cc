#include "store/topic_cache.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <utility>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Number of deletions that are kept. A reader that is further behind reads the partition anew.
constexpr std::size_t kMaxDeletions = 10000;

}  // namespace

TopicCache::TopicCache(asio::any_io_executor executor, RecordSink& sink)
    : executor_(std::move(executor)), sink_(sink) {}

void TopicCache::store(const StoredRecord& record) {
  const auto [position, is_new] = offset_of_key_.try_emplace(record.key, record.offset);
  if (!is_new) {
    by_offset_.erase(position->second);
    position->second = record.offset;
  }
  by_offset_[record.offset] = record;
  end_ = std::max(end_, record.offset + 1);
  if (record.value.empty()) deletions_.push_back(record.offset);
}

void TopicCache::drop_old_deletions() {
  while (deletions_.size() > kMaxDeletions) {
    const RecordOffset offset = deletions_.front();
    deletions_.pop_front();
    const auto found = by_offset_.find(offset);
    if (found == by_offset_.end()) continue;  // The key was written again.
    offset_of_key_.erase(found->second.key);
    by_offset_.erase(found);
    complete_from_ = offset + 1;
  }
}

void TopicCache::apply(const StoredRecord& record) {
  store(record);
  drop_old_deletions();
  sink_.apply(record);
  notify();
}

bool TopicCache::covers(RecordOffset from) const {
  if (from == 0) return true;
  const bool skipped = skipped_from_ < from && from < skipped_to_;
  return from >= complete_from_ && !skipped;
}

/// Keys that were deleted meanwhile are absent from `newest`: readers that know them cannot learn
/// of their deletion here.
void TopicCache::reset(const std::vector<StoredRecord>& newest, RecordOffset end) {
  const auto known = std::exchange(offset_of_key_, {});
  by_offset_.clear();
  deletions_.clear();
  if (skipped_to_ == 0) skipped_from_ = end_;
  for (const StoredRecord& record : newest) store(record);
  end_ = std::max(end_, end);
  skipped_to_ = end_;
  const bool any_deleted = std::any_of(known.begin(), known.end(), [this](const auto& entry) {
    return !offset_of_key_.contains(entry.first);
  });
  if (any_deleted) complete_from_ = end_;
  sink_.reset(newest, end);
  notify();
}

void TopicCache::on_deletions_skipped(RecordOffset end) {
  if (skipped_to_ == 0) skipped_from_ = end_;
  skipped_to_ = std::max(skipped_to_, end);
  sink_.on_deletions_skipped(end);
}

void TopicCache::on_caught_up() {
  sink_.on_caught_up();
  notify();
}

std::vector<StoredRecord> TopicCache::read(RecordOffset from, std::uint64_t max_bytes) const {
  std::vector<StoredRecord> records;
  std::uint64_t bytes = 0;
  for (auto next = by_offset_.lower_bound(from); next != by_offset_.end(); ++next) {
    bytes += next->second.key.size() + next->second.value.size();
    if (!records.empty() && bytes > max_bytes) break;
    records.push_back(next->second);
  }
  return records;
}

asio::awaitable<void> TopicCache::wait_for_change(Duration limit) {
  const auto timer = waiting_.emplace(waiting_.end(), executor_, limit);
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  waiting_.erase(timer);
}

void TopicCache::notify() {
  for (Timer& timer : waiting_) timer.cancel();
}

}  // namespace stoathold
