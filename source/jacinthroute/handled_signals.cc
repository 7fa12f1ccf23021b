#include "jacinthroute/handled_signals.h"

namespace jacinth {
namespace {

sigset_t MakeSignalSet() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kHandledSignals)
    sigaddset(&signals, signal);
  return signals;
}

}  // namespace

void BlockHandledSignals() {
  const sigset_t signals = MakeSignalSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void UnblockHandledSignals() {
  const sigset_t signals = MakeSignalSet();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace jacinth
