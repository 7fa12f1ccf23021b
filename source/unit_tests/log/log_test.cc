#include "core/log/log.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "unit_tests/support/captured_output.h"

namespace jacinth::log {
namespace {

using test::CapturedOutput;

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
