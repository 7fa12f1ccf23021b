#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"

namespace jacinth::test {

/// Drives an EntryNode without sockets and collects its actions.
class EntryDriver {
 public:
  static entry::EntryOptions DefaultOptions() {
    entry::EntryOptions options;
    options.self.id = "e1";
    options.self.incarnation = 7;
    options.self.region = "west";
    options.self.failure_domain = "west-a";
    options.self.address = "127.0.0.1:1";
    options.heartbeat = 100ms;
    options.control_timeout = 1s;
    options.drain_limit = 5s;
    options.max_requests = 64;
    options.contacts = {"c1", "c2", "c3"};
    return options;
  }

  explicit EntryDriver(entry::EntryOptions options = DefaultOptions())
      : node(std::move(options)) {}

  void Step(const entry::EntryEvent& event) {
    entry::EntryActions actions = node.Step(event, now);
    for (auto& message : actions.messages) {
      if (const auto* sent =
              std::get_if<protocol::Heartbeat>(&message.envelope))
        last_heartbeat = *sent;
      messages.push_back(std::move(message));
    }
    for (auto& attempt : actions.attempts)
      attempts.push_back(std::move(attempt));
    for (auto& relay : actions.relays)
      relays.push_back(std::move(relay));
    for (auto& cancellation : actions.cancellations)
      cancellations.push_back(cancellation);
    for (auto& answer : actions.answers)
      answers[answer.ticket] = std::move(answer);
    for (auto& probe : actions.probes)
      probes.push_back(std::move(probe));
    recycled_connections += actions.recycled_connections;
    dropped_idle_connections |= actions.drop_idle_connections;
    if (actions.snapshot)
      snapshot = actions.snapshot;
    stopped |= actions.stopped;
  }

  /// Advances the time in ticks.
  void AdvanceTime(Duration duration) {
    const Time end = now + duration;
    while (now < end) {
      now += 20ms;
      Step(entry::Tick{});
    }
  }

  /// Answers the last heartbeat like a leader that holds its lease.
  void AnswerHeartbeat() {
    protocol::HeartbeatReply reply;
    reply.sequence = last_heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.revision = revision;
    if (last_heartbeat.status.revision < revision)
      reply.update = {revision, settings_text, Hash64(settings_text)};
    reply.members.version = revision;
    reply.members.entries = {last_heartbeat.status};
    Step(entry::MessageReceived{"c1", reply});
  }

  /// Delivers new settings as the next revision.
  void ApplySettings(const std::string& text) {
    settings_text = text;
    ++revision;
    AdvanceTime(100ms);
    AnswerHeartbeat();
  }

  entry::RequestTicket SendRequest(const std::string& method,
                                   const std::string& path,
                                   const std::string& key = "",
                                   Duration budget = Duration{0},
                                   const std::string& service = "s") {
    entry::RequestArrived arrival;
    arrival.ticket = ++last_ticket;
    arrival.service = service;
    arrival.method = method;
    arrival.path = path;
    arrival.idempotency_key = key;
    arrival.fingerprint = 1;
    arrival.budget = budget;
    Step(arrival);
    return last_ticket;
  }

  void EndAttempt(const entry::StartAttempt& attempt,
                  forwarding::AttemptEnd end) {
    entry::AttemptEnded ended;
    ended.ticket = attempt.ticket;
    ended.end = end;
    ended.answer = {200, "text/plain", "answer", false};
    Step(ended);
  }

  /// Removes and returns the messages of one type that were sent.
  template <typename Message>
  std::vector<Message> TakeMessages() {
    std::vector<Message> taken;
    for (const auto& message : messages) {
      if (const auto* body = std::get_if<Message>(&message.envelope))
        taken.push_back(*body);
    }
    std::erase_if(messages, [](const auto& message) {
      return std::holds_alternative<Message>(message.envelope);
    });
    return taken;
  }

  void AnswerClaim(
      const protocol::ClaimRequest& claim,
      protocol::ClaimVerdict verdict = protocol::ClaimVerdict::kGranted) {
    Step(entry::MessageReceived{
        "c1", protocol::ClaimReply{claim.attempt, true, verdict, {}}});
  }

  /// Returns the refusal of a request, or nullptr.
  const entry::RefuseRequest* FindRefusal(entry::RequestTicket ticket) const {
    const auto found = answers.find(ticket);
    if (found == answers.end())
      return nullptr;
    return std::get_if<entry::RefuseRequest>(&found->second.body);
  }

  bool WasForwarded(entry::RequestTicket ticket) const {
    const auto found = answers.find(ticket);
    return found != answers.end() &&
           std::holds_alternative<entry::ForwardAnswer>(found->second.body);
  }

  Time now{100s};
  entry::EntryNode node;
  protocol::Heartbeat last_heartbeat;
  std::uint64_t revision = 0;
  std::string settings_text;
  std::uint64_t last_ticket = 0;
  std::vector<entry::OutgoingMessage> messages;
  std::vector<entry::StartAttempt> attempts;
  std::vector<entry::StartRelay> relays;
  std::vector<entry::CancelAttempt> cancellations;
  std::map<entry::RequestTicket, entry::RequestAnswer> answers;
  std::vector<entry::StartProbe> probes;
  std::shared_ptr<const steering::SteeringSnapshot> snapshot;
  bool stopped = false;
  double recycled_connections = 0;
  bool dropped_idle_connections = false;
};

/// Settings of a service `s` with two endpoints, a repeatable kind (GET) and an
/// at-most-once kind (POST).
inline std::string ServiceSettingsText(const std::string& more_settings = "") {
  return "[service/s]\nslots = 2\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
         "request_timeout_ms = 2000\n" +
         more_settings +
         "[service/s/endpoint/a]\naddress = 127.0.0.1:11\nregion = west\n"
         "failure_domain = west-a\n"
         "[service/s/endpoint/b]\naddress = 127.0.0.1:12\nregion = west\n"
         "failure_domain = west-b\n"
         "[service/s/kind/read]\npath_prefix = /\nmethod = GET\n"
         "repeatable = true\nrank = urgent\n"
         "[service/s/kind/write]\npath_prefix = /\nmethod = POST\n"
         "rank = urgent\n";
}

}  // namespace jacinth::test
