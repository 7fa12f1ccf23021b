#include "core/consensus/replica.h"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::consensus {
namespace {

using protocol::LogEntry;
using protocol::LogEntryKind;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

constexpr Duration kElectionTimeout = 200ms;
constexpr Time kStart{100s};
/// Later than any election timer that starts at `kStart`.
constexpr Time kLater = kStart + 1s;

ReplicaOptions Options(const std::string& id) {
  ReplicaOptions options;
  options.id = id;
  options.election_timeout = kElectionTimeout;
  options.heartbeat = 20ms;
  return options;
}

ReplicaStart GroupStart(std::vector<LogEntry> entries = {}) {
  ReplicaStart start;
  start.hard_state = {1, ""};
  start.snapshot = {1, 1, {{"a#1", "b#1", "c#1"}, {}}, ""};
  start.entries = std::move(entries);
  return start;
}

PeerMessage Message(PeerMessageKind kind,
                    const std::string& from,
                    const std::string& to,
                    std::uint64_t term) {
  PeerMessage message;
  message.kind = kind;
  message.from = from;
  message.to = to;
  message.term = term;
  return message;
}

PeerMessage VoteRequest(const std::string& from, std::uint64_t term) {
  PeerMessage message = Message(PeerMessageKind::kVote, from, "a#1", term);
  message.index = 1;
  message.log_term = 1;
  return message;
}

const DeferredPeerMessage* FindMessage(const ReplicaActions& actions,
                                       PeerMessageKind kind) {
  for (const DeferredPeerMessage& message : actions.messages) {
    if (message.message.kind == kind)
      return &message;
  }
  return nullptr;
}

SyncId SyncAll(Replica& replica, const ReplicaActions& actions, Time now) {
  const SyncId last = actions.writes.empty() ? 0 : actions.writes.back().id;
  replica.OnSynced(last, now);
  return last;
}

// Makes `replica` ("a#1") the leader of its next term with the vote of "b#1".
// Returns its actions as the leader.
ReplicaActions Elect(Replica& replica,
                     Time now,
                     const std::vector<std::string>& voices = {"b#1"}) {
  replica.OnTick(now);
  const std::uint64_t term = replica.term() + 1;
  for (const std::string& voice : voices) {
    PeerMessage pre_vote =
        Message(PeerMessageKind::kPreVoteReply, voice, "a#1", term);
    pre_vote.granted = true;
    replica.OnMessage(pre_vote, now);
  }
  const ReplicaActions vote_actions = replica.TakeActions();
  for (const std::string& voice : voices) {
    PeerMessage vote = Message(PeerMessageKind::kVoteReply, voice, "a#1", term);
    vote.granted = true;
    replica.OnMessage(vote, now);
  }
  SyncAll(replica, vote_actions, now);
  REQUIRE(replica.role() == ReplicaRole::kLeader);
  return replica.TakeActions();
}

PeerMessage Ack(const std::string& from,
                std::uint64_t term,
                std::uint64_t index,
                std::uint64_t round = 0) {
  PeerMessage reply = Message(PeerMessageKind::kAppendReply, from, "a#1", term);
  reply.granted = true;
  reply.index = index;
  reply.round = round;
  return reply;
}

std::uint64_t LastRound(const ReplicaActions& actions) {
  std::uint64_t round = 0;
  for (const DeferredPeerMessage& message : actions.messages)
    round = std::max(round, message.message.round);
  return round;
}

}  // namespace

TEST_CASE("A vote is sent only after it is synced") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  replica.OnMessage(VoteRequest("b#1", 2), kLater);
  const ReplicaActions actions = replica.TakeActions();
  const DeferredPeerMessage* reply =
      FindMessage(actions, PeerMessageKind::kVoteReply);
  REQUIRE(reply != nullptr);
  CHECK(reply->message.granted);
  REQUIRE(actions.writes.size() == 1);
  CHECK(actions.writes[0].batch.hard_state->vote == "b#1");
  CHECK(reply->after_sync == actions.writes[0].id);
}

