#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;

constexpr int kRoutes = 4;
constexpr int kEvents = 600;
/// Longer than a request may take.
constexpr Duration kSettleTime = 10s;
const std::array<std::string, 3> kServices = {"s", "t", "u"};
const std::array<std::string, 4> kEndpoints = {"s1", "t1", "t2", "u1"};

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Drives an entry through events drawn from a seed, like a host whose clients,
/// endpoints, operator and leader do anything, and checks after each event that
/// requests keep to their routes.
class DrawnSequence {
 public:
  explicit DrawnSequence(std::uint64_t seed) : random_(seed), node_(Options()) {
    for (int route = 0; route < kRoutes; ++route)
      services_.push_back({kServices.at(Draw(kServices.size()))});
    ports_ = {11, 12, 13, 14};
    loses_links_ = DrawPercent(25);
    failure_percent_ = loses_links_ ? 30 : 5;
    limit_percent_ = DrawPercent(50) ? 20 : 0;
    refused_percent_ = DrawPercent(50) ? 80 : 25;
    Pass(200ms);
    ApplySettings();
  }

  /// Returns what went wrong; empty if nothing did.
  const std::string& Run() {
    for (event_ = 0; event_ < kEvents && fault_.empty(); ++event_)
      DrawEvent();
    for (const Time end = now_ + kSettleTime; now_ < end && fault_.empty();) {
      EndAll();
      Pass(100ms);
      ReplyToHeartbeat();
    }
    EndAll();
    Expect(node_.active_requests() == 0, "requests have not ended", 0);
    for (RequestTicket ticket = 1; ticket <= last_ticket_; ++ticket) {
      Expect(requests_[ticket].answered || requests_[ticket].abandoned,
             "no answer", ticket);
    }
    return fault_;
  }

 private:
  struct Request {
    int route = 0;
    bool answered = false;
    bool abandoned = false;
    bool may_have_run = false;
    /// An attempt or a relay is in progress.
    bool in_progress = false;
    bool is_relay = false;
    /// Bytes of the attempt have left.
    bool sent = false;
    std::string endpoint;
  };

  static EntryOptions Options() {
    EntryOptions options = test::EntryDriver::DefaultOptions();
    options.max_requests = 24;
    options.limits.stop_grace = 6s;
    return options;
  }

  std::size_t Draw(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }
  bool DrawPercent(std::size_t percent) { return Draw(100) < percent; }

  void Expect(bool holds, const std::string& fault, RequestTicket ticket) {
    if (holds || !fault_.empty())
      return;
    fault_ = fault + ", ticket " + std::to_string(ticket) + ", event " +
             std::to_string(event_);
  }

  bool IsRepeatable(int route) const { return route % 2 == 0; }

  std::string SettingsText() const {
    std::string text = "retry_budget_percent = 100\n";
    for (const std::string& service : kServices) {
      text += "[service/" + service +
              "]\nslots = 1\nttl_ms = 1000\nprobe_interval_ms = 400\n";
    }
    for (std::size_t i = 0; i < kEndpoints.size(); ++i) {
      text += "[service/" + kEndpoints[i].substr(0, 1) + "/endpoint/" +
              kEndpoints[i] +
              "]\naddress = 127.0.0.1:" + std::to_string(ports_[i]) +
              "\nregion = west\nfailure_domain = west-a\n" +
              (i == drained_ ? "drain = true\n" : "");
    }
    for (int route = 0; route < kRoutes; ++route) {
      const std::string name = std::to_string(route);
      if (route == removed_route_)
        continue;
      text += "[route/" + name + "]\nhost = h\npath_prefix = /" + name + "/\n";
      const std::vector<std::string>& services =
          services_[static_cast<std::size_t>(route)];
      text += services.size() == 1
                  ? "service = " + services[0] + "\n"
                  : "split = " + services[0] + ":1, " + services[1] + ":1\n";
      text += std::string("execution = ") +
              (IsRepeatable(route) ? "repeatable" : "single_attempt") +
              "\nrequest_timeout_ms = 8000\nattempt_timeout_ms = 2000\n"
              "objective_ms = " +
              (route < 3 ? "0" : "6400") + "\nqueue_limit = 4\n";
    }
    return text;
  }

