#include "unit_tests/support/control_cluster.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::control {
namespace {

using protocol::ClaimVerdict;
using test::ControlCluster;

/// One step of a generated history: a fault, a request of a caller or operator,
/// or the passing of time.
struct HistoryStep {
  int kind = 0;
  std::size_t machine = 0;
  std::size_t other = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const HistoryStep& step) {
  return out << "{" << step.kind << "," << step.machine << "," << step.other
             << "," << step.amount << "}";
}

rc::Gen<HistoryStep> AnyStep() {
  return rc::gen::build<HistoryStep>(
      rc::gen::set(&HistoryStep::kind, rc::gen::inRange(0, 20)),
      rc::gen::set(&HistoryStep::machine, rc::gen::inRange<std::size_t>(0, 3)),
      rc::gen::set(&HistoryStep::other, rc::gen::inRange<std::size_t>(0, 3)),
      rc::gen::set(&HistoryStep::amount, rc::gen::inRange(1, 100)));
}

/// Sends requests of callers and operators to a cluster and checks the replies
/// against a simple model of the control state.
class Oracle {
 public:
  explicit Oracle(std::uint64_t seed) : cluster_(seed) {
    cluster_.on_entry_message = [this](const std::string&,
                                       const protocol::Envelope& envelope) {
      OnEntryMessage(envelope);
    };
    cluster_.on_admin_reply = [this](const AdminReply& reply) {
      OnAdminReply(reply);
    };
    cluster_.check = [this](ControlCluster&) { CheckInvariants(); };
  }

  void Execute(const HistoryStep& step) {
    switch (step.kind) {
      case 0:
        cluster_.Crash(step.machine);
        break;
      case 1:
      case 2:
        cluster_.Restart(step.machine);
        break;
      case 3:
        MaybeWipeDisk(step.machine);
        break;
      case 4:
        cluster_.Freeze(step.machine, 10 * step.amount * 1ms);
        break;
      case 5:
        cluster_.BlockLink(step.machine, step.other);
        break;
      case 6:
        for (std::size_t i = 0; i < cluster_.size(); ++i) {
          cluster_.BlockLink(step.machine, i);
          cluster_.BlockLink(i, step.machine);
        }
        break;
      case 7:
      case 8:
        cluster_.UnblockLinks();
        break;
      case 9:
        cluster_.InjectEvent(step.machine, StopRequested{});
        break;
      case 10:
      case 11:
      case 12:
        Change(step);
        break;
      case 13:
      case 14:
      case 15:
        Claim(step);
        break;
      case 16:
        Finish(step);
        break;
      default:
        cluster_.Run(4 * step.amount * 1ms);
        break;
    }
    cluster_.Run(step.amount * 1ms);
  }

