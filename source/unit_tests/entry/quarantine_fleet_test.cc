#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::ControlCluster;
using test::EntryDriver;

constexpr Duration kStep = 20ms;
constexpr std::uint64_t kDeadly = 13;
/// Time after which the rule binds: `contact_ms` of the users' deployments.
constexpr Duration kContact = 4s;
/// Retries that BUDGET in the users' rules allows after that.
constexpr int kAllowedRetries = 3;

protocol::ListedEndpoint Listed(int index, std::int64_t started_ms) {
  const std::string number = std::to_string(10 + index);
  return {"i-" + number, started_ms, "s",   "127.0.0.1:" + number,
          "west-a",      4,          false, 0};
}

/// Entries and control replicas, and endpoints that crash when they run one
/// request and return under the same id.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : cluster_(seed) {
    cluster_.on_entry_message = [this](const std::string& entry,
                                       const protocol::Envelope& envelope) {
      const auto found = drivers_.find(entry);
      if (found != drivers_.end())
        found->second->Step(MessageReceived{"c", envelope});
    };
    for (int i = 0; i < kEndpoints; ++i)
      endpoints_.push_back(Listed(i, 1));
    cluster_.Run(2s);
    for (const char* id : {"e1", "e2", "e3"})
      StartEntry(id);
    Run(1s);
  }

  void StartEntry(const std::string& id) {
    EntryOptions options = EntryDriver::DefaultOptions();
    options.self.id = id;
    options.max_requests = 1'000;
    auto driver = std::make_unique<EntryDriver>(options);
    driver->now = cluster_.now();
    driver->ApplySettings(
        "[service/s]\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
        "request_timeout_ms = 2000\nmax_attempts = 2\n"
        "[service/s/kind/read]\npath_prefix = /\nmethod = GET\n"
        "repeatable = true\nrank = urgent\n");
    driver->now = cluster_.now();
    seen_attempts_[id] = 0;
    ended_.erase(id);
    drivers_[id] = std::move(driver);
  }

  void Run(Duration duration) {
    const Time end = cluster_.now() + duration;
    while (cluster_.now() < end)
      Step();
  }

  void Send(const std::string& id, std::uint64_t fingerprint) {
    EntryDriver& driver = *drivers_.at(id);
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.service = "s";
    arrival.method = "GET";
    arrival.path = fingerprint == kDeadly ? "/deadly" : "/healthy";
    arrival.fingerprint = fingerprint;
    if (fingerprint == kDeadly)
      deadly_tickets_.insert({id, arrival.ticket});
    driver.Step(arrival);
    TakeAttempts(id);
  }

  void ReplaceLeader() {
    const auto leader = cluster_.Leader();
    REQUIRE(leader);
    cluster_.Crash(*leader);
    Run(1s);
    cluster_.Restart(*leader);
  }

  int crashes() const { return crashes_; }
  int late_retries() const { return late_retries_; }

 private:
  static constexpr int kEndpoints = 14;

  struct Running {
    Time due;
    StartAttempt attempt;
    bool deadly;
  };

  void Step() {
    cluster_.Run(kStep);
    const Time now = cluster_.now();
    if (const auto leader = cluster_.Leader())
      cluster_.InjectEvent(*leader, control::EndpointsListed{endpoints_});
    for (auto& [id, driver] : drivers_) {
      driver->now = now;
      driver->Step(Tick{});
      TakeAttempts(id);
      while (!ended_[id].empty() && ended_[id].front().due <= now) {
        const Running running = ended_[id].front();
        ended_[id].pop_front();
        driver->EndAttempt(running.attempt, running.deadly
                                                ? AttemptEnd::kConnectionLost
                                                : AttemptEnd::kAnswered);
        TakeAttempts(id);
      }
      for (const OutgoingMessage& message : driver->messages) {
        for (std::size_t i = 0; i < cluster_.size(); ++i) {
          if (cluster_.instance(i) == message.to_instance)
            cluster_.SendFromEntry(id, i, message.envelope);
        }
      }
      driver->messages.clear();
    }
  }

  void TakeAttempts(const std::string& id) {
    EntryDriver& driver = *drivers_.at(id);
    for (std::size_t& seen = seen_attempts_[id]; seen < driver.attempts.size();
         ++seen) {
      const StartAttempt& attempt = driver.attempts[seen];
      const bool deadly = deadly_tickets_.count({id, attempt.ticket}) != 0;
      if (deadly)
        CrashEndpoint(attempt.endpoint);
      ended_[id].push_back({driver.now + 60ms, attempt, deadly});
    }
  }

  void CrashEndpoint(const std::string& name) {
    const Time now = cluster_.now();
    ++crashes_;
    if (crashes_ == 3)
      third_crash_ = now;
    if (crashes_ > 3 && now > third_crash_ + kContact)
      ++late_retries_;
    for (protocol::ListedEndpoint& endpoint : endpoints_) {
      if (endpoint.id == name)
        ++endpoint.started_ms;
    }
  }

  ControlCluster cluster_;
  std::map<std::string, std::unique_ptr<EntryDriver>> drivers_;
  std::map<std::string, std::size_t> seen_attempts_;
  std::map<std::string, std::deque<Running>> ended_;
  std::set<std::pair<std::string, RequestTicket>> deadly_tickets_;
  std::vector<protocol::ListedEndpoint> endpoints_;
  int crashes_ = 0;
  int late_retries_ = 0;
  Time third_crash_{};
};

}  // namespace

// Guards against a request that goes on crashing endpoints through other
// entries, after restarts of entries and changes of the leader
// (docs/incidents/deadly.md).
TEST_CASE(
    "What a request did to endpoints outlives entries and leaders, and holds "
    "at every entry") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    const std::vector<std::string> ids = {"e1", "e2", "e3"};
    for (int resend = 0; resend < 60; ++resend) {
      fleet.Send(ids[resend % 3], kDeadly);
      fleet.Run(200ms);
      if (resend == 20) {
        for (const std::string& id : ids)
          fleet.StartEntry(id);
      }
      if (resend == 30 || resend == 40)
        fleet.ReplaceLeader();
    }
    CHECK(fleet.crashes() >= 3);
    CHECK(fleet.late_retries() <= kAllowedRetries);
  }
}

// Guards against losing the crashes before the third one, which no log holds,
// when the leader changes and one entry restarts between them.
TEST_CASE("Crashes far apart add up across entries and leaders") {
  Fleet fleet(1);
  fleet.Send("e1", kDeadly);
  fleet.Run(1s);
  CHECK(fleet.crashes() == 2);
  fleet.StartEntry("e1");
  fleet.ReplaceLeader();
  fleet.Run(1s);
  fleet.Send("e2", kDeadly);
  fleet.Run(1s);
  CHECK(fleet.crashes() == 3);
  for (const char* id : {"e1", "e2", "e3"}) {
    fleet.Send(id, kDeadly);
    fleet.Run(500ms);
  }
  CHECK(fleet.crashes() == 3);
}

}  // namespace jacinth::entry