// Pattern: all replicas have lost power and start again. Guards against an
// election that waits for the next election timeout, as the first requests go
// to instances to which there is no link yet.
TEST_CASE("A candidate repeats requests for votes that aren't answered") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  const auto asked = [&](PeerMessageKind kind, Time now) {
    replica.OnTick(now);
    const ReplicaActions actions = replica.TakeActions();
    SyncAll(replica, actions, now);
    std::vector<std::string> voters;
    for (const DeferredPeerMessage& message : actions.messages) {
      if (message.message.kind == kind)
        voters.push_back(message.message.to);
    }
    return voters;
  };
  const std::vector<std::string> others = {"b#1", "c#1"};
  CHECK(asked(PeerMessageKind::kPreVote, kLater) == others);
  CHECK(asked(PeerMessageKind::kPreVote, kLater + 10ms).empty());
  CHECK(replica.NextTickTime() == kLater + 20ms);
  CHECK(asked(PeerMessageKind::kPreVote, kLater + 20ms) == others);
  PeerMessage pre_vote =
      Message(PeerMessageKind::kPreVoteReply, "b#1", "a#1", 2);
  pre_vote.granted = true;
  replica.OnMessage(pre_vote, kLater + 30ms);
  const ReplicaActions actions = replica.TakeActions();
  SyncAll(replica, actions, kLater + 30ms);
  REQUIRE(replica.role() == ReplicaRole::kCandidate);
  REQUIRE(FindMessage(actions, PeerMessageKind::kVote) != nullptr);
  CHECK(asked(PeerMessageKind::kVote, kLater + 50ms) == others);
  CHECK(replica.term() == 2);
}

// Pattern: all replicas have lost power, and the new leader answers hundreds of
// entries at once. Guards against a leader that sends its whole log to each
// replica whose first reply is late, and so has no time for the replies.
TEST_CASE("A new leader sends a silent replica no entries of earlier terms") {
  std::vector<LogEntry> entries;
  for (std::uint64_t i = 2; i <= 100; ++i)
    entries.push_back({i, 1, LogEntryKind::kCommand, "command"});
  Replica replica(Options("a#1"), GroupStart(entries), kStart);
  Elect(replica, kLater);
  std::size_t sent = 0;
  for (Time now = kLater; now < kLater + 2 * kElectionTimeout; now += 10ms) {
    replica.OnTick(now);
    const ReplicaActions actions = replica.TakeActions();
    for (const DeferredPeerMessage& message : actions.messages) {
      if (message.message.to != "c#1")
        continue;
      CHECK(message.message.kind != PeerMessageKind::kSnapshot);
      for (const LogEntry& entry : message.message.entries) {
        CHECK(entry.term == replica.term());
        ++sent;
      }
    }
    replica.OnMessage(Ack("b#1", replica.term(), 101, LastRound(actions)), now);
  }
  CHECK(sent > 0);
  // It has the first half of the log.
  PeerMessage refusal =
      Message(PeerMessageKind::kAppendReply, "c#1", "a#1", replica.term());
  refusal.index = 50;
  replica.OnMessage(refusal, kLater + 2 * kElectionTimeout);
  const ReplicaActions actions = replica.TakeActions();
  const DeferredPeerMessage* append =
      FindMessage(actions, PeerMessageKind::kAppend);
  REQUIRE(append != nullptr);
  REQUIRE_FALSE(append->message.entries.empty());
  CHECK(append->message.entries.front().index == 51);
}

TEST_CASE("A replica votes once per term, even across a restart") {
  ReplicaStart start = GroupStart();
  start.hard_state = {2, "b#1"};
  Replica replica(Options("a#1"), start, kStart);
  replica.OnMessage(VoteRequest("c#1", 2), kLater);
  const ReplicaActions actions = replica.TakeActions();
  CHECK_FALSE(
      FindMessage(actions, PeerMessageKind::kVoteReply)->message.granted);
}