  /// Ends all faults and checks that the group then accepts changes and all
  /// replicas catch up.
  void CheckRecovery() {
    cluster_.UnblockLinks();
    cluster_.loss_percent = 0;
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      cluster_.Restart(i);
    }
    cluster_.Run(6s);
    if (!cluster_.Leader())
      RC_FAIL(cluster_.Describe());
    const std::size_t accepted = accepted_changes_.size();
    const std::size_t leader = *cluster_.Leader();
    ++last_key_;
    SendChange(leader, cluster_.node(leader)->state().revision());
    cluster_.Run(1s);
    RC_ASSERT(accepted_changes_.size() == accepted + 1);
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.IsCaughtUp(i))
        RC_FAIL(cluster_.Describe());
    }
  }

  ControlCluster& cluster() { return cluster_; }

 private:
  // Loses a disk only if all other replicas are caught up, so that at most one
  // disk at a time is without its contents: no consensus protocol survives the
  // loss of a quorum of disks.
  void MaybeWipeDisk(std::size_t machine) {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (i != machine && !cluster_.IsCaughtUp(i))
        return;
    }
    if (cluster_.IsCaughtUp(machine))
      cluster_.WipeDisk(machine);
  }

  void Change(const HistoryStep& step) {
    // Mostly the last acknowledged revision, so that concurrent changes
    // conflict; sometimes one that does not exist yet.
    const std::uint64_t revision =
        acked_revision_ + (step.amount % 5 == 0 ? 1 : 0);
    ChangeAt(step.machine, revision);
    if (step.amount % 3 == 0)
      ChangeAt(step.other, revision);
  }

  // Every fourth change resends the previous one.
  void ChangeAt(std::size_t machine, std::uint64_t revision) {
    if (last_key_ == 0 || last_ticket_ % 4 != 3)
      ++last_key_;
    SendChange(machine, revision);
  }

  void SendChange(std::size_t machine, std::uint64_t revision) {
    ChangeRequested request;
    request.ticket = ++last_ticket_;
    request.operator_settings.name = "op";
    request.operator_settings.branches = {"*"};
    request.change.operator_name = "op";
    request.change.idempotency_key = std::to_string(last_key_);
    const auto first = sent_revision_.emplace(last_key_, revision).first;
    request.change.if_revision = first->second;
    request.change.fingerprint = last_key_;
    request.change.changes.push_back(
        {"", {{"ttl_ms", std::to_string(100 + last_key_)}}});
    ticket_key_[request.ticket] = last_key_;
    cluster_.InjectEvent(machine, request);
  }

  void Claim(const HistoryStep& step) {
    protocol::ClaimRequest request;
    const std::uint64_t key = static_cast<std::uint64_t>(step.amount) % 6;
    // A new attempt, or a repeated claim of the key's last attempt.
    if (step.other != 0 || last_attempt_.count(key) == 0)
      last_attempt_[key] = "a" + std::to_string(++last_attempt_number_);
    request.attempt = last_attempt_[key];
    request.key = {"svc/", std::to_string(key)};
    request.fingerprint = key;
    request.budget_ms = 200;
    attempt_key_[request.attempt] = key;
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      cluster_.SendFromEntry("e1", i, request);
  }

  void Finish(const HistoryStep& step) {
    const std::uint64_t key = static_cast<std::uint64_t>(step.amount) % 6;
    const auto attempt = last_attempt_.find(key);
    if (attempt == last_attempt_.end())
      return;
    protocol::FinishRequest request;
    request.attempt = attempt->second;
    request.key = {"svc/", std::to_string(key)};
    const bool granted = key_holder_[key] == attempt->second;
    request.outcome =
        granted && step.other != 0 ? Outcome::kRan : Outcome::kNotRun;
    request.answer = {200, "t", attempt->second, false};
    // An entry reports only one outcome for an attempt.
    const auto finished =
        attempt_outcomes_.emplace(attempt->second, request.outcome).first;
    if (finished->second != request.outcome)
      return;
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      cluster_.SendFromEntry("e1", i, request);
  }

  void OnEntryMessage(const protocol::Envelope& envelope) {
    if (const auto* reply = std::get_if<protocol::ClaimReply>(&envelope)) {
      if (reply->decided)
        OnClaimReply(*reply);
      return;
    }
    if (const auto* reply = std::get_if<protocol::FinishReply>(&envelope)) {
      const auto finished = attempt_outcomes_.find(reply->attempt);
      RC_ASSERT(finished != attempt_outcomes_.end());
      const std::uint64_t key = attempt_key_.at(reply->attempt);
      if (finished->second == Outcome::kRan &&
          key_holder_[key] == reply->attempt)
        completed_attempts_[key] = reply->attempt;
    }
  }

  void OnClaimReply(const protocol::ClaimReply& reply) {
    const std::uint64_t key = attempt_key_.at(reply.attempt);
    if (reply.verdict == ClaimVerdict::kRan) {
      RC_ASSERT(reply.answer.body == key_holder_[key]);
      return;
    }
    if (reply.verdict != ClaimVerdict::kGranted)
      return;
    const auto finished = attempt_outcomes_.find(reply.attempt);
    const bool late = finished != attempt_outcomes_.end();
    if (late && finished->second == Outcome::kNotRun)
      return;  // The attempt has released the key and ignores the grant.
    std::string& key_holder = key_holder_[key];
    if (!key_holder.empty() && key_holder != reply.attempt) {
      // Another attempt may get the key only after the first one released it.
      const auto before = attempt_outcomes_.find(key_holder);
      RC_ASSERT(before != attempt_outcomes_.end());
      RC_ASSERT(before->second == Outcome::kNotRun);
    }
    const auto completed = completed_attempts_.find(key);
    const bool ran_elsewhere = completed != completed_attempts_.end() &&
                               completed->second != reply.attempt;
    RC_ASSERT_FALSE(ran_elsewhere);
    key_holder = reply.attempt;
  }

  void OnAdminReply(const AdminReply& reply) {
    const std::uint64_t key = ticket_key_.at(reply.ticket);
    const auto* accepted = std::get_if<ChangeAccepted>(&reply.body);
    if (accepted == nullptr) {
      const auto& refused = std::get<CallRefused>(reply.body);
      if (refused.error.kind == ErrorKind::kRevisionConflict)
        RC_ASSERT(accepted_changes_.count(key) == 0);
      return;
    }
    const auto [stored, added] =
        accepted_changes_.emplace(key, accepted->revision);
    RC_ASSERT(stored->second == accepted->revision);
    if (added) {
      // Each revision is made by exactly one change.
      RC_ASSERT(accepted_revisions_.insert(accepted->revision).second);
      RC_ASSERT(accepted->revision == sent_revision_.at(key) + 1);
    }
    acked_revision_ = std::max(acked_revision_, accepted->revision);
  }

  void CheckInvariants() {
    std::size_t leases = 0;
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const ControlNode* node = cluster_.node(i);
      if (node == nullptr || node->replica() == nullptr)
        continue;
      // Replicas that applied the same index have the same state.
      const std::uint64_t applied = node->replica()->applied_index();
      if (applied != seen_applied_[i]) {
        seen_applied_[i] = applied;
        const std::uint64_t hash = Hash64(node->state().Save());
        const auto stored = state_hashes_.emplace(applied, hash).first;
        if (stored->second != hash)
          RC_FAIL(cluster_.Describe());
      }
      if (!cluster_.HoldsLease(i))
        continue;
      ++leases;
      // A read under the lease sees every change that was acknowledged before.
      RC_ASSERT(node->state().revision() >= acked_revision_);
    }
    RC_ASSERT(leases <= 1);
  }

  ControlCluster cluster_;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t last_key_ = 0;
  std::map<std::uint64_t, std::uint64_t> sent_revision_;
  std::map<AdminTicket, std::uint64_t> ticket_key_;
  std::map<std::uint64_t, std::uint64_t> accepted_changes_;
  std::set<std::uint64_t> accepted_revisions_;
  std::uint64_t acked_revision_ = 0;
  int last_attempt_number_ = 0;
  std::map<std::uint64_t, std::string> last_attempt_;
  std::map<std::string, std::uint64_t> attempt_key_;
  std::map<std::uint64_t, std::string> key_holder_;
  std::map<std::uint64_t, std::string> completed_attempts_;
  std::map<std::string, Outcome> attempt_outcomes_;
  std::map<std::size_t, std::uint64_t> seen_applied_;
  std::map<std::uint64_t, std::uint64_t> state_hashes_;
};

}  // namespace

