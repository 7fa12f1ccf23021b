#include "core/http/address.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::http {

// Guards against connecting to the port that is left of a larger number.
TEST_CASE("A port out of range is no port") {
  for (const std::string text :
       {"127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:2147483647",
        "127.0.0.1:4294967376", "127.0.0.1:-1", "127.0.0.1:80x",
        "127.0.0.1:", "127.0.0.1"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseAddress(text));
  }
  CHECK(ParseAddress("127.0.0.1:65535")->port == 65535);
  CHECK(ParseAddress("127.0.0.1:0")->port == 0);
}

}  // namespace jacinth::http
