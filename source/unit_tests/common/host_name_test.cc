#include "core/common/host_name.h"

#include <catch2/catch.hpp>

namespace jacinth {

// Guards against routes that are never found because their host is written in
// another form than the request's (docs/incidents/host-case.md).
TEST_CASE("Forms of one host are equal once normalized") {
  CHECK(NormalizeHost("Rota.Example") == "rota.example");
  CHECK(NormalizeHost("ROTA.example:8080") == "rota.example");
  CHECK(NormalizeHost("rota.example.") == "rota.example");
  CHECK(NormalizeHost("rota.example.:80") == "rota.example");
  CHECK(NormalizeHost("127.0.0.1:80") == "127.0.0.1");
  CHECK(NormalizeHost("[FE80::1]:80") == "fe80::1");
  CHECK(NormalizeHost("[fe80::1]") == "fe80::1");
  CHECK(NormalizeHost("fe80::1") == "fe80::1");
}

TEST_CASE("Other hosts stay different once normalized") {
  CHECK(NormalizeHost("rota.example..") == "rota.example.");
  CHECK(NormalizeHost("[::1]") != NormalizeHost("[::2]"));
  CHECK(NormalizeHost("[::1") == "[::1");
  CHECK(NormalizeHost(".") == ".");
  CHECK(NormalizeHost("").empty());
  // Only ASCII letters have a case in a host.
  CHECK(NormalizeHost("\xC3\x84.example") == "\xC3\x84.example");
}

}  // namespace jacinth
