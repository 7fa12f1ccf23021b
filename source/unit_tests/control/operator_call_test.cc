#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using test::ControlCluster;

constexpr Duration kStep = 5ms;
constexpr Duration kOneWay = 20ms;
/// Time after which an operator moves on from a replica that doesn't answer,
/// and the number of redirects that it follows, as the platform's operators do.
constexpr Duration kPatience = 1s;
constexpr int kMaxRedirects = 2;
/// First pause after a failed attempt. Each further one is twice as long.
constexpr Duration kFirstPause = 100ms;
constexpr std::size_t kReplicas = 5;
constexpr std::uint64_t kSeeds = 20;

/// An operator that sends one change to any replica until it is acknowledged.
class Operator {
 public:
  /// Begins its attempts at any replica but `lost`: nobody can answer a call
  /// that is sent to a replica that is gone.
  Operator(ControlCluster& cluster,
           std::uint64_t seed,
           std::optional<std::size_t> lost = std::nullopt)
      : cluster_(cluster), random_(seed), lost_(lost) {
    cluster_.on_admin_reply = [this](const AdminReply& reply) {
      if (attempt_ && reply.ticket == attempt_->ticket)
        reply_ = reply;
    };
  }

  void Send() {
    std::size_t machine = random_() % cluster_.size();
    while (machine == lost_)
      machine = random_() % cluster_.size();
    StartAttempt(machine);
  }

  void Step() {
    const Time now = cluster_.now();
    if (acknowledged_)
      return;
    if (!attempt_) {
      if (next_attempt_ && now >= *next_attempt_)
        Send();
      return;
    }
    if (!attempt_->delivered && now >= attempt_->sent + kOneWay) {
      attempt_->delivered = true;
      cluster_.InjectEvent(attempt_->machine, MakeRequest(attempt_->ticket));
    }
    if (reply_)
      OnReply(*std::exchange(reply_, std::nullopt));
    else if (now >= attempt_->sent + kPatience)
      Fail();
  }

  /// Time at which the change was acknowledged.
  const std::optional<Time>& acknowledged() const { return acknowledged_; }
  /// Number of attempts that failed.
  int failures() const { return failures_; }

 private:
  struct Attempt {
    std::size_t machine;
    AdminTicket ticket;
    Time sent;
    int redirects;
    bool delivered = false;
  };

  static ChangeRequested MakeRequest(AdminTicket ticket) {
    ChangeRequested request;
    request.ticket = ticket;
    request.operator_settings.branches = {"*"};
    request.change.idempotency_key = "k";
    request.change.any_revision = true;
    request.change.changes = {{"service/a", {{"ttl_ms", "500"}}}};
    return request;
  }

  void StartAttempt(std::size_t machine, int redirects = 0) {
    attempt_ = Attempt{machine, ++last_ticket_, cluster_.now(), redirects};
    reply_.reset();
  }

  void OnReply(const AdminReply& reply) {
    const auto* refused = std::get_if<CallRefused>(&reply.body);
    if (refused == nullptr) {
      acknowledged_ = cluster_.now() + kOneWay;
      return;
    }
    const std::string& leader = refused->leader;
    const bool can_redirect = refused->error.kind == ErrorKind::kNotLeader &&
                              !leader.empty() &&
                              leader != cluster_.instance(attempt_->machine) &&
                              attempt_->redirects < kMaxRedirects;
    if (!can_redirect) {
      Fail();
      return;
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (cluster_.instance(i) == leader) {
        StartAttempt(i, attempt_->redirects + 1);
        return;
      }
    }
  }

  void Fail() {
    attempt_.reset();
    next_attempt_ = cluster_.now() + kFirstPause * (1 << failures_);
    ++failures_;
  }

  ControlCluster& cluster_;
  std::mt19937_64 random_;
  std::optional<std::size_t> lost_;
  std::optional<Attempt> attempt_;
  std::optional<AdminReply> reply_;
  std::optional<Time> next_attempt_;
  std::optional<Time> acknowledged_;
  AdminTicket last_ticket_ = 0;
  int failures_ = 0;
};

/// Runs until the order is acknowledged, for 10 s at most. Returns the time for
/// which it went on after a leader held its lease.
Duration RunUntilAcknowledged(ControlCluster& cluster, Operator& caller) {
  const Time end = cluster.now() + 10s;
  std::optional<Time> led;
  while (cluster.now() < end && !caller.acknowledged()) {
    cluster.Run(kStep);
    caller.Step();
    if (!led && cluster.Leader())
      led = cluster.now();
  }
  REQUIRE(caller.acknowledged());
  REQUIRE(led);
  return *caller.acknowledged() - *led;
}