TEST_CASE("A restarted replica doesn't vote before an election timeout") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  replica.OnMessage(VoteRequest("b#1", 2), kStart + kElectionTimeout / 2);
  CHECK(FindMessage(replica.TakeActions(), PeerMessageKind::kVoteReply) ==
        nullptr);
  CHECK(replica.term() == 1);
}

TEST_CASE("A replica in contact with the leader ignores other candidates") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  PeerMessage append = Message(PeerMessageKind::kAppend, "c#1", "a#1", 1);
  append.index = 1;
  append.log_term = 1;
  replica.OnMessage(append, kLater);
  replica.TakeActions();
  replica.OnMessage(VoteRequest("b#1", 9), kLater + kElectionTimeout / 2);
  CHECK(FindMessage(replica.TakeActions(), PeerMessageKind::kVoteReply) ==
        nullptr);
  // A leadership transfer is the exception.
  PeerMessage transfer_vote = VoteRequest("b#1", 9);
  transfer_vote.transfer = true;
  replica.OnMessage(transfer_vote, kLater + kElectionTimeout / 2);
  CHECK(FindMessage(replica.TakeActions(), PeerMessageKind::kVoteReply)
            ->message.granted);
}

TEST_CASE("An append is acknowledged only after it is synced") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  PeerMessage append = Message(PeerMessageKind::kAppend, "b#1", "a#1", 2);
  append.index = 1;
  append.log_term = 1;
  append.entries = {{2, 2, LogEntryKind::kCommand, "x"}};
  replica.OnMessage(append, kLater);
  const ReplicaActions actions = replica.TakeActions();
  REQUIRE(actions.writes.size() == 1);
  CHECK(FindMessage(actions, PeerMessageKind::kAppendReply)->after_sync ==
        actions.writes[0].id);
}

// Guards against a leader that takes the time of a sync for silence.
TEST_CASE("A heartbeat is answered at once with what is synced") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  PeerMessage append = Message(PeerMessageKind::kAppend, "b#1", "a#1", 2);
  append.index = 1;
  append.log_term = 1;
  append.entries = {{2, 2, LogEntryKind::kCommand, "x"}};
  replica.OnMessage(append, kLater);
  const ReplicaActions appended = replica.TakeActions();
  PeerMessage heartbeat = Message(PeerMessageKind::kAppend, "b#1", "a#1", 2);
  heartbeat.index = 2;
  heartbeat.log_term = 2;
  heartbeat.round = 7;
  const auto answer = [&] {
    replica.OnMessage(heartbeat, kLater);
    return *FindMessage(replica.TakeActions(), PeerMessageKind::kAppendReply);
  };
  const DeferredPeerMessage before = answer();
  CHECK(before.after_sync == 0);
  CHECK(before.message.granted);
  CHECK(before.message.round == 7);
  CHECK(before.message.index == 1);
  SyncAll(replica, appended, kLater);
  CHECK(answer().message.index == 2);
}

TEST_CASE("A follower that lacks entries tells so before its term is synced") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  PeerMessage append = Message(PeerMessageKind::kAppend, "b#1", "a#1", 2);
  append.index = 5;
  append.log_term = 2;
  replica.OnMessage(append, kLater);
  const ReplicaActions actions = replica.TakeActions();
  const auto* reply = FindMessage(actions, PeerMessageKind::kAppendReply);
  CHECK_FALSE(reply->message.granted);
  CHECK(reply->message.index == 1);
  CHECK(reply->after_sync == 0);
  CHECK(actions.writes.size() == 1);
}

