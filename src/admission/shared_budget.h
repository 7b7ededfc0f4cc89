/// @file
/// A budget that many owners share and that cannot be reclaimed from them.
///
/// Uses dynamic thresholds, as switches do for buffers shared by their ports: each owner may hold
/// at most a multiple of what is still free. A single owner gets nearly everything. The more owners
/// hold a lot, the smaller the part of each, and something always stays free for the next one. So
/// stuck work of one owner, however much there is, never blocks the work of the others.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace stoathold {

/// Service, tenant and job that use the budget, identified by the hashes of their names.
struct BudgetOwner {
  std::uint64_t service = 0;
  std::uint64_t tenant = 0;
  std::uint64_t job = 0;
};

/// Limits how much of a countable resource one service, one tenant and one job hold. Used on one
/// thread.
class SharedBudget {
 public:
  /// @param size maximum that all owners may hold together, in any unit.
  explicit SharedBudget(double size) : size_(size) {}

  /// Returns whether an owner may acquire more now. A service that holds nothing may always acquire
  /// some: the number of services is bounded by the configuration.
  [[nodiscard]] bool may_acquire(const BudgetOwner& holder) const;
  void acquire(const BudgetOwner& holder, double amount);
  void release(const BudgetOwner& holder, double amount);

  void set_size(double size) { size_ = size; }
  [[nodiscard]] double held() const { return held_; }
  /// Returns the budget size with which a single job can hold this amount.
  static double size_for_one_job(double amount);

 private:
  using Amounts = std::unordered_map<std::uint64_t, double>;

  static double amount_of(const Amounts& amounts, std::uint64_t name);
  static void change(Amounts& amounts, std::uint64_t name, double difference);

  double size_;
  double held_ = 0;
  Amounts services_;
  Amounts tenants_;
  Amounts jobs_;
};

}  // namespace stoathold
