#include "zinniagauge/adapt/stop_signal.h"

#include <csignal>

namespace zinniagauge {

namespace {

sigset_t stopSignals() noexcept {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

} // namespace

void blockStopSignals() noexcept {
  const sigset_t set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() noexcept {
  const sigset_t set = stopSignals();
  int sig = 0;
  sigwait(&set, &sig);
}

} // namespace zinniagauge