TEST_CASE("Property: a new group elects a leader and accepts changes") {
  const bool ok = rc::check("formation", [](std::uint64_t seed) {
    Oracle oracle(seed);
    oracle.CheckRecovery();
  });
  CHECK(ok);
}

TEST_CASE(
    "Property: changes, claims and leases keep their guarantees under faults") {
  const bool ok = rc::check("faults", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto steps = *rc::gen::container<std::vector<HistoryStep>>(
        150, rc::gen::resize(rc::kNominalSize, AnyStep()));
    Oracle oracle(seed);
    oracle.cluster().Run(2s);
    for (const HistoryStep& step : steps)
      oracle.Execute(step);
    oracle.CheckRecovery();
  });
  CHECK(ok);
}

// Answers that needn't wait for the disk must promise no more than it holds.
TEST_CASE("Property: guarantees hold with disks slower than an election") {
  const bool ok = rc::check("slow disks", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto sync_ms = *rc::gen::inRange(50, 350);
    const auto steps = *rc::gen::container<std::vector<HistoryStep>>(
        150, rc::gen::resize(rc::kNominalSize, AnyStep()));
    Oracle oracle(seed);
    oracle.cluster().Run(2s);
    oracle.cluster().sync_time = std::chrono::milliseconds(sync_ms);
    for (const HistoryStep& step : steps)
      oracle.Execute(step);
    oracle.CheckRecovery();
  });
  CHECK(ok);
}

}  // namespace jacinth::control
