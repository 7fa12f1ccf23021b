#include <string>

#include <benchmark/benchmark.h>

#include "core/control/control_node.h"
#include "core/control/ledger.h"
#include "core/control/slice_balancer.h"
#include "core/settings/fleet_settings.h"
#include "core/settings/tree_validation.h"
#include "core/wire/command_codec.h"
#include "core/wire/envelope_codec.h"

namespace jacinth::control {
namespace {

// A control group of one replica, which is the leader and holds its lease.
class SingleReplicaLeader {
 public:
  SingleReplicaLeader() : node_(*ControlNode::Create(Options(), {}, clock_)) {
    for (int i = 0; i < 200; ++i) {
      clock_.now += 20ms;
      Step(Tick{});
    }
  }

  ControlActions Step(const ControlEvent& event) {
    ControlActions actions = node_.Step(event, clock_);
    for (std::size_t i = 0; i < actions.writes.size(); ++i) {
      ControlActions follow_up =
          node_.Step(WritesSynced{actions.writes[i].id}, clock_);
      for (auto& write : follow_up.writes)
        actions.writes.push_back(std::move(write));
      for (auto& message : follow_up.messages)
        actions.messages.push_back(std::move(message));
    }
    return actions;
  }

  void Advance(Duration duration) { clock_.now += duration; }

  void SubmitChange(const protocol::BranchChange& change) {
    ChangeRequested request;
    request.operator_settings.branches = {"*"};
    request.change.idempotency_key = std::to_string(++change_count_);
    request.change.if_revision = node_.state().revision();
    request.change.changes = {change};
    Step(request);
  }

  const ControlNode& node() const { return node_; }

 private:
  static ControlOptions Options() {
    ControlOptions options;
    options.replica.id = "c1#1";
    options.replica.election_timeout = 200ms;
    options.replica.heartbeat = 20ms;
    options.contacts = {"c1"};
    options.entry_timeout = 2s;
    options.snapshot_entries = 1'000'000;
    return options;
  }

