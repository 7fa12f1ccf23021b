#include "core/settings/instance_settings.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::settings {
namespace {

const std::string kReplica =
    "[replica/c1]\npeer_address = 127.0.0.1:1\nadmin_address = 127.0.0.1:2\n";

std::string Instance(const std::string& roles, const std::string& more) {
  return "[instance]\nid = c1\nregion = west\nfailure_domain = a\nroles = " +
         roles + "\ncluster_secret_file = s\ndata_folder = d\n" + more +
         kReplica;
}

}  // namespace

TEST_CASE("An instance file with both roles is parsed without faults") {
  const ParsedInstance parsed = ParseInstance(
      Instance("control, entry", "[entry]\naddress = 127.0.0.1:3\n"));
  INFO(FormatFaults("", parsed.faults));
  REQUIRE(parsed.faults.empty());
  CHECK(parsed.settings.HasRole(InstanceRole::kEntry));
  CHECK(parsed.settings.HasRole(InstanceRole::kControl));
  CHECK(parsed.settings.OwnReplica()->admin_address == "127.0.0.1:2");
  CHECK(parsed.settings.election_timeout == 1s);
}

TEST_CASE("Each fault of an instance file is reported with its line or key") {
  const auto only = [](const std::string& text) {
    const ParsedInstance parsed = ParseInstance(text);
    INFO(FormatFaults("", parsed.faults));
    REQUIRE(parsed.faults.size() == 1);
    return parsed.faults[0];
  };
  CHECK(only(Instance("controller", "")).line == 5);
  CHECK(only(Instance("entry", "")).key == "address");
  CHECK(only(Instance("control", "[control]\nheartbeat_ms = 900\n")).key ==
        "election_timeout_ms");
  CHECK(only(Instance("control", "[control]\nheart = 1\n")).line == 9);
  CHECK(only(Instance("control", "[kontrol]\nx = 1\n")).reason ==
        "unknown section");
  CHECK(only(Instance("control",
                      "[operator/a]\nparty = p\n"
                      "token_sha256 = abc\n"))
            .line == 10);
}

TEST_CASE(
    "An operator is allowed to change its branches and their descendants") {
  OperatorSettings row;
  row.branches = {"service/a"};
  CHECK(row.MayChange("service/a"));
  CHECK(row.MayChange("service/a/kind/k"));
  CHECK_FALSE(row.MayChange("service/ab"));
  CHECK_FALSE(row.MayChange("service"));
  CHECK_FALSE(row.MayChange(""));
}

}  // namespace jacinth::settings
