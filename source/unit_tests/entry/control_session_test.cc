#include "core/entry/control_session.h"

#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::entry {
namespace {

constexpr Time kStart{100s};
constexpr Duration kTimeout = 1s;

ControlSession MakeSession(std::uint64_t incarnation = 1) {
  protocol::EntryStatus self;
  self.id = "e1";
  self.incarnation = incarnation;
  return {self, 100ms, kTimeout};
}

protocol::HeartbeatReply MakeReply(std::uint64_t sequence,
                                   std::uint64_t revision) {
  const std::string text = "ttl_ms = " + std::to_string(100 + revision) + "\n";
  protocol::HeartbeatReply reply;
  reply.sequence = sequence;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.revision = revision;
  reply.update = {revision, text, Hash64(text)};
  return reply;
}

}  // namespace

TEST_CASE(
    "The first settings are accepted only from a leader that answers in time") {
  ControlSession session = MakeSession();
  const auto heartbeat = session.OnTick(kStart);
  REQUIRE(heartbeat);
  SECTION("a reply from a replica that is not the leader") {
    protocol::HeartbeatReply reply = MakeReply(heartbeat->sequence, 5);
    reply.leader = false;
    session.OnReply(reply, kStart);
    CHECK(session.fleet() == nullptr);
  }
  SECTION("an update that answers no heartbeat") {
    session.OnReply(MakeReply(0, 5), kStart);
    CHECK(session.fleet() == nullptr);
  }
  SECTION("a leader's reply that comes too late, as after a process freeze") {
    session.OnReply(MakeReply(heartbeat->sequence, 5), kStart + 2s);
    CHECK(session.fleet() == nullptr);
    CHECK_FALSE(session.InContact(kStart + 2s));
  }
  SECTION("a leader's reply that comes in time") {
    session.OnReply(MakeReply(heartbeat->sequence, 5), kStart + 50ms);
    REQUIRE(session.fleet() != nullptr);
    CHECK(session.fleet()->revision == 5);
  }
}

TEST_CASE("Settings with an older revision are ignored") {
  ControlSession session = MakeSession();
  const auto heartbeat = session.OnTick(kStart);
  session.OnReply(MakeReply(heartbeat->sequence, 5), kStart);
  session.OnReply(MakeReply(heartbeat->sequence, 4), kStart);
  CHECK(session.fleet()->revision == 5);
  session.OnReply(MakeReply(0, 6), kStart);
  CHECK(session.fleet()->revision == 6);
}

TEST_CASE("Settings with a wrong checksum are rejected") {
  ControlSession session = MakeSession();
  const auto heartbeat = session.OnTick(kStart);
  protocol::HeartbeatReply reply = MakeReply(heartbeat->sequence, 5);
  reply.update.text += "x";
  session.OnReply(reply, kStart);
  CHECK(session.fleet() == nullptr);
}

// Guards against settings that an update has changed although it was rejected,
// so that no later update fits either.
TEST_CASE("An update that doesn't fit leaves the settings as they were") {
  ControlSession session = MakeSession();
  const auto heartbeat = session.OnTick(kStart);
  session.OnReply(MakeReply(heartbeat->sequence, 5), kStart);
  const settings::FleetSettings before = *session.fleet();
  settings::Tree tree;
  tree.Replace("", {{"ttl_ms", "105"}});

  protocol::HeartbeatReply reply = MakeReply(0, 6);
  protocol::SettingsUpdate& update = reply.update;
  update.text.clear();
  update.base_revision = 5;
  update.changes = {{"", {}},
                    {"service/s", {{"ttl_ms", "600"}}},
                    {"service/s", {{"ttl_ms", "700"}}}};
  for (const protocol::BranchChange& change : update.changes)
    tree.Replace(change.branch, change.values);
  const std::uint64_t checksum = Hash64(tree.ToIni());
  SECTION("of another tree") {
    update.checksum = checksum + 1;
  }
  SECTION("on top of another revision") {
    update.checksum = checksum;
    update.base_revision = 4;
  }
  session.OnReply(reply, kStart);
  CHECK(*session.fleet() == before);
  CHECK(session.self().revision == 5);

  update.base_revision = 5;
  update.checksum = checksum;
  session.OnReply(reply, kStart);
  CHECK(session.self().revision == 6);
  CHECK(*session.fleet() == *settings::BuildFleetSettings(tree, 6));
}

