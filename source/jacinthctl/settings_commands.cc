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

int Usage(const std::string& text) {
  std::cerr << "jacinthctl: " << text << "; see --help\n";
  return kExitUsage;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return Fail(ErrorKind::kBadRequest, "can't read " + path);
  return std::string{std::istreambuf_iterator<char>(file), {}};
}

std::string TargetOf(const std::string& branch) {
  return std::string(kSettingsTarget) + (branch.empty() ? "" : "/" + branch);
}

Result<http::Response> GetBranch(const CommandLine& line,
                                 const std::string& target) {
  ApiClient client(line.servers, line.token, line.timeout);
  http::Request request;
  request.method = "GET";
  request.target = target;
  if (line.output == OutputFormat::kJson)
    request.headers.emplace_back("Accept", "application/json");
  return client.Call(std::move(request));
}

int Get(const CommandLine& line) {
  std::string target =
      TargetOf(line.words.size() > 2 ? line.words[2] : std::string());
  if (line.effective)
    target += "?effective=1";
  const auto response = GetBranch(line, target);
  if (!response)
    return ReportError(response.error());
  std::cout << response->body;
  return 0;
}

int Put(const CommandLine& line,
        const std::string& branch,
        const std::string& content_type,
        const std::string& body,
        const std::string& revision) {
  ApiClient client(line.servers, line.token, line.timeout);
  http::Request request;
  request.method = "PUT";
  request.target = TargetOf(branch);
  request.headers = {
      {"If-Match", revision},
      {"Idempotency-Key", line.idempotency_key.empty() ? NewIdempotencyKey()
                                                       : line.idempotency_key},
      {"Content-Type", content_type}};
  request.body = body;
  const auto response = client.Call(std::move(request));
  if (!response)
    return ReportError(response.error());
  const json answer = json::parse(response->body, nullptr, false);
  const auto made = answer.value("revision", std::uint64_t{0});
  if (line.output == OutputFormat::kJson)
    std::cout << response->body;
  else
    std::cout << "accepted as revision " << made << "\n";
  return line.wait ? WaitInForce(line, made) : 0;
}

int Set(const CommandLine& line) {
  if (line.words.size() < 4)
    return Usage(
        "settings set needs a branch and at least one key=value argument");
  const std::string& branch = line.words[2];
  CommandLine as_json = line;
  as_json.output = OutputFormat::kJson;
  const auto before = GetBranch(as_json, TargetOf(branch));
  std::map<std::string, std::string> values;
  std::string revision = line.if_match;
  if (before) {
    values = json::parse(before->body).get<decltype(values)>();
    if (revision.empty())
      revision = http::HeaderValue(before->headers, "ETag");
  } else if (before.error().kind != ErrorKind::kUnknownBranch) {
    return ReportError(before.error());
  } else if (revision.empty()) {
    const auto root = GetBranch(as_json, TargetOf(""));
    if (!root)
      return ReportError(root.error());
    revision = http::HeaderValue(root->headers, "ETag");
  }
  for (std::size_t i = 3; i < line.words.size(); ++i) {
    const std::size_t equals = line.words[i].find('=');
    if (equals == std::string::npos)
      return Usage(line.words[i] + " is not of the form key=value");
    const std::string key = line.words[i].substr(0, equals);
    const std::string value = line.words[i].substr(equals + 1);
    if (value.empty())
      values.erase(key);
    else
      values[key] = value;
  }
  return Put(line, branch, "application/json", json(values).dump(), revision);
}

int Check(const CommandLine& line, const std::string& path, std::string& text) {
  auto read = ReadFile(path);
  if (!read)
    return ReportError(read.error());
  text = std::move(*read);
  const settings::ParsedTree parsed = settings::ParseTree(text);
  if (parsed.faults.empty())
    return 0;
  std::cerr << settings::FormatFaults(path, parsed.faults);
  (void)line;
  return kExitRefused;
}

int Apply(const CommandLine& line) {
  std::string text;
  if (const int code = Check(line, line.words[2], text); code != 0)
    return code;
  std::string revision = line.if_match;
  if (revision.empty()) {
    const auto before = GetBranch(line, TargetOf(""));
    if (!before)
      return ReportError(before.error());
    revision = http::HeaderValue(before->headers, "ETag");
  }
  return Put(line, "", "text/plain", text, revision);
}

}  // namespace

int RunSettingsCommand(const CommandLine& line) {
  const std::string command = line.words.size() > 1 ? line.words[1] : "";
  if (command == "get" && line.words.size() <= 3)
    return Get(line);
  if (command == "set")
    return Set(line);
  if (command == "apply" && line.words.size() == 3)
    return Apply(line);
  if (command == "check" && line.words.size() == 3) {
    std::string text;
    const int code = Check(line, line.words[2], text);
    if (code == 0)
      std::cout << line.words[2] << ": ok\n";
    return code;
  }
  if (command == "history") {
    CommandLine audit = line;
    audit.words = {"audit"};
    return RunCommand(audit);
  }
  return Usage("unknown settings command or wrong number of arguments");
}

}  // namespace jacinth::ctl