  void Step(const EntryEvent& event) {
    if (!fault_.empty())
      return;
    EntryActions actions = node_.Step(event, now_);
    for (const OutgoingMessage& message : actions.messages) {
      if (const auto* sent =
              std::get_if<protocol::Heartbeat>(&message.envelope))
        heartbeat_ = *sent;
    }
    for (const CancelAttempt& cancel : actions.cancellations) {
      Request& request = requests_[cancel.ticket];
      Expect(request.in_progress, "cancelled twice", cancel.ticket);
      request.in_progress = false;
      request.may_have_run |= request.sent || request.is_relay;
    }
    for (const StartAttempt& attempt : actions.attempts)
      OnAttempt(attempt);
    for (const StartRelay& relay : actions.relays) {
      Request& request = requests_[relay.ticket];
      ExpectMaySend(request, relay.ticket);
      request.in_progress = true;
      request.is_relay = true;
    }
    for (const RequestAnswer& answer : actions.answers)
      OnAnswer(answer);
    for (const StartProbe& probe : actions.probes)
      probes_.push_back(probe);
    stopped_ |= actions.stopped;
  }

  void ExpectMaySend(const Request& request, RequestTicket ticket) {
    Expect(!request.in_progress, "sent while an exchange is in progress",
           ticket);
    Expect(!request.answered, "sent after its answer", ticket);
    Expect(!request.abandoned, "sent after its caller left", ticket);
    Expect(IsRepeatable(request.route) || !request.may_have_run,
           "sent again though it may have run", ticket);
  }

  void ExpectNamed(const Request& request, RequestTicket ticket) {
    const std::vector<std::string>& named =
        in_force_[static_cast<std::size_t>(request.route)];
    Expect(std::find(named.begin(), named.end(),
                     request.endpoint.substr(0, 1)) != named.end(),
           "sent to " + request.endpoint + ", which its route doesn't name",
           ticket);
  }

  void OnAttempt(const StartAttempt& attempt) {
    Request& request = requests_[attempt.ticket];
    ExpectMaySend(request, attempt.ticket);
    request.endpoint = attempt.endpoint;
    ExpectNamed(request, attempt.ticket);
    request.in_progress = true;
    request.is_relay = false;
    // On a new connection, the bytes leave later.
    request.sent = !attempt.fresh_connection && DrawPercent(70);
  }

  void OnAnswer(const RequestAnswer& answer) {
    Request& request = requests_[answer.ticket];
    Expect(!request.answered, "answered twice", answer.ticket);
    request.answered = true;
    if (request.in_progress)
      request.may_have_run |= request.sent || request.is_relay;
    request.in_progress = false;
    const auto* refusal = std::get_if<RefuseRequest>(&answer.body);
    if (refusal != nullptr && refusal->outcome == Outcome::kNotRun) {
      Expect(!request.may_have_run, "called not run though it may have",
             answer.ticket);
    }
  }

  std::vector<RequestTicket> TicketsInProgress() const {
    std::vector<RequestTicket> tickets;
    for (const auto& [ticket, request] : requests_) {
      if (request.in_progress)
        tickets.push_back(ticket);
    }
    return tickets;
  }

