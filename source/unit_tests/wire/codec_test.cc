#include <limits>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/wire/command_codec.h"
#include "core/wire/compression.h"
#include "core/wire/envelope_codec.h"
#include "core/wire/generated/jacinth_types.h"
#include "core/wire/state_codec.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
namespace {

using protocol::Envelope;

// The helpers below return structs in which no field has its default value.
protocol::PeerMessage MakeFullPeerMessage() {
  protocol::PeerMessage message;
  message.kind = protocol::PeerMessageKind::kSnapshot;
  message.from = "a#1";
  message.to = "b#2";
  message.term = 3;
  message.index = 4;
  message.log_term = 5;
  message.commit = 6;
  message.round = 7;
  message.granted = true;
  message.transfer = true;
  message.entries = {
      {8, 9, protocol::LogEntryKind::kCommand, std::string("\0x", 2)}};
  message.configuration = {{"a#1"}, {"b#2"}};
  message.snapshot = {10, 11, {{"a#1"}, {}}, "state"};
  message.asks_location = true;
  message.location = {"west", "west-a"};
  return message;
}

protocol::EntryStatus MakeFullEntryStatus() {
  return {"e1", 1, "west", "west-a", "127.0.0.1:1", 2, true, true};
}

protocol::ListedEndpoint MakeFullListedEndpoint() {
  return {"i-1", 1, "s", "127.0.0.1:2", "west-a", 3, true, 4};
}

void CheckRoundTrip(const Envelope& envelope) {
  const auto decoded = DecodeEnvelope(EncodeEnvelope(envelope));
  REQUIRE(decoded);
  CHECK(*decoded == envelope);
}

std::string FromHex(const std::string& hex) {
  constexpr int kBase = 16;
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, kBase));
  return bytes;
}

}  // namespace