TEST_CASE("The control timeout starts when the answered heartbeat was sent") {
  ControlSession session = MakeSession();
  const auto heartbeat = session.OnTick(kStart);
  session.OnReply(MakeReply(heartbeat->sequence, 1), kStart + 900ms);
  CHECK(session.InContact(kStart + 950ms));
  CHECK_FALSE(session.InContact(kStart + 1s));
  // The settings stay in force without contact.
  CHECK(session.fleet() != nullptr);
}

// Guards against settings that count as old while changes follow one another,
// as each answer names one that hasn't arrived yet.
TEST_CASE("Settings are as current as the last answer that named them") {
  ControlSession session = MakeSession();
  const auto first = session.OnTick(kStart);
  session.OnReply(MakeReply(first->sequence, 5), kStart + 20ms);
  CHECK(session.settings_confirmed_at() == kStart);
  const auto second = session.OnTick(kStart + 200ms);
  const auto third = session.OnTick(kStart + 400ms);
  protocol::HeartbeatReply names_next = MakeReply(second->sequence, 6);
  names_next.update = {};
  session.OnReply(names_next, kStart + 420ms);
  CHECK(session.settings_confirmed_at() == kStart);
  protocol::HeartbeatReply names_another = MakeReply(third->sequence, 6);
  names_another.revision = 7;
  session.OnReply(names_another, kStart + 440ms);
  CHECK(session.self().revision == 6);
  CHECK(session.settings_confirmed_at() == kStart + 200ms);
  session.OnReply(MakeReply(0, 7), kStart + 460ms);
  CHECK(session.settings_confirmed_at() == kStart + 400ms);
}

// Guards against a lost message with settings that only a timer notices, and
// against settings that are sent again although they are on their way.
TEST_CASE("An answer without settings may show that some were lost") {
  ControlSession session = MakeSession();
  const auto first = session.OnTick(kStart);
  session.OnReply(MakeReply(first->sequence, 5), kStart + 20ms);
  const auto second = session.OnTick(kStart + 200ms);
  protocol::HeartbeatReply reply = MakeReply(second->sequence, 6);
  reply.update = {};
  SECTION("what is held is what the heartbeat said") {
    session.OnReply(reply, kStart + 220ms);
    const auto next = session.OnTick(kStart + 260ms);
    REQUIRE(next);
    CHECK(next->lacks_settings);
    // An answer to an earlier heartbeat doesn't make it say so again.
    session.OnReply(reply, kStart + 280ms);
    CHECK_FALSE(session.OnTick(kStart + 500ms)->lacks_settings);
  }
  SECTION("the answer to the next heartbeat was lost as well") {
    session.OnReply(reply, kStart + 220ms);
    REQUIRE(session.OnTick(kStart + 260ms)->lacks_settings);
    const auto third = session.OnTick(kStart + 460ms);
    REQUIRE(third);
    reply.sequence = third->sequence;
    session.OnReply(reply, kStart + 480ms);
    CHECK(session.OnTick(kStart + 560ms)->lacks_settings);
  }
  SECTION("settings have arrived since the heartbeat") {
    session.OnReply(MakeReply(0, 6), kStart + 210ms);
    reply.revision = 7;
    session.OnReply(reply, kStart + 220ms);
    CHECK_FALSE(session.OnTick(kStart + 500ms)->lacks_settings);
  }
  SECTION("a piece has come that the entry can't use") {
    protocol::HeartbeatReply push;
    push.leader = true;
    push.revision = 6;
    push.settings_piece.position = {4, 6, 1, 0};
    push.settings_piece.total_bytes = 10;
    session.OnReply(push, kStart + 210ms);
    session.OnReply(reply, kStart + 220ms);
    CHECK_FALSE(session.OnTick(kStart + 500ms)->lacks_settings);
  }
}

