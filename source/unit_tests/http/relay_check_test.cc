#include "jacinthroute/relay_check.h"

#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth {
namespace {

constexpr int kSamples = 1'000;

protocol::EntryStatus MakeEntry(const std::string& id,
                                std::uint64_t incarnation) {
  protocol::EntryStatus entry;
  entry.id = id;
  entry.incarnation = incarnation;
  return entry;
}

RelayTag MakeTag(const std::string& entry, std::uint64_t key) {
  return {entry, 5, 9, key};
}

}  // namespace

// Guards against callers that are believed to be entries.
TEST_CASE("A hand-over is known by the incarnation of its receiver") {
  const protocol::EntryStatus self = MakeEntry("e1", MakeIncarnation());
  const protocol::EntryStatus other = MakeEntry("e2", MakeIncarnation());
  // An entry of an earlier build, whose incarnation has 32 bits.
  const protocol::EntryStatus earlier = MakeEntry("e3", 0xffffffff);
  const std::vector<protocol::EntryStatus> members = {self, other, earlier};
  CHECK(IsFromEntry(MakeTag("e2", self.incarnation), self, members));
  CHECK(IsFromEntry(MakeTag("e2", self.incarnation), self, {}));
  CHECK_FALSE(IsFromEntry({}, self, members));
  CHECK_FALSE(IsFromEntry(MakeTag("", self.incarnation), self, members));
  CHECK_FALSE(IsFromEntry(MakeTag("e2", 0), self, members));
  CHECK_FALSE(IsFromEntry(MakeTag("e2", 7), self, members));
  CHECK_FALSE(IsFromEntry(MakeTag("e2", other.incarnation), self, members));
  CHECK_FALSE(IsFromEntry(MakeTag("e9", 0), self, members));
  SECTION("and by its sender, if that is of an earlier build") {
    CHECK(IsFromEntry({"e3", 5, 0, 0}, self, members));
    CHECK_FALSE(IsFromEntry(MakeTag("e3", 7), self, members));
  }
}

// Guards against decisions by other settings than those of the entry that
// handed a request over (docs/incidents/home.md).
TEST_CASE("What an entry says of a hand-over reaches the other one") {
  const protocol::EntryStatus self = MakeEntry("e1", MakeIncarnation());
  entry::StartRelay relay;
  relay.revision = 999;
  relay.decision = 7;
  const bool is_from_entry = GENERATE(true, false);
  relay.incarnation = is_from_entry ? self.incarnation : 8;
  const std::string text = FormatRelayTag(MakeRelayTag("e2", relay));
  entry::RequestArrived arrival;
  ApplyRelayTag(ParseRelayTag(text), self, {}, arrival);
  CHECK(arrival.relayed == is_from_entry);
  CHECK(arrival.relay_revision == (is_from_entry ? 999 : 0));
  CHECK(arrival.relay_decision == (is_from_entry ? 7 : 0));
}

TEST_CASE("Incarnations differ from each other and from those before") {
  std::set<std::uint64_t> incarnations;
  for (int i = 0; i < kSamples; ++i) {
    const std::uint64_t incarnation = MakeIncarnation();
    CHECK(incarnation > 0xffffffff);
    incarnations.insert(incarnation);
  }
  CHECK(incarnations.size() == kSamples);
}

}  // namespace jacinth
