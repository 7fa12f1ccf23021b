#include "core/consensus/formation.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::consensus {
namespace {

protocol::PeerMessage ProbeReply(const std::string& from,
                                 const std::string& to,
                                 bool has_log) {
  protocol::PeerMessage probe;
  probe.from = to;
  return MakeProbeReply(probe, from, has_log);
}

}  // namespace

TEST_CASE("Only the founder creates a group, after all others report no log") {
  Formation founder("a#1", {"b", "a", "c"}, true);
  CHECK(founder.OnTick(Time{1s}).size() == 2);
  founder.OnProbeReply(ProbeReply("b#1", "a#1", false));
  CHECK(founder.decision() == Formation::Decision::kWait);
  founder.OnProbeReply(ProbeReply("c#1", "a#1", false));
  CHECK(founder.decision() == Formation::Decision::kCreateGroup);
  CHECK(founder.configuration().voters ==
        std::vector<std::string>{"a#1", "b#1", "c#1"});

  Formation other("b#1", {"a", "b", "c"}, true);
  other.OnProbeReply(ProbeReply("a#1", "b#1", false));
  other.OnProbeReply(ProbeReply("c#1", "b#1", false));
  CHECK(other.decision() == Formation::Decision::kWait);
}

// Guards against a group that begins with fewer voters than have asked to join.
TEST_CASE("A group is filled with instances that ask and have no log") {
  Formation founder("a#1", {"a", "b"}, true, 3);
  const auto probed = [&](Time now) {
    std::vector<std::string> targets;
    for (const protocol::PeerMessage& message : founder.OnTick(now))
      targets.push_back(message.to);
    return targets;
  };
  using Instances = std::vector<std::string>;
  CHECK(probed(Time{1s}) == Instances{"b"});
  founder.OnProbe("b", Time{1s});
  founder.OnProbe("e", Time{1s});
  founder.OnProbe("d", Time{1s});
  // The probe alone doesn't tell whether there is a log.
  CHECK(probed(Time{1s}) == Instances{"b", "d", "e"});
  founder.OnProbeReply(ProbeReply("b#1", "a#1", false));
  CHECK(founder.decision() == Formation::Decision::kWait);
  SECTION("the first one that asked is taken") {
    founder.OnProbeReply(ProbeReply("d#1", "a#1", false));
    founder.OnProbeReply(ProbeReply("e#1", "a#1", false));
    CHECK(founder.decision() == Formation::Decision::kCreateGroup);
    CHECK(founder.configuration().voters == Instances{"a#1", "b#1", "e#1"});
  }
  SECTION("one has the log of a group") {
    founder.OnProbeReply(ProbeReply("e#1", "a#1", true));
    founder.OnTick(Time{9s});
    CHECK(founder.decision() == Formation::Decision::kJoinGroup);
  }
  SECTION("none answers") {
    founder.OnTick(Time{2s});
    CHECK(founder.decision() == Formation::Decision::kWait);
    founder.OnTick(Time{3s});
    CHECK(founder.decision() == Formation::Decision::kCreateGroup);
    CHECK(founder.configuration().voters == Instances{"a#1", "b#1"});
  }
}

// Guards against a group whose founders stand in one region, though others have
// answered.
TEST_CASE("A group is founded across regions") {
  Formation founder("a#1", {"a", "b", "c"}, true, 5, {"west", "west-1"});
  const auto answer = [&](const std::string& instance,
                          const protocol::Location& location) {
    founder.OnProbe(instance, Time{1s});
    protocol::PeerMessage reply = ProbeReply(instance + "#1", "a#1", false);
    reply.location = location;
    founder.OnProbeReply(reply);
  };
  answer("b", {"west", "west-1"});
  answer("c", {"west", "west-2"});
  answer("d", {"east", "east-1"});
  answer("e", {"east", "east-1"});
  // What has answered by now is taken as it is.
  CHECK(founder.decision() == Formation::Decision::kCreateGroup);
  CHECK(founder.configuration().voters ==
        std::vector<std::string>{"a#1", "b#1", "c#1", "d#1", "e#1"});
  answer("f", {"south", "south-1"});
  answer("g", {"west", "west-3"});
  CHECK(founder.configuration().voters ==
        std::vector<std::string>{"a#1", "c#1", "d#1", "e#1", "f#1"});
}

// A contact may start late, and the group needs it.
TEST_CASE("Others don't stand in for a contact") {
  Formation founder("a#1", {"a", "b", "c"}, true, 3);
  Formation larger("a#1", {"a", "b", "c"}, true, 5);
  for (Formation* formation : {&founder, &larger}) {
    for (const std::string other : {"d", "e"}) {
      formation->OnProbe(other, Time{1s});
      formation->OnProbeReply(ProbeReply(other + "#1", "a#1", false));
    }
    formation->OnProbeReply(ProbeReply("b#1", "a#1", false));
    formation->OnTick(Time{9s});
    CHECK(formation->decision() == Formation::Decision::kWait);
    formation->OnProbeReply(ProbeReply("c#1", "a#1", false));
    CHECK(formation->decision() == Formation::Decision::kCreateGroup);
  }
  CHECK(founder.configuration().voters.size() == 3);
  CHECK(larger.configuration().voters.size() == 5);
}

TEST_CASE("A founder that lost its disk joins the existing group") {
  Formation founder("a#2", {"a", "b", "c"}, true);
  founder.OnProbeReply(ProbeReply("b#1", "a#2", true));
  CHECK(founder.decision() == Formation::Decision::kJoinGroup);
}

TEST_CASE("A reply to an earlier incarnation is ignored") {
  Formation founder("a#2", {"a", "b"}, true);
  founder.OnProbeReply(ProbeReply("b#1", "a#1", false));
  CHECK(founder.decision() == Formation::Decision::kWait);
}

TEST_CASE("No group is created after the first start of the system") {
  Formation founder("a#2", {"a", "b", "c"}, /*may_create_group=*/false);
  founder.OnProbeReply(ProbeReply("b#2", "a#2", false));
  founder.OnProbeReply(ProbeReply("c#2", "a#2", false));
  CHECK(founder.decision() == Formation::Decision::kWait);
}

TEST_CASE("Members of the group that a reply lists are probed, too") {
  Formation joining("d#1", {"a", "b", "c"}, true);
  protocol::PeerMessage probe;
  probe.from = "d#1";
  joining.OnProbeReply(
      MakeProbeReply(probe, "a#1", true, {{"a#1", "e#1"}, {}}));
  std::vector<std::string> targets;
  for (const protocol::PeerMessage& message : joining.OnTick(Time{1s}))
    targets.push_back(message.to);
  CHECK(targets == std::vector<std::string>{"a", "b", "c", "e"});
}

}  // namespace jacinth::consensus
