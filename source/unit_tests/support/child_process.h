#pragma once

#include <limits>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jacinth::test {

/// Runs a program for a test and kills it on destruction.
class ChildProcess {
 public:
  /// Starts `program` with `folder` as its working directory and appends its
  /// output to `log_file`. Throws if the program can't be started.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& folder,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal);

  /// Returns true if the process blocks or catches the signal, so that the
  /// signal's default action doesn't apply. A process that has just been
  /// spawned does so once it has reached its main(). One that blocks all
  /// signals may be a library that is being loaded, and doesn't count.
  bool Handles(int signal) const;

  /// Kills the process with SIGKILL and waits for it to exit.
  void Kill();

  /// Result of Wait() if the process has been waited for already.
  static constexpr int kNotRunning = std::numeric_limits<int>::min();

  /// Waits for the process to exit and returns its exit code, or the negated
  /// number of the signal that terminated it.
  int Wait();

  /// Returns true if the process has ended and has not been waited for.
  bool HasEnded() const;

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

}  // namespace jacinth::test