ControlCluster MakeCluster(std::uint64_t seed) {
  ControlCluster cluster(seed, {kReplicas, kReplicas, 0, 500ms, 120ms});
  cluster.loss_percent = 0;
  cluster.duplicate_percent = 0;
  return cluster;
}

}  // namespace

// Guards against replicas that refuse operators' calls while a leader is being
// elected, or redirect them to one that is gone, so that the pauses between the
// attempts grow and outlast the time for which an order is sent again.
TEST_CASE("A change that arrives between two leaders is acknowledged in time") {
  enum class Loss { kCrash, kFreeze };
  const Loss loss = GENERATE(Loss::kCrash, Loss::kFreeze);
  int failures = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(loss), seed);
    ControlCluster cluster = MakeCluster(seed);
    cluster.Run(5s);
    const std::size_t leader = cluster.Leader().value();
    if (loss == Loss::kCrash)
      cluster.Crash(leader);
    else
      cluster.Freeze(leader, 6s);
    cluster.Run(static_cast<int>(seed) * 40ms);
    if (cluster.Leader())
      continue;
    Operator caller(cluster, seed, leader);
    caller.Send();
    CHECK(RunUntilAcknowledged(cluster, caller) <= kPatience);
    failures += caller.failures();
  }
  // At most the attempt that a lost leader left without an answer, for each.
  CHECK(failures <= static_cast<int>(kSeeds));
}

// Pattern: the first configuration after a cold start.
TEST_CASE("A change that arrives before the first leader is acknowledged") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    ControlCluster cluster = MakeCluster(seed);
    cluster.Run(100ms);
    REQUIRE(!cluster.Leader());
    Operator caller(cluster, seed);
    caller.Send();
    CHECK(RunUntilAcknowledged(cluster, caller) <= kPatience);
  }
}

// Guards against a former leader that tells the operator of an unknown outcome
// though it knows the next leader, which can tell.
TEST_CASE("A change that its leader couldn't commit goes to the next leader") {
  int redirected = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    ControlCluster cluster = MakeCluster(seed);
    std::vector<AdminReply> replies;
    cluster.on_admin_reply = [&](const AdminReply& reply) {
      replies.push_back(reply);
    };
    cluster.Run(5s);
    const std::size_t leader = cluster.Leader().value();
    // The others don't hear the leader, but it hears the next one.
    for (std::size_t i = 0; i < cluster.size(); ++i)
      cluster.BlockLink(leader, i);
    cluster.Run(400ms);
    ChangeRequested request;
    request.ticket = 1;
    request.operator_settings.branches = {"*"};
    request.change.idempotency_key = "k";
    request.change.any_revision = true;
    request.change.changes = {{"service/a", {{"ttl_ms", "500"}}}};
    cluster.InjectEvent(leader, request);
    const Time gives_up = cluster.now() + kPatience;
    while (cluster.now() < gives_up && replies.empty())
      cluster.Run(kStep);
    REQUIRE(replies.size() == 1);
    const auto& refused = std::get<CallRefused>(replies[0].body);
    // The election may outlast the time for which the caller can be kept.
    const bool waited = cluster.now() >= gives_up - kPatience / 3;
    cluster.Run(500ms);
    if (waited || !cluster.Leader())
      continue;
    ++redirected;
    CHECK(refused.error.kind == ErrorKind::kNotLeader);
    CHECK(refused.leader == cluster.instance(cluster.Leader().value()));
  }
  CHECK(redirected >= 10);
}

// Guards against reads that fail each time that the leader has been busy.
TEST_CASE("A read waits for the leader's next lease") {
  int lapsed = 0;
  for (std::uint64_t seed = 1; seed <= 2 * kSeeds; ++seed) {
    CAPTURE(seed);
    ControlCluster cluster = MakeCluster(seed);
    std::vector<AdminReply> replies;
    cluster.on_admin_reply = [&](const AdminReply& reply) {
      replies.push_back(reply);
    };
    cluster.Run(5s);
    const std::size_t leader = cluster.Leader().value();
    const auto term = cluster.node(leader)->replica()->term();
    cluster.Freeze(leader, 480ms);
    cluster.Run(480ms);
    if (cluster.HoldsLease(leader))
      continue;
    cluster.InjectEvent(leader, ViewRequested{1, /*allow_stale=*/false});
    cluster.Run(kPatience);
    if (cluster.node(leader)->replica()->term() != term)
      continue;
    ++lapsed;
    REQUIRE(replies.size() == 1);
    REQUIRE(std::holds_alternative<ControlView>(replies[0].body));
    CHECK(std::get<ControlView>(replies[0].body).current);
  }
  CHECK(lapsed >= 5);
}

}  // namespace jacinth::control
