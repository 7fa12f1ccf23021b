#include "core/http/problem.h"

#include <nlohmann/json.hpp>

namespace jacinth::http {

Response ProblemResponse(const Error& error, Outcome outcome) {
  const ErrorKindInfo& kind_info = GetErrorKindInfo(error.kind);
  nlohmann::json body;
  body["type"] = "about:blank";
  body["title"] = kind_info.title;
  body["status"] = kind_info.http_status;
  body["kind"] = kind_info.name;
  body["detail"] = error.detail;
  body["outcome"] = OutcomeName(outcome);
  Response response;
  response.status = kind_info.http_status;
  response.headers.emplace_back("Jacinth-Outcome", OutcomeName(outcome));
  response.content_type = "application/problem+json";
  // Details can contain request bytes that are not valid UTF-8.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

Response ProblemResponse(const Error& error) {
  return ProblemResponse(error, GetErrorKindInfo(error.kind).outcome);
}

Error ErrorFromProblem(const Response& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("kind")) {
    return {ErrorKind::kInternal, "unexpected response with status " +
                                      std::to_string(response.status)};
  }
  return {ErrorKindFromName(body.value("kind", "")), body.value("detail", "")};
}

}  // namespace jacinth::http
