/// @file
/// One budget of bytes for a process, with accounts by purpose. Pure: no clock, no sockets.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace stoathold {

/// What bytes are held for.
enum class MemoryAccount : std::uint8_t {
  kConnections,    ///< Callers' connections, by a mean for each.
  kRequestBodies,  ///< Bodies that are read or being handled.
  kAnswers,        ///< Answers that wait until their callers take them.
  kJobRequests,    ///< Requests of batch items that wait or run.
  kJobResults,     ///< Results of batch items that are not durable yet.
  kListedResults,  ///< Results of jobs as read from the log, kept for their readers.
};

/// How many accounts there are.
inline constexpr std::size_t kMemoryAccounts = 6;

/// All accounts, for metrics.
inline constexpr std::array<MemoryAccount, kMemoryAccounts> kAllMemoryAccounts{
    MemoryAccount::kConnections, MemoryAccount::kRequestBodies, MemoryAccount::kAnswers,
    MemoryAccount::kJobRequests, MemoryAccount::kJobResults,    MemoryAccount::kListedResults};

/// Returns the account's name for logs and metrics.
std::string_view to_string(MemoryAccount account);

/// Returns the bytes that a process with this limit may hold on behalf of others: the limit less a
/// reserve for what is not counted. 0 (no limit) stays 0.
std::uint64_t budget_of_process(std::uint64_t limit_bytes);

class MemoryBudget;

/// Bytes taken from a budget, which must outlive it; gives them back at its end.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  ~MemoryReservation() { release(); }
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /// Counts so many bytes from now on, whether there is room or not.
  void resize(std::uint64_t bytes);
  /// Takes more bytes if there is room. @return false if there is none; it then stays as it was.
  [[nodiscard]] bool grow(std::uint64_t more_bytes);
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

/// Adds up what a process holds. Each account is given more while the sum of all accounts is below
/// that account's mark, so that those with a low mark give way to those with a high one. Used on
/// one thread.
class MemoryBudget {
 public:
  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @param bytes 0: no limit; nothing is refused.
  void set_limit(std::uint64_t bytes) { limit_ = bytes; }
  [[nodiscard]] bool limited() const { return limit_ > 0; }
  [[nodiscard]] std::uint64_t limit() const { return limit_; }

  /// Asked to give back bytes when a reservation finds no room; @return whether some were.
  using Reclaimer = std::function<bool()>;
  void set_reclaimer(Reclaimer reclaimer) { reclaimer_ = std::move(reclaimer); }

  /// Whether so many bytes would fit if nothing else were held.
  [[nodiscard]] bool can_ever_fit(MemoryAccount account, std::uint64_t bytes) const;
  /// Whether so many more bytes fit now.
  [[nodiscard]] bool has_room(MemoryAccount account, std::uint64_t bytes) const;
  /// The same, after asking the reclaimer as often as it helps.
  [[nodiscard]] bool make_room(MemoryAccount account, std::uint64_t bytes);
  /// Takes bytes before they are there; nothing if there is no room, which is counted.
  [[nodiscard]] std::optional<MemoryReservation> reserve(MemoryAccount account,
                                                         std::uint64_t bytes);
  /// Counts bytes that are there already, whether there is room or not.
  [[nodiscard]] MemoryReservation charge(MemoryAccount account, std::uint64_t bytes);

  [[nodiscard]] std::uint64_t used() const { return used_; }
  [[nodiscard]] std::uint64_t used(MemoryAccount account) const { return at(account).used; }
  /// Most that the account has held at a time.
  [[nodiscard]] std::uint64_t peak(MemoryAccount account) const { return at(account).peak; }
  /// Reservations that found no room.
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
  [[nodiscard]] std::uint64_t mark(MemoryAccount account) const;
  void add(MemoryAccount account, std::uint64_t bytes);
  void subtract(MemoryAccount account, std::uint64_t bytes);

  std::uint64_t limit_ = 0;
  std::uint64_t used_ = 0;
  std::array<Account, kMemoryAccounts> accounts_{};
  Reclaimer reclaimer_;
};

}  // namespace stoathold
