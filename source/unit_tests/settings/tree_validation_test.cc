#include "core/settings/tree_validation.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::settings {
namespace {

// Returns the only fault of `text` and checks that there is exactly one.
SettingFault OnlyFault(const std::string& text) {
  const ParsedTree parsed = ParseTree(text);
  INFO(FormatFaults("", parsed.faults));
  REQUIRE(parsed.faults.size() == 1);
  return parsed.faults[0];
}

}  // namespace

TEST_CASE("ParseTree reports each kind of fault with its line or reason") {
  CHECK(OnlyFault("[service/a]\nttl_ms = soon\n").line == 2);
  CHECK(OnlyFault("[service/a]\nttl_ms = 5\n").reason ==
        "must be from 100 to 600000");
  CHECK(OnlyFault("[service/a]\n\nttl = 500\n").line == 3);
  CHECK(OnlyFault("[servce/a]\nttl_ms = 500\n").reason == "unknown branch");
  CHECK(OnlyFault("[service/a/kind/k]\npath_prefix = /\nrank = top\n").line ==
        3);
  CHECK(OnlyFault("[service/a/kind/k]\npath_prefix = x\n").line == 2);
  CHECK(OnlyFault("[service/a/kind/k]\nrank = urgent\n").reason == "missing");
  CHECK(OnlyFault("[region/w/clients/c]\nblocks = 10.0.0.0/8, 10/8\n").reason ==
        "10/8 is not a CIDR block a.b.c.d/n");
  CHECK(OnlyFault("drain = true\n").reason == "can't be set in this branch");
  CHECK(OnlyFault("[entry/e]\ndrain = yes\n").reason ==
        "must be true or false");
}

// Guards against a list of regions that was meant to name some, reads as none,
// and so opens the route to all.
TEST_CASE("A list that is set and has no items is a fault") {
  const std::string route =
      "[service/s]\nttl_ms = 500\n[route/r]\nhost = h\npath_prefix = /\n"
      "service = s\n";
  CHECK(ParseTree(route).faults.empty());
  CHECK(ParseTree(route + "regions = west\n").faults.empty());
  for (const std::string value : {"", ",", " , ,"}) {
    CAPTURE(value);
    CHECK(OnlyFault(route + "regions = " + value + "\n").reason ==
          "must not be empty");
  }
}

TEST_CASE("ParseTree reports settings that contradict each other") {
  CHECK(OnlyFault("[service/a]\nnormal_share_percent = 60\n"
                  "background_share_percent = 50\n")
            .key == "normal_share_percent");
  const std::string first =
      "[service/a/endpoint/x]\naddress = 127.0.0.1:1\nregion = w\n"
      "failure_domain = f\n";
  const std::string second =
      "[service/b/endpoint/y]\naddress = 127.0.0.1:1\nregion = w\n"
      "failure_domain = f\n";
  CHECK(OnlyFault(first + second).reason ==
        "already used by service/a/endpoint/x");
}

TEST_CASE("ParseTree reports all faults of a text at once") {
  CHECK(ParseTree("ttl_ms = x\nslots = 0\nwrong = 1\n").faults.size() == 3);
}

}  // namespace jacinth::settings