  ClockReading clock_{Time{1000s}, 1'000'000};
  ControlNode node_;
  std::uint64_t change_count_ = 0;
};

protocol::Heartbeat MakeHeartbeat(std::int64_t entry, std::uint64_t revision) {
  protocol::Heartbeat heartbeat;
  heartbeat.status.id = "entry-" + std::to_string(entry);
  heartbeat.status.incarnation = 123456789;
  heartbeat.status.region = "region-1";
  heartbeat.status.failure_domain = "region-1-domain-2";
  heartbeat.status.address = "10.123.123.123:8080";
  heartbeat.status.revision = revision;
  heartbeat.sequence = 1000;
  return heartbeat;
}

// Measures the handling of one heartbeat by the leader of `range(0)` entry
// instances, including the encoding and decoding of the heartbeat and the
// encoding of the reply.
void HeartbeatAtLeader(benchmark::State& state) {
  SingleReplicaLeader leader;
  std::int64_t next_number = 0;
  std::size_t sent_bytes = 0;
  std::size_t received_bytes = 0;
  std::uint64_t held_version = 0;
  const auto send_heartbeat = [&] {
    protocol::Heartbeat heartbeat =
        MakeHeartbeat(next_number++ % state.range(0), 0);
    heartbeat.members_version = held_version;
    const std::string bytes = wire::EncodeEnvelope(heartbeat);
    const auto actions = leader.Step(
        MessageReceived{heartbeat.status.id, *wire::DecodeEnvelope(bytes)});
    received_bytes += bytes.size();
    for (const auto& message : actions.messages) {
      sent_bytes += wire::EncodeEnvelope(message.envelope).size();
      const auto* reply =
          std::get_if<protocol::HeartbeatReply>(&message.envelope);
      if (reply != nullptr && reply->members.version != 0)
        held_version = reply->members.version;
    }
  };
  for (std::int64_t i = 0; i < state.range(0); ++i)
    send_heartbeat();
  // A leader announces the member list once its term has lasted for
  // entry_timeout (2 s). The heartbeats sent here receive the list, so that the
  // measured replies do not contain it.
  leader.Advance(2s);
  leader.Step(Tick{});
  for (std::int64_t i = 0; i < state.range(0); ++i)
    send_heartbeat();
  sent_bytes = 0;
  received_bytes = 0;
  std::size_t heartbeat_count = 0;
  for (auto unused : state) {
    send_heartbeat();
    ++heartbeat_count;
  }
  state.counters["bytes_in"] = static_cast<double>(received_bytes) /
                               static_cast<double>(heartbeat_count);
  state.counters["bytes_out"] =
      static_cast<double>(sent_bytes) / static_cast<double>(heartbeat_count);
}
BENCHMARK(HeartbeatAtLeader)->Arg(10)->Arg(100)->Arg(920);

// Measures one round of slice balancing among `range(0)` endpoints of 40
// services. Each endpoint owns three slices; every seventh endpoint is
// overloaded.
void BalanceSlices(benchmark::State& state) {
  std::map<std::string, SliceEndpoint> hosts;
  std::vector<SliceLoad> slices;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const std::string id = "endpoint-" + std::to_string(i);
    hosts[id] = {"s" + std::to_string(i % 40), "r" + std::to_string(i % 5), 6};
    for (int slice = 0; slice < 3; ++slice)
      slices.push_back({id, i % 7 == 0 ? 2.5 : 0.5});
  }
  std::size_t moved = 0;
  for (auto unused : state)
    moved = control::BalanceSlices(hosts, slices).size();
  state.counters["moved"] = static_cast<double>(moved);
}
BENCHMARK(BalanceSlices)->Arg(48)->Arg(480)->Arg(4'800);

// Measures the encoded size of the member list for `range(0)` entry instances.
void MemberListBytes(benchmark::State& state) {
  protocol::HeartbeatReply reply;
  reply.members.version = 1;
  for (std::int64_t i = 0; i < state.range(0); ++i)
    reply.members.entries.push_back(MakeHeartbeat(i, 1).status);
  std::size_t bytes = 0;
  for (auto unused : state)
    bytes = wire::EncodeEnvelope(reply).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(MemberListBytes)->Arg(10)->Arg(100)->Arg(920);

// Measures the encoding of a settings tree with `range(0)` endpoints in a
// heartbeat reply, the parsing of its text, and the building of typed settings.
void SettingsUpdate(benchmark::State& state) {
  settings::Tree tree;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const std::string branch = "service/s" + std::to_string(i % 40) +
                               "/endpoint/endpoint-" + std::to_string(i);
    tree.Set(branch, "address",
             "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                 ":8080");
    tree.Set(branch, "region", "region-1");
    tree.Set(branch, "failure_domain", "region-1-domain-2");
  }
  std::size_t bytes = 0;
  for (auto unused : state) {
    protocol::HeartbeatReply reply;
    reply.update = {1, tree.ToIni(), 1};
    bytes = wire::EncodeEnvelope(reply).size();
    const auto parsed = settings::ParseTree(reply.update.text);
    benchmark::DoNotOptimize(settings::BuildFleetSettings(parsed.tree, 1));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SettingsUpdate)
    ->Arg(48)
    ->Arg(480)
    ->Arg(4'800)
    ->Unit(benchmark::kMillisecond);

// Measures the encoded size of the log commands for one settings change, and
// for one claim with its completion.
void CommandBytes(benchmark::State& state) {
  protocol::ChangeSettings change;
  change.operator_name = "operator";
  change.idempotency_key = "01a24040-7a04-7ab1-be8d-b17a5db9a0ca";
  change.changes = {{"service/rounds", {{"ttl_ms", "700"}, {"slots", "6"}}}};
  protocol::ClaimRequest claim{"entry-1/123456789/1000",
                               {"visits/", change.idempotency_key},
                               1ULL << 60U,
                               5'000,
                               ""};
  protocol::FinishRequest finish{
      claim.attempt,
      claim.key,
      Outcome::kRan,
      {200, "text/plain", std::string(64, 'x'), false}};
  std::size_t change_bytes = 0;
  std::size_t claim_and_finish_bytes = 0;
  for (auto unused : state) {
    change_bytes =
        wire::EncodeCommand({1ULL << 40U, 1ULL << 60U, change}).size();
    claim_and_finish_bytes =
        wire::EncodeCommand({1ULL << 40U, 1ULL << 60U, claim}).size() +
        wire::EncodeCommand({1ULL << 40U, 1ULL << 60U, finish}).size();
  }
  state.counters["change_bytes"] = static_cast<double>(change_bytes);
  state.counters["claim_bytes"] = static_cast<double>(claim_and_finish_bytes);
}
BENCHMARK(CommandBytes);

// Measures a claim and its completion in a ledger with `range(0)` records.
void ClaimAndFinish(benchmark::State& state) {
  Ledger ledger;
  std::int64_t next_number = 0;
  const auto claim = [&] {
    const std::string key = "01a24040-7a04-4ab1-be8d-b17a" +
                            std::to_string(10'000'000 + next_number);
    const std::string attempt =
        "entry-1/123456789/" + std::to_string(next_number++);
    ledger.Claim({attempt, {"visits/", key}, 1, 5'000, ""}, 1'000);
    ledger.Finish({attempt,
                   {"visits/", key},
                   Outcome::kRan,
                   {200, "text/plain", std::string(64, 'x'), false}},
                  1'000);
  };
  for (std::int64_t i = 0; i < state.range(0); ++i)
    claim();
  for (auto unused : state)
    claim();
}
BENCHMARK(ClaimAndFinish)->Arg(1'000)->Arg(10'000)->Arg(100'000);

// Measures saving a snapshot with `range(0)` records in the ledger, and its
// size.
void SnapshotBytes(benchmark::State& state) {
  ControlState control;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const protocol::ClaimKey key{"visits/", "01a24040-7a04-4ab1-be8d-b17a" +
                                                std::to_string(10'000'000 + i)};
    const std::string attempt = "entry-1/123456789/" + std::to_string(i);
    control.Apply(
        {1'000, 1, protocol::ClaimRequest{attempt, key, 1, 5'000, ""}});
    control.Apply({1'000, 2,
                   protocol::FinishRequest{
                       attempt,
                       key,
                       Outcome::kRan,
                       {200, "text/plain", std::string(64, 'x'), false}}});
  }
  std::size_t bytes = 0;
  for (auto unused : state)
    bytes = control.Save().size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SnapshotBytes)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace jacinth::control
