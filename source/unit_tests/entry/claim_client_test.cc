#include "core/entry/claim_client.h"

#include <catch2/catch.hpp>

namespace jacinth::entry {

TEST_CASE("A claim is resent until it is decided") {
  ClaimClient client;
  const Time start{10s};
  client.Claim({"a", {"c", "k"}, 1, 100, ""}, start);
  CHECK(client.CollectDueMessages(start).size() == 1);
  CHECK(client.CollectDueMessages(start + 100ms).empty());
  CHECK(client.CollectDueMessages(start + 400ms).size() == 1);
  CHECK_FALSE(client.OnClaimReply({"a", false, {}, {}}));
  CHECK(client.CollectDueMessages(start + 800ms).size() == 1);
  CHECK(client.OnClaimReply({"a", true, {}, {}}));
  CHECK(client.CollectDueMessages(start + 1200ms).empty());
}

TEST_CASE("A grant that arrives after the attempt was finished is ignored") {
  ClaimClient client;
  const Time start{10s};
  client.Claim({"a", {"c", "k"}, 1, 100, ""}, start);
  client.Finish({"a", {"c", "k"}, Outcome::kNotRun, {}}, start);
  CHECK_FALSE(
      client.OnClaimReply({"a", true, protocol::ClaimVerdict::kGranted, {}}));
}

TEST_CASE("The outcome of an attempt is resent until it is confirmed") {
  ClaimClient client;
  const Time start{10s};
  client.Finish({"a", {"c", "k"}, Outcome::kRan, {}}, start);
  CHECK(client.CollectDueMessages(start).size() == 1);
  CHECK(client.CollectDueMessages(start + 400ms).size() == 1);
  CHECK(client.unconfirmed() == 1);
  client.OnFinishReply({"a"});
  CHECK(client.unconfirmed() == 0);
  CHECK(client.CollectDueMessages(start + 800ms).empty());
}

}  // namespace jacinth::entry
