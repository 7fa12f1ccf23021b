#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/control/rate_share_allocator.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

constexpr unsigned kSeeds = 25;
constexpr Duration kStep = 20ms;
/// Window and slack of LIMIT in the users' rules.
constexpr Duration kWindow = 4s;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;
/// Time after which the limit binds: `contact_ms` of the users' deployments.
constexpr Duration kContact = 3s;
/// Time for which a new leader waits for reports.
constexpr Duration kLeaderWait = 1500ms;

struct PendingAnswer {
  Time due;
  StartAttempt attempt;
  std::optional<double> limit;
};

struct PendingReply {
  Time due;
  protocol::HeartbeatReply reply;
};

/// An entry with its callers, and the messages that are on their way to it.
struct Caller {
  std::unique_ptr<EntryDriver> driver;
  int index = 0;
  double requests_per_step = 0;
  /// Until then, requests of the restarted entry are excused.
  Time excused_until{};
  double due_requests = 0;
  bool is_told = true;
  std::size_t seen_attempts = 0;
  std::deque<PendingAnswer> answers;
  std::deque<PendingReply> replies;
};

/// Entries with skewed demand for two endpoints, of which "a" names a limit
/// that changes, and a leader that may be replaced.
class LimitedFleet {
 public:
  explicit LimitedFleet(unsigned seed) : random_(seed) {
    allocator_.Reset(term_);
    leader_ready_ = now_ + kLeaderWait;
    const int count = 2 + Below(38);
    for (int i = 0; i < count; ++i) {
      Caller caller;
      caller.requests_per_step = Below(100) < 30 ? 0.6 : 0.05;
      caller.index = i;
      callers_.push_back(std::move(caller));
      StartEntry(callers_.back());
    }
    // An endpoint tells all entries or some of them.
    const bool tells_all = Below(2) == 0;
    for (Caller& caller : callers_)
      caller.is_told = tells_all || Below(3) == 0;
    callers_.front().is_told = true;
  }

  void Run(Duration duration) {
    const Time end = now_ + duration;
    while (now_ < end)
      Step();
  }

  void SetLimit(double limit) { limit_ = limit; }

  void ReplaceLeader() {
    ++term_;
    allocator_.Reset(term_);
    leader_ready_ = now_ + kLeaderWait;
  }

  /// Kills an entry and starts it again, with nothing of what it knew.
  void RestartEntry() {
    Caller& caller = callers_.at(Below(static_cast<int>(callers_.size())));
    caller.answers.clear();
    caller.replies.clear();
    caller.seen_attempts = 0;
    caller.excused_until = now_ + kWindow;
    StartEntry(caller);
  }

  Time now() const { return now_; }
  int Below(int limit) {
    return static_cast<int>(random_() % static_cast<unsigned>(limit));
  }

  /// Returns the requests for "a" in the last window.
  std::size_t ArrivalsInWindow() {
    while (!arrivals_.empty() && arrivals_.front() + kWindow <= now_)
      arrivals_.pop_front();
    return arrivals_.size();
  }

 private:
  void StartEntry(Caller& caller) {
    EntryOptions options = EntryDriver::DefaultOptions();
    options.self.id = "e" + std::to_string(caller.index);
    options.heartbeat = 300ms;
    options.max_requests = 1'000;
    caller.driver = std::make_unique<EntryDriver>(options);
    caller.driver->now = now_;
    caller.driver->ApplySettings(test::ServiceSettingsText());
    caller.driver->now = now_;
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      Caller& caller = callers_[i];
      EntryDriver& driver = *caller.driver;
      driver.now = now_;
      while (!caller.replies.empty() && caller.replies.front().due <= now_) {
        driver.Step(MessageReceived{"c1", caller.replies.front().reply});
        caller.replies.pop_front();
      }
      while (!caller.answers.empty() && caller.answers.front().due <= now_) {
        Answer(driver, caller.answers.front());
        caller.answers.pop_front();
      }
      caller.due_requests += caller.requests_per_step;
      for (; caller.due_requests >= 1; --caller.due_requests)
        driver.SendRequest("GET", "/x");
      driver.Step(Tick{});
      TakeAttempts(caller);
      for (const auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>())
        AnswerHeartbeat(caller, heartbeat);
    }
  }

  static void Answer(EntryDriver& driver, const PendingAnswer& answer) {
    AttemptEnded ended;
    ended.ticket = answer.attempt.ticket;
    ended.end = AttemptEnd::kAnswered;
    ended.answer = {200, "text/plain", "answer", false};
    ended.rate_limit = forwarding::RateLimitNotice{answer.limit};
    driver.Step(ended);
  }

  void TakeAttempts(Caller& caller) {
    const auto& attempts = caller.driver->attempts;
    for (; caller.seen_attempts < attempts.size(); ++caller.seen_attempts) {
      const StartAttempt& attempt = attempts[caller.seen_attempts];
      const bool limited = attempt.endpoint == "a";
      if (limited && now_ >= caller.excused_until)
        arrivals_.push_back(now_);
      PendingAnswer answer{now_ + std::chrono::milliseconds(60), attempt, {}};
      if (limited && caller.is_told)
        answer.limit = limit_;
      caller.answers.push_back(std::move(answer));
    }
  }

  void AnswerHeartbeat(Caller& caller, const protocol::Heartbeat& heartbeat) {
    for (const auto& report : heartbeat.rate_limits)
      allocator_.OnReport(heartbeat.status.id, report, now_);
    protocol::HeartbeatReply reply;
    reply.sequence = heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    if (now_ >= leader_ready_) {
      allocator_.Allocate(now_);
      reply.rate_shares = allocator_.UpdateFor(heartbeat.status.id,
                                               heartbeat.rate_shares_version);
    }
    const auto delay = std::chrono::milliseconds(20 + Below(80));
    const Time due = caller.replies.empty()
                         ? now_ + delay
                         : std::max(now_ + delay, caller.replies.back().due);
    caller.replies.push_back({due, std::move(reply)});
  }

  std::mt19937 random_;
  Time now_{100s};
  std::uint64_t term_ = 1;
  Time leader_ready_{};
  control::RateShareAllocator allocator_;
  std::vector<Caller> callers_;
  std::optional<double> limit_;
  std::deque<Time> arrivals_;
};

}  // namespace

// Guards against entries that each keep a limit for themselves and exceed it
// together (docs/incidents/limit.md).
TEST_CASE(
    "Property: all entries together keep an endpoint's rate limit while "
    "it changes, entries restart and the leader is replaced") {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LimitedFleet fleet(seed);
    fleet.Run(3s);
    for (int change = 0; change < 4; ++change) {
      const double limit = fleet.Below(160) / 10.0;
      // While a window may reach back before the change, the higher limit
      // holds.
      fleet.SetLimit(limit);
      const Time changed = fleet.now();
      const int leader_replaced_at = fleet.Below(300);
      for (int step = 0; step < 500; ++step) {
        fleet.Run(kStep);
        if (step == leader_replaced_at && fleet.Below(2) == 0)
          fleet.ReplaceLeader();
        if (fleet.Below(150) == 0)
          fleet.RestartEntry();
        const bool binds = fleet.now() >= changed + kContact + kWindow;
        if (!binds)
          continue;
        CAPTURE(limit, step);
        REQUIRE(fleet.ArrivalsInWindow() <= kOvershoot * limit * 4 + kSlack);
      }
    }
  }
}

}  // namespace jacinth::entry
