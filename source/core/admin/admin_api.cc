#include "core/admin/admin_api.h"

#include <charconv>
#include <optional>
#include <utility>

#include "core/admin/admin_body.h"
#include "core/admin/drain_target.h"
#include "core/common/hash.h"
#include "core/common/sha256.h"
#include "core/common/split.h"
#include "core/http/problem.h"
#include "core/http/status.h"

namespace jacinth::admin {
namespace {

using control::AdminReply;
using control::CallRefused;
using control::ControlView;
using http::HeaderValue;
using http::ProblemResponse;
using http::Request;
using http::Response;
using protocol::ChangeSettings;
using settings::OperatorSettings;

constexpr std::string_view kSettingsPath = "/v1/settings";
constexpr std::string_view kDrainsPath = "/v1/drains/";
constexpr int kMaxDrainTries = 5;

// Returns the part of `path` after `base` and a slash, which is empty for
// `base` itself. Returns nothing if `path` is not below `base`.
std::optional<std::string> RelativePath(const std::string& path,
                                        std::string_view base) {
  if (path == base)
    return "";
  if (path.rfind(std::string(base) + "/", 0) != 0)
    return std::nullopt;
  return path.substr(base.size() + 1);
}

std::optional<std::uint64_t> ParseRevision(std::string_view text) {
  text = Trim(text);
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
    text = text.substr(1, text.size() - 2);
  std::uint64_t revision = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, revision);
  if (text.empty() || error != std::errc() || parsed_end != end)
    return std::nullopt;
  return revision;
}

bool AcceptsJson(const Request& request) {
  return HeaderValue(request.headers, "Accept").find("json") !=
         std::string_view::npos;
}

void AddETag(Response& response, std::uint64_t revision) {
  response.headers.emplace_back("ETag", "\"" + std::to_string(revision) + "\"");
}

}  // namespace

AdminApi::AdminApi(std::vector<OperatorSettings> operators,
                   std::map<std::string, std::string> admin_addresses,
                   ControlCalls calls)
    : operators_(std::move(operators)),
      admin_addresses_(std::move(admin_addresses)),
      calls_(std::move(calls)) {}

Response AdminApi::Handle(const Request& request) const {
  const OperatorSettings* operator_settings = FindOperator(request);
  if (operator_settings == nullptr) {
    return ProblemResponse(
        {ErrorKind::kUnauthorized,
         "the bearer token is missing or belongs to no operator"});
  }
  return Dispatch(*operator_settings, request);
}

Response AdminApi::Dispatch(const OperatorSettings& operator_settings,
                            const Request& request) const {
  if (const auto branch = RelativePath(request.path, kSettingsPath)) {
    if (request.method == "GET")
      return GetSettings(request, *branch);
    if (request.method == "PUT")
      return PutSettings(operator_settings, request, *branch);
  }
  if (request.path.rfind(kDrainsPath, 0) == 0) {
    const auto branch =
        FindDrainBranch(request.path.substr(kDrainsPath.size()));
    if (!branch) {
      return ProblemResponse(
          {ErrorKind::kUnknownPath,
           "the path does not name an entry instance, region, failure "
           "domain or endpoint that can be drained: " +
               request.path});
    }
    if (request.method == "POST" || request.method == "DELETE")
      return SetDrain(operator_settings, request, *branch,
                      request.method == "POST");
  }
  const bool status = request.path == "/v1/status";
  const bool known_path = status || request.path == "/v1/members" ||
                          request.path == "/v1/in-force" ||
                          request.path == "/v1/audit";
  if (request.method != "GET" || !known_path) {
    return ProblemResponse(
        {ErrorKind::kUnknownPath, request.method + " " + request.path});
  }
  const AdminReply reply = calls_.view(/*allow_stale=*/status);
  const auto* view = std::get_if<ControlView>(&reply.body);
  if (view == nullptr)
    return RefusalResponse(std::get<CallRefused>(reply.body), request);
  if (status)
    return StatusResponse(*view);
  if (request.path == "/v1/members")
    return MembersResponse(*view);
  if (request.path == "/v1/in-force")
    return InForceResponse(*view);
  return AuditResponse(*view);
}

Response AdminApi::GetSettings(const Request& request,
                               const std::string& branch) const {
  const AdminReply reply = calls_.view(/*allow_stale=*/false);
  const auto* view = std::get_if<ControlView>(&reply.body);
  if (view == nullptr)
    return RefusalResponse(std::get<CallRefused>(reply.body), request);
  const bool effective = request.query.count("effective") != 0;
  const settings::Tree::Values* values = view->tree->Find(branch);
  const bool exists = branch.empty() || values != nullptr ||
                      !view->tree->ChildNames(branch).empty();
  Response response;
  if (!exists) {
    response = ProblemResponse({ErrorKind::kUnknownBranch,
                                "there is no settings branch named " + branch});
  } else if (effective) {
    response = EffectiveResponse(*view->tree, branch);
  } else if (branch.empty()) {
    response = TreeResponse(*view->tree, AcceptsJson(request));
  } else {
    static const settings::Tree::Values kNoValues;
    response = BranchResponse(values == nullptr ? kNoValues : *values,
                              AcceptsJson(request));
  }
  AddETag(response, view->revision);
  return response;
}