// Guards against an entry that takes its settings for the newest ones while the
// messages of its leader are lost, and against callers that it refuses for what
// no leader has said.
TEST_CASE("A replica that doesn't lead may name newer settings") {
  constexpr Duration kBound = 500ms;
  ControlSession session = MakeSession();
  const auto first = session.OnTick(kStart);
  session.OnReply(MakeReply(first->sequence, 5), kStart + 20ms);
  const auto second = session.OnTick(kStart + 200ms);
  protocol::HeartbeatReply told = MakeReply(second->sequence, 5);
  told.update = {};
  session.OnReply(told, kStart + 220ms);
  REQUIRE(session.HasNewestSettings(kStart + 240ms));

  protocol::HeartbeatReply hint;
  hint.sequence = second->sequence;
  hint.leader_hint = "c1";
  SECTION("of a revision that is newer") {
    hint.revision = 6;
    CHECK(session.OnReply(hint, kStart + 240ms));
    CHECK(session.newest_revision() == 6);
    CHECK_FALSE(session.HasNewestSettings(kStart + 240ms));
    CHECK(session.self().revision == 5);
    // The leader is asked at once.
    const auto third = session.OnTick(kStart + 280ms);
    REQUIRE(third);
    CHECK_FALSE(session.HasReplacedSettings(kStart + 1100ms, kBound));

    // A replica that lags behind takes nothing back.
    hint.revision = GENERATE(0, 4, 5, 6);
    CHECK_FALSE(session.OnReply(hint, kStart + 300ms));
    CHECK(session.newest_revision() == 6);

    told.sequence = third->sequence;
    told.revision = 6;
    session.OnReply(told, kStart + 300ms);
    CHECK(session.OnTick(kStart + 340ms)->lacks_settings);
    CHECK(session.HasReplacedSettings(kStart + 800ms, kBound));
  }
  SECTION("of the revision held or an older one") {
    hint.revision = GENERATE(0, 4, 5);
    CHECK_FALSE(session.OnReply(hint, kStart + 240ms));
    CHECK(session.newest_revision() == 5);
    CHECK(session.HasNewestSettings(kStart + 240ms));
    CHECK_FALSE(session.OnTick(kStart + 280ms));
  }
  SECTION("after a piece that the entry couldn't use") {
    protocol::HeartbeatReply push;
    push.leader = true;
    push.revision = 6;
    push.settings_piece.position = {4, 6, 1, 0};
    push.settings_piece.total_bytes = 10;
    session.OnReply(push, kStart + 230ms);
    hint.revision = 7;
    session.OnReply(hint, kStart + 240ms);
    const auto third = session.OnTick(kStart + 280ms);
    REQUIRE(third);
    told.sequence = third->sequence;
    told.revision = 7;
    session.OnReply(told, kStart + 300ms);
    CHECK(session.OnTick(kStart + 340ms)->lacks_settings);
  }
}

namespace {

protocol::ListedEndpoint MakeEndpoint() {
  protocol::ListedEndpoint endpoint;
  endpoint.id = "i-1";
  endpoint.started_ms = 10;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:1";
  return endpoint;
}

/// Gives a session the list of version 1, which was read 100 ms before its
/// heartbeat arrived.
void GiveList(ControlSession& session) {
  const auto heartbeat = session.OnTick(kStart);
  REQUIRE(heartbeat);
  protocol::HeartbeatReply reply = MakeReply(heartbeat->sequence, 1);
  reply.endpoints.version = 1;
  reply.endpoints.changed = {MakeEndpoint()};
  reply.listing = {1, 1, 100};
  session.OnReply(reply, kStart + 20ms);
}

}  // namespace

// Guards against a list that counts as current because the leader answers.
TEST_CASE("An answer renews the list up to the age of the leader's reading") {
  ControlSession session = MakeSession();
  GiveList(session);
  CHECK(session.endpoints_confirmed_at() == kStart - 100ms);
  const auto heartbeat = session.OnTick(kStart + 500ms);
  protocol::HeartbeatReply reply = MakeReply(heartbeat->sequence, 1);
  SECTION("the leader has read the list again") {
    reply.listing = {1, 1, 50};
    session.OnReply(reply, kStart + 520ms);
    CHECK(session.endpoints_confirmed_at() == kStart + 450ms);
  }
  SECTION("the leader's list is another one") {
    reply.listing = {2, 1, 50};
    session.OnReply(reply, kStart + 520ms);
    CHECK(session.endpoints_confirmed_at() == kStart - 100ms);
  }
  SECTION("the leader has sent another list, which hasn't arrived") {
    reply.listing = {2, 2, 50};
    session.OnReply(reply, kStart + 520ms);
    CHECK(session.endpoints_confirmed_at() == kStart - 100ms);
    const auto next = session.OnTick(kStart + 700ms);
    REQUIRE(next);
    CHECK(next->lacks_endpoints);
    // An answer to an earlier heartbeat doesn't make it say so again.
    session.OnReply(reply, kStart + 720ms);
    CHECK_FALSE(session.OnTick(kStart + 900ms)->lacks_endpoints);
  }
  SECTION("an answer that comes without a heartbeat") {
    reply.sequence = 0;
    reply.listing = {1, 1, 0};
    session.OnReply(reply, kStart + 520ms);
    CHECK(session.endpoints_confirmed_at() == kStart - 100ms);
  }
}

