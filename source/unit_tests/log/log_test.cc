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

constexpr int kQuietMs = 300;

/// Redirects standard output to a pipe until destruction.
class CapturedOutput {
 public:
  CapturedOutput() : kept_(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(ends_) == 0);
    dup2(ends_[1], STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(kept_, STDOUT_FILENO);
    close(kept_);
    close(ends_[1]);
    if (ends_[0] >= 0)
      close(ends_[0]);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  /// Reads and discards output until none arrives for kQuietMs.
  void ReadUntilQuiet() {
    pollfd wanted{ends_[0], POLLIN, 0};
    while (poll(&wanted, 1, kQuietMs) > 0)
      Read();
  }

  /// Returns the output that can be read without waiting.
  std::string Read() {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char chunk[4'096];
    for (ssize_t size = 0; (size = read(ends_[0], chunk, sizeof chunk)) > 0;)
      text.append(chunk, static_cast<std::size_t>(size));
    return text;
  }

 private:
  int kept_;
  int ends_[2] = {-1, -1};
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
    text = output.Read();
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
    output.ReadUntilQuiet();
  }
  // Far above the time of a correct run. A writer that waits for the reader
  // never gets here.
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(60));
}

}  // namespace jacinth::log
