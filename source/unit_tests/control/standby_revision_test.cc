#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/protocol/table_digest.h"
#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using test::ControlCluster;

constexpr const char* kEntry = "e1";

ChangeRequested MakeChange(const std::string& key) {
  ChangeRequested request;
  request.ticket = 1;
  request.operator_settings.branches = {"*"};
  request.change.idempotency_key = key;
  request.change.any_revision = true;
  request.change.changes = {{"service/a", {{"ttl_ms", "500"}}}};
  return request;
}

/// A control group, and an entry that asks its replicas.
struct AskedGroup {
  AskedGroup() {
    cluster.loss_percent = 0;
    cluster.duplicate_percent = 0;
    cluster.on_entry_message = [this](const std::string& entry,
                                      const protocol::Envelope& envelope) {
      const auto* reply = std::get_if<protocol::HeartbeatReply>(&envelope);
      if (entry == kEntry && reply != nullptr)
        replies.push_back(*reply);
    };
    cluster.on_list_endpoints = [this](std::size_t machine) {
      cluster.InjectEvent(machine, EndpointsListed{});
    };
    cluster.Run(2s);
    leader = cluster.Leader().value();
    standby = (leader + 1) % cluster.size();
  }

  void Change(const std::string& key) {
    cluster.InjectEvent(leader, MakeChange(key));
    cluster.Run(300ms);
  }

  void CutStandby() {
    for (std::size_t other = 0; other < cluster.size(); ++other) {
      cluster.BlockLink(other, standby);
      cluster.BlockLink(standby, other);
    }
  }

  /// Asks the standby replica and returns its answers.
  std::vector<protocol::HeartbeatReply> Ask() {
    protocol::Heartbeat question;
    question.status.id = kEntry;
    question.status.incarnation = 1;
    question.sequence = ++sequence;
    question.asks_listing = true;
    protocol::TableDigest digest = protocol::MakeEndpointDigest();
    digest.Add(protocol::EndpointPart("i-1"), 1);
    question.endpoint_digest = digest.ToBytes();
    replies.clear();
    cluster.SendFromEntry(kEntry, standby, question);
    cluster.Run(100ms);
    return replies;
  }

  ControlCluster cluster{1};
  std::size_t leader = 0;
  std::size_t standby = 0;
  std::uint64_t sequence = 0;
  std::vector<protocol::HeartbeatReply> replies;
};

}  // namespace

// Guards against an entry that hears nothing of its leader and learns of no
// change, though it asks replicas that know it.
TEST_CASE(
    "A replica that doesn't lead names the revision that it has applied") {
  AskedGroup group;
  group.Change("first");
  const std::uint64_t applied =
      group.cluster.node(group.standby)->state().revision();
  REQUIRE(applied > 0);
  const auto answers = group.Ask();
  // The second one follows the reading of the platform's list.
  REQUIRE(answers.size() == 2);
  for (const protocol::HeartbeatReply& answer : answers) {
    CHECK_FALSE(answer.leader);
    CHECK(answer.revision == applied);
  }

  // One that is cut off tells what it has applied before.
  group.CutStandby();
  group.Change("second");
  REQUIRE(group.cluster.node(group.leader)->state().revision() > applied);
  for (const protocol::HeartbeatReply& answer : group.Ask())
    CHECK(answer.revision == applied);
}

}  // namespace jacinth::control
