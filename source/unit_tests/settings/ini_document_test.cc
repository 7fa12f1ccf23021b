#include "core/settings/ini_document.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::settings {

TEST_CASE("ParseIni returns each entry with its section and line") {
  const IniDocument document =
      ParseIni("a = 1\n\n[s/x]\n; note\nb = two words\n");
  REQUIRE(document.faults.empty());
  REQUIRE(document.entries.size() == 2);
  CHECK(document.entries[0].section.empty());
  CHECK(document.entries[0].line == 1);
  CHECK(document.entries[1].section == "s/x");
  CHECK(document.entries[1].key == "b");
  CHECK(document.entries[1].value == "two words");
  CHECK(document.entries[1].line == 5);
}

TEST_CASE("ParseIni reports the line of each fault") {
  SECTION("no key") {
    const IniDocument document = ParseIni("a = 1\nnonsense\n");
    REQUIRE(document.faults.size() == 1);
    CHECK(document.faults[0].line == 2);
  }
  SECTION("duplicate key") {
    const IniDocument document = ParseIni("[s]\na = 1\na = 2\n");
    REQUIRE(document.faults.size() == 1);
    CHECK(document.faults[0].line == 3);
  }
  SECTION("duplicate section") {
    const IniDocument document = ParseIni("[s]\na = 1\n[s]\nb = 2\n");
    REQUIRE(document.faults.size() == 1);
    CHECK(document.faults[0].line == 3);
  }
  SECTION("line too long") {
    const IniDocument document = ParseIni("a = " + std::string(500, 'x'));
    REQUIRE_FALSE(document.faults.empty());
    CHECK(document.faults[0].line == 1);
  }
  SECTION("section too long") {
    const IniDocument document =
        ParseIni("[" + std::string(60, 's') + "]\na = 1\n");
    REQUIRE_FALSE(document.faults.empty());
    CHECK(document.faults[0].line == 1);
  }
}

}  // namespace jacinth::settings