// Guards against learners that are removed as soon as they are added, because
// the leader has led for longer than it waits for silent ones.
TEST_CASE("A learner has the time to answer after it was added") {
  ReplicaOptions options = Options("a#1");
  options.replace_after = 500ms;
  Replica replica(options, GroupStart(), kStart);
  SyncAll(replica, Elect(replica, kLater), kLater);
  replica.OnMessage(Ack("b#1", replica.term(), replica.last_index()), kLater);
  const auto settle = [&](Time now) {
    SyncAll(replica, replica.TakeActions(), now);
    replica.OnMessage(Ack("b#1", replica.term(), replica.last_index()), now);
    REQUIRE(replica.ConfigurationSettled());
  };
  // The second time, it has been a learner before.
  for (const Time added : {kLater + 2s, kLater + 4s}) {
    replica.AdmitReplica("d#1", added);
    settle(added);
    replica.DropSilentLearner(added + 499ms);
    CHECK(replica.configuration().IsLearner("d#1"));
    replica.DropSilentLearner(added + 501ms);
    CHECK_FALSE(replica.configuration().IsLearner("d#1"));
    settle(added + 501ms);
  }
}

// Guards against a group that may lose fewer disks while a voter is replaced
// that is only silent, and whose disk others may still need.
TEST_CASE("A silent voter is removed after its successor was added") {
  ReplicaOptions options = Options("a#1");
  options.replace_after = 500ms;
  options.target_voters = 3;
  Replica replica(options, GroupStart(), kStart);
  SyncAll(replica, Elect(replica, kLater), kLater);
  // All of `voices` answer the leader's next heartbeats.
  const auto answer = [&](const std::vector<std::string>& voices, Time now) {
    for (int round = 0; round < 2; ++round) {
      now += 20ms;
      replica.OnTick(now);
      const ReplicaActions actions = replica.TakeActions();
      SyncAll(replica, actions, now);
      for (const std::string& voice : voices) {
        replica.OnMessage(Ack(voice, replica.term(), replica.last_index(),
                              LastRound(actions)),
                          now);
      }
    }
    REQUIRE(replica.ConfigurationSettled());
    return now;
  };
  const auto voters = [&] { return replica.configuration().voters; };
  using Ids = std::vector<std::string>;
  Time now = answer({"b#1", "c#1"}, kLater);
  replica.AdmitReplica("d#1", now);
  now = answer({"b#1", "c#1", "d#1"}, now);
  replica.AdmitReplica("d#1", now);
  replica.DropSurplusVoter(now);
  CHECK(voters() == Ids{"a#1", "b#1", "c#1"});
  const Time silent_since = now;
  while (now <= silent_since + 540ms)
    now = answer({"b#1", "d#1"}, now);
  replica.AdmitReplica("d#1", now);
  CHECK(voters() == Ids{"a#1", "b#1", "c#1", "d#1"});
  replica.DropSurplusVoter(now);
  CHECK(voters().size() == 4);
  SECTION("it stays silent") {
    now = answer({"b#1", "d#1"}, now);
    replica.DropSurplusVoter(now);
    CHECK(voters() == Ids{"a#1", "b#1", "d#1"});
  }
  SECTION("it answers again") {
    now = answer({"b#1", "d#1", "c#1"}, now);
    now = answer({"b#1", "d#1", "c#1"}, now);
    replica.DropSurplusVoter(now);
    CHECK(voters().size() == 3);
  }
  SECTION("another falls silent as well") {
    const Time both_since = now;
    now = answer({"b#1", "d#1", "c#1"}, now);
    while (now <= both_since + 2 * kElectionTimeout)
      now = answer({"b#1", "d#1"}, now);
    replica.DropSurplusVoter(now);
    CHECK(voters().size() == 4);
    while (now <= both_since + 600ms)
      now = answer({"b#1", "d#1"}, now);
    replica.DropSurplusVoter(now);
    CHECK(voters() == Ids{"a#1", "b#1", "d#1"});
  }
  now = answer({"b#1", "d#1"}, now);
  CHECK(voters().size() == 3);
  replica.DropSurplusVoter(now);
  CHECK(voters().size() == 3);
}

