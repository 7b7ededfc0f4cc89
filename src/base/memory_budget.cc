#include "base/memory_budget.h"

#include <algorithm>
#include <utility>

namespace stoathold {
namespace {

/// Memory that a process uses without clients or jobs, and that the allocator retains; measured in
/// docs/design/memory-budget.md.
constexpr std::uint64_t kReserveBytes = 40UL * 1024 * 1024;
/// Divisor for the share of the limit that is reserved in addition, because fragmentation grows
/// with the used memory.
constexpr std::uint64_t kReserveDivisor = 8;
/// Divisor for the minimum budget, for limits smaller than the reserve: such a process can still
/// serve small requests.
constexpr std::uint64_t kMinBudgetDivisor = 4;

/// Returns up to which percentage of the budget an account may grow. Batch jobs stop at half, so
/// that a burst of online requests finds the other half; so do large heads, which ordinary clients
/// do not send. New requests stop before the responses to
/// running ones, which occupy runner slots while they find no memory. Connections use little, and
/// without a connection a client cannot be told to retry. The last 5 percent are for bytes that are
/// charged without a reservation.
constexpr std::uint64_t percent_limit_of(MemoryAccount account) {
  switch (account) {
    case MemoryAccount::kJobRequests:
    case MemoryAccount::kRequestHeads:
      return 50;
    case MemoryAccount::kRequestBodies:
    case MemoryAccount::kCachedResults:
      return 75;
    case MemoryAccount::kResponses:
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
    case MemoryAccount::kRequestHeads:
      return "request_heads";
    case MemoryAccount::kRequestBodies:
      return "request_bodies";
    case MemoryAccount::kResponses:
      return "answers";
    case MemoryAccount::kJobRequests:
      return "job_requests";
    case MemoryAccount::kJobResults:
      return "job_results";
    case MemoryAccount::kCachedResults:
      break;
  }
  return "listed_results";
}

std::uint64_t process_memory_budget(std::uint64_t limit_bytes) {
  const std::uint64_t reserve = kReserveBytes + limit_bytes / kReserveDivisor;
  const std::uint64_t min_budget = limit_bytes / kMinBudgetDivisor;
  return std::max(min_budget, limit_bytes > reserve ? limit_bytes - reserve : 0);
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

bool MemoryReservation::grow(std::uint64_t additional_bytes) {
  if (budget_ == nullptr) return true;
  if (!budget_->reclaim_until_fits(account_, additional_bytes)) {
    budget_->count_refusal(account_);
    return false;
  }
  resize(bytes_ + additional_bytes);
  return true;
}

void MemoryReservation::release() {
  resize(0);
  budget_ = nullptr;
}

std::uint64_t MemoryBudget::account_limit(MemoryAccount account) const {
  constexpr std::uint64_t kPercent = 100;
  return limit_ / kPercent * percent_limit_of(account);
}

bool MemoryBudget::can_ever_fit(MemoryAccount account, std::uint64_t bytes) const {
  return !limited() || bytes <= account_limit(account);
}

bool MemoryBudget::fits(MemoryAccount account, std::uint64_t bytes) const {
  if (!limited()) return true;
  const std::uint64_t max_bytes = account_limit(account);
  return bytes <= max_bytes && used_ <= max_bytes - bytes;
}

bool MemoryBudget::reclaim_until_fits(MemoryAccount account, std::uint64_t bytes) {
  if (!can_ever_fit(account, bytes)) return false;
  while (!fits(account, bytes)) {
    if (!reclaim()) return false;
  }
  return true;
}

bool MemoryBudget::reclaim() {
  return std::any_of(reclaimers_.begin(), reclaimers_.end(),
                     [](const Reclaimer& reclaimer) { return reclaimer(); });
}

std::optional<MemoryReservation> MemoryBudget::reserve(MemoryAccount account, std::uint64_t bytes) {
  if (reclaim_until_fits(account, bytes)) return charge(account, bytes);
  count_refusal(account);
  return std::nullopt;
}

MemoryReservation MemoryBudget::charge(MemoryAccount account, std::uint64_t bytes) {
  add(account, bytes);
  return {this, account, bytes};
}

void MemoryBudget::add(MemoryAccount account, std::uint64_t bytes) {
  Account& entry = at(account);
  entry.used += bytes;
  entry.peak = std::max(entry.peak, entry.used);
  used_ += bytes;
}

void MemoryBudget::subtract(MemoryAccount account, std::uint64_t bytes) {
  at(account).used -= bytes;
  used_ -= bytes;
}

}  // namespace stoathold
