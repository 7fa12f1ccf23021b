#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

constexpr std::size_t kAttemptEndCount = 7;
constexpr std::array<AttemptEnd, kAttemptEndCount> kAttemptEnds = {
    AttemptEnd::kAnswered,       AttemptEnd::kRefused,
    AttemptEnd::kNotConnected,   AttemptEnd::kAnswerIncomplete,
    AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut,
    AttemptEnd::kAnswerTooLarge,
};

/// Records the attempts of each request and checks that the reported outcomes
/// agree with them.
class OutcomeChecker {
 public:
  void Check(EntryDriver& driver) {
    for (; next_attempt_ < driver.attempts.size(); ++next_attempt_) {
      const StartAttempt& attempt = driver.attempts[next_attempt_];
      open_attempts_[attempt.ticket] = attempt;
      ++running_[attempt.endpoint];
      RC_ASSERT(running_[attempt.endpoint] <= 2);
      const bool once = at_most_once_.count(attempt.ticket) != 0;
      RC_ASSERT_FALSE(once && possibly_run_.count(attempt.ticket) != 0);
      RC_ASSERT_FALSE(once && granted_.count(attempt.ticket) == 0);
    }
    for (const auto& [ticket, answer] : driver.answers) {
      if (!answered_.insert(ticket).second)
        continue;
      RC_ASSERT(open_attempts_.count(ticket) == 0);
      const auto* refusal = std::get_if<RefuseRequest>(&answer.body);
      if (refusal != nullptr && refusal->outcome == Outcome::kNotRun)
        RC_ASSERT(possibly_run_.count(ticket) == 0);
      if (std::holds_alternative<ForwardAnswer>(answer.body))
        RC_ASSERT(fully_answered_.count(ticket) == 1);
    }
  }

  void EndOpenAttempt(EntryDriver& driver, std::size_t index, AttemptEnd end) {
    if (open_attempts_.empty())
      return;
    auto it = open_attempts_.begin();
    std::advance(it, index % open_attempts_.size());
    const StartAttempt attempt = it->second;
    open_attempts_.erase(it);
    --running_[attempt.endpoint];
    if (forwarding::OutcomeOf(end) != Outcome::kNotRun)
      possibly_run_.insert(attempt.ticket);
    if (end == AttemptEnd::kAnswered)
      fully_answered_.insert(attempt.ticket);
    driver.EndAttempt(attempt, end);
  }

  void AddAtMostOnce(RequestTicket ticket) { at_most_once_.insert(ticket); }
  void AddGranted(const std::string& claim) {
    granted_.insert(std::stoull(claim.substr(claim.rfind('/') + 1)));
  }
  std::size_t answered() const { return answered_.size(); }
  bool idle() const { return open_attempts_.empty(); }

 private:
  std::size_t next_attempt_ = 0;
  std::map<RequestTicket, StartAttempt> open_attempts_;
  std::map<std::string, int> running_;
  std::set<RequestTicket> answered_;
  std::set<RequestTicket> at_most_once_;
  std::set<RequestTicket> granted_;
  std::set<RequestTicket> fully_answered_;
  /// Requests with an attempt that ended with an outcome other than not run.
  std::set<RequestTicket> possibly_run_;
};

}  // namespace

TEST_CASE("Property: reported outcomes agree with the attempts made") {
  const bool ok = rc::check("outcomes", [] {
    EntryDriver driver;
    driver.ApplySettings(test::ServiceSettingsText());
    OutcomeChecker checker;
    std::vector<protocol::ClaimRequest> claims;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::resize(rc::kNominalSize,
                             rc::gen::pair(rc::gen::inRange(0, 12),
                                           rc::gen::inRange(0, 1000))));
    for (const auto& [operation, argument] : steps) {
      switch (operation) {
        case 0:
        case 1:
          driver.SendRequest("GET", "/x", "",
                             argument % 4 == 0 ? 200ms : Duration{0});
          break;
        case 2:
        case 3:
          checker.AddAtMostOnce(driver.last_ticket + 1);
          driver.SendRequest("POST", "/x", std::to_string(argument));
          break;
        case 4:
          driver.AdvanceTime((argument % 10) * 20ms);
          break;
        case 5:
          driver.AnswerHeartbeat();
          break;
        case 6:
        case 7:
          if (!claims.empty()) {
            const auto claim = claims[argument % claims.size()];
            const bool granted = argument % 3 != 0;
            if (granted)
              checker.AddGranted(claim.attempt);
            driver.AnswerClaim(claim, granted
                                          ? protocol::ClaimVerdict::kGranted
                                          : protocol::ClaimVerdict::kUnknown);
          }
          break;
        case 8:
          driver.Step(ProbeEnded{"s", argument % 2 == 0 ? "a" : "b",
                                 argument % 5 == 0
                                     ? forwarding::ProbeEnd::kDraining
                                     : forwarding::ProbeEnd::kHealthy});
          break;
        default:
          checker.EndOpenAttempt(driver, static_cast<std::size_t>(argument),
                                 kAttemptEnds[argument % kAttemptEndCount]);
          break;
      }
      for (const auto& claim : driver.TakeMessages<protocol::ClaimRequest>())
        claims.push_back(claim);
      checker.Check(driver);
    }
    // Ends all attempts, so that every request is answered.
    for (int i = 0; i < 1'000 && !checker.idle(); ++i) {
      checker.EndOpenAttempt(driver, 0, AttemptEnd::kAnswered);
      checker.Check(driver);
    }
    driver.AdvanceTime(3s);
    checker.Check(driver);
    for (int i = 0; i < 1'000 && !checker.idle(); ++i) {
      checker.EndOpenAttempt(driver, 0, AttemptEnd::kAnswered);
      checker.Check(driver);
    }
    RC_ASSERT(checker.answered() == driver.last_ticket);
    RC_ASSERT(driver.node.active_requests() == 0U);
  });
  CHECK(ok);
}

}  // namespace jacinth::entry
