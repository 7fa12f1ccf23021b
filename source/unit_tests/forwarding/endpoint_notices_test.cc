#include "core/forwarding/endpoint_notices.h"

#include <string>

#include <catch2/catch.hpp>

#include "core/forwarding/endpoint_memory.h"

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};
const EndpointProcess kFirst{"10.0.0.1:1", 1'000};
const EndpointProcess kSecond{"10.0.0.1:1", 2'000};
const EndpointProcess kUnknownStart{"10.0.0.1:1", 0};

}  // namespace

TEST_CASE("Waits are decimal numbers of seconds up to the longest wait") {
  CHECK(ParseWait("2") == 2s);
  CHECK(ParseWait(" 0.25 ") == 250ms);
  CHECK(ParseWait("0") == Duration{0});
  CHECK(ParseWait("99999999999999999999") == kMaxWait);
}

// Guards against acting on bytes that state nothing.
TEST_CASE("Malformed statements are read as none") {
  for (const std::string& text :
       {std::string("-1"), std::string("nan"), std::string("inf"),
        std::string("1e999"), std::string("2 s"), std::string(""),
        std::string("Fri, 05 Dec 2026 07:00:00 GMT"), std::string("1\0", 2),
        std::string("1,1"), std::string(10'240, 'x')}) {
    CAPTURE(text);
    CHECK_FALSE(ParseWait(text));
    if (!text.empty())
      CHECK_FALSE(ParseLeaving(text));
  }
  CHECK(ParseLeaving("1") == true);
  CHECK(ParseLeaving("0") == false);
  CHECK(ParseLeaving("") == false);
}

TEST_CASE("Leaving ends with a process that certainly started later") {
  EndpointMemory memory;
  CHECK(memory.SetLeaving("p", kFirst, kNow));
  CHECK_FALSE(memory.SetLeaving("p", kFirst, kNow));
  CHECK(memory.IsLeaving("p", kFirst));
  CHECK(memory.IsLeaving("p", kUnknownStart));
  CHECK_FALSE(memory.IsLeaving("p", kSecond));
  CHECK_FALSE(memory.IsLeaving("p", {"10.0.0.2:1", 0}));
}

// Guards against a list that lags behind, which would bring the endpoint back.
TEST_CASE("A list that shows an earlier process doesn't end leaving") {
  EndpointMemory memory;
  memory.SetLeaving("p", kSecond, kNow);
  CHECK(memory.IsLeaving("p", kFirst));
}

// Guards against an answer under way when the endpoint was started again.
TEST_CASE("An earlier process says nothing about a later one") {
  EndpointMemory memory;
  memory.SetWait("p", kSecond, 1s, kNow);
  CHECK_FALSE(memory.SetLeaving("p", kFirst, kNow));
  CHECK_FALSE(memory.IsLeaving("p", kSecond));
}

TEST_CASE("A start time that becomes known later is that of the process") {
  EndpointMemory memory;
  memory.SetLeaving("p", kUnknownStart, kNow);
  CHECK(memory.IsLeaving("p", kFirst));
  memory.SetWait("p", kFirst, 1s, kNow);
  CHECK_FALSE(memory.IsLeaving("p", kSecond));
}

TEST_CASE("What endpoints said is forgotten long after they are gone") {
  EndpointMemory memory;
  memory.SetLeaving("p", kFirst, kNow);
  const auto unlisted = [](const std::string&) { return false; };
  memory.Prune(unlisted, kNow + 60s);
  CHECK(memory.IsLeaving("p", kFirst));
  memory.Prune([](const std::string&) { return true; }, kNow + 3'600s);
  CHECK(memory.IsLeaving("p", kFirst));
  memory.Prune(unlisted, kNow + 3'600s);
  CHECK_FALSE(memory.IsLeaving("p", kFirst));
}

}  // namespace jacinth::forwarding
