#include "jacinthroute/native_adapter.h"

#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/hash.h"
#include "core/http/problem.h"
#include "core/http/status.h"
#include "core/steering/lookup.h"
#include "jacinthroute/attempt_end.h"
#include "jacinthroute/notice_reader.h"

namespace jacinth {
namespace {

using forwarding::AttemptEnd;
using forwarding::ProbeEnd;
using http::HeaderValue;
using http::ProblemResponse;
using http::Request;
using http::Response;

constexpr std::string_view kServicesPrefix = "/v1/services/";
/// Present with the value 1 on the answers of an endpoint that leaves.
constexpr std::string_view kLeavingHeader = "Jacinth-Leaving";
constexpr std::int64_t kMaxBudgetMs = 3'600'000;
constexpr std::size_t kMaxIdempotencyKeyLength = 200;
constexpr std::size_t kMaxCallerLength = 100;

bool IsPrintable(std::string_view text) {
  for (const char c : text) {
    if (c <= ' ' || c > '~')
      return false;
  }
  return true;
}

// Validates the request headers that the entry node evaluates and copies them
// to `arrival`.
Result<void> ParseHeaders(const Request& request,
                          entry::RequestArrived& arrival) {
  const auto key = HeaderValue(request.headers, "Idempotency-Key");
  if (key.size() > kMaxIdempotencyKeyLength || !IsPrintable(key))
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
  const auto [parsed_end, error] = std::from_chars(budget.data(), end, millis);
  if (error != std::errc() || parsed_end != end || millis > kMaxBudgetMs)
    return Fail(ErrorKind::kBadRequest, "malformed Jacinth-Deadline-Ms");
  // A budget of zero means that the deadline has passed. It is passed on as a
  // negative budget, because zero means that the caller gave none.
  arrival.budget =
      millis > 0 ? Duration(std::chrono::milliseconds(millis)) : Duration{-1};
  return {};
}

Request MakeOutgoingRequest(const Request& in, std::string target) {
  Request out;
  out.method = in.method;
  out.target = std::move(target);
  out.body = in.body;
  for (const auto& [name, value] : in.headers) {
    const bool set_by_entry =
        http::EqualsIgnoringCase(name, "traceparent") ||
        http::EqualsIgnoringCase(name, "Jacinth-Deadline-Ms");
    if (!set_by_entry && !http::IsHopByHop(name))
      out.headers.emplace_back(name, value);
  }
  return out;
}

// Returns true if an endpoint states that it did not run the request.
bool IsRefusal(const Response& response) {
  return HeaderValue(response.headers, "Jacinth-Outcome") ==
         OutcomeName(Outcome::kNotRun);
}

Response JsonResponse(const nlohmann::json& body) {
  Response response;
  response.content_type = "application/json";
  response.body = body.dump() + "\n";
  return response;
}

Response TextResponse(std::string body) {
  Response response;
  response.content_type = "text/plain";
  response.body = std::move(body);
  return response;
}

Response AnswerLookup(const Request& request, const RequestContext& context) {
  const auto service = request.query.find("service");
  if (service == request.query.end()) {
    return ProblemResponse(
        {ErrorKind::kBadRequest, "the query parameter 'service' is missing"});
  }
  if (context.snapshot == nullptr) {
    return ProblemResponse({ErrorKind::kNotReady, "no settings received yet"});
  }
  const auto client = request.query.find("client");
  const auto answer = steering::AnswerLookup(
      *context.snapshot, service->second,
      client == request.query.end() ? std::string() : client->second,
      context.lookup_offset, context.now);
  if (!answer)
    return ProblemResponse(answer.error());
  nlohmann::json body;
  body["service"] = answer->service;
  body["revision"] = answer->revision;
  body["ttl_ms"] = ToMillis(answer->ttl);
  body["entries"] = nlohmann::json::array();
  for (const steering::LookupEntry& entry : answer->entries) {
    body["entries"].push_back({{"address", entry.address},
                               {"region", entry.region},
                               {"failure_domain", entry.failure_domain},
                               {"weight", entry.weight}});
  }
  Response response = JsonResponse(body);
  response.headers.emplace_back(
      "Cache-Control",
      "max-age=" + std::to_string(ToMillis(answer->ttl) / 1000));
  return response;
}

Response AnswerReadiness(const RequestContext& context) {
  const bool ready = context.snapshot != nullptr &&
                     context.snapshot->fleet != nullptr &&
                     context.now < context.snapshot->contact_until &&
                     !context.snapshot->self.draining;
  Response response = TextResponse(ready ? "ready\n" : "not ready\n");
  response.status = ready ? http::kStatusOk : http::kStatusServiceUnavailable;
  return response;
}

Response AnswerStatus(const RequestContext& context) {
  const auto& snapshot = context.snapshot;
  nlohmann::json body;
  body["instance"] = context.settings.id;
  body["region"] = context.settings.region;
  body["failure_domain"] = context.settings.failure_domain;
  const bool has_settings = snapshot != nullptr && snapshot->fleet != nullptr;
  body["revision"] = has_settings ? snapshot->fleet->revision : 0;
  body["in_contact"] =
      snapshot != nullptr && context.now < snapshot->contact_until;
  body["draining"] = snapshot != nullptr && snapshot->self.draining;
  body["members"] = snapshot == nullptr ? 0 : snapshot->members.size();
  return JsonResponse(body);
}

std::variant<Response, ForwardedRequest> ParseForwardedRequest(
    const Request& request,
    const RequestContext& context) {
  const std::size_t start = kServicesPrefix.size();
  const std::size_t slash = request.target.find('/', start);
  const std::size_t path_slash = request.path.find('/', start);
  if (slash == std::string::npos || path_slash == std::string::npos) {
    return ProblemResponse(
        {ErrorKind::kUnknownPath, "no path follows the service name"});
  }
  ForwardedRequest forwarded;
  entry::RequestArrived& arrival = forwarded.arrival;
  arrival.service = request.path.substr(start, path_slash - start);
  arrival.method = request.method;
  arrival.path = request.path.substr(path_slash);
  if (auto read = ParseHeaders(request, arrival); !read)
    return ProblemResponse(read.error());
  if (context.snapshot == nullptr || context.snapshot->fleet == nullptr)
    return ProblemResponse({ErrorKind::kNotReady, "no settings received yet"});
  const auto max_body =
      static_cast<std::size_t>(context.snapshot->fleet->max_body_bytes);
  if (request.body.size() > max_body) {
    return ProblemResponse(
        {ErrorKind::kBodyTooLarge,
         "the request body exceeds " + std::to_string(max_body) + " bytes"});
  }
  std::string target = request.target.substr(slash);
  arrival.fingerprint = Hash64(request.body, Hash64(request.method + target));
  forwarded.outgoing = MakeOutgoingRequest(request, std::move(target));
  return forwarded;
}

}  // namespace

NativeAdapter::NativeAdapter(const settings::InstanceSettings& /*settings*/) {}

std::variant<Response, ForwardedRequest> NativeAdapter::ParseRequest(
    const Request& request,
    const RequestContext& context) const {
  if (context.uses.callers && request.path.rfind(kServicesPrefix, 0) == 0)
    return ParseForwardedRequest(request, context);
  if (request.method == "GET") {
    if (request.path == "/v1/lookup")
      return AnswerLookup(request, context);
    if (request.path == "/readyz")
      return AnswerReadiness(context);
    if (request.path == "/v1/status")
      return AnswerStatus(context);
    if (request.path == "/healthz")
      return TextResponse("ok\n");
    if (request.path == "/metrics")
      return TextResponse(context.metrics.ToText());
  }
  return ProblemResponse(
      {ErrorKind::kUnknownPath, request.method + " " + request.path});
}

Request NativeAdapter::MakeAttemptRequest(
    const ForwardedRequest& forwarded,
    const entry::StartAttempt& attempt) const {
  Request out = forwarded.outgoing;
  out.headers.emplace_back("Jacinth-Deadline-Ms",
                           std::to_string(ToMillis(attempt.timeout)));
  return out;
}

Request NativeAdapter::MakeRelayRequest(const ForwardedRequest& forwarded,
                                        const entry::StartRelay& relay) const {
  Request out = forwarded.outgoing;
  out.target = std::string(kServicesPrefix) + forwarded.arrival.service +
               forwarded.outgoing.target;
  out.headers.emplace_back("Jacinth-Deadline-Ms",
                           std::to_string(ToMillis(relay.timeout)));
  return out;
}

// Each connection carries one exchange at a time, and answers have no id.
bool NativeAdapter::IsAnswerTo(const ForwardedRequest& /*forwarded*/,
                               const Response& /*response*/) const {
  return true;
}

// A refusal has no id. Repeated on its connection, it would be taken for the
// refusal of a later request.
bool NativeAdapter::KeepsConnection(const ForwardedRequest& /*forwarded*/,
                                    const Response& response) const {
  return !IsRefusal(response);
}

AttemptResult NativeAdapter::ClassifyAttempt(
    const ForwardedRequest& /*forwarded*/,
    const entry::StartAttempt& /*attempt*/,
    const http::ExchangeResult& result) const {
  if (result.end != http::ExchangeEnd::kAnswered)
    return {ToAttemptEnd(result.end), std::nullopt, std::nullopt, {}};
  const bool refused = IsRefusal(result.response);
  AttemptResult attempt_result{
      refused ? AttemptEnd::kRefused : AttemptEnd::kAnswered, std::nullopt,
      std::nullopt, ReadNotices(result.response, kLeavingHeader)};
  attempt_result.rate_limit = ReadRateLimit(
      result.response, "Jacinth-Rate-Limit", attempt_result.notices);
  return attempt_result;
}

Response NativeAdapter::MakeForwardedResponse(
    const ForwardedRequest& /*forwarded*/,
    Response response) const {
  std::erase_if(response.headers, [](const auto& field) {
    return http::IsHopByHop(field.first) ||
           http::EqualsIgnoringCase(field.first, "Jacinth-Outcome");
  });
  response.headers.emplace_back("Jacinth-Outcome", OutcomeName(Outcome::kRan));
  return response;
}

Response NativeAdapter::MakeReplayedResponse(
    const protocol::RecordedAnswer& answer) const {
  // Earlier builds recorded any status as that of an answer.
  if (!http::IsFinalStatus(answer.status)) {
    Response response =
        ProblemResponse({ErrorKind::kAnswerIncomplete,
                         "the recorded answer has no valid status: " +
                             std::to_string(answer.status)},
                        Outcome::kUnknown);
    response.headers.emplace_back("Jacinth-Replayed", "true");
    return response;
  }
  if (answer.body_dropped) {
    Response response = ProblemResponse(
        {ErrorKind::kAnswerIncomplete, "the request ran with status " +
                                           std::to_string(answer.status) +
                                           "; its answer was too large to "
                                           "record"},
        Outcome::kRan);
    response.headers.emplace_back("Jacinth-Replayed", "true");
    return response;
  }
  Response response;
  response.status = answer.status;
  response.content_type = answer.content_type;
  response.body = answer.body;
  response.headers.emplace_back("Jacinth-Outcome", OutcomeName(Outcome::kRan));
  response.headers.emplace_back("Jacinth-Replayed", "true");
  return response;
}

Response NativeAdapter::MakeRefusalResponse(
    const ForwardedRequest& /*forwarded*/,
    const entry::RefuseRequest& refusal) const {
  Response response = ProblemResponse(refusal.error, refusal.outcome);
  if (refusal.retry_after > Duration{0}) {
    response.headers.emplace_back(
        "Retry-After",
        std::to_string((ToMillis(refusal.retry_after) + 999) / 1000));
  }
  return response;
}

Response NativeAdapter::MakeErrorResponse(int status,
                                          const std::string& detail) const {
  ErrorKind kind = ErrorKind::kBadRequest;
  if (status == http::kStatusContentTooLarge)
    kind = ErrorKind::kBodyTooLarge;
  if (status == http::kStatusServiceUnavailable)
    kind = ErrorKind::kOverloaded;
  Response response = ProblemResponse({kind, detail}, Outcome::kNotRun);
  response.status = status;
  return response;
}

Request NativeAdapter::MakeProbeRequest(const entry::StartProbe& probe) const {
  Request request;
  request.method = "GET";
  request.target = probe.path;
  return request;
}

ProbeEnd NativeAdapter::ClassifyProbe(
    const entry::StartProbe& /*probe*/,
    const http::ExchangeResult& result) const {
  if (result.end != http::ExchangeEnd::kAnswered)
    return ProbeEnd::kFailed;
  const bool draining =
      HeaderValue(result.response.headers, "Endpoint-State") == "draining";
  if (draining)
    return ProbeEnd::kDraining;
  return result.response.status == http::kStatusOk ? ProbeEnd::kHealthy
                                                   : ProbeEnd::kFailed;
}

forwarding::EndpointNotices NativeAdapter::ReadProbeNotices(
    const entry::StartProbe& /*probe*/,
    const http::ExchangeResult& result) const {
  if (result.end != http::ExchangeEnd::kAnswered)
    return {};
  return ReadNotices(result.response, kLeavingHeader);
}

Request NativeAdapter::MakeEndpointListRequest(
    const std::string& /*failure_domain*/,
    const std::string& /*page_token*/) const {
  return {};
}

Result<EndpointPage> NativeAdapter::ParseEndpointListPage(
    const Response& /*response*/) const {
  return Fail(ErrorKind::kInternal,
              "the native interface has no endpoint list");
}

}  // namespace jacinth
