#include "core/control/control_state.h"

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

protocol::Command MakeChange(std::uint64_t if_revision,
                             const std::string& key,
                             const std::string& ttl) {
  protocol::ChangeSettings change;
  change.operator_name = "alice";
  change.idempotency_key = key;
  change.fingerprint = if_revision;
  change.if_revision = if_revision;
  change.changes = {{"service/a", {{"ttl_ms", ttl}}}};
  return {1'000, 1, change};
}

ChangeOutcome Apply(ControlState& state, const protocol::Command& command) {
  return std::get<ChangeOutcome>(state.Apply(command));
}

std::vector<protocol::SuspectRequest> Requests(const SuspectTable& table) {
  std::vector<protocol::SuspectRequest> requests;
  for (const auto& [fingerprint, item] : table.items())
    requests.push_back(item.request);
  return requests;
}

}  // namespace

TEST_CASE("Only one of two changes to the same revision is accepted") {
  ControlState state;
  CHECK(Apply(state, MakeChange(0, "a", "500")).accepted);
  const ChangeOutcome refused = Apply(state, MakeChange(0, "b", "600"));
  CHECK_FALSE(refused.accepted);
  CHECK(refused.revision == 1);
  CHECK(state.tree().FindEffectiveValue("service/a", "ttl_ms")->value == "500");
}

TEST_CASE("A resent change gets the first result and is not applied again") {
  ControlState state;
  Apply(state, MakeChange(0, "a", "500"));
  Apply(state, MakeChange(1, "b", "600"));
  const ChangeOutcome resent = Apply(state, MakeChange(0, "a", "500"));
  CHECK(resent.accepted);
  CHECK(resent.revision == 1);
  CHECK(state.revision() == 2);
  CHECK(state.audit().size() == 2);
}

TEST_CASE("A key reused for another change is refused") {
  ControlState state;
  Apply(state, MakeChange(0, "a", "500"));
  const ChangeOutcome other = Apply(state, MakeChange(1, "a", "500"));
  CHECK_FALSE(other.accepted);
  CHECK(other.refusal == ErrorKind::kKeyReused);
}

TEST_CASE("A restored state gives the same results as the original") {
  ControlState state;
  Apply(state, MakeChange(0, "a", "500"));
  state.Apply({2'000, 2, protocol::ClaimRequest{"t", {"c", "k"}, 1, 100, ""}});
  ControlState copy;
  REQUIRE(copy.Load(state.Save()));
  CHECK(copy.Save() == state.Save());
  CHECK(copy.revision() == 1);
  CHECK(Apply(copy, MakeChange(0, "a", "500")).accepted);
}

TEST_CASE("Corrupt state fails to load") {
  ControlState state;
  CHECK_FALSE(state.Load("nonsense"));
}

TEST_CASE("The time in the log never decreases") {
  ControlState state;
  state.Apply(
      {900'000'000, 1, protocol::ClaimRequest{"a", {"c", "k"}, 1, 10, ""}});
  // The clock of a new leader is behind; the attempt's deadline remains passed.
  state.Apply(
      {900'000'100, 2, protocol::ClaimRequest{"x", {"c", "j"}, 1, 10, ""}});
  const auto result = std::get<ClaimResult>(state.Apply(
      {800'000'000, 3, protocol::ClaimRequest{"b", {"c", "k"}, 1, 10, ""}}));
  CHECK(result.verdict == protocol::ClaimVerdict::kUnknown);
}

namespace {

protocol::Command MakeNumberedChange(std::uint64_t base,
                                     std::uint64_t next,
                                     const std::string& key) {
  protocol::Command command = MakeChange(0, key, "500");
  auto& change = std::get<protocol::ChangeSettings>(command.body);
  change.version_step = protocol::VersionStep{base, next};
  return command;
}

}  // namespace

TEST_CASE(
    "A numbered change is accepted only from the current version to a higher "
    "one") {
  ControlState state;
  CHECK(Apply(state, MakeNumberedChange(0, 5, "a")).accepted);
  CHECK_FALSE(Apply(state, MakeNumberedChange(0, 7, "b")).accepted);
  CHECK_FALSE(Apply(state, MakeNumberedChange(5, 5, "c")).accepted);
  CHECK_FALSE(Apply(state, MakeNumberedChange(5, 4, "d")).accepted);
  CHECK(Apply(state, MakeNumberedChange(5, 9, "e")).accepted);
  CHECK(state.operator_version() == 9);
  // A resend after a later version was accepted.
  CHECK(Apply(state, MakeNumberedChange(0, 5, "a")).accepted);
  CHECK(state.operator_version() == 9);
}

TEST_CASE("An unconditional change keeps the operator version") {
  ControlState state;
  Apply(state, MakeNumberedChange(0, 5, "a"));
  protocol::Command drain = MakeChange(0, "drain", "700");
  std::get<protocol::ChangeSettings>(drain.body).any_revision = true;
  CHECK(Apply(state, drain).accepted);
  CHECK(state.operator_version() == 5);
  CHECK(state.revision() == 2);
}

TEST_CASE("Applying the changes since a revision gives the current tree") {
  ControlState state;
  Apply(state, MakeChange(0, "a", "500"));
  settings::Tree tree = state.tree();
  Apply(state, MakeChange(1, "b", "600"));
  Apply(state, MakeChange(2, "c", "700"));
  const auto changes = state.ChangesSince(1);
  REQUIRE(changes);
  CHECK(changes->size() == 1);
  for (const protocol::BranchChange& change : *changes)
    tree.Replace(change.branch, change.values);
  CHECK(tree == state.tree());
  CHECK_FALSE(state.ChangesSince(9));
}

TEST_CASE("A snapshot keeps the operator version and the slice owners") {
  ControlState state;
  Apply(state, MakeNumberedChange(0, 5, "a"));
  protocol::Command record;
  record.body = protocol::RecordOwners{{{"s", 7, "a"}, {"s", 8, "b"}}};
  state.Apply(record);
  record.body = protocol::RecordOwners{{{"s", 8, ""}}};
  state.Apply(record);
  ControlState copy;
  REQUIRE(copy.Load(state.Save()));
  CHECK(copy.operator_version() == 5);
  CHECK(copy.SliceOwners() == std::vector<protocol::SliceOwner>{{"s", 7, "a"}});
}

// Guards against forgetting at a restart which requests crash endpoints.
TEST_CASE("Suspect requests are kept in snapshots until they expire") {
  ControlState state;
  state.Apply(
      {1'000, 1,
       protocol::RecordSuspects{{{7, {1, 2, 3}, 5'000}, {8, {1, 2}, 2'000}}}});
  ControlState copy;
  REQUIRE(copy.Load(state.Save()));
  CHECK(Requests(copy.suspects()) == Requests(state.suspects()));
  copy.Apply({2'000, 2, protocol::RecordSuspects{}});
  CHECK(copy.suspects().size() == 1);
  copy.Apply({3'000, 3, protocol::RecordSuspects{{{7, {}, 0}}}});
  CHECK(copy.suspects().size() == 0);
}

TEST_CASE("The number of suspect requests is bounded") {
  ControlState state;
  for (std::uint64_t i = 0; i < 3'000; ++i)
    state.Apply({1'000, 1,
                 protocol::RecordSuspects{
                     {{i, {1, 2}, static_cast<WallMillis>(5'000 + i)}}}});
  CHECK(state.suspects().size() == 256);
  CHECK(state.suspects().items().count(2'999) == 1);
}

}  // namespace jacinth::control
