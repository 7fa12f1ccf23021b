#include "core/admin/admin_body.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/http/problem.h"
#include "core/settings/ini_document.h"
#include "core/settings/tree_table.h"
#include "core/settings/tree_validation.h"

namespace jacinth::admin {
namespace {

using nlohmann::json;
using protocol::BranchChange;
using protocol::ChangeSettings;
using settings::SettingFaults;
using settings::Tree;

http::Response JsonResponse(const json& body) {
  http::Response response;
  response.content_type = "application/json";
  response.body =
      body.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

bool IsJson(const http::Request& request) {
  return http::HeaderValue(request.headers, "Content-Type")
             .substr(0, std::string_view("application/json").size()) ==
         "application/json";
}

BranchChange ParseJsonBranch(const std::string& branch,
                             const json& values,
                             SettingFaults& faults) {
  BranchChange change{branch, {}};
  if (!values.is_object()) {
    faults.push_back(
        {branch, "", 0, "must be a JSON object of keys and string values"});
    return change;
  }
  for (const auto& [key, value] : values.items()) {
    if (!value.is_string()) {
      faults.push_back({branch, key, 0, "must be a JSON string"});
      continue;
    }
    change.values[key] = value.get<std::string>();
  }
  return change;
}

void ParseJsonChange(const std::string& body,
                     const std::string& branch,
                     ChangeSettings& change,
                     SettingFaults& faults) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    faults.push_back({branch, "", 0, "the body is not a JSON object"});
    return;
  }
  if (!change.replace_all) {
    change.changes.push_back(ParseJsonBranch(branch, document, faults));
    return;
  }
  for (const auto& [name, values] : document.items())
    change.changes.push_back(ParseJsonBranch(name, values, faults));
}

void ParseIniBranch(const std::string& body,
                    const std::string& branch,
                    ChangeSettings& change,
                    SettingFaults& faults) {
  const settings::IniDocument document = settings::ParseIni(body);
  faults = document.faults;
  BranchChange item{branch, {}};
  for (const settings::IniEntry& entry : document.entries) {
    if (!entry.section.empty()) {
      faults.push_back(
          {entry.section, entry.key, entry.line,
           "the body for a single branch must not contain sections"});
      continue;
    }
    item.values[entry.key] = entry.value;
  }
  change.changes.push_back(std::move(item));
}

void ParseIniTree(const std::string& body,
                  ChangeSettings& change,
                  SettingFaults& faults) {
  settings::ParsedTree parsed = settings::ParseTree(body);
  faults = std::move(parsed.faults);
  for (const auto& [branch, values] : parsed.tree.branches())
    change.changes.push_back({branch, values});
}

json EntryToJson(const protocol::EntryStatus& entry) {
  return {{"id", entry.id},
          {"region", entry.region},
          {"failure_domain", entry.failure_domain},
          {"address", entry.address},
          {"revision", entry.revision},
          {"draining", entry.draining}};
}

}  // namespace

ChangeSettings ParseChange(const http::Request& request,
                           const std::string& branch,
                           SettingFaults& faults) {
  ChangeSettings change;
  change.replace_all = branch.empty();
  if (IsJson(request))
    ParseJsonChange(request.body, branch, change, faults);
  else if (change.replace_all)
    ParseIniTree(request.body, change, faults);
  else
    ParseIniBranch(request.body, branch, change, faults);
  return change;
}

http::Response FaultResponse(const SettingFaults& faults) {
  http::Response response = http::ProblemResponse(
      {ErrorKind::kInvalidSettings, settings::FormatFaults("", faults)});
  json body = json::parse(response.body);
  body["faults"] = json::array();
  for (const settings::SettingFault& fault : faults) {
    body["faults"].push_back({{"branch", fault.branch},
                              {"key", fault.key},
                              {"line", fault.line},
                              {"reason", fault.reason}});
  }
  response.body =
      body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

http::Response TreeResponse(const Tree& tree, bool as_json) {
  if (as_json)
    return JsonResponse(json(tree.branches()));
  http::Response response;
  response.content_type = "text/plain";
  response.body = tree.ToIni();
  return response;
}

http::Response BranchResponse(const Tree::Values& values, bool as_json) {
  if (as_json)
    return JsonResponse(json(values));
  http::Response response;
  response.content_type = "text/plain";
  response.body = settings::ValuesToIni(values);
  return response;
}

http::Response EffectiveResponse(const Tree& tree, const std::string& branch) {
  json body = json::object();
  const auto scope = settings::FindBranchScope(branch);
  for (const settings::TreeSettingSpec& item : settings::TreeSettingTable()) {
    const auto scopes = static_cast<settings::BranchScopeMask>(
        scope.value_or(settings::BranchScope::kRoot));
    if ((item.scopes & scopes) == 0)
      continue;
    const std::string key(item.key);
    if (const auto effective = tree.FindEffectiveValue(branch, item.key)) {
      body[key] = {
          {"value", effective->value},
          {"source", effective->source.empty() ? "root" : effective->source}};
      continue;
    }
    if (!item.default_value.empty())
      body[key] = {{"value", item.default_value}, {"source", "default"}};
  }
  return JsonResponse(body);
}

http::Response MembersResponse(const control::ControlView& view) {
  json body;
  body["leader"] = view.leader;
  body["replicas_settled"] = view.replicas_settled;
  body["replicas"] = json::array();
  for (const std::string& id : view.replicas.voters)
    body["replicas"].push_back({{"id", id}, {"voter", true}});
  for (const std::string& id : view.replicas.learners)
    body["replicas"].push_back({{"id", id}, {"voter", false}});
  body["entries"] = json::array();
  for (const auto& entry : view.entries)
    body["entries"].push_back(EntryToJson(entry));
  return JsonResponse(body);
}

http::Response InForceResponse(const control::ControlView& view) {
  json body;
  body["revision"] = view.revision;
  body["entries"] = json::array();
  bool everywhere = true;
  for (const auto& entry : view.entries) {
    body["entries"].push_back({{"id", entry.id}, {"revision", entry.revision}});
    everywhere &= entry.revision >= view.revision;
  }
  body["everywhere"] = everywhere;
  return JsonResponse(body);
}

http::Response AuditResponse(const control::ControlView& view) {
  json body = json::array();
  for (const auto& item : view.audit) {
    body.push_back({{"revision", item.revision},
                    {"time_unix_ms", item.wall_ms},
                    {"operator", item.operator_name},
                    {"branches", item.branches}});
  }
  return JsonResponse(body);
}

http::Response StatusResponse(const control::ControlView& view) {
  json body;
  body["replica"] = view.replica;
  body["leader"] = view.leader;
  body["current"] = view.current;
  body["term"] = view.term;
  body["commit_index"] = view.commit_index;
  body["revision"] = view.revision;
  body["ledger_rows"] = view.ledger_rows;
  body["entries"] = view.entries.size();
  return JsonResponse(body);
}

http::Response RevisionResponse(std::uint64_t revision) {
  http::Response response = JsonResponse({{"revision", revision}});
  response.headers.emplace_back("ETag", "\"" + std::to_string(revision) + "\"");
  return response;
}

}  // namespace jacinth::admin