TEST_CASE("Messages of every type are unchanged by encoding and decoding") {
  CheckRoundTrip(protocol::Challenge{"nonce", true});
  CheckRoundTrip(protocol::Hello{"e1", "mac", true});
  CheckRoundTrip(protocol::Ping{true});
  CheckRoundTrip(MakeFullPeerMessage());
  CheckRoundTrip(protocol::Heartbeat{
      MakeFullEntryStatus(),
      3,
      4,
      5,
      6,
      {{{"s", 7, "a"}, protocol::SliceClaimReason::kOwnerOverloaded}},
      {{"s", 7, 1'500}},
      8,
      {{{"s", "i-1"}, 9, 2.5, true, 10, 1.25, 3.5},
       {{"s", "i-2"}, 9, std::nullopt, false, -1, 0, std::nullopt}},
      protocol::SettingsPosition{16, 17, 18, 19},
      {{10, 11, 12, 13}},
      {14},
      15,
      {{"i-3", "127.0.0.1:3", 11}},
      true,
      "endpoint digest",
      ""});
  CheckRoundTrip(protocol::HeartbeatReply{
      1,
      true,
      "c1",
      2,
      {3, "text", 4, 2, {{"service/a", {{"ttl_ms", "5"}}}}},
      {5, {MakeFullEntryStatus()}, 4, {"e2"}},
      {6, 5, {MakeFullListedEndpoint()}, {"gone"}, {{1, 2}}},
      {"c1", "c2"},
      {7, {{"s", 7, "a"}}, 6, std::vector<int>{}},
      {7, true, {{{"s", "i-1"}, 9, 2.5, 1.5}}},
      {{1, 2, 3, 4}, 5, "piece"},
      {8, true, {{9, {10, 11}, 12}}},
      13});
  CheckRoundTrip(protocol::ClaimRequest{"a", {"c", "k"}, 1, 2, "tp"});
  CheckRoundTrip(protocol::ClaimReply{
      "a", true, protocol::ClaimVerdict::kRan, {200, "t", "b", true}});
  CheckRoundTrip(protocol::FinishRequest{
      "a", {"c", "k"}, Outcome::kNotRun, {200, "t", "b", true}});
  CheckRoundTrip(protocol::FinishReply{"a"});
}

// Guards against tables that take a narrow link for a second.
TEST_CASE("A large table is packed to less than half of its size") {
  protocol::HeartbeatReply reply;
  reply.slices.version = 1;
  for (std::uint32_t i = 0; i < 4'000; ++i) {
    reply.slices.changed.push_back(
        {"service-" + std::to_string(i % 4), i,
         "i-" + std::to_string((i * 7'919ULL) % 900 * 1'000'003)});
  }
  const Envelope envelope(reply);
  const std::string packed = EncodePackedEnvelope(envelope);
  CHECK(packed.size() < EncodeEnvelope(envelope).size() / 2);
  const auto decoded = DecodeEnvelope(packed);
  REQUIRE(decoded);
  CHECK(*decoded == envelope);
  std::string damaged = packed;
  damaged[damaged.size() / 2] ^= 1;
  CHECK_FALSE(DecodeEnvelope(damaged));
  CHECK_FALSE(DecodeEnvelope(packed.substr(0, packed.size() / 2)));
}

TEST_CASE("Small messages aren't packed, and packed ones hold no packed ones") {
  const Envelope small(protocol::Ping{true});
  CHECK(EncodePackedEnvelope(small) == EncodeEnvelope(small));
  generated::Envelope nested;
  nested.version = kWireVersion;
  for (int i = 0; i < 2; ++i) {
    const std::string bytes =
        i == 0 ? EncodeEnvelope(small) : Serialize(nested);
    generated::PackedEnvelope packed;
    packed.unpacked_bytes = static_cast<std::int64_t>(bytes.size());
    packed.compressed = Compress(bytes);
    nested.__set_packed(packed);
  }
  CHECK_FALSE(DecodeEnvelope(Serialize(nested)));
}

// Guards against endpoints of a leader of another build that can't be used.
// Guards against a leader that packs the same packed piece again for each of
// hundreds of entries, and loses its lease over it.
TEST_CASE("A piece of a settings update isn't packed again") {
  protocol::HeartbeatReply reply;
  reply.settings_piece.position = {1, 2, 3, 0};
  reply.settings_piece.bytes.assign(10'000, 'x');
  CHECK(EncodePackedEnvelope(reply) == EncodeEnvelope(reply));
}

TEST_CASE("Listed endpoints that can't be used are received as removed") {
  protocol::HeartbeatReply reply;
  reply.endpoints.version = 2;
  reply.endpoints.base = 1;
  reply.endpoints.removed = {"gone"};
  const auto add = [&](const std::string& id, auto change) {
    protocol::ListedEndpoint endpoint = MakeFullListedEndpoint();
    endpoint.id = id;
    change(endpoint);
    reply.endpoints.changed.push_back(endpoint);
  };
  add("good", [](auto& /*endpoint*/) {});
  add("port", [](auto& endpoint) { endpoint.address = "127.0.0.2:99999"; });
  add("port-0", [](auto& endpoint) { endpoint.address = "127.0.0.2:0"; });
  add("slots", [](auto& endpoint) { endpoint.slots = -1; });
  add("many-slots", [](auto& endpoint) { endpoint.slots = 2'147'483'647; });
  add("cold", [](auto& endpoint) {
    endpoint.cold_for_ms = std::numeric_limits<std::int64_t>::max();
  });
  add("a\r\nb: c", [](auto& /*endpoint*/) {});
  const auto decoded = DecodeEnvelope(EncodeEnvelope(Envelope(reply)));
  REQUIRE(decoded);
  const auto& endpoints =
      std::get<protocol::HeartbeatReply>(*decoded).endpoints;
  REQUIRE(endpoints.changed.size() == 1);
  CHECK(endpoints.changed[0].id == "good");
  CHECK(endpoints.removed == std::vector<std::string>{"gone", "port", "port-0",
                                                      "slots", "many-slots",
                                                      "cold", "a\r\nb: c"});
}

TEST_CASE("Commands are unchanged by encoding and decoding") {
  protocol::ChangeSettings change;
  change.operator_name = "alice";
  change.idempotency_key = "key";
  change.fingerprint = 1;
  change.if_revision = 2;
  change.any_revision = true;
  change.version_step = protocol::VersionStep{3, 4};
  change.replace_all = true;
  change.changes = {{"service/a", {{"ttl_ms", "5"}}}};
  for (const protocol::Command& command :
       {protocol::Command{1, 2, change},
        protocol::Command{3, 4,
                          protocol::ClaimRequest{"a", {"c", "k"}, 1, 2, ""}},
        protocol::Command{5, 6, protocol::FinishRequest{}},
        protocol::Command{7, 8, protocol::RecordOwners{{{"s", 7, "a"}}}},
        protocol::Command{9, 10, protocol::RecordSuspects{{{1, {2, 3}, 4}}}},
        protocol::Command{11, 12, protocol::RecordSuspects{}}}) {
    const auto decoded = DecodeCommand(EncodeCommand(command));
    REQUIRE(decoded);
    CHECK(*decoded == command);
  }
}

TEST_CASE("Changes of suspects are encoded and decoded") {
  protocol::HeartbeatReply reply;
  reply.suspects = {8, false, {{9, {10, 11}, 12}}, 7, {13, 14}};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(reply));
  REQUIRE(decoded);
  CHECK(std::get<protocol::HeartbeatReply>(*decoded).suspects ==
        reply.suspects);
}

// Guards against stopping the replicas of a build without suspect requests,
// which run beside this one during an upgrade (docs/incidents/deadly.md).
TEST_CASE("A build without suspects takes their record for one of no owners") {
  const protocol::Command command{9, 10,
                                  protocol::RecordSuspects{{{1, {2, 3}, 4}}}};
  auto read = Deserialize<generated::Command>(EncodeCommand(command));
  REQUIRE(read);
  // Such a build skips the field when it reads the command.
  read->__isset.suspects = false;
  const auto decoded = DecodeCommand(Serialize(*read));
  REQUIRE(decoded);
  CHECK(decoded->body == decltype(command.body)(protocol::RecordOwners{}));
}

TEST_CASE("Stored records are unchanged by encoding and decoding") {
  protocol::ControlSnapshot state;
  state.revision = 1;
  state.tree_text = "x";
  state.log_time_ms = 2;
  state.forgotten_before_ms = 3;
  state.claims = {
      {{"c", "k"}, "a", 1, protocol::ClaimState::kUnknown, 2, 3, {}}};
  state.results = {{"o", "k", 1, true, 2}};
  state.audit = {{1, 2, "o", "b"}};
  state.suspects = {{1, {2, 3}, 4}};
  CHECK(*DecodeControlSnapshot(EncodeControlSnapshot(state)) == state);
  protocol::LogBatch batch;
  batch.hard_state = protocol::HardState{1, "v"};
  batch.entries = {{1, 1, protocol::LogEntryKind::kNoop, ""}};
  batch.snapshot_index = 7;
  CHECK(*DecodeLogBatch(EncodeLogBatch(batch)) == batch);
}

TEST_CASE(
    "Decoding corrupt bytes does not crash and fails only with kCorruptData") {
  const bool ok = rc::check("overwritten and truncated bytes", [] {
    std::string bytes = EncodeEnvelope(MakeFullPeerMessage());
    const auto overwrites = *rc::gen::inRange(1, 6);
    for (int i = 0; i < overwrites; ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[position] = static_cast<char>(*rc::gen::arbitrary<char>());
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto decoded = DecodeEnvelope(bytes);
    if (!decoded)
      RC_ASSERT(decoded.error().kind == ErrorKind::kCorruptData);
  });
  CHECK(ok);
}

// Guards against a list that never gets old, as another build tells an age or a
// version out of range.
TEST_CASE("The state of a list is unchanged by encoding, and bounded") {
  const auto pass_on = [](std::uint64_t version, std::int64_t age_ms,
                          std::int64_t interval_ms = 0) {
    protocol::HeartbeatReply reply;
    reply.listing = {version, 3, age_ms, interval_ms};
    const auto decoded = DecodeEnvelope(EncodeEnvelope(reply));
    REQUIRE(decoded);
    return std::get<protocol::HeartbeatReply>(*decoded).listing;
  };
  CHECK(pass_on(7, 250) == protocol::ListingState{7, 3, 250});
  CHECK_FALSE(pass_on(7, -1));
  CHECK_FALSE(pass_on(1ULL << 63U, 250));
  CHECK(pass_on(7, std::numeric_limits<std::int64_t>::max())->age_ms <=
        3'600'000);
  CHECK(pass_on(7, 250, 750) == protocol::ListingState{7, 3, 250, 750});
  CHECK(pass_on(7, 250, -1)->interval_ms == 0);
  CHECK(
      pass_on(7, 250, std::numeric_limits<std::int64_t>::max())->interval_ms <=
      3'600'000);
  protocol::Heartbeat heartbeat;
  heartbeat.lacks_endpoints = true;
  heartbeat.asks_listing = true;
  CHECK(DecodeEnvelope(EncodeEnvelope(heartbeat)) == Envelope(heartbeat));
  heartbeat.lacks_settings = true;
  CHECK(DecodeEnvelope(EncodeEnvelope(heartbeat)) == Envelope(heartbeat));
  heartbeat.lacks_members = true;
  CHECK(DecodeEnvelope(EncodeEnvelope(heartbeat)) == Envelope(heartbeat));
  heartbeat.takes_share_changes = true;
  CHECK(DecodeEnvelope(EncodeEnvelope(heartbeat)) == Envelope(heartbeat));
  protocol::HeartbeatReply reply;
  reply.sent_members_version = 7;
  CHECK(DecodeEnvelope(EncodeEnvelope(reply)) == Envelope(reply));
  reply.rate_shares.version = 7;
  reply.rate_shares.base = 5;
  reply.rate_shares.removed = {{"s", "i-2"}};
  CHECK(DecodeEnvelope(EncodeEnvelope(reply)) == Envelope(reply));
}

// Guards against messages that an entry or replica of an earlier build, which
// runs beside this one during an upgrade, can't read. The bytes were written by
// the build of commit 96d274e.
TEST_CASE("Heartbeats of an earlier build are read and written as they were") {
  const std::string stored = FromHex(
      "15025c1c1802653116021804776573741806776573742d61180b3132372e302e302e313a"
      "31160411110016061608160a160c191c1c180173150e18016100150400191c180173150e"
      "16b817001610191c1801731803692d311612170000000000000440111614170000000000"
      "00f43f170000000000000c40000000");
  const protocol::Heartbeat heartbeat{
      MakeFullEntryStatus(),
      3,
      4,
      5,
      6,
      {{{"s", 7, "a"}, protocol::SliceClaimReason::kOwnerOverloaded}},
      {{"s", 7, 1'500}},
      8,
      {{{"s", "i-1"}, 9, 2.5, true, 10, 1.25, 3.5}},
      {}};
  const auto decoded = DecodeEnvelope(stored);
  REQUIRE(decoded);
  CHECK(*decoded == Envelope(heartbeat));
  CHECK(EncodeEnvelope(heartbeat) == stored);
}

// As above, for the messages of a leader and of a link as the build of commit
// b196610 wrote them.
TEST_CASE("Messages of the last build are read and written as they were") {
  const auto check = [](const Envelope& envelope, const std::string& hex) {
    const std::string stored = FromHex(hex);
    const auto decoded = DecodeEnvelope(stored);
    REQUIRE(decoded);
    CHECK(*decoded == envelope);
    CHECK(EncodeEnvelope(envelope) == stored);
  };
  check(protocol::Challenge{"nonce"}, "15021c18056e6f6e63650000");
  check(protocol::Hello{"e1", "mac"}, "15022c1802653118036d61630000");
  protocol::HeartbeatReply reply;
  reply.sequence = 1;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.revision = 2;
  reply.members.version = 5;
  reply.members.entries = {MakeFullEntryStatus()};
  reply.endpoints.version = 6;
  reply.endpoints.base = 5;
  reply.endpoints.changed = {MakeFullListedEndpoint()};
  reply.endpoints.removed = {"gone"};
  reply.replicas = {"c1", "c2"};
  reply.slices.version = 7;
  reply.slices.changed = {{"s", 7, "a"}};
  reply.rate_shares = {7, true, {{{"s", "i-1"}, 9, 2.5, 1.5}}};
  reply.settings_piece = {{1, 2, 3, 4}, 5, "piece"};
  reply.suspects = {8, true, {{9, {10, 11}, 12}}};
  check(
      reply,
      "15026c1602111802633116042c160a191c1802653116021804776573741806776573742d"
      "61180b3132372e302e302e313a311604111100001c160c160a191c1803692d3116021801"
      "73180b3132372e302e302e313a321806776573742d61150611160800191804676f6e6500"
      "19280263310263321c160e191c180173150e18016100001c160e11191c1801731803692d"
      "31161217000000000000044017000000000000f83f00001c1c1602160416061608001"
      "60a18057069656365009c161011191c161219261416161800000000");
}

}  // namespace jacinth::wire
