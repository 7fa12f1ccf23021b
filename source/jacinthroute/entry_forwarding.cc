#include <charconv>
#include <optional>
#include <utility>

#include <asio/post.hpp>

#include "core/common/hash.h"
#include "core/common/process_clock.h"
#include "core/http/problem.h"
#include "jacinthroute/entry_host.h"

namespace jacinth {
namespace {

using http::HeaderValue;
using http::ProblemResponse;
using http::Request;
using http::Response;

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::int64_t kMaxBudgetMs = 3'600'000;
/// Time between looks at whether the control thread has ended.
constexpr Duration kEndCheckInterval = 200ms;
constexpr std::size_t kMaxKeyLength = 200;
constexpr std::size_t kMaxCallerLength = 100;

bool IsPrintable(std::string_view text) {
  for (const char c : text) {
    if (c <= ' ' || c > '~')
      return false;
  }
  return true;
}

// Checks the headers that the system acts on and moves them into `arrival`.
Result<void> ReadHeaders(const Request& request,
                         entry::RequestArrived& arrival) {
  const auto key = HeaderValue(request.headers, "Idempotency-Key");
  if (key.size() > kMaxKeyLength || !IsPrintable(key))
    return Fail(ErrorKind::kBadRequest, "malformed Idempotency-Key");
  arrival.idempotency_key = key;
  const auto caller = HeaderValue(request.headers, "Jacinth-Caller");
  if (caller.size() > kMaxCallerLength || !IsPrintable(caller))
    return Fail(ErrorKind::kBadRequest, "malformed Jacinth-Caller");
  arrival.caller = caller;
  const auto budget = HeaderValue(request.headers, "Jacinth-Deadline-Ms");
  if (budget.empty())
    return {};
  std::int64_t millis = 0;
  const char* end = budget.data() + budget.size();
  const auto [stop, error] = std::from_chars(budget.data(), end, millis);
  if (error != std::errc() || stop != end || millis > kMaxBudgetMs)
    return Fail(ErrorKind::kBadRequest, "malformed Jacinth-Deadline-Ms");
  // A budget of zero is spent; the node reads zero as "none given".
  arrival.budget =
      millis > 0 ? Duration(std::chrono::milliseconds(millis)) : Duration{-1};
  return {};
}

// The target below the service, or nothing if there is none.
std::optional<std::string> TargetBelowService(const Request& request) {
  const std::size_t start = kServicesPrefix.size();
  const std::size_t slash = request.target.find('/', start);
  if (slash == std::string::npos)
    return std::nullopt;
  return request.target.substr(slash);
}

Request MakeOutgoing(const Request& in, std::string target) {
  Request out;
  out.method = in.method;
  out.target = std::move(target);
  out.body = in.body;
  for (const auto& [name, value] : in.headers) {
    const bool own = http::SameName(name, "traceparent") ||
                     http::SameName(name, "Jacinth-Deadline-Ms");
    if (!own && !http::IsHopByHop(name))
      out.headers.emplace_back(name, value);
  }
  return out;
}

Response PassOn(Response response) {
  std::erase_if(response.headers, [](const auto& field) {
    return http::IsHopByHop(field.first) ||
           http::SameName(field.first, "Jacinth-Outcome");
  });
  response.headers.emplace_back("Jacinth-Outcome", OutcomeName(Outcome::kRan));
  return response;
}

// The answer to a request that the control thread ended before.
entry::RequestAnswer EndedAnswer(entry::RequestTicket ticket, bool attempted) {
  entry::RefuseRequest refusal;
  refusal.error = {ErrorKind::kDraining, "the instance has ended"};
  refusal.outcome = attempted ? Outcome::kUnknown : Outcome::kNotRun;
  return {ticket, std::move(refusal)};
}

}  // namespace

Response EntryHost::HandleForward(const Request& request) {
  const auto target = TargetBelowService(request);
  const std::size_t slash = request.path.find('/', kServicesPrefix.size());
  if (!target || slash == std::string::npos) {
    return ProblemResponse(
        {ErrorKind::kUnknownPath, "a path must follow the service"});
  }
  entry::RequestArrived arrival;
  arrival.service = request.path.substr(kServicesPrefix.size(),
                                        slash - kServicesPrefix.size());
  arrival.method = request.method;
  arrival.path = request.path.substr(slash);
  if (auto read = ReadHeaders(request, arrival); !read)
    return ProblemResponse(read.error());
  const Snapshot snapshot = snapshot_.load();
  if (snapshot == nullptr || snapshot->fleet == nullptr)
    return ProblemResponse({ErrorKind::kNotReady, "no settings received yet"});
  const auto max_body =
      static_cast<std::size_t>(snapshot->fleet->max_body_bytes);
  if (request.body.size() > max_body) {
    return ProblemResponse(
        {ErrorKind::kBodyTooLarge,
         "the body exceeds " + std::to_string(max_body) + " bytes"});
  }

  trace::Span span;
  const auto parent =
      trace::ParseTraceparent(HeaderValue(request.headers, "traceparent"));
  const entry::RequestTicket ticket = ++last_ticket_;
  const bool sampled =
      static_cast<int>(ticket % 100) < settings_.trace_sample_percent;
  span.context = parent ? trace::NewChild(*parent) : trace::NewTrace(sampled);
  if (parent)
    span.parent_span_id = parent->span_id;
  span.name = "entry.request";
  span.start_unix_ns = trace::UnixNanos();
  const Time start = MonotonicNow();

  arrival.ticket = ticket;
  arrival.fingerprint = Hash64(request.body, Hash64(request.method + *target));
  if (span.context.sampled)
    arrival.traceparent = trace::FormatTraceparent(span.context);
  const std::string service = arrival.service;
  Response response = RunRequest(MakeOutgoing(request, *target),
                                 std::move(arrival), span.context);
  response.headers.emplace_back("traceparent",
                                trace::FormatTraceparent(span.context));
  const std::string outcome(HeaderValue(response.headers, "Jacinth-Outcome"));
  metrics_.Record("jacinth_request_seconds", MonotonicNow() - start);
  metrics_.Count(metrics::Series("jacinth_requests_total", "outcome", outcome));
  span.end_unix_ns = trace::UnixNanos();
  span.attributes = {{"service", service},
                     {"outcome", outcome},
                     {"status", std::to_string(response.status)}};
  span.failed = outcome != OutcomeName(Outcome::kRan);
  spans_.Add(std::move(span));
  return response;
}

Response EntryHost::RunRequest(const Request& request,
                               entry::RequestArrived arrival,
                               const trace::SpanContext& context) {
  const entry::RequestTicket ticket = arrival.ticket;
  const Snapshot snapshot = snapshot_.load();
  const auto max_body =
      static_cast<std::size_t>(snapshot->fleet->max_body_bytes);
  const auto service = snapshot->fleet->services.find(arrival.service);
  const auto* kind =
      service == snapshot->fleet->services.end()
          ? nullptr
          : service->second.FindKind(arrival.method, arrival.path);
  const bool repeatable = kind != nullptr && kind->repeatable;
  auto call = std::make_shared<PendingCall>();
  asio::post(context_, [this, call, arrival = std::move(arrival)] {
    calls_[arrival.ticket] = call;
    Step(arrival);
  });
  Response last;
  bool attempted = false;
  while (true) {
    std::optional<CallOrder> order = call->WaitFor(kEndCheckInterval);
    if (!order && !ended_)
      continue;
    if (!order)
      order = EndedAnswer(ticket, attempted);
    if (const auto* answer = std::get_if<entry::RequestAnswer>(&*order))
      return MakeAnswer(*answer, std::move(last));
    const auto& attempt = std::get<entry::StartAttempt>(*order);
    attempted = true;
    ForwardResult result =
        forwarder_.Run(attempt, request, repeatable, max_body, context);
    last = std::move(result.response);
    result.ended.ticket = ticket;
    asio::post(context_,
               [this, ended = std::move(result.ended)] { Step(ended); });
  }
}

Response EntryHost::MakeAnswer(const entry::RequestAnswer& answer,
                               Response last) const {
  if (std::holds_alternative<entry::PassOnAnswer>(answer.body))
    return PassOn(std::move(last));
  if (const auto* repeat = std::get_if<entry::RepeatAnswer>(&answer.body)) {
    if (repeat->answer.body_dropped) {
      Response response =
          ProblemResponse({ErrorKind::kAnswerIncomplete,
                           "the request ran with status " +
                               std::to_string(repeat->answer.status) +
                               "; its answer was too large to keep"},
                          Outcome::kRan);
      response.headers.emplace_back("Jacinth-Replayed", "true");
      return response;
    }
    Response response;
    response.status = repeat->answer.status;
    response.content_type = repeat->answer.content_type;
    response.body = repeat->answer.body;
    response.headers.emplace_back("Jacinth-Outcome",
                                  OutcomeName(Outcome::kRan));
    response.headers.emplace_back("Jacinth-Replayed", "true");
    return response;
  }
  const auto& refusal = std::get<entry::RefuseRequest>(answer.body);
  metrics_.Count(metrics::Series("jacinth_errors_total", "kind",
                                 AnswerFor(refusal.error.kind).name));
  Response response = ProblemResponse(refusal.error, refusal.outcome);
  if (refusal.retry_after > Duration{0}) {
    response.headers.emplace_back(
        "Retry-After",
        std::to_string((ToMillis(refusal.retry_after) + 999) / 1000));
  }
  return response;
}

}  // namespace jacinth