// Guards against a first question that comes late because a leader that didn't
// answer was asked beside others before.
TEST_CASE("Others are asked as soon as what is known of drains is old") {
  ControlSession session = MakeSession();
  GiveList(session);
  std::vector<Time> asked;
  for (Time now = kStart + 40ms; now < kStart + 3s; now += 20ms) {
    session.OnTick(now);
    const auto question = session.TakeQuestion(now);
    if (!question)
      continue;
    CHECK(question->asks_listing);
    CHECK(question->endpoint_digest.has_value());
    asked.push_back(now);
  }
  REQUIRE(asked.size() >= 3);
  CHECK(asked[0] <= kStart - 100ms + 1820ms);
  CHECK(asked[1] - asked[0] <= 420ms);
  SECTION("an answer of a replica that doesn't lead") {
    const auto question = session.TakeQuestion(kStart + 4s);
    REQUIRE(question);
    protocol::HeartbeatReply reply;
    reply.sequence = question->sequence;
    reply.listing = {0, 0, 200};
    session.OnReply(reply, kStart + 4300ms);
    CHECK(session.drains_confirmed_at() == kStart + 3800ms);
    CHECK(session.endpoints_confirmed_at() == kStart - 100ms);
    CHECK_FALSE(session.TakeQuestion(kStart + 5s));
  }
}

// Guards against answers to an entry's former process, which replicas send to
// the next one: they would tell it that it knows of drains, or is in contact
// with a leader, since a later time than is true.
TEST_CASE("An answer to the process before a restart doesn't count") {
  ControlSession former = MakeSession(1);
  ControlSession next = MakeSession(2);
  SECTION("a heartbeat") {
    const auto asked_before = former.OnTick(kStart);
    const auto asked = next.OnTick(kStart + 500ms);
    REQUIRE(asked_before);
    REQUIRE(asked);
    next.OnReply(MakeReply(asked_before->sequence, 5), kStart + 520ms);
    CHECK(next.fleet() == nullptr);
    CHECK_FALSE(next.InContact(kStart + 520ms));
    next.OnReply(MakeReply(asked->sequence, 5), kStart + 540ms);
    CHECK(next.fleet() != nullptr);
    CHECK(next.InContact(kStart + 540ms));
  }
  SECTION("a question") {
    GiveList(former);
    GiveList(next);
    const auto asked_before = former.TakeQuestion(kStart + 3s);
    const auto asked = next.TakeQuestion(kStart + 3500ms);
    REQUIRE(asked_before);
    REQUIRE(asked);
    protocol::HeartbeatReply reply;
    reply.sequence = asked_before->sequence;
    reply.listing = {0, 0, 200};
    next.OnReply(reply, kStart + 3600ms);
    CHECK(next.drains_confirmed_at() == kStart - 100ms);
    reply.sequence = asked->sequence;
    next.OnReply(reply, kStart + 3600ms);
    CHECK(next.drains_confirmed_at() == kStart + 3300ms);
  }
}

TEST_CASE("A drain of a later process at the same address counts") {
  ControlSession session = MakeSession();
  GiveList(session);
  CHECK_FALSE(session.ApplyDrains({{"i-1", "10.0.0.1:1", 9}}));
  CHECK_FALSE(session.ApplyDrains({{"i-1", "10.0.0.2:1", 11}}));
  CHECK(session.ApplyDrains({{"i-1", "10.0.0.1:1", 11}}));
  CHECK(session.endpoints().at("i-1").draining);
}

}  // namespace jacinth::entry