Response AdminApi::PutSettings(const OperatorSettings& operator_settings,
                               const Request& request,
                               const std::string& branch) const {
  const auto revision = ParseRevision(HeaderValue(request.headers, "If-Match"));
  if (!revision) {
    return ProblemResponse({ErrorKind::kBadRequest,
                            "If-Match must contain the settings revision that "
                            "the change applies to"});
  }
  if (HeaderValue(request.headers, "Idempotency-Key").empty()) {
    return ProblemResponse(
        {ErrorKind::kMissingIdempotencyKey,
         "a settings change needs an Idempotency-Key header"});
  }
  settings::SettingFaults faults;
  ChangeSettings change = ParseChange(request, branch, faults);
  if (!faults.empty())
    return FaultResponse(faults);
  change.if_revision = *revision;
  return SubmitChange(operator_settings, request, std::move(change));
}

Response AdminApi::SetDrain(const OperatorSettings& operator_settings,
                            const Request& request,
                            const std::string& branch,
                            bool drain) const {
  Response response;
  for (int i = 0; i < kMaxDrainTries; ++i) {
    const AdminReply reply = calls_.view(/*allow_stale=*/false);
    const auto* view = std::get_if<ControlView>(&reply.body);
    if (view == nullptr)
      return RefusalResponse(std::get<CallRefused>(reply.body), request);
    const settings::Tree::Values* current_values = view->tree->Find(branch);
    settings::Tree::Values values =
        current_values == nullptr ? settings::Tree::Values() : *current_values;
    if (drain)
      values["drain"] = "true";
    else
      values.erase("drain");
    const bool unchanged =
        current_values == nullptr ? values.empty() : values == *current_values;
    if (unchanged)
      return RevisionResponse(view->revision);
    ChangeSettings change;
    change.if_revision = view->revision;
    change.changes.push_back({branch, std::move(values)});
    // The intended drain state does not depend on other changes, so after a
    // revision conflict the change is tried again on the newer revision.
    Request keyed_request = request;
    std::string key = "drain-" + branch + "-" + std::to_string(view->revision) +
                      (drain ? "-on" : "-off");
    keyed_request.headers.emplace(keyed_request.headers.begin(),
                                  "Idempotency-Key", std::move(key));
    response =
        SubmitChange(operator_settings, keyed_request, std::move(change));
    if (response.status !=
        GetErrorKindInfo(ErrorKind::kRevisionConflict).http_status)
      return response;
  }
  return response;
}

Response AdminApi::SubmitChange(const OperatorSettings& operator_settings,
                                const Request& request,
                                ChangeSettings change) const {
  change.operator_name = operator_settings.name;
  change.idempotency_key = HeaderValue(request.headers, "Idempotency-Key");
  change.fingerprint =
      Hash64(request.method + " " + request.path + "\n" + request.body,
             change.if_revision);
  const AdminReply reply = calls_.change(operator_settings, std::move(change));
  if (const auto* accepted = std::get_if<control::ChangeAccepted>(&reply.body))
    return RevisionResponse(accepted->revision);
  return RefusalResponse(std::get<CallRefused>(reply.body), request);
}

Response AdminApi::RefusalResponse(const CallRefused& refused,
                                   const Request& request) const {
  Response response = ProblemResponse(refused.error);
  if (refused.error.kind == ErrorKind::kRevisionConflict)
    AddETag(response, refused.revision);
  if (refused.error.kind != ErrorKind::kNotLeader)
    return response;
  const auto leader = admin_addresses_.find(refused.leader);
  if (leader == admin_addresses_.end()) {
    response.headers.emplace_back("Retry-After", "1");
    return response;
  }
  response.status = http::kStatusTemporaryRedirect;
  response.headers.emplace_back("Location",
                                "http://" + leader->second + request.target);
  return response;
}

const OperatorSettings* AdminApi::FindOperator(const Request& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view authorization =
      HeaderValue(request.headers, "Authorization");
  if (authorization.substr(0, kScheme.size()) != kScheme)
    return nullptr;
  const std::string digest = Sha256Hex(authorization.substr(kScheme.size()));
  const OperatorSettings* match = nullptr;
  // Compares with all operators, so that the response time does not reveal
  // which one matched.
  for (const OperatorSettings& candidate : operators_) {
    if (EqualInConstantTime(candidate.token_sha256, digest))
      match = &candidate;
  }
  return match;
}

}  // namespace jacinth::admin
