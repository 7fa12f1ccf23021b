#include "core/log/log.h"

#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace jacinth::log {
namespace {

constexpr int kQuietPeriodMs = 300;

/// Redirects standard output to a pipe until destruction.
class CapturedOutput {
 public:
  CapturedOutput() : saved_stdout_(dup(STDOUT_FILENO)) {
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

}  // namespace

TEST_CASE("A record is written as one JSON object with its fields") {
  std::string text;
  {
    CapturedOutput output;
    Start("info", "e1");
    Record record{Level::kInfo, Category::kEntry, "attempt", {}};
    record.With("request", "r\"1").With("number", 2).With("cold", true);
    Write(record);
    Write(Record{Level::kDebug, Category::kEntry, "unseen", {}});
    Stop();
    text = output.ReadAvailable();
  }
  const auto line = nlohmann::json::parse(text);
  CHECK(line["instance"] == "e1");
  CHECK(line["part"] == "entry");
  CHECK(line["event"] == "attempt");
  CHECK(line["request"] == "r\"1");
  CHECK(line["number"] == 2);
  CHECK(line["cold"] == true);
}

TEST_CASE("A stalled reader of standard output blocks neither Write nor Stop") {
  const auto start = std::chrono::steady_clock::now();
  {
    // The pipe is not read while lines are written, and its buffer is smaller
    // than the output.
    CapturedOutput output;
    Start("info", "e1");
    Record record{Level::kInfo, Category::kEntry, "attempt", {}};
    record.With("filler", std::string(200, 'x'));
    for (int i = 0; i < 50'000; ++i)
      Write(record);
    Stop();
    // Unblocks the thread that is still writing queued lines.
    output.DiscardUntilQuiet();
  }
  // Far above the time of a correct run. A writer that waits for the reader
  // never gets here.
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(60));
}

}  // namespace jacinth::log