// Guards against a learner that is never admitted because it syncs later than
// the others, and against one whose disk hangs and that is admitted.
TEST_CASE("A learner has caught up with what was committed a short time ago") {
  ReplicaOptions options = Options("a#1");
  options.replace_after = 500ms;
  Replica replica(options, GroupStart(), kStart);
  SyncAll(replica, Elect(replica, kLater), kLater);
  Time now = kLater;
  // "b#1" and "c#1" have all entries, the learner those up to `index`.
  const auto answer = [&](std::uint64_t index) {
    now += 20ms;
    replica.OnTick(now);
    const ReplicaActions actions = replica.TakeActions();
    SyncAll(replica, actions, now);
    for (const std::string other : {"b#1", "c#1"}) {
      replica.OnMessage(
          Ack(other, replica.term(), replica.last_index(), LastRound(actions)),
          now);
    }
    if (index != 0) {
      replica.OnMessage(Ack("d#1", replica.term(), index, LastRound(actions)),
                        now);
    }
  };
  const auto run_behind = [&](Duration duration, std::uint64_t index) {
    for (const Time end = now + duration; now < end;) {
      REQUIRE(replica.Propose("x", now));
      answer(index);
    }
  };
  answer(0);
  answer(0);
  replica.AdmitReplica("d#1", now);
  answer(0);
  REQUIRE(replica.ConfigurationSettled());
  const std::uint64_t added = replica.last_index();
  // It has the first snapshot only.
  run_behind(200ms, 1);
  replica.AdmitReplica("d#1", now);
  CHECK(replica.configuration().IsLearner("d#1"));
  SECTION("it has an older state soon") {
    run_behind(20ms, added);
    CHECK(replica.commit_index() > added);
    replica.AdmitReplica("d#1", now);
    CHECK(replica.configuration().IsVoter("d#1"));
  }
  SECTION("it has an older state, and no more for long") {
    run_behind(1'200ms, added);
    replica.AdmitReplica("d#1", now);
    CHECK(replica.configuration().IsLearner("d#1"));
    answer(replica.last_index());
    replica.AdmitReplica("d#1", now);
    CHECK(replica.configuration().IsVoter("d#1"));
  }
}

// Guards against a new leader that takes the first voter by name for the
// silent one, as none has answered it yet.
TEST_CASE("A new leader removes no voter that may answer yet") {
  ReplicaOptions options = Options("a#1");
  options.replace_after = 500ms;
  options.target_voters = 5;
  ReplicaStart start = GroupStart();
  start.snapshot.configuration.voters = {"a#1", "b#1", "c#1",
                                         "d#1", "e#1", "f#1"};
  Replica replica(options, start, kStart);
  SyncAll(replica, Elect(replica, kLater, {"c#1", "d#1", "f#1"}), kLater);
  const auto answer = [&](const std::vector<std::string>& voices, Time now) {
    replica.OnTick(now);
    const ReplicaActions actions = replica.TakeActions();
    SyncAll(replica, actions, now);
    for (const std::string& voice : voices) {
      replica.OnMessage(
          Ack(voice, replica.term(), replica.last_index(), LastRound(actions)),
          now);
    }
  };
  using Ids = std::vector<std::string>;
  Time now = kLater;
  while (now < kLater + 100ms) {
    now += 20ms;
    answer({"c#1", "d#1", "f#1"}, now);
    replica.DropSurplusVoter(now);
    CHECK(replica.configuration().voters.size() == 6);
  }
  REQUIRE(replica.ConfigurationSettled());
  while (now < kLater + 600ms) {
    now += 20ms;
    answer({"b#1", "c#1", "d#1", "f#1"}, now);
    replica.DropSurplusVoter(now);
  }
  CHECK(replica.configuration().voters ==
        Ids{"a#1", "b#1", "c#1", "d#1", "f#1"});
}

TEST_CASE("A snapshot that isn't synced isn't acknowledged by heartbeats") {
  Replica replica(Options("a#1"),
                  GroupStart({{2, 1, LogEntryKind::kCommand, "x"},
                              {3, 1, LogEntryKind::kCommand, "y"},
                              {4, 1, LogEntryKind::kCommand, "z"}}),
                  kStart);
  PeerMessage snapshot = Message(PeerMessageKind::kSnapshot, "b#1", "a#1", 3);
  snapshot.snapshot = {3, 2, {{"a#1", "b#1", "c#1"}, {}}, ""};
  replica.OnMessage(snapshot, kLater);
  const ReplicaActions replaced = replica.TakeActions();
  CHECK(FindMessage(replaced, PeerMessageKind::kAppendReply)->after_sync ==
        replaced.writes.back().id);
  PeerMessage heartbeat = Message(PeerMessageKind::kAppend, "b#1", "a#1", 3);
  heartbeat.index = 3;
  heartbeat.log_term = 2;
  const auto answer = [&] {
    replica.OnMessage(heartbeat, kLater);
    return *FindMessage(replica.TakeActions(), PeerMessageKind::kAppendReply);
  };
  const DeferredPeerMessage before = answer();
  CHECK(before.after_sync == 0);
  CHECK(before.message.index == 1);
  SyncAll(replica, replaced, kLater);
  CHECK(answer().message.index == 3);
}

// Guards against a write that was queued before a leader replaced its entries
// and that vouches for them, when a later leader sends them again, before the
// write that brings them back is synced.
TEST_CASE("An earlier write doesn't vouch for entries that were replaced") {
  ReplicaStart start = GroupStart();
  start.snapshot.configuration = {{"a#1", "b#1", "c#1", "d#1", "e#1"}, {}};
  Replica replica(Options("a#1"), std::move(start), kStart);
  const auto append = [&](const std::string& leader, std::uint64_t term,
                          const LogEntry& entry) {
    PeerMessage message =
        Message(PeerMessageKind::kAppend, leader, "a#1", term);
    message.index = 1;
    message.log_term = 1;
    message.entries = {entry};
    replica.OnMessage(message, kLater);
    return replica.TakeActions();
  };
  const LogEntry entry{2, 2, LogEntryKind::kCommand, "x"};
  const ReplicaActions first = append("b#1", 2, entry);
  append("c#1", 3, {2, 3, LogEntryKind::kNoop, ""});
  const ReplicaActions again = append("b#1", 4, entry);
  const auto acknowledged = [&] {
    PeerMessage heartbeat = Message(PeerMessageKind::kAppend, "b#1", "a#1", 4);
    heartbeat.index = 2;
    heartbeat.log_term = 2;
    replica.OnMessage(heartbeat, kLater);
    return FindMessage(replica.TakeActions(), PeerMessageKind::kAppendReply)
        ->message.index;
  };
  SyncAll(replica, first, kLater);
  CHECK(acknowledged() == 1);
  SyncAll(replica, again, kLater);
  CHECK(acknowledged() == 2);
}

// Guards against a candidate that gives up before anybody has its request.
TEST_CASE("A replica begins no election while its vote is being synced") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  SECTION("after a vote for another") {
    replica.OnMessage(VoteRequest("b#1", 2), kLater);
  }
  SECTION("after a vote for itself") {
    replica.OnTick(kLater);
    PeerMessage pre_vote =
        Message(PeerMessageKind::kPreVoteReply, "b#1", "a#1", 2);
    pre_vote.granted = true;
    replica.OnMessage(pre_vote, kLater);
    REQUIRE(replica.role() == ReplicaRole::kCandidate);
  }
  const ReplicaActions voted = replica.TakeActions();
  const ReplicaRole role = replica.role();
  const Time synced = kLater + 5 * kElectionTimeout;
  for (Time now = kLater; now < synced; now += 20ms) {
    replica.OnTick(now);
    CHECK(replica.role() == role);
    CHECK(replica.TakeActions().messages.empty());
    CHECK(replica.NextTickTime() > now);
  }
  SyncAll(replica, voted, synced);
  replica.OnTick(synced + 6 * kElectionTimeout - 1ms);
  CHECK(replica.role() == role);
  replica.OnTick(synced + 7 * kElectionTimeout);
  CHECK(replica.role() == ReplicaRole::kPreCandidate);
}

