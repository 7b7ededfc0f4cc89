#include "admission/shared_budget.h"

namespace stoathold {
namespace {

/// Multiples of the free budget that one service, one tenant and one job may hold. One job alone
/// gets up to two thirds of the budget, one tenant three quarters and one service four fifths,
/// which always leaves some of the budget for another job, tenant or service.
constexpr double kServiceFactor = 4;
constexpr double kTenantFactor = 3;
constexpr double kJobFactor = 2;
/// Smaller amounts are rounding errors and count as 0.
constexpr double kEpsilon = 1e-6;

}  // namespace

double SharedBudget::size_for_one_job(double amount) {
  return amount * (1 + kJobFactor) / kJobFactor;
}

double SharedBudget::amount_of(const Amounts& amounts, std::uint64_t name) {
  const auto found = amounts.find(name);
  return found == amounts.end() ? 0 : found->second;
}

void SharedBudget::change(Amounts& amounts, std::uint64_t name, double difference) {
  const auto position = amounts.try_emplace(name, 0).first;
  position->second += difference;
  if (position->second < kEpsilon) amounts.erase(position);
}

bool SharedBudget::may_acquire(const BudgetOwner& holder) const {
  const double of_service = amount_of(services_, holder.service);
  if (of_service <= 0) return true;
  const double free = size_ - held_;
  if (free <= 0) return false;
  const double of_job = amount_of(jobs_, holder.job);
  const double of_tenant = amount_of(tenants_, holder.tenant);
  return of_service < kServiceFactor * free && of_tenant < kTenantFactor * free &&
         of_job < kJobFactor * free;
}

void SharedBudget::acquire(const BudgetOwner& holder, double amount) {
  held_ += amount;
  change(services_, holder.service, amount);
  change(tenants_, holder.tenant, amount);
  change(jobs_, holder.job, amount);
}

void SharedBudget::release(const BudgetOwner& holder, double amount) {
  held_ -= amount;
  change(services_, holder.service, -amount);
  change(tenants_, holder.tenant, -amount);
  change(jobs_, holder.job, -amount);
}

}  // namespace stoathold
