#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace jacinth::test {

/// A program started by a test, killed with the object.
class ChildProcess {
 public:
  /// Starts `program` in `folder` with its output in `log_file`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& folder,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal);

  /// Ends the process at once and waits for it.
  void Kill();

  /// Waits for the process to end by itself; returns its exit code, or -1 if a
  /// signal ended it.
  int Wait();

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

}  // namespace jacinth::test
