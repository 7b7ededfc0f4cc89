#include "base/signal_mask.h"

#include <csignal>

namespace stoathold {
namespace {

sigset_t signal_set(std::initializer_list<int> signals) {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int signal : signals) sigaddset(&mask, signal);
  return mask;
}

}  // namespace

void block_signals() {
  const sigset_t mask = signal_set({SIGTERM, SIGINT, SIGHUP, SIGPIPE});
  pthread_sigmask(SIG_BLOCK, &mask, nullptr);
}

void unblock_signals(std::initializer_list<int> signals) {
  const sigset_t mask = signal_set(signals);
  pthread_sigmask(SIG_UNBLOCK, &mask, nullptr);
}

}  // namespace stoathold
