/// @file
/// A memory budget for a process, with accounts by purpose. Uses neither clock nor input and
/// output.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace stoathold {

/// What memory is used for.
enum class MemoryAccount : std::uint8_t {
  kConnections,    ///< Client connections, at an average size each.
  kRequestHeads,   ///< Request heads larger than what a connection's average size includes.
  kRequestBodies,  ///< Request bodies that are being received or handled.
  kResponses,      ///< Responses that wait for their clients to read them.
  kJobRequests,    ///< Requests of batch items that are waiting or running.
  kJobResults,     ///< Results of batch items that are not durable yet.
  kCachedResults,  ///< Results of jobs as read from the log, cached for their readers.
};

/// Number of accounts.
inline constexpr std::size_t kMemoryAccountCount = 7;

/// All accounts, for metrics.
inline constexpr std::array<MemoryAccount, kMemoryAccountCount> kAllMemoryAccounts{
    MemoryAccount::kConnections,  MemoryAccount::kRequestHeads, MemoryAccount::kRequestBodies,
    MemoryAccount::kResponses,    MemoryAccount::kJobRequests,  MemoryAccount::kJobResults,
    MemoryAccount::kCachedResults};

/// Returns the account's name for logs and metrics.
std::string_view to_string(MemoryAccount account);

/// Returns the budget of a process with this memory limit: the limit less a reserve for memory that
/// is not accounted. 0 (no limit) stays 0.
std::uint64_t process_memory_budget(std::uint64_t limit_bytes);

class MemoryBudget;

/// Bytes reserved in a budget, which must outlive the reservation. The destructor releases them.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  ~MemoryReservation() { release(); }
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /// Sets the number of reserved bytes, whether they fit or not.
  void resize(std::uint64_t bytes);
  /// Reserves more bytes if they fit. @return false if they do not; the reservation is then
  /// unchanged.
  [[nodiscard]] bool grow(std::uint64_t additional_bytes);
  void release();
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

 private:
  friend class MemoryBudget;
  MemoryReservation(MemoryBudget* budget, MemoryAccount account, std::uint64_t bytes)
      : budget_(budget), account_(account), bytes_(bytes) {}

  MemoryBudget* budget_ = nullptr;
  MemoryAccount account_ = MemoryAccount::kConnections;
  std::uint64_t bytes_ = 0;
};

/// Tracks the memory that a process uses. An account may grow while the total of all accounts is
/// below that account's limit, so that accounts with a lower limit yield to those with a higher
/// one. Not thread safe.
class MemoryBudget {
 public:
  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @param bytes 0: no limit; no reservation fails.
  void set_limit(std::uint64_t bytes) { limit_ = bytes; }
  [[nodiscard]] bool limited() const { return limit_ > 0; }
  [[nodiscard]] std::uint64_t limit() const { return limit_; }

  /// Called to release memory when a reservation does not fit; @return whether any was released.
  using Reclaimer = std::function<bool()>;
  /// Adds a reclaimer, to be called after those that were added before and released nothing.
  void add_reclaimer(Reclaimer reclaimer) { reclaimers_.push_back(std::move(reclaimer)); }

  /// Returns whether the bytes would fit if nothing else were reserved.
  [[nodiscard]] bool can_ever_fit(MemoryAccount account, std::uint64_t bytes) const;
  /// Returns whether the bytes fit now.
  [[nodiscard]] bool fits(MemoryAccount account, std::uint64_t bytes) const;
  /// Like `fits`, but calls the reclaimer for as long as it releases memory.
  [[nodiscard]] bool reclaim_until_fits(MemoryAccount account, std::uint64_t bytes);
  /// Reserves bytes before they are allocated; returns nothing, and counts a refusal, if they do
  /// not fit.
  [[nodiscard]] std::optional<MemoryReservation> reserve(MemoryAccount account,
                                                         std::uint64_t bytes);
  /// Accounts for bytes that are already allocated, whether they fit or not.
  [[nodiscard]] MemoryReservation charge(MemoryAccount account, std::uint64_t bytes);

  [[nodiscard]] std::uint64_t used() const { return used_; }
  [[nodiscard]] std::uint64_t used(MemoryAccount account) const { return at(account).used; }
  /// Maximum of the account's bytes so far.
  [[nodiscard]] std::uint64_t peak(MemoryAccount account) const { return at(account).peak; }
  /// Number of reservations that did not fit.
  [[nodiscard]] std::uint64_t refusals(MemoryAccount account) const { return at(account).refusals; }
  void count_refusal(MemoryAccount account) { ++at(account).refusals; }

 private:
  friend class MemoryReservation;
  struct Account {
    std::uint64_t used = 0;
    std::uint64_t peak = 0;
    std::uint64_t refusals = 0;
  };
  [[nodiscard]] const Account& at(MemoryAccount account) const {
    return accounts_[static_cast<std::size_t>(account)];
  }
  [[nodiscard]] Account& at(MemoryAccount account) {
    return accounts_[static_cast<std::size_t>(account)];
  }
  [[nodiscard]] std::uint64_t account_limit(MemoryAccount account) const;
  /// Calls the reclaimers until one of them has released memory. @return whether one has.
  bool reclaim();
  void add(MemoryAccount account, std::uint64_t bytes);
  void subtract(MemoryAccount account, std::uint64_t bytes);

  std::uint64_t limit_ = 0;
  std::uint64_t used_ = 0;
  std::array<Account, kMemoryAccountCount> accounts_{};
  std::vector<Reclaimer> reclaimers_;
};

}  // namespace stoathold
