#include "core/settings/instance_settings.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::settings {
namespace {

const std::string kReplicaSection =
    "[replica/c1]\npeer_address = 127.0.0.1:1\nadmin_address = 127.0.0.1:2\n";

std::string InstanceFile(const std::string& roles, const std::string& extra) {
  return "[instance]\nid = c1\nregion = west\nfailure_domain = a\nroles = " +
         roles + "\ncluster_secret_file = s\ndata_folder = d\n" + extra +
         kReplicaSection;
}

}  // namespace

TEST_CASE("An instance file with both roles is parsed without faults") {
  const ParsedInstanceSettings parsed = ParseInstanceSettings(
      InstanceFile("control, entry", "[entry]\naddress = 127.0.0.1:3\n"));
  INFO(FormatFaults("", parsed.faults));
  REQUIRE(parsed.faults.empty());
  CHECK(parsed.settings.HasRole(InstanceRole::kEntry));
  CHECK(parsed.settings.HasRole(InstanceRole::kControl));
  CHECK(parsed.settings.OwnReplica()->admin_address == "127.0.0.1:2");
  CHECK(parsed.settings.election_timeout == 1s);
}

TEST_CASE("Each fault of an instance file is reported with its line or key") {
  const auto only_fault = [](const std::string& text) {
    const ParsedInstanceSettings parsed = ParseInstanceSettings(text);
    INFO(FormatFaults("", parsed.faults));
    REQUIRE(parsed.faults.size() == 1);
    return parsed.faults[0];
  };
  CHECK(only_fault(InstanceFile("controller", "")).line == 5);
  CHECK(only_fault(InstanceFile("entry", "")).key == "address");
  CHECK(only_fault(InstanceFile("control", "[control]\nheartbeat_ms = 900\n"))
            .key == "election_timeout_ms");
  CHECK(only_fault(InstanceFile("control", "[control]\nheart = 1\n")).line ==
        9);
  CHECK(only_fault(InstanceFile("control", "[kontrol]\nx = 1\n")).reason ==
        "unknown section");
  CHECK(only_fault(InstanceFile("control",
                                "[operator/a]\nparty = p\n"
                                "token_sha256 = abc\n"))
            .line == 10);
}

TEST_CASE("The bandwidth of an entry is a decimal number of Mbit/s") {
  const auto parse = [](const std::string& value) {
    return ParseInstanceSettings(InstanceFile(
        "entry",
        "[entry]\naddress = 127.0.0.1:3\n" +
            (value.empty() ? "" : "bandwidth_mbps = " + value + "\n")));
  };
  CHECK(parse("2.8").settings.entry_bandwidth == Approx(350'000));
  CHECK(parse("1000").settings.entry_bandwidth == Approx(125e6));
  CHECK(parse("").settings.entry_bandwidth == 0);
  for (const char* value : {"-1", "fast", "2,8", "inf"})
    CHECK(parse(value).faults.size() == 1);
}

TEST_CASE(
    "An operator is allowed to change its branches and their descendants") {
  OperatorSettings operator_settings;
  operator_settings.branches = {"service/a"};
  CHECK(operator_settings.CanChange("service/a"));
  CHECK(operator_settings.CanChange("service/a/kind/k"));
  CHECK_FALSE(operator_settings.CanChange("service/ab"));
  CHECK_FALSE(operator_settings.CanChange("service"));
  CHECK_FALSE(operator_settings.CanChange(""));
}

}  // namespace jacinth::settings
