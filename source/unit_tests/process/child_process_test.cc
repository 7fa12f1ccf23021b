#include "unit_tests/support/child_process.h"

#include <csignal>

#include <catch2/catch.hpp>

#include "unit_tests/support/temporary_folder.h"

namespace jacinth::test {
namespace {

/// Blocks signals in this thread, and so at the start of the processes that it
/// spawns.
class BlockedSignals {
 public:
  explicit BlockedSignals(const sigset_t& signals) {
    pthread_sigmask(SIG_SETMASK, &signals, &previous_);
  }
  ~BlockedSignals() { pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

 private:
  sigset_t previous_{};
};

bool SpawnedHandles(const sigset_t& blocked, int signal) {
  const TemporaryFolder folder;
  const BlockedSignals guard(blocked);
  const ChildProcess process("/bin/sleep", {"60"}, folder.path().string(),
                             "log");
  return process.Handles(signal);
}

}  // namespace

// Soak seed 801: a SIGHUP ended a replica before its main(), because the
// moment in which a library blocks all signals counted as handling them.
TEST_CASE("A process that blocks all signals does not handle them yet") {
  sigset_t all;
  sigfillset(&all);
  CHECK_FALSE(SpawnedHandles(all, SIGHUP));
}

TEST_CASE("A process handles a signal that it alone blocks") {
  sigset_t hangup;
  sigemptyset(&hangup);
  CHECK_FALSE(SpawnedHandles(hangup, SIGHUP));
  sigaddset(&hangup, SIGHUP);
  CHECK(SpawnedHandles(hangup, SIGHUP));
  CHECK_FALSE(SpawnedHandles(hangup, SIGTERM));
}

}  // namespace jacinth::test
