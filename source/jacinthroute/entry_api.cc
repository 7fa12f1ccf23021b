#include <charconv>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "core/common/hash.h"
#include "core/common/process_clock.h"
#include "core/http/problem.h"
#include "core/steering/lookup.h"
#include "jacinthroute/entry_host.h"

namespace jacinth {
namespace {

using http::ProblemResponse;
using http::Request;
using http::Response;

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr int kNotReadyStatus = 503;

Response Json(const nlohmann::json& body) {
  Response response;
  response.content_type = "application/json";
  response.body = body.dump() + "\n";
  return response;
}

}  // namespace

Response EntryHost::HandleHttp(const Request& request) {
  if (request.path.rfind(kServicesPrefix, 0) == 0)
    return HandleForward(request);
  if (request.method == "GET") {
    if (request.path == "/v1/lookup")
      return HandleLookup(request);
    if (request.path == "/readyz")
      return HandleReady();
    if (request.path == "/v1/status")
      return HandleStatus();
    Response response;
    response.content_type = "text/plain";
    if (request.path == "/healthz") {
      response.body = "ok\n";
      return response;
    }
    if (request.path == "/metrics") {
      metrics_.SetGauge("jacinth_connections_waiting",
                        static_cast<double>(server_->waiting()));
      metrics_.SetGauge("jacinth_spans_dropped",
                        static_cast<double>(spans_.dropped()));
      response.body = metrics_.ToText();
      return response;
    }
  }
  return ProblemResponse(
      {ErrorKind::kUnknownPath, request.method + " " + request.path});
}

Response EntryHost::HandleLookup(const Request& request) {
  const Time start = MonotonicNow();
  const auto service = request.query.find("service");
  if (service == request.query.end()) {
    return ProblemResponse(
        {ErrorKind::kBadRequest, "the query must name a service"});
  }
  const Snapshot snapshot = snapshot_.load();
  if (snapshot == nullptr) {
    return ProblemResponse({ErrorKind::kNotReady, "no settings received yet"});
  }
  const auto client = request.query.find("client");
  const auto answer = steering::AnswerLookup(
      *snapshot, service->second,
      client == request.query.end() ? std::string() : client->second,
      lookups_++, start);
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
  Response response = Json(body);
  response.headers.emplace_back(
      "Cache-Control",
      "max-age=" + std::to_string(ToMillis(answer->ttl) / 1000));
  metrics_.Record("jacinth_lookup_seconds", MonotonicNow() - start);
  return response;
}

Response EntryHost::HandleReady() const {
  const Snapshot snapshot = snapshot_.load();
  const bool ready = snapshot != nullptr && snapshot->fleet != nullptr &&
                     MonotonicNow() < snapshot->contact_until &&
                     !snapshot->self.draining;
  Response response;
  response.content_type = "text/plain";
  response.status = ready ? 200 : kNotReadyStatus;
  response.body = ready ? "ready\n" : "not ready\n";
  return response;
}

Response EntryHost::HandleStatus() const {
  const Snapshot snapshot = snapshot_.load();
  nlohmann::json body;
  body["instance"] = settings_.id;
  body["region"] = settings_.region;
  body["failure_domain"] = settings_.failure_domain;
  const bool has_settings = snapshot != nullptr && snapshot->fleet != nullptr;
  body["revision"] = has_settings ? snapshot->fleet->revision : 0;
  body["in_contact"] =
      snapshot != nullptr && MonotonicNow() < snapshot->contact_until;
  body["draining"] = snapshot != nullptr && snapshot->self.draining;
  body["members"] = snapshot == nullptr ? 0 : snapshot->members.size();
  return Json(body);
}

}  // namespace jacinth
