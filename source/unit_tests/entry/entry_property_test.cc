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

constexpr std::size_t kEnds = 7;
constexpr std::array<AttemptEnd, kEnds> kAllEnds = {
    AttemptEnd::kAnswered,       AttemptEnd::kRefused,
    AttemptEnd::kNotConnected,   AttemptEnd::kAnswerIncomplete,
    AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut,
    AttemptEnd::kAnswerTooLarge,
};

/// Follows what was really sent for each request, next to what was answered.
class Truth {
 public:
  void Check(EntryDriver& driver) {
    for (; next_attempt_ < driver.attempts.size(); ++next_attempt_) {
      const StartAttempt& attempt = driver.attempts[next_attempt_];
      open_[attempt.ticket] = attempt;
      ++running_[attempt.endpoint];
      RC_ASSERT(running_[attempt.endpoint] <= 2);
      const bool once = once_.count(attempt.ticket) != 0;
      RC_ASSERT_FALSE(once && doubtful_.count(attempt.ticket) != 0);
      RC_ASSERT_FALSE(once && granted_.count(attempt.ticket) == 0);
    }
    for (const auto& [ticket, answer] : driver.answers) {
      if (!answered_.insert(ticket).second)
        continue;
      RC_ASSERT(open_.count(ticket) == 0);
      const auto* refusal = std::get_if<RefuseRequest>(&answer.body);
      if (refusal != nullptr && refusal->outcome == Outcome::kNotRun)
        RC_ASSERT(doubtful_.count(ticket) == 0);
      if (std::holds_alternative<PassOnAnswer>(answer.body))
        RC_ASSERT(whole_.count(ticket) == 1);
    }
  }

  void EndOne(EntryDriver& driver, std::size_t which, AttemptEnd end) {
    if (open_.empty())
      return;
    auto at = open_.begin();
    std::advance(at, which % open_.size());
    const StartAttempt attempt = at->second;
    open_.erase(at);
    --running_[attempt.endpoint];
    if (forwarding::OutcomeOf(end) != Outcome::kNotRun)
      doubtful_.insert(attempt.ticket);
    if (end == AttemptEnd::kAnswered)
      whole_.insert(attempt.ticket);
    driver.End(attempt, end);
  }

  void NoteOnce(RequestTicket ticket) { once_.insert(ticket); }
  void NoteGranted(const std::string& claim) {
    granted_.insert(std::stoull(claim.substr(claim.rfind('/') + 1)));
  }
  std::size_t answered() const { return answered_.size(); }
  bool idle() const { return open_.empty(); }

 private:
  std::size_t next_attempt_ = 0;
  std::map<RequestTicket, StartAttempt> open_;
  std::map<std::string, int> running_;
  std::set<RequestTicket> answered_;
  std::set<RequestTicket> once_;
  std::set<RequestTicket> granted_;
  std::set<RequestTicket> whole_;
  /// Handed over to an endpoint that did not refuse them.
  std::set<RequestTicket> doubtful_;
};

}  // namespace

TEST_CASE("Outcomes are true whatever endpoints and the ledger do") {
  const bool ok = rc::check("outcomes", [] {
    EntryDriver driver;
    driver.Apply(test::SmallTree());
    Truth truth;
    std::vector<protocol::ClaimRequest> claims;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::resize(rc::kNominalSize,
                             rc::gen::pair(rc::gen::inRange(0, 12),
                                           rc::gen::inRange(0, 1000))));
    for (const auto& [kind, amount] : steps) {
      switch (kind) {
        case 0:
        case 1:
          driver.Arrive("GET", "/x", "", amount % 4 == 0 ? 200ms : Duration{0});
          break;
        case 2:
        case 3:
          truth.NoteOnce(driver.last_ticket + 1);
          driver.Arrive("POST", "/x", std::to_string(amount));
          break;
        case 4:
          driver.Wait((amount % 10) * 20ms);
          break;
        case 5:
          driver.Confirm();
          break;
        case 6:
        case 7:
          if (!claims.empty()) {
            const auto claim = claims[amount % claims.size()];
            const bool granted = amount % 3 != 0;
            if (granted)
              truth.NoteGranted(claim.attempt);
            driver.Grant(claim, granted ? protocol::ClaimVerdict::kGranted
                                        : protocol::ClaimVerdict::kUnknown);
          }
          break;
        case 8:
          driver.Step(ProbeEnded{"s", amount % 2 == 0 ? "a" : "b",
                                 amount % 5 == 0
                                     ? forwarding::ProbeEnd::kDraining
                                     : forwarding::ProbeEnd::kHealthy});
          break;
        default:
          truth.EndOne(driver, static_cast<std::size_t>(amount),
                       kAllEnds[amount % kEnds]);
          break;
      }
      for (const auto& claim : driver.Take<protocol::ClaimRequest>())
        claims.push_back(claim);
      truth.Check(driver);
    }
    // Every request is answered in the end.
    for (int i = 0; i < 1'000 && !truth.idle(); ++i) {
      truth.EndOne(driver, 0, AttemptEnd::kAnswered);
      truth.Check(driver);
    }
    driver.Wait(3s);
    truth.Check(driver);
    for (int i = 0; i < 1'000 && !truth.idle(); ++i) {
      truth.EndOne(driver, 0, AttemptEnd::kAnswered);
      truth.Check(driver);
    }
    RC_ASSERT(truth.answered() == driver.last_ticket);
    RC_ASSERT(driver.node.active_requests() == 0U);
  });
  CHECK(ok);
}

}  // namespace jacinth::entry