TEST_CASE("A leader counts its own entries only once they are synced") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  const ReplicaActions elected = Elect(replica, kLater);
  const std::uint64_t noop = replica.last_index();
  replica.OnMessage(Ack("b#1", replica.term(), noop), kLater);
  CHECK(replica.commit_index() < noop);
  SyncAll(replica, elected, kLater);
  CHECK(replica.commit_index() == noop);
}

TEST_CASE("Entries of earlier terms are committed only with one of this term") {
  // Index 2 of term 1 is stored on a majority, but it must be committed only
  // with the no-op entry of the new term (figure 8 of the Raft paper).
  Replica replica(Options("a#1"),
                  GroupStart({{2, 1, LogEntryKind::kCommand, "x"}}), kStart);
  const ReplicaActions elected = Elect(replica, kLater);
  SyncAll(replica, elected, kLater);
  replica.OnMessage(Ack("b#1", replica.term(), 2), kLater);
  CHECK(replica.commit_index() == 1);
  replica.OnMessage(Ack("b#1", replica.term(), 3), kLater);
  CHECK(replica.commit_index() == 3);
}

TEST_CASE(
    "A replica with a lost disk is replaced in steps, after catching up") {
  using Ids = std::vector<std::string>;
  Replica replica(Options("a#1"), GroupStart(), kStart);
  const ReplicaActions elected = Elect(replica, kLater);
  replica.AdmitReplica("d#1", kLater);
  CHECK(replica.configuration().learners == Ids{"d#1"});
  replica.OnMessage(Ack("d#1", replica.term(), replica.last_index()), kLater);
  // No change of the voters before the leader has committed an entry of its
  // term.
  CHECK_FALSE(replica.ConfigurationSettled());
  replica.AdmitReplica("d#1", kLater);
  CHECK(replica.configuration().voters == Ids{"a#1", "b#1", "c#1"});
  SyncAll(replica, elected, kLater);
  SyncAll(replica, replica.TakeActions(), kLater);
  replica.OnMessage(Ack("b#1", replica.term(), replica.last_index()), kLater);
  CHECK(replica.ConfigurationSettled());

  replica.AdmitReplica("c#2", kLater);
  CHECK(replica.configuration().learners == Ids{"d#1", "c#2"});

  // The replica stays a learner until it has caught up.
  replica.AdmitReplica("c#2", kLater);
  CHECK(replica.configuration().IsVoter("c#1"));
  CHECK(replica.configuration().IsLearner("c#2"));
  replica.OnMessage(Ack("c#2", replica.term(), replica.last_index()), kLater);
  replica.AdmitReplica("c#2", kLater);
  CHECK(replica.configuration().voters == Ids{"a#1", "b#1"});
  // One change of the voters at a time.
  CHECK_FALSE(replica.ConfigurationSettled());
  for (const std::string learner : {"c#2", "d#1"}) {
    replica.AdmitReplica(learner, kLater);
    CHECK(replica.configuration().voters == Ids{"a#1", "b#1"});
  }
  SyncAll(replica, replica.TakeActions(), kLater);
  replica.OnMessage(Ack("b#1", replica.term(), replica.last_index()), kLater);
  replica.OnMessage(Ack("c#2", replica.term(), replica.last_index()), kLater);
  replica.AdmitReplica("c#2", kLater);
  CHECK(replica.configuration().voters == Ids{"a#1", "b#1", "c#2"});
}

