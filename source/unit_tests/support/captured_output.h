#pragma once

#include <cstddef>
#include <cstdio>
#include <fcntl.h>
#include <iostream>
#include <poll.h>
#include <string>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <sys/types.h>

namespace jacinth::test {

/// Redirects standard output to a pipe until destruction.
class CapturedOutput {
 public:
  static constexpr int kQuietPeriodMs = 300;

  CapturedOutput() : saved_stdout_(dup(STDOUT_FILENO)) {
    // What the test program has written before isn't captured.
    std::cout.flush();
    std::fflush(stdout);
    REQUIRE(pipe(pipe_ends_) == 0);
    dup2(pipe_ends_[1], STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(saved_stdout_, STDOUT_FILENO);
    close(saved_stdout_);
    close(pipe_ends_[1]);
    if (pipe_ends_[0] >= 0)
      close(pipe_ends_[0]);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  /// Reads and discards output until none arrives for kQuietPeriodMs.
  void DiscardUntilQuiet() {
    pollfd poll_entry{pipe_ends_[0], POLLIN, 0};
    while (poll(&poll_entry, 1, kQuietPeriodMs) > 0)
      ReadAvailable();
  }

  /// Returns the output that can be read without waiting.
  std::string ReadAvailable() {
    fcntl(pipe_ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char chunk[4'096];
    for (ssize_t size = 0;
         (size = read(pipe_ends_[0], chunk, sizeof chunk)) > 0;)
      text.append(chunk, static_cast<std::size_t>(size));
    return text;
  }

 private:
  int saved_stdout_;
  int pipe_ends_[2] = {-1, -1};
};

}  // namespace jacinth::test
