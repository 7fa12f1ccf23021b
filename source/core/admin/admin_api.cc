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
constexpr int kDrainTries = 5;

// Returns the part of `path` after `prefix` and a slash, which is empty for
// `prefix` itself. Returns nothing if `path` is not below `prefix`.
std::optional<std::string> Below(const std::string& path,
                                 std::string_view prefix) {
  if (path == prefix)
    return "";
  if (path.rfind(std::string(prefix) + "/", 0) != 0)
    return std::nullopt;
  return path.substr(prefix.size() + 1);
}

std::optional<std::uint64_t> ParseRevision(std::string_view text) {
  text = Trim(text);
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
    text = text.substr(1, text.size() - 2);
  std::uint64_t revision = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, revision);
  if (text.empty() || error != std::errc() || stop != end)
    return std::nullopt;
  return revision;
}

bool WantsJson(const Request& request) {
  return HeaderValue(request.headers, "Accept").find("json") !=
         std::string_view::npos;
}

void AddRevision(Response& response, std::uint64_t revision) {
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
  const OperatorSettings* caller = FindOperator(request);
  if (caller == nullptr) {
    return ProblemResponse(
        {ErrorKind::kUnauthorized, "no operator has this bearer token"});
  }
  return Route(*caller, request);
}

Response AdminApi::Route(const OperatorSettings& caller,
                         const Request& request) const {
  if (const auto branch = Below(request.path, kSettingsPath)) {
    if (request.method == "GET")
      return GetSettings(request, *branch);
    if (request.method == "PUT")
      return PutSettings(caller, request, *branch);
  }
  if (request.path.rfind(kDrainsPath, 0) == 0) {
    const auto branch = DrainBranch(request.path.substr(kDrainsPath.size()));
    if (!branch) {
      return ProblemResponse(
          {ErrorKind::kUnknownPath,
           "the path does not name an entry instance, region, failure "
           "domain or endpoint that can be drained: " +
               request.path});
    }
    if (request.method == "POST" || request.method == "DELETE")
      return SetDrain(caller, request, *branch, request.method == "POST");
  }
  const bool status = request.path == "/v1/status";
  const bool known = status || request.path == "/v1/members" ||
                     request.path == "/v1/in-force" ||
                     request.path == "/v1/audit";
  if (request.method != "GET" || !known) {
    return ProblemResponse(
        {ErrorKind::kUnknownPath, request.method + " " + request.path});
  }
  const AdminReply reply = calls_.view(/*allow_stale=*/status);
  const auto* view = std::get_if<ControlView>(&reply.body);
  if (view == nullptr)
    return Refused(std::get<CallRefused>(reply.body), request);
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
    return Refused(std::get<CallRefused>(reply.body), request);
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
    response = TreeResponse(*view->tree, WantsJson(request));
  } else {
    static const settings::Tree::Values kNone;
    response =
        BranchResponse(values == nullptr ? kNone : *values, WantsJson(request));
  }
  AddRevision(response, view->revision);
  return response;
}

Response AdminApi::PutSettings(const OperatorSettings& caller,
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
  return Change(caller, request, std::move(change));
}

Response AdminApi::SetDrain(const OperatorSettings& caller,
                            const Request& request,
                            const std::string& branch,
                            bool drain) const {
  Response response;
  for (int i = 0; i < kDrainTries; ++i) {
    const AdminReply reply = calls_.view(/*allow_stale=*/false);
    const auto* view = std::get_if<ControlView>(&reply.body);
    if (view == nullptr)
      return Refused(std::get<CallRefused>(reply.body), request);
    const settings::Tree::Values* before = view->tree->Find(branch);
    settings::Tree::Values values =
        before == nullptr ? settings::Tree::Values() : *before;
    if (drain)
      values["drain"] = "true";
    else
      values.erase("drain");
    const bool same = before == nullptr ? values.empty() : values == *before;
    if (same)
      return RevisionResponse(view->revision);
    ChangeSettings change;
    change.if_revision = view->revision;
    change.changes.push_back({branch, std::move(values)});
    // The intended drain state does not depend on other changes, so after a
    // revision conflict the change is tried again on the newer revision.
    Request keyed = request;
    std::string key = "drain-" + branch + "-" + std::to_string(view->revision) +
                      (drain ? "-on" : "-off");
    keyed.headers.emplace(keyed.headers.begin(), "Idempotency-Key",
                          std::move(key));
    response = Change(caller, keyed, std::move(change));
    if (response.status !=
        GetErrorKindInfo(ErrorKind::kRevisionConflict).http_status)
      return response;
  }
  return response;
}

Response AdminApi::Change(const OperatorSettings& caller,
                          const Request& request,
                          ChangeSettings change) const {
  change.operator_name = caller.name;
  change.idempotency_key = HeaderValue(request.headers, "Idempotency-Key");
  change.fingerprint =
      Hash64(request.method + " " + request.path + "\n" + request.body,
             change.if_revision);
  const AdminReply reply = calls_.change(caller, std::move(change));
  if (const auto* accepted = std::get_if<control::ChangeAccepted>(&reply.body))
    return RevisionResponse(accepted->revision);
  return Refused(std::get<CallRefused>(reply.body), request);
}

Response AdminApi::Refused(const CallRefused& refused,
                           const Request& request) const {
  Response response = ProblemResponse(refused.error);
  if (refused.error.kind == ErrorKind::kRevisionConflict)
    AddRevision(response, refused.revision);
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
  const std::string_view value = HeaderValue(request.headers, "Authorization");
  if (value.substr(0, kScheme.size()) != kScheme)
    return nullptr;
  const std::string digest = Sha256Hex(value.substr(kScheme.size()));
  const OperatorSettings* found = nullptr;
  // Compares with all operators, so that the response time does not reveal
  // which one matched.
  for (const OperatorSettings& row : operators_) {
    if (EqualInConstantTime(row.token_sha256, digest))
      found = &row;
  }
  return found;
}

}  // namespace jacinth::admin
