#pragma once

// Definitions of DialectEntryHost; included by its header alone.

#include <algorithm>
#include <random>
#include <utility>

#include "core/common/process_clock.h"
#include "core/log/log.h"
#include "jacinthroute/dialect_entry_host.h"

namespace jacinth {

template <CallerDialect Dialect>
DialectEntryHost<Dialect>::DialectEntryHost(
    asio::io_context& context,
    const settings::InstanceSettings& settings,
    net::LinkHub& hub,
    metrics::Registry& metrics,
    trace::SpanWriter& spans)
    : context_(context),
      settings_(settings),
      hub_(hub),
      metrics_(metrics),
      spans_(spans),
      dialect_(settings),
      timer_(context, [this] { Step(entry::Tick{}); }),
      node_(MakeOptions(settings, dialect_)),
      client_(context, kMaxKeptPerEndpoint),
      server_(context,
              [this](const TransactionPtr& transaction) {
                OnTransaction(transaction);
              }),
      lister_(
          client_,
          settings.discovery_address,
          [this](const std::string& page) { return dialect_.ForListing(page); },
          [this](const http::Response& response) {
            return dialect_.ReadListing(response);
          }) {}

template <CallerDialect Dialect>
entry::EntryOptions DialectEntryHost<Dialect>::MakeOptions(
    const settings::InstanceSettings& settings,
    const Dialect& dialect) {
  entry::EntryOptions options;
  options.self.id = settings.LinkName();
  options.self.incarnation = std::random_device{}();
  options.self.region = settings.region;
  options.self.failure_domain = settings.failure_domain;
  options.self.address = settings.entry_address;
  options.heartbeat = settings.entry_heartbeat;
  options.control_timeout = settings.control_timeout;
  options.drain_limit = settings.drain_limit;
  options.max_requests = settings.entry_requests;
  options.limits = dialect.limits();
  options.failure_domain_regions = settings.failure_domain_regions;
  options.can_list_endpoints = !settings.discovery_address.empty();
  options.contacts = settings.ControlContacts();
  return options;
}

template <CallerDialect Dialect>
Result<void> DialectEntryHost<Dialect>::Start() {
  http::EventServerLimits limits;
  limits.max_connections =
      static_cast<std::size_t>(settings_.entry_connections);
  limits.max_body_bytes = kFirstMaxBody;
  server_.SetLimits(limits);
  server_.SetErrorResponder([this](int status, const std::string& why) {
    return dialect_.Unreadable(status, why);
  });
  for (const std::string& address :
       {settings_.entry_address, settings_.lookup_address,
        settings_.ready_address, settings_.metrics_address}) {
    if (address.empty())
      continue;
    if (auto listening = server_.Listen(address); !listening)
      return listening;
  }
  log::Info(log::Category::kEntry,
            "Serving callers on " + settings_.entry_address + ".");
  Step(entry::Tick{});
  return {};
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::BeginStop(std::function<void()> done) {
  log::Info(log::Category::kEntry, "Leaving the look-ups.");
  on_stopped_ = std::move(done);
  server_.BeginDrain(kDrainLinger);
  Step(entry::StopRequested{});
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::Join() {
  calls_.clear();
  server_.Stop();
  client_.Stop();
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::OnMessage(const std::string& from,
                                          protocol::Envelope envelope) {
  Step(entry::MessageReceived{from, std::move(envelope)});
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::SetContacts(std::vector<std::string> contacts) {
  Step(entry::ContactsChanged{std::move(contacts)});
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::OnTransaction(
    const TransactionPtr& transaction) {
  const EntryView view{settings_, snapshot_, metrics_, lookups_++,
                       MonotonicNow()};
  auto read = dialect_.Read(transaction->request(), view);
  if (auto* response = std::get_if<http::Response>(&read)) {
    metrics_.Record("jacinth_direct_answer_seconds", MonotonicNow() - view.now);
    transaction->Respond(std::move(*response));
    return;
  }
  BeginCall(transaction, std::move(std::get<ForwardCall>(read)));
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::BeginCall(const TransactionPtr& transaction,
                                          ForwardCall&& forward) {
  const entry::RequestTicket ticket = ++last_ticket_;
  Call& call = calls_[ticket];
  call.transaction = transaction;
  call.started = MonotonicNow();
  call.forward = std::move(forward);
  call.forward.arrival.ticket = ticket;
  if (Dialect::kTraced)
    BeginSpan(transaction->request(), call);
  const entry::RequestArrived arrival = call.forward.arrival;
  transaction->OnDisconnect(
      [this, ticket] { Step(entry::RequestAbandoned{ticket}); });
  if (calls_.count(ticket) != 0)
    Step(arrival);
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::BeginSpan(const http::Request& request,
                                          Call& call) {
  const auto parent = trace::ParseTraceparent(
      http::HeaderValue(request.headers, "traceparent"));
  const bool sampled = static_cast<int>(call.forward.arrival.ticket % 100) <
                       settings_.trace_sample_percent;
  call.span.context =
      parent ? trace::NewChild(*parent) : trace::NewTrace(sampled);
  if (parent)
    call.span.parent_span_id = parent->span_id;
  call.span.name = "entry.request";
  call.span.start_unix_ns = trace::UnixNanos();
  if (call.span.context.sampled) {
    call.forward.arrival.traceparent =
        trace::FormatTraceparent(call.span.context);
  }
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::StartAttempt(
    const entry::StartAttempt& attempt) {
  const auto found = calls_.find(attempt.ticket);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  http::ClientCall out;
  out.address = attempt.address;
  out.request = dialect_.ForAttempt(call.forward, attempt);
  out.limits.connect_timeout = attempt.connect_timeout;
  out.limits.timeout = attempt.timeout;
  out.limits.max_body_bytes = server_.limits().max_body_bytes;
  if (!attempt.fresh_connection) {
    out.max_idle = attempt.execution == Execution::kRepeatable
                       ? kMaxIdleRepeatable
                       : kMaxIdleOnce;
  }
  std::int64_t started = 0;
  trace::SpanContext context;
  if (Dialect::kTraced) {
    started = trace::UnixNanos();
    context = trace::NewChild(call.span.context);
    out.request.headers.emplace_back("traceparent",
                                     trace::FormatTraceparent(context));
  }
  call.exchange = client_.Start(
      out, [this, attempt, started, context](http::ExchangeResult result) {
        if (Dialect::kTraced) {
          trace::Span span;
          span.context = context;
          const auto row = calls_.find(attempt.ticket);
          if (row != calls_.end())
            span.parent_span_id = row->second.span.context.span_id;
          span.name = "entry.attempt";
          span.start_unix_ns = started;
          span.end_unix_ns = trace::UnixNanos();
          span.failed = result.end != http::ExchangeEnd::kAnswered;
          span.attributes = {{"endpoint", attempt.endpoint},
                             {"address", attempt.address},
                             {"attempt", std::to_string(attempt.number)}};
          spans_.Add(std::move(span));
        }
        OnExchangeEnd(attempt, started, std::move(result));
      });
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::OnExchangeEnd(
    const entry::StartAttempt& attempt,
    std::int64_t /*started_unix_ns*/,
    http::ExchangeResult result) {
  const auto found = calls_.find(attempt.ticket);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  call.exchange = 0;
  const AttemptVerdict verdict = dialect_.Judge(call.forward, attempt, result);
  metrics_.Count(metrics::FormatSeries(
      "jacinth_attempts_total", "end",
      std::string(forwarding::AttemptEndName(verdict.end))));
  entry::AttemptEnded ended;
  ended.ticket = attempt.ticket;
  ended.end = verdict.end;
  ended.load = verdict.load;
  ended.answer.status = result.response.status;
  ended.answer.content_type = result.response.content_type;
  ended.answer.body_dropped = result.response.body.size() > kMaxRecordedBody;
  if (!ended.answer.body_dropped && attempt.execution == Execution::kAtMostOnce)
    ended.answer.body = result.response.body;
  call.last = std::move(result.response);
  // What was kept to the endpoint is as dead as this connection.
  if (forwarding::IsEndpointFailure(verdict.end))
    client_.CloseIdleConnections(attempt.address);
  Step(ended);
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::Answer(const entry::RequestAnswer& answer) {
  const auto found = calls_.find(answer.ticket);
  if (found == calls_.end())
    return;
  Call call = std::move(found->second);
  calls_.erase(found);
  if (call.exchange != 0)
    client_.Cancel(call.exchange);
  http::Response response = MakeAnswer(answer, call);
  NoteAnswer(answer, response, call);
  call.transaction->Respond(std::move(response));
}

template <CallerDialect Dialect>
http::Response DialectEntryHost<Dialect>::MakeAnswer(
    const entry::RequestAnswer& answer,
    Call& call) {
  if (std::holds_alternative<entry::ForwardAnswer>(answer.body))
    return dialect_.PassOn(call.forward, std::move(call.last));
  if (const auto* repeat = std::get_if<entry::ReplayAnswer>(&answer.body))
    return dialect_.Repeat(repeat->answer);
  const auto& refusal = std::get<entry::RefuseRequest>(answer.body);
  metrics_.Count(
      metrics::FormatSeries("jacinth_errors_total", "kind",
                            GetErrorKindInfo(refusal.error.kind).name));
  return dialect_.Refuse(call.forward, refusal);
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::NoteAnswer(const entry::RequestAnswer& answer,
                                           const http::Response& response,
                                           Call& call) {
  const auto* refusal = std::get_if<entry::RefuseRequest>(&answer.body);
  const std::string outcome(
      OutcomeName(refusal == nullptr ? Outcome::kRan : refusal->outcome));
  const std::string rank(answer.rank ? RankName(*answer.rank) : "none");
  metrics_.Record(
      metrics::FormatSeries("jacinth_request_seconds", "rank", rank),
      MonotonicNow() - call.started);
  metrics_.Count(
      metrics::FormatSeries("jacinth_requests_by_rank_total", "rank", rank));
  metrics_.Count(
      metrics::FormatSeries("jacinth_requests_total", "outcome", outcome));
  if (!Dialect::kTraced)
    return;
  call.span.end_unix_ns = trace::UnixNanos();
  call.span.attributes = {{"service", call.forward.arrival.service},
                          {"outcome", outcome},
                          {"status", std::to_string(response.status)}};
  call.span.failed = refusal != nullptr;
  spans_.Add(std::move(call.span));
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::StartProbe(const entry::StartProbe& probe) {
  http::ClientCall out;
  out.address = probe.address;
  out.request = dialect_.ForProbe(probe);
  out.request.headers.emplace_back("Connection", "close");
  out.limits = {kProbeConnectTimeout, kProbeTimeout, kMaxProbeBody};
  client_.Start(out, [this, probe](const http::ExchangeResult& end) {
    Step(entry::ProbeEnded{probe.service, probe.endpoint,
                           dialect_.JudgeProbe(probe, end)});
  });
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::Step(const entry::EntryEvent& event) {
  CarryOut(node_.Step(event, MonotonicNow()));
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::CarryOut(entry::EntryActions actions) {
  for (const log::Record& note : actions.log_records)
    log::Write(note);
  if (actions.snapshot)
    TakeSnapshot(std::move(actions.snapshot));
  for (const entry::OutgoingMessage& message : actions.messages)
    hub_.Send(message.to_instance, message.envelope);
  for (const entry::CancelAttempt& cancel : actions.cancels) {
    const auto call = calls_.find(cancel.ticket);
    if (call != calls_.end())
      client_.Cancel(std::exchange(call->second.exchange, 0));
  }
  for (const entry::StartAttempt& attempt : actions.attempts)
    StartAttempt(attempt);
  for (const entry::RequestAnswer& answer : actions.answers)
    Answer(answer);
  for (const entry::StartProbe& probe : actions.probes)
    StartProbe(probe);
  if (actions.list_endpoints) {
    lister_.Start([this](std::vector<protocol::ListedEndpoint> endpoints) {
      Step(entry::EndpointsListed{std::move(endpoints)});
    });
  }
  timer_.Schedule(actions.wake);
  if (actions.stopped && on_stopped_)
    std::exchange(on_stopped_, nullptr)();
}

template <CallerDialect Dialect>
void DialectEntryHost<Dialect>::TakeSnapshot(
    std::shared_ptr<const steering::SteeringSnapshot> snapshot) {
  const bool new_revision =
      snapshot->fleet != nullptr &&
      (snapshot_ == nullptr || snapshot_->fleet != snapshot->fleet);
  snapshot_ = std::move(snapshot);
  if (!new_revision)
    return;
  const settings::FleetSettings& fleet = *snapshot_->fleet;
  http::EventServerLimits limits = server_.limits();
  limits.max_head_bytes = static_cast<std::size_t>(fleet.max_header_bytes);
  limits.max_body_bytes = static_cast<std::size_t>(fleet.max_body_bytes);
  limits.head_timeout = fleet.header_timeout;
  limits.idle_timeout = fleet.idle_timeout;
  server_.SetLimits(limits);
}

}  // namespace jacinth
