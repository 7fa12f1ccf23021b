#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/settings/tree_validation.h"
#include "jacinthctl/api_client.h"
#include "jacinthctl/commands.h"
#include "jacinthctl/idempotency_key.h"

namespace jacinth::ctl {
namespace {

using nlohmann::json;

constexpr int kExitUsage = 1;
constexpr int kExitRefused = 2;
constexpr std::string_view kSettingsTarget = "/v1/settings";

int ReportUsageError(const std::string& text) {
  std::cerr << "jacinthctl: " << text << "; see --help\n";
  return kExitUsage;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return Fail(ErrorKind::kBadRequest, "can't read " + path);
  return std::string{std::istreambuf_iterator<char>(file), {}};
}

std::string TargetForBranch(const std::string& branch) {
  return std::string(kSettingsTarget) + (branch.empty() ? "" : "/" + branch);
}

Result<http::Response> RequestBranch(const CommandLine& command_line,
                                     const std::string& target) {
  ApiClient client(command_line.servers, command_line.token,
                   command_line.timeout);
  http::Request request;
  request.method = "GET";
  request.target = target;
  if (command_line.output == OutputFormat::kJson)
    request.headers.emplace_back("Accept", "application/json");
  return client.Call(std::move(request));
}

int RunGet(const CommandLine& command_line) {
  std::string target = TargetForBranch(
      command_line.args.size() > 2 ? command_line.args[2] : std::string());
  if (command_line.effective)
    target += "?effective=1";
  const auto response = RequestBranch(command_line, target);
  if (!response)
    return ReportError(response.error());
  std::cout << response->body;
  return 0;
}

int PutSettings(const CommandLine& command_line,
                const std::string& branch,
                const std::string& content_type,
                const std::string& body,
                const std::string& revision) {
  ApiClient client(command_line.servers, command_line.token,
                   command_line.timeout);
  http::Request request;
  request.method = "PUT";
  request.target = TargetForBranch(branch);
  request.headers = {{"If-Match", revision},
                     {"Idempotency-Key", command_line.idempotency_key.empty()
                                             ? NewIdempotencyKey()
                                             : command_line.idempotency_key},
                     {"Content-Type", content_type}};
  request.body = body;
  const auto response = client.Call(std::move(request));
  if (!response)
    return ReportError(response.error());
  const json answer = json::parse(response->body, nullptr, false);
  const auto new_revision = answer.value("revision", std::uint64_t{0});
  if (command_line.output == OutputFormat::kJson)
    std::cout << response->body;
  else
    std::cout << "accepted as revision " << new_revision << "\n";
  return command_line.wait ? WaitInForce(command_line, new_revision) : 0;
}

int RunSet(const CommandLine& command_line) {
  if (command_line.args.size() < 4)
    return ReportUsageError(
        "settings set needs a branch and at least one key=value argument");
  const std::string& branch = command_line.args[2];
  CommandLine json_command_line = command_line;
  json_command_line.output = OutputFormat::kJson;
  const auto current =
      RequestBranch(json_command_line, TargetForBranch(branch));
  std::map<std::string, std::string> values;
  std::string revision = command_line.if_match;
  if (current) {
    values = json::parse(current->body).get<decltype(values)>();
    if (revision.empty())
      revision = http::HeaderValue(current->headers, "ETag");
  } else if (current.error().kind != ErrorKind::kUnknownBranch) {
    return ReportError(current.error());
  } else if (revision.empty()) {
    const auto root = RequestBranch(json_command_line, TargetForBranch(""));
    if (!root)
      return ReportError(root.error());
    revision = http::HeaderValue(root->headers, "ETag");
  }
  for (std::size_t i = 3; i < command_line.args.size(); ++i) {
    const std::size_t separator = command_line.args[i].find('=');
    if (separator == std::string::npos)
      return ReportUsageError(command_line.args[i] +
                              " is not of the form key=value");
    const std::string key = command_line.args[i].substr(0, separator);
    const std::string value = command_line.args[i].substr(separator + 1);
    if (value.empty())
      values.erase(key);
    else
      values[key] = value;
  }
  return PutSettings(command_line, branch, "application/json",
                     json(values).dump(), revision);
}

int CheckFile(const CommandLine& command_line,
              const std::string& path,
              std::string& text) {
  auto contents = ReadFile(path);
  if (!contents)
    return ReportError(contents.error());
  text = std::move(*contents);
  const settings::ParsedTree parsed = settings::ParseTree(text);
  if (parsed.faults.empty())
    return 0;
  std::cerr << settings::FormatFaults(path, parsed.faults);
  (void)command_line;
  return kExitRefused;
}

int RunApply(const CommandLine& command_line) {
  std::string text;
  if (const int exit_code = CheckFile(command_line, command_line.args[2], text);
      exit_code != 0)
    return exit_code;
  std::string revision = command_line.if_match;
  if (revision.empty()) {
    const auto current = RequestBranch(command_line, TargetForBranch(""));
    if (!current)
      return ReportError(current.error());
    revision = http::HeaderValue(current->headers, "ETag");
  }
  return PutSettings(command_line, "", "text/plain", text, revision);
}

}  // namespace

int RunSettingsCommand(const CommandLine& command_line) {
  const std::string command =
      command_line.args.size() > 1 ? command_line.args[1] : "";
  if (command == "get" && command_line.args.size() <= 3)
    return RunGet(command_line);
  if (command == "set")
    return RunSet(command_line);
  if (command == "apply" && command_line.args.size() == 3)
    return RunApply(command_line);
  if (command == "check" && command_line.args.size() == 3) {
    std::string text;
    const int exit_code = CheckFile(command_line, command_line.args[2], text);
    if (exit_code == 0)
      std::cout << command_line.args[2] << ": ok\n";
    return exit_code;
  }
  if (command == "history") {
    CommandLine audit_command_line = command_line;
    audit_command_line.args = {"audit"};
    return RunCommand(audit_command_line);
  }
  return ReportUsageError(
      "unknown settings command or wrong number of arguments");
}

}  // namespace jacinth::ctl
