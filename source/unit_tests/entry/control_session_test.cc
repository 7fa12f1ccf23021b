#include "core/entry/control_session.h"

#include <string>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::entry {
namespace {

constexpr Time kStart{100s};
constexpr Duration kTimeout = 1s;

ControlSession MakeSession() {
  protocol::EntryStatus self;
  self.id = "e1";
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

TEST_CASE("The control timeout starts when the answered heartbeat was sent") {
  ControlSession session = MakeSession();
  const auto heartbeat = session.OnTick(kStart);
  session.OnReply(MakeReply(heartbeat->sequence, 1), kStart + 900ms);
  CHECK(session.InContact(kStart + 950ms));
  CHECK_FALSE(session.InContact(kStart + 1s));
  // The settings stay in force without contact.
  CHECK(session.fleet() != nullptr);
}

}  // namespace jacinth::entry
