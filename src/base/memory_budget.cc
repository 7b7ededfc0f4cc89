#include "base/memory_budget.h"

#include <algorithm>
#include <utility>

namespace stoathold {
namespace {

/// What a process holds without callers or jobs, and what the allocator keeps: see the measurements
/// in docs/design/memory-budget.md.
constexpr std::uint64_t kReserveBytes = 40UL * 1024 * 1024;
/// Part of the limit that is kept besides: gaps between allocations grow with what is held.
constexpr std::uint64_t kReservePart = 8;
/// Part of a limit that is smaller than its reserve: such a process still serves small requests.
constexpr std::uint64_t kLeastPart = 4;

/// The part of the budget, in hundredths, up to which an account is given more. Batch stops at
/// half, so that a burst of online requests finds the other half. New requests stop before the
/// answers of those that run, whose runners' places are kept while they find no room. A connection
/// takes little, and without one nobody could be told to come back. The last 5 are for what is
/// counted without being asked.
constexpr std::uint64_t percent_of(MemoryAccount account) {
  switch (account) {
    case MemoryAccount::kJobRequests:
      return 50;
    case MemoryAccount::kRequestBodies:
    case MemoryAccount::kListedResults:
      return 75;
    case MemoryAccount::kAnswers:
      return 85;
    case MemoryAccount::kConnections:
    case MemoryAccount::kJobResults:
      break;
  }
  return 95;
}

}  // namespace

std::string_view to_string(MemoryAccount account) {
  switch (account) {
    case MemoryAccount::kConnections:
      return "connections";
    case MemoryAccount::kRequestBodies:
      return "request_bodies";
    case MemoryAccount::kAnswers:
      return "answers";
    case MemoryAccount::kJobRequests:
      return "job_requests";
    case MemoryAccount::kJobResults:
      return "job_results";
    case MemoryAccount::kListedResults:
      break;
  }
  return "listed_results";
}

std::uint64_t budget_of_process(std::uint64_t limit_bytes) {
  const std::uint64_t reserve = kReserveBytes + limit_bytes / kReservePart;
  const std::uint64_t least = limit_bytes / kLeastPart;
  return std::max(least, limit_bytes > reserve ? limit_bytes - reserve : 0);
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)),
      account_(other.account_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  release();
  budget_ = std::exchange(other.budget_, nullptr);
  account_ = other.account_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void MemoryReservation::resize(std::uint64_t bytes) {
  if (budget_ == nullptr) return;
  if (bytes > bytes_) budget_->add(account_, bytes - bytes_);
  if (bytes < bytes_) budget_->subtract(account_, bytes_ - bytes);
  bytes_ = bytes;
}

bool MemoryReservation::grow(std::uint64_t more_bytes) {
  if (budget_ == nullptr) return true;
  if (!budget_->make_room(account_, more_bytes)) {
    budget_->count_refusal(account_);
    return false;
  }
  resize(bytes_ + more_bytes);
  return true;
}

void MemoryReservation::release() {
  resize(0);
  budget_ = nullptr;
}

std::uint64_t MemoryBudget::mark(MemoryAccount account) const {
  constexpr std::uint64_t kWhole = 100;
  return limit_ / kWhole * percent_of(account);
}

bool MemoryBudget::can_ever_fit(MemoryAccount account, std::uint64_t bytes) const {
  return !limited() || bytes <= mark(account);
}

bool MemoryBudget::has_room(MemoryAccount account, std::uint64_t bytes) const {
  if (!limited()) return true;
  const std::uint64_t most = mark(account);
  return bytes <= most && used_ <= most - bytes;
}

bool MemoryBudget::make_room(MemoryAccount account, std::uint64_t bytes) {
  if (!can_ever_fit(account, bytes)) return false;
  while (!has_room(account, bytes)) {
    const bool reclaimed = reclaimer_ && reclaimer_();
    if (!reclaimed) return false;
  }
  return true;
}

std::optional<MemoryReservation> MemoryBudget::reserve(MemoryAccount account, std::uint64_t bytes) {
  if (make_room(account, bytes)) return charge(account, bytes);
  count_refusal(account);
  return std::nullopt;
}

MemoryReservation MemoryBudget::charge(MemoryAccount account, std::uint64_t bytes) {
  add(account, bytes);
  return {this, account, bytes};
}

void MemoryBudget::add(MemoryAccount account, std::uint64_t bytes) {
  Account& held = at(account);
  held.used += bytes;
  held.peak = std::max(held.peak, held.used);
  used_ += bytes;
}

void MemoryBudget::subtract(MemoryAccount account, std::uint64_t bytes) {
  at(account).used -= bytes;
  used_ -= bytes;
}

}  // namespace stoathold