TEST_CASE("The lease ends when a leadership transfer starts") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  const ReplicaActions elected = Elect(replica, kLater);
  SyncAll(replica, elected, kLater);
  replica.OnMessage(
      Ack("b#1", replica.term(), replica.last_index(), LastRound(elected)),
      kLater);
  CHECK(replica.HoldsLease(kLater + kElectionTimeout / 2));
  CHECK_FALSE(replica.HoldsLease(kLater + kElectionTimeout));
  replica.TransferLeadership(kLater);
  CHECK(FindMessage(replica.TakeActions(), PeerMessageKind::kTimeoutNow) !=
        nullptr);
  CHECK_FALSE(replica.HoldsLease(kLater));
  CHECK_FALSE(replica.Propose("x", kLater));
}

TEST_CASE("A leader without a quorum steps down") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  Elect(replica, kLater);
  replica.OnTick(kLater + kElectionTimeout / 2);
  CHECK(replica.role() == ReplicaRole::kLeader);
  replica.OnTick(kLater + 2 * kElectionTimeout);
  CHECK(replica.role() == ReplicaRole::kFollower);
}

// Guards against elections because a leader was busy with a large change and
// hasn't handled the replies that have arrived meanwhile.
TEST_CASE("A leader that was busy waits for replies before it steps down") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  const ReplicaActions elected = Elect(replica, kLater);
  replica.OnTick(kLater + kElectionTimeout / 2);
  const Time late = kLater + kElectionTimeout + 50ms;
  replica.OnTick(late);
  REQUIRE(replica.role() == ReplicaRole::kLeader);
  SECTION("replies have arrived") {
    replica.OnMessage(Ack("b#1", replica.term(), replica.last_index(),
                          LastRound(replica.TakeActions())),
                      late);
    replica.OnTick(late + kElectionTimeout / 2);
    CHECK(replica.role() == ReplicaRole::kLeader);
  }
  SECTION("there are none") {
    replica.OnTick(late + 20ms);
    CHECK(replica.role() == ReplicaRole::kFollower);
  }
}

