#pragma once

// Definitions of the members of EntryHostImpl; included only by its header.

#include <algorithm>
#include <utility>

#include "core/common/process_clock.h"
#include "core/http/message_size.h"
#include "core/log/log.h"
#include "jacinthroute/entry_host_impl.h"

namespace jacinth {

template <InterfaceAdapter Adapter>
EntryHostImpl<Adapter>::EntryHostImpl(
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
      adapter_(settings),
      timer_(context, [this] { Step(entry::Tick{}); }),
      node_(MakeOptions(settings, adapter_)),
      addresses_(EntryAddresses(settings)),
      memory_(MessageMemory(settings)),
      client_(context, kMaxIdleConnectionsPerEndpoint, settings.source_address),
      server_(context,
              [this](const TransactionPtr& transaction) {
                OnTransaction(transaction);
              }),
      endpoint_lister_(
          client_,
          settings.discovery_address,
          /*failure_domains=*/{},
          [this](const std::string& failure_domain,
                 const std::string& page_token) {
            return adapter_.MakeEndpointListRequest(failure_domain, page_token);
          },
          [this](const http::Response& response) {
            return adapter_.ParseEndpointListPage(response);
          }),
      answers_timer_(context, [this] { OnAnswersFinished(); }) {}

template <InterfaceAdapter Adapter>
std::size_t EntryHostImpl<Adapter>::MessageMemory(
    const settings::InstanceSettings& settings) {
  const std::size_t memory =
      settings.entry_memory != 0 ? settings.entry_memory : MachineMemory();
  return memory * kMessageMemoryPercent / 100;
}

template <InterfaceAdapter Adapter>
entry::EntryOptions EntryHostImpl<Adapter>::MakeOptions(
    const settings::InstanceSettings& settings,
    const Adapter& adapter) {
  entry::EntryOptions options;
  options.self.id = settings.LinkName();
  options.self.incarnation = MakeIncarnation();
  options.self.region = settings.region;
  options.self.failure_domain = settings.failure_domain;
  options.self.address = settings.entry_address;
  options.heartbeat = settings.entry_heartbeat;
  options.control_timeout = settings.control_timeout;
  options.drain_limit = settings.drain_limit;
  options.max_requests = settings.entry_requests;
  options.bandwidth = settings.entry_bandwidth;
  options.limits = adapter.fleet_limits();
  options.failure_domain_regions = settings.failure_domain_regions;
  options.can_list_endpoints = !settings.discovery_address.empty();
  options.contacts = settings.ControlContacts();
  return options;
}

template <InterfaceAdapter Adapter>
Result<void> EntryHostImpl<Adapter>::Start() {
  http::EventServerLimits limits;
  limits.max_connections =
      static_cast<std::size_t>(settings_.entry_connections);
  limits.max_body_bytes = kInitialMaxBodyBytes;
  server_.SetLimits(limits);
  server_.SetMemoryBudget(memory_);
  client_.SetMemoryBudget(memory_);
  client_.SetMaxBufferedBytes(
      std::min(http::kMaxBufferedResponseBytes,
               MessageMemory(settings_) * kIncompleteAnswersPercent / 100));
  server_.SetErrorResponder([this](int status, const std::string& detail) {
    return adapter_.MakeErrorResponse(status, detail);
  });
  for (const auto& [address, uses] : addresses_) {
    if (auto listening = server_.Listen(address); !listening)
      return listening;
  }
  log::Info(log::Category::kEntry,
            "Serving callers on " + settings_.entry_address + ".");
  Step(entry::Tick{});
  return {};
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::BeginStop(std::function<void()> done) {
  log::Info(log::Category::kEntry,
            "Starting a planned stop; removing this instance from look-up "
            "answers.");
  on_stopped_ = std::move(done);
  server_.BeginDrain(kDrainGracePeriod);
  Step(entry::StopRequested{});
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::Shutdown() {
  // Destroying a transaction closes its connection, which makes the node give
  // up the request and look for it in `pending_requests_`.
  const auto abandoned = std::exchange(pending_requests_, {});
  server_.Stop();
  client_.Stop();
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::OnMessage(const std::string& from,
                                       protocol::Envelope envelope) {
  Step(entry::MessageReceived{from, std::move(envelope)});
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::SetContacts(std::vector<std::string> contacts) {
  Step(entry::ContactsChanged{std::move(contacts)});
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::OnTransaction(const TransactionPtr& transaction) {
  const RequestContext request_context{
      settings_,      snapshot_,
      metrics_,       request_count_++,
      MonotonicNow(), addresses_.find(transaction->listen_address())->second};
  auto parsed = adapter_.ParseRequest(transaction->request(), request_context);
  if (auto* response = std::get_if<http::Response>(&parsed)) {
    metrics_.Record("jacinth_direct_answer_seconds",
                    MonotonicNow() - request_context.now);
    transaction->Respond(std::move(*response));
    return;
  }
  BeginRequest(transaction, std::move(std::get<ForwardedRequest>(parsed)));
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::BeginRequest(const TransactionPtr& transaction,
                                          ForwardedRequest&& forwarded) {
  const entry::RequestTicket ticket = ++last_ticket_;
  PendingRequest& pending = pending_requests_[ticket];
  pending.transaction = transaction;
  pending.started = MonotonicNow();
  pending.forwarded = std::move(forwarded);
  pending.forwarded.arrival.ticket = ticket;
  ApplyRelayTag(ParseRelayTag(http::HeaderValue(transaction->request().headers,
                                                kRelayedHeader)),
                node_.session().self(), node_.session().members(),
                pending.forwarded.arrival);
  pending.forwarded.arrival.message_bytes =
      http::MessageSize(transaction->request());
  std::erase_if(pending.forwarded.outgoing.headers, [](const auto& field) {
    return http::EqualsIgnoringCase(field.first, kRelayedHeader);
  });
  if (Adapter::kHasTraceContext)
    BeginSpan(transaction->request(), pending);
  const entry::RequestArrived arrival = pending.forwarded.arrival;
  transaction->OnDisconnect(
      [this, ticket] { Step(entry::RequestAbandoned{ticket}); });
  if (pending_requests_.count(ticket) != 0)
    Step(arrival);
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::BeginSpan(const http::Request& request,
                                       PendingRequest& pending) {
  const auto parent = trace::ParseTraceparent(
      http::HeaderValue(request.headers, "traceparent"));
  const bool sampled = static_cast<int>(pending.forwarded.arrival.ticket %
                                        100) < settings_.trace_sample_percent;
  pending.span.context =
      parent ? trace::NewChild(*parent) : trace::NewTrace(sampled);
  if (parent)
    pending.span.parent_span_id = parent->span_id;
  pending.span.name = "entry.request";
  pending.span.start_unix_ns = trace::UnixNanos();
  if (pending.span.context.sampled) {
    pending.forwarded.arrival.traceparent =
        trace::FormatTraceparent(pending.span.context);
  }
}

template <InterfaceAdapter Adapter>
typename EntryHostImpl<Adapter>::PendingRequest*
EntryHostImpl<Adapter>::FindWithoutExchange(entry::RequestTicket ticket) {
  const auto found = pending_requests_.find(ticket);
  if (found == pending_requests_.end())
    return nullptr;
  PendingRequest& pending = found->second;
  if (pending.exchange == 0)
    return &pending;
  log::Record record{
      log::Level::kError, log::Category::kEntry, "exchange_prevented", {}};
  record.With("request", pending.forwarded.arrival.request_id)
      .With("ticket", ticket);
  log::Write(record);
  return nullptr;
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::StartAttempt(const entry::StartAttempt& attempt) {
  PendingRequest* const found = FindWithoutExchange(attempt.ticket);
  if (found == nullptr)
    return;
  PendingRequest& pending = *found;
  http::ClientCall client_call;
  client_call.address = attempt.address;
  client_call.request = adapter_.MakeAttemptRequest(pending.forwarded, attempt);
  client_call.limits.connect_timeout = attempt.connect_timeout;
  client_call.limits.timeout = attempt.timeout + attempt.answer_delay;
  client_call.limits.max_body_bytes = server_.limits().max_body_bytes;
  if (!attempt.fresh_connection) {
    client_call.max_idle = attempt.execution == Execution::kRepeatable
                               ? kMaxIdleTimeRepeatable
                               : kMaxIdleTimeAtMostOnce;
  }
  client_call.may_send = [this, ticket = attempt.ticket] {
    return node_.MaySend(ticket);
  };
  client_call.keeps_connection =
      [this, ticket = attempt.ticket](const http::Response& response) {
        const auto request = pending_requests_.find(ticket);
        return request != pending_requests_.end() &&
               adapter_.KeepsConnection(request->second.forwarded, response);
      };
  std::int64_t started = 0;
  trace::SpanContext context;
  if (Adapter::kHasTraceContext) {
    started = trace::UnixNanos();
    context = trace::NewChild(pending.span.context);
    client_call.request.headers.emplace_back("traceparent",
                                             trace::FormatTraceparent(context));
  }
  pending.exchange = client_.Start(
      client_call,
      [this, attempt, started, context](http::ExchangeResult result) {
        if (Adapter::kHasTraceContext) {
          trace::Span span;
          span.context = context;
          const auto parent_request = pending_requests_.find(attempt.ticket);
          if (parent_request != pending_requests_.end())
            span.parent_span_id = parent_request->second.span.context.span_id;
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

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::StartRelay(const entry::StartRelay& relay) {
  PendingRequest* const found = FindWithoutExchange(relay.ticket);
  if (found == nullptr)
    return;
  PendingRequest& pending = *found;
  http::ClientCall client_call;
  client_call.address = relay.address;
  client_call.request = adapter_.MakeRelayRequest(pending.forwarded, relay);
  client_call.request.headers.emplace_back(
      kRelayedHeader,
      FormatRelayTag(MakeRelayTag(settings_.LinkName(), relay)));
  client_call.limits = {relay.connect_timeout, relay.timeout,
                        server_.limits().max_body_bytes};
  client_call.max_idle = relay.execution == Execution::kRepeatable
                             ? kMaxIdleTimeRepeatable
                             : kMaxIdleTimeAtMostOnce;
  client_call.may_send = [this, ticket = relay.ticket] {
    return node_.MaySend(ticket);
  };
  client_call.keeps_connection =
      [this, ticket = relay.ticket](const http::Response& response) {
        const auto request = pending_requests_.find(ticket);
        return request != pending_requests_.end() &&
               adapter_.IsAnswerTo(request->second.forwarded, response);
      };
  pending.exchange =
      client_.Start(client_call, [this, relay](http::ExchangeResult result) {
        OnRelayEnd(relay, std::move(result));
      });
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::OnRelayEnd(const entry::StartRelay& relay,
                                        http::ExchangeResult result) {
  const auto found = pending_requests_.find(relay.ticket);
  if (found == pending_requests_.end())
    return;
  PendingRequest& pending = found->second;
  pending.exchange = 0;
  entry::RelayEnded ended;
  ended.ticket = relay.ticket;
  ended.end = ToAttemptEnd(result.end);
  if (result.end == http::ExchangeEnd::kAnswered) {
    const std::string_view refusal_tag =
        http::HeaderValue(result.response.headers, kUnavailableHeader);
    ended.answer_bytes = http::MessageSize(result.response);
    if (!adapter_.IsAnswerTo(pending.forwarded, result.response)) {
      ended.end = forwarding::AttemptEnd::kAnswerIncomplete;
    } else if (!refusal_tag.empty()) {
      const std::uint64_t held = ParseRelayTag(refusal_tag).revision;
      ended.end = forwarding::AttemptEnd::kRefused;
      ended.has_older_settings = held != 0 && held < relay.revision;
    }
  }
  metrics_.Count(metrics::FormatSeries(
      "jacinth_relays_total", "end",
      std::string(forwarding::AttemptEndName(ended.end))));
  pending.last_response = std::move(result.response);
  Step(ended);
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::OnExchangeEnd(const entry::StartAttempt& attempt,
                                           std::int64_t /*started_unix_ns*/,
                                           http::ExchangeResult result) {
  const auto found = pending_requests_.find(attempt.ticket);
  if (found == pending_requests_.end())
    return;
  PendingRequest& pending = found->second;
  pending.exchange = 0;
  const AttemptResult attempt_result =
      adapter_.ClassifyAttempt(pending.forwarded, attempt, result);
  metrics_.Count(metrics::FormatSeries(
      "jacinth_attempts_total", "end",
      std::string(forwarding::AttemptEndName(attempt_result.end))));
  entry::AttemptEnded ended;
  ended.ticket = attempt.ticket;
  ended.end = attempt_result.end;
  ended.opened_connection = result.opened_connection;
  ended.connection_refused = result.refused;
  if (result.end == http::ExchangeEnd::kAnswered)
    ended.answer_bytes = http::MessageSize(result.response);
  ended.load = attempt_result.load;
  ended.rate_limit = attempt_result.rate_limit;
  ended.notices = attempt_result.notices;
  ended.answer.status = result.response.status;
  ended.answer.content_type = result.response.content_type;
  ended.answer.body_dropped =
      result.response.body.size() > kMaxRecordedBodyBytes;
  if (!ended.answer.body_dropped && attempt.execution == Execution::kAtMostOnce)
    ended.answer.body = result.response.body;
  pending.last_response = std::move(result.response);
  // The endpoint has failed, so its idle connections are unusable as well.
  if (forwarding::IsEndpointFailure(attempt_result.end))
    client_.CloseIdleConnections(attempt.address);
  Step(ended);
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::SendAnswer(const entry::RequestAnswer& answer) {
  const auto found = pending_requests_.find(answer.ticket);
  if (found == pending_requests_.end())
    return;
  PendingRequest pending = std::move(found->second);
  pending_requests_.erase(found);
  if (pending.exchange != 0)
    client_.Cancel(pending.exchange);
  http::Response response = MakeResponse(answer, pending);
  RecordTelemetry(answer, response, pending);
  pending.transaction->Respond(std::move(response));
}

template <InterfaceAdapter Adapter>
http::Response EntryHostImpl<Adapter>::MakeResponse(
    const entry::RequestAnswer& answer,
    PendingRequest& pending) {
  if (std::holds_alternative<entry::ForwardAnswer>(answer.body)) {
    // Only entries say this.
    std::erase_if(pending.last_response.headers, [](const auto& field) {
      return http::EqualsIgnoringCase(field.first, kUnavailableHeader);
    });
    return adapter_.MakeForwardedResponse(pending.forwarded,
                                          std::move(pending.last_response));
  }
  if (const auto* replay = std::get_if<entry::ReplayAnswer>(&answer.body))
    return adapter_.MakeReplayedResponse(replay->answer);
  if (std::holds_alternative<entry::RelayedAnswer>(answer.body)) {
    std::erase_if(pending.last_response.headers, [](const auto& field) {
      return http::IsHopByHop(field.first);
    });
    return std::move(pending.last_response);
  }
  const auto& refusal = std::get<entry::RefuseRequest>(answer.body);
  metrics_.Count(
      metrics::FormatSeries("jacinth_errors_total", "kind",
                            GetErrorKindInfo(refusal.error.kind).name));
  http::Response response =
      adapter_.MakeRefusalResponse(pending.forwarded, refusal);
  if (pending.forwarded.arrival.relayed &&
      refusal.outcome == Outcome::kNotRun &&
      entry::IsEntryUnavailable(refusal.error.kind)) {
    const bool names_revision = refusal.error.kind == ErrorKind::kNotReady &&
                                snapshot_ != nullptr &&
                                snapshot_->fleet != nullptr;
    const RelayTag tag{
        .entry = settings_.LinkName(),
        .revision = names_revision ? snapshot_->fleet->revision : 0};
    response.headers.emplace_back(kUnavailableHeader, FormatRelayTag(tag));
  }
  return response;
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::RecordTelemetry(const entry::RequestAnswer& answer,
                                             const http::Response& response,
                                             PendingRequest& pending) {
  const auto* refusal = std::get_if<entry::RefuseRequest>(&answer.body);
  const std::string outcome(
      OutcomeName(refusal == nullptr ? Outcome::kRan : refusal->outcome));
  const std::string rank(answer.rank ? RankName(*answer.rank) : "none");
  metrics_.Record(
      metrics::FormatSeries("jacinth_request_seconds", "rank", rank),
      MonotonicNow() - pending.started);
  metrics_.Count(
      metrics::FormatSeries("jacinth_requests_by_rank_total", "rank", rank));
  metrics_.Count(
      metrics::FormatSeries("jacinth_requests_total", "outcome", outcome));
  if (!Adapter::kHasTraceContext)
    return;
  pending.span.end_unix_ns = trace::UnixNanos();
  pending.span.attributes = {{"service", pending.forwarded.arrival.service},
                             {"outcome", outcome},
                             {"status", std::to_string(response.status)}};
  pending.span.failed = refusal != nullptr;
  spans_.Add(std::move(pending.span));
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::StartProbe(const entry::StartProbe& probe) {
  http::ClientCall client_call;
  client_call.address = probe.address;
  client_call.request = adapter_.MakeProbeRequest(probe);
  client_call.request.headers.emplace_back("Connection", "close");
  client_call.limits = {kProbeConnectTimeout, kProbeTimeout,
                        kMaxProbeBodyBytes};
  client_.Start(client_call, [this, probe](const http::ExchangeResult& end) {
    Step(entry::ProbeEnded{probe.service,
                           probe.endpoint,
                           adapter_.ClassifyProbe(probe, end),
                           ToLinkProbeEnd(end),
                           probe.tests_links,
                           {probe.address, probe.started_ms},
                           adapter_.ReadProbeNotices(probe, end)});
  });
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::Step(const entry::EntryEvent& event) {
  CarryOut(node_.Step(event, MonotonicNow()));
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::CarryOut(entry::EntryActions actions) {
  for (const log::Record& record : actions.log_records)
    log::Write(record);
  if (actions.snapshot)
    ApplySnapshot(std::move(actions.snapshot));
  for (const entry::OutgoingMessage& message : actions.messages)
    hub_.Send(message.to_instance, message.envelope);
  if (actions.drop_idle_connections)
    client_.CloseAllIdleConnections();
  for (const entry::CancelAttempt& cancel : actions.cancellations) {
    const auto pending = pending_requests_.find(cancel.ticket);
    if (pending != pending_requests_.end())
      client_.Cancel(std::exchange(pending->second.exchange, 0));
  }
  for (const entry::StartAttempt& attempt : actions.attempts)
    StartAttempt(attempt);
  for (const entry::StartRelay& relay : actions.relays)
    StartRelay(relay);
  for (const entry::RequestAnswer& answer : actions.answers)
    SendAnswer(answer);
  for (const entry::StartProbe& probe : actions.probes)
    StartProbe(probe);
  if (actions.recycled_connections > 0)
    server_.RecycleConnections(actions.recycled_connections);
  if (actions.list_endpoints) {
    endpoint_lister_.Start([this](EndpointListing listing) {
      CountListing(listing, metrics_);
      Step(entry::EndpointsListed{std::move(listing.endpoints),
                                  listing.is_complete, listing.took});
    });
  }
  timer_.Schedule(actions.next_tick);
  if (actions.stopped)
    FinishAnswers(actions.answers_until);
}

// Lets callers receive the answers that are being written before a planned stop
// ends.
template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::FinishAnswers(Time until) {
  if (!on_stopped_ || std::exchange(finishing_answers_, true))
    return;
  answers_timer_.Schedule(until);
  server_.Finish([this] { OnAnswersFinished(); });
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::OnAnswersFinished() {
  if (!on_stopped_)
    return;
  log::Record record{
      log::Level::kInfo, log::Category::kEntry, "answers_finished", {}};
  record.With("connections_cut", server_.connections());
  log::Write(record);
  std::exchange(on_stopped_, nullptr)();
}

template <InterfaceAdapter Adapter>
void EntryHostImpl<Adapter>::ApplySnapshot(
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
