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

/// Points standard output at a pipe for as long as it lives.
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

  /// Reads for as long as anything comes.
  void ReadUntilQuiet() {
    pollfd wanted{ends_[0], POLLIN, 0};
    while (poll(&wanted, 1, kQuietMs) > 0)
      Read();
  }

  /// What has been written so far.
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

TEST_CASE("A line is one JSON object with its fields") {
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

TEST_CASE("A reader that has stalled holds up neither lines nor the end") {
  const auto start = std::chrono::steady_clock::now();
  {
    // Nobody reads the pipe, which holds less than what is written.
    CapturedOutput output;
    Start("info", "e1");
    Record record{Level::kInfo, Category::kEntry, "attempt", {}};
    record.With("filler", std::string(200, 'x'));
    for (int i = 0; i < 50'000; ++i)
      Write(record);
    Stop();
    // Lets the writer end that is still at it.
    output.ReadUntilQuiet();
  }
  // Far above any honest time, far below that of a writer that waits for good.
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(60));
}

}  // namespace jacinth::log