TEST_CASE("A partitioned replica doesn't increase its term") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  for (int i = 1; i < 100; ++i)
    replica.OnTick(kStart + i * kElectionTimeout);
  CHECK(replica.term() == 1);
}

TEST_CASE(
    "After a failed write a replica neither votes nor acknowledges entries") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  replica.OnStorageFailure();
  replica.OnMessage(VoteRequest("b#1", 2), kLater);
  PeerMessage append = Message(PeerMessageKind::kAppend, "b#1", "a#1", 2);
  append.index = 1;
  append.log_term = 1;
  replica.OnMessage(append, kLater);
  replica.OnTick(kLater);
  const ReplicaActions actions = replica.TakeActions();
  CHECK(actions.messages.empty());
  CHECK(actions.writes.empty());
}

// Guards against a second copy of each large entry that is proposed after a
// quiet time, which takes the group's processor time and links.
TEST_CASE("An entry isn't sent again before its reply can be missed") {
  Replica replica(Options("a#1"), GroupStart(), kStart);
  ReplicaActions actions = Elect(replica, kLater);
  Time now = kLater;
  const auto answer_heartbeats = [&] {
    for (const char* follower : {"b#1", "c#1"}) {
      replica.OnMessage(Ack(follower, replica.term(), 2, LastRound(actions)),
                        now);
    }
    SyncAll(replica, actions, now);
    actions = replica.TakeActions();
  };
  const auto count_entries = [&] {
    std::size_t count = 0;
    for (const DeferredPeerMessage& message : actions.messages)
      count += message.message.entries.size();
    return count;
  };
  for (int i = 0; i < 50; ++i) {
    now += 20ms;
    replica.OnTick(now);
    answer_heartbeats();
  }
  REQUIRE(replica.Propose("payload", now));
  actions = replica.TakeActions();
  CHECK(count_entries() == 2);
  // Followers answer within half an election timeout.
  for (int i = 0; i < 4; ++i) {
    now += 20ms;
    replica.OnTick(now);
    actions = replica.TakeActions();
    CHECK(count_entries() == 0);
  }
  now += kElectionTimeout / 2;
  replica.OnTick(now);
  actions = replica.TakeActions();
  CHECK(count_entries() == 2);
}

}  // namespace jacinth::consensus
