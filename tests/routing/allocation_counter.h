/// @file
/// Counts the allocations of the process, as a measure of the work of an operation that does not
/// depend on the machine. Only one source file of a program may include this.
#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

namespace stoathold::allocation_counter {

struct Totals {
  std::size_t count = 0;
  std::size_t bytes = 0;
};

inline Totals totals;

/// Returns the allocations made by a call.
template <typename Call>
Totals during(const Call& call) {
  const Totals before = totals;
  call();
  return {totals.count - before.count, totals.bytes - before.bytes};
}

}  // namespace stoathold::allocation_counter

void* operator new(std::size_t size) {
  ++stoathold::allocation_counter::totals.count;
  stoathold::allocation_counter::totals.bytes += size;
  void* memory = std::malloc(size);  // NOLINT(cppcoreguidelines-no-malloc)
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);  // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);  // NOLINT(cppcoreguidelines-no-malloc)
}