  void DrawEvent() {
    const std::size_t draw = Draw(100);
    if (draw < 40)
      Send();
    else if (draw < 66)
      EndOne();
    else if (draw < 69)
      Abandon();
    else if (draw < 74)
      Pass(Duration(static_cast<std::int64_t>(Draw(60)) * 1'000'000));
    else if (draw < 76)
      now_ += Duration(static_cast<std::int64_t>(Draw(1'500)) * 1'000'000);
    else if (draw < 92)
      Change();
    else if (draw < 99)
      ReplyToHeartbeat();
    else if (event_ > kEvents - 40 && DrawPercent(30))
      Step(StopRequested{});
  }

  void Send() {
    const int route = static_cast<int>(Draw(kRoutes));
    RequestArrived arrival;
    arrival.ticket = ++last_ticket_;
    arrival.host = "h";
    arrival.method = "POST";
    arrival.path = "/" + std::to_string(route) + "/x";
    arrival.fingerprint = last_ticket_;
    arrival.relayed = DrawPercent(5);
    requests_[last_ticket_].route = route;
    Step(arrival);
  }

  void EndOne() {
    const std::vector<RequestTicket> tickets = TicketsInProgress();
    if (tickets.empty())
      return;
    const RequestTicket ticket = tickets[Draw(tickets.size())];
    Request& request = requests_[ticket];
    if (request.is_relay) {
      EndRelay(ticket, request);
      return;
    }
    if (!request.sent) {
      Connect(ticket, request);
      return;
    }
    constexpr std::array<AttemptEnd, 5> kFailures = {
        AttemptEnd::kMisdirected, AttemptEnd::kAnsweredFailure,
        AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut,
        AttemptEnd::kAnswerIncomplete};
    AttemptEnd end = kFailures.at(Draw(kFailures.size()));
    if (!DrawPercent(failure_percent_))
      end = DrawPercent(refused_percent_) ? AttemptEnd::kRefused
                                          : AttemptEnd::kAnswered;
    EndAttempt(ticket, request, end);
  }

  /// Opens the connection that an attempt waits for.
  void Connect(RequestTicket ticket, Request& request) {
    if (!node_.MaySend(ticket)) {
      EndAttempt(ticket, request, AttemptEnd::kWithdrawn);
      return;
    }
    if (DrawPercent(failure_percent_)) {
      EndAttempt(ticket, request, AttemptEnd::kNotConnected);
      return;
    }
    ExpectNamed(request, ticket);
    request.sent = true;
  }

  void EndAttempt(RequestTicket ticket, Request& request, AttemptEnd end) {
    request.in_progress = false;
    request.may_have_run |= forwarding::OutcomeOf(end) != Outcome::kNotRun;
    AttemptEnded ended;
    ended.ticket = ticket;
    ended.end = end;
    ended.answer = {200, "text/plain", "answer", false};
    ended.opened_connection = DrawPercent(20);
    ended.connection_refused =
        end == AttemptEnd::kNotConnected && DrawPercent(50);
    const bool has_answer = end == AttemptEnd::kAnswered ||
                            end == AttemptEnd::kAnsweredFailure ||
                            end == AttemptEnd::kRefused;
    if (end == AttemptEnd::kRefused) {
      ended.load = forwarding::LoadReport{1, 1 + static_cast<int>(Draw(4)), 1};
    } else if (has_answer && DrawPercent(50)) {
      ended.load = forwarding::LoadReport{static_cast<int>(Draw(2)),
                                          static_cast<int>(Draw(5)), 1};
    }
    if (has_answer && DrawPercent(limit_percent_)) {
      ended.rate_limit = forwarding::RateLimitNotice{
          DrawPercent(60) ? std::nullopt
                          : std::optional(static_cast<double>(Draw(20)))};
    }
    if (end == AttemptEnd::kRefused && DrawPercent(50)) {
      ended.notices.wait =
          Duration(static_cast<std::int64_t>(Draw(4'000)) * 1'000'000);
    }
    Step(ended);
  }

  void EndRelay(RequestTicket ticket, Request& request) {
    constexpr std::array<AttemptEnd, 5> kEnds = {
        AttemptEnd::kAnswered, AttemptEnd::kRefused, AttemptEnd::kNotConnected,
        AttemptEnd::kWithdrawn, AttemptEnd::kConnectionLost};
    RelayEnded ended;
    ended.ticket = ticket;
    ended.end = node_.MaySend(ticket) ? kEnds.at(Draw(kEnds.size()))
                                      : AttemptEnd::kWithdrawn;
    request.in_progress = false;
    request.may_have_run |=
        forwarding::OutcomeOf(ended.end) != Outcome::kNotRun;
    Step(ended);
  }

  /// Lets all exchanges in progress end well.
  void EndAll() {
    for (const RequestTicket ticket : TicketsInProgress()) {
      Request& request = requests_[ticket];
      if (!request.in_progress)
        continue;
      if (request.is_relay) {
        request.in_progress = false;
        RelayEnded ended;
        ended.ticket = ticket;
        ended.end = AttemptEnd::kAnswered;
        Step(ended);
        continue;
      }
      EndAttempt(ticket, request, AttemptEnd::kAnswered);
    }
  }

  void Abandon() {
    if (last_ticket_ == 0)
      return;
    const RequestTicket ticket =
        last_ticket_ - Draw(std::min<std::size_t>(last_ticket_, 12));
    Request& request = requests_[ticket];
    if (request.answered || request.abandoned)
      return;
    Step(RequestAbandoned{ticket});
    request.abandoned = true;
  }

  void Pass(Duration duration) {
    for (const Time end = now_ + duration; now_ < end;) {
      now_ += 20ms;
      Step(Tick{});
      EndProbe();
    }
  }

  /// Changes the settings as operators do, or exchanges endpoints' addresses.
  void Change() {
    // A process that was suspended may hear of a change before its next tick.
    if (DrawPercent(50))
      now_ += Duration(static_cast<std::int64_t>(Draw(1'500)) * 1'000'000);
    const std::size_t one = Draw(kRoutes);
    const std::size_t other = Draw(kRoutes);
    switch (Draw(9)) {
      case 0:
        services_[one] = {kServices.at(Draw(kServices.size()))};
        break;
      case 1:
        services_[one] = {kServices[Draw(2)], kServices[2]};
        break;
      case 2:
        std::swap(ports_[Draw(ports_.size())], ports_[Draw(ports_.size())]);
        break;
      case 3:
        drained_ = Draw(5 * kEndpoints.size());
        break;
      case 4:
        removed_route_ = DrawPercent(20) ? static_cast<int>(one) : kRoutes;
        break;
      default:
        std::swap(services_[one], services_[other]);
    }
    ApplySettings();
  }

  void ApplySettings() {
    ++revision_;
    settings_text_ = SettingsText();
    // A route that is removed keeps what it led to.
    in_force_.resize(kRoutes);
    for (int route = 0; route < kRoutes; ++route) {
      const auto index = static_cast<std::size_t>(route);
      if (route != removed_route_)
        in_force_[index] = services_[index];
    }
    ReplyToHeartbeat();
    const auto& fleet = node_.session().fleet();
    Expect(fleet != nullptr && fleet->revision == revision_,
           "settings are not in force", 0);
  }

  void ReplyToHeartbeat() {
    protocol::HeartbeatReply reply;
    reply.sequence = heartbeat_.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.revision = revision_;
    if (node_.session().self().revision < revision_)
      reply.update = {revision_, settings_text_, Hash64(settings_text_), {}};
    reply.members.version = ++members_version_;
    protocol::EntryStatus self = node_.session().self();
    protocol::EntryStatus other;
    other.id = "e2";
    other.region = "west";
    other.address = "127.0.0.1:2";
    other.isolated = DrawPercent(10);
    reply.members.entries = {self, other};
    for (const protocol::RateLimitReport& report : heartbeat_.rate_limits) {
      reply.rate_shares.shares.push_back({report.key, report.started_ms,
                                          report.limit_per_s.value_or(1),
                                          report.limit_per_s.value_or(1) / 2});
    }
    if (DrawPercent(50))
      reply.rate_shares.version = (1ULL << 32U) + ++shares_version_;
    else
      reply.rate_shares.shares.clear();
    Step(MessageReceived{"c1", reply});
  }

  void EndProbe() {
    if (probes_.empty())
      return;
    const StartProbe probe = probes_.back();
    probes_.pop_back();
    ProbeEnded ended;
    ended.service = probe.service;
    ended.endpoint = probe.endpoint;
    ended.tests_links = probe.tests_links;
    ended.process = {probe.address, probe.started_ms};
    ended.end = DrawPercent(95) ? forwarding::ProbeEnd::kHealthy
                                : forwarding::ProbeEnd::kFailed;
    constexpr std::array<forwarding::LinkProbeEnd, 4> kEnds = {
        forwarding::LinkProbeEnd::kConnected,
        forwarding::LinkProbeEnd::kRefused,
        forwarding::LinkProbeEnd::kNoResponse,
        forwarding::LinkProbeEnd::kSilent};
    ended.link_end = loses_links_ ? kEnds.at(Draw(kEnds.size()))
                                  : forwarding::LinkProbeEnd::kConnected;
    Step(ended);
  }

  std::mt19937_64 random_;
  EntryNode node_;
  Time now_{100s};
  int event_ = 0;
  bool loses_links_ = false;
  std::size_t failure_percent_ = 0;
  std::size_t limit_percent_ = 0;
  std::size_t refused_percent_ = 0;
  std::string fault_;
  std::map<RequestTicket, Request> requests_;
  RequestTicket last_ticket_ = 0;
  std::vector<StartProbe> probes_;
  bool stopped_ = false;
  protocol::Heartbeat heartbeat_;
  std::uint64_t revision_ = 0;
  std::uint64_t members_version_ = 0;
  std::uint64_t shares_version_ = 0;
  std::string settings_text_;
  /// Services that each route leads to, and did when it was last there.
  std::vector<std::vector<std::string>> services_;
  std::vector<std::vector<std::string>> in_force_;
  std::array<int, kEndpoints.size()> ports_{};
  std::size_t drained_ = kEndpoints.size();
  int removed_route_ = kRoutes;
};

}  // namespace

// Guards against orders of events in which a request is sent twice, to a
// service that its route doesn't name, or lost while others are ended or moved
// (docs/incidents/swapped-routes.md). ENTRY_SEQUENCE_SEED and
// ENTRY_SEQUENCE_COUNT play others.
TEST_CASE("Drawn sequences of events keep requests to their routes") {
  const std::uint64_t first =
      NumberFromEnvironment("ENTRY_SEQUENCE_SEED", 20'261'207);
  const std::uint64_t count =
      NumberFromEnvironment("ENTRY_SEQUENCE_COUNT", 200);
  std::uint64_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    std::string fault;
    try {
      fault = DrawnSequence(seed).Run();
    } catch (const std::exception& error) {
      fault = std::string("exception ") + error.what();
    }
    if (fault.empty())
      continue;
    ++broken;
    constexpr std::uint64_t kMaxListed = 10;
    if (broken <= kMaxListed)
      UNSCOPED_INFO("ENTRY_SEQUENCE_SEED=" << seed << ": " << fault);
  }
  CAPTURE(count);
  CHECK(broken == 0);
}

}  // namespace jacinth::entry
