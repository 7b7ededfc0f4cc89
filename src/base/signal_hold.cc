#include "base/signal_hold.h"

#include <csignal>

namespace stoathold {
namespace {

sigset_t set_of(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  return set;
}

}  // namespace

void hold_signals() {
  const sigset_t set = set_of({SIGTERM, SIGINT, SIGHUP, SIGPIPE});
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void heed_signals(std::initializer_list<int> signals) {
  const sigset_t set = set_of(signals);
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace stoathold
