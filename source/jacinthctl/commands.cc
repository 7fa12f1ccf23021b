#include "jacinthctl/commands.h"

#include <cctype>
#include <chrono>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "jacinthctl/api_client.h"
#include "jacinthctl/idempotency_key.h"

namespace jacinth::ctl {
namespace {

using nlohmann::json;

constexpr int kExitUsage = 1;
constexpr Duration kPollInterval = 50ms;

int ReportUsageError(const std::string& text) {
  std::cerr << "jacinthctl: " << text << "; see --help\n";
  return kExitUsage;
}

std::string FormatValue(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints objects as `key: value` lines, and arrays of objects as a line of
// `key=value` pairs for each object.
void PrintText(const json& body, const std::string& indent = "") {
  if (body.is_array()) {
    for (const json& item : body) {
      std::string text = indent;
      for (const auto& [key, value] : item.items())
        text += key + "=" + FormatValue(value) + " ";
      std::cout << text << "\n";
    }
    return;
  }
  for (const auto& [key, value] : body.items()) {
    if (value.is_structured()) {
      std::cout << indent << key << ":\n";
      PrintText(value, indent + "  ");
      continue;
    }
    std::cout << indent << key << ": " << FormatValue(value) << "\n";
  }
}

int PrintResponse(const CommandLine& command_line,
                  const http::Response& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (command_line.output == OutputFormat::kJson || body.is_discarded())
    std::cout << response.body;
  else
    PrintText(body);
  return 0;
}

int GetAndPrint(const CommandLine& command_line, const std::string& target) {
  ApiClient client(command_line.servers, command_line.token,
                   command_line.timeout);
  http::Request request;
  request.method = "GET";
  request.target = target;
  const auto response = client.Call(std::move(request));
  return response ? PrintResponse(command_line, *response)
                  : ReportError(response.error());
}

int SetDrain(const CommandLine& command_line, const std::string& method) {
  if (command_line.args.size() != 2)
    return ReportUsageError("drain and undrain need one argument, KIND/NAME");
  ApiClient client(command_line.servers, command_line.token,
                   command_line.timeout);
  http::Request request;
  request.method = method;
  request.target = "/v1/drains/" + command_line.args[1];
  const auto response = client.Call(std::move(request));
  if (!response)
    return ReportError(response.error());
  PrintResponse(command_line, *response);
  if (!command_line.wait)
    return 0;
  const json body = json::parse(response->body, nullptr, false);
  return WaitInForce(command_line, body.value("revision", std::uint64_t{0}));
}

// Number of entry instances on which a revision is in force, out of all.
struct InForceCount {
  std::size_t in_force = 0;
  std::size_t total = 0;
};

// Returns std::nullopt if the response is malformed.
std::optional<InForceCount> CountInForce(const http::Response& response,
                                         std::uint64_t revision) {
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("entries"))
    return std::nullopt;
  InForceCount count;
  for (const json& entry : body["entries"]) {
    ++count.total;
    if (entry.value("revision", std::uint64_t{0}) >= revision)
      ++count.in_force;
  }
  return count;
}

}  // namespace

int ReportError(const Error& error) {
  const ErrorKindInfo& item = GetErrorKindInfo(error.kind);
  std::cerr << "jacinthctl: " << item.name << ": " << error.detail;
  if (error.detail.empty() || error.detail.back() != '\n')
    std::cerr << "\n";
  return item.exit_code;
}

int WaitInForce(const CommandLine& command_line, std::uint64_t revision) {
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto deadline = std::chrono::steady_clock::now() + command_line.timeout;
  while (true) {
    ApiClient client(command_line.servers, command_line.token,
                     command_line.timeout);
    http::Request request;
    request.method = "GET";
    request.target = "/v1/in-force";
    const auto response = client.Call(std::move(request));
    if (!response)
      return ReportError(response.error());
    const auto count = CountInForce(*response, revision);
    if (!count)
      return ReportError(
          {ErrorKind::kInternal,
           "the answer to /v1/in-force contains no list of entries"});
    if (terminal) {
      std::cerr << "\rin force on " << count->in_force << " of " << count->total
                << " entries ";
    }
    const bool done = count->total > 0 && count->in_force == count->total;
    const bool deadline_passed = std::chrono::steady_clock::now() >= deadline;
    if (terminal && (done || deadline_passed))
      std::cerr << "\n";
    if (done)
      return 0;
    if (deadline_passed) {
      return ReportError({ErrorKind::kTimeout,
                          "the change is accepted but not yet in force on " +
                              std::to_string(count->total - count->in_force) +
                              " entries"});
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int RunCommand(const CommandLine& command_line) {
  const std::string& command = command_line.args[0];
  if (command == "settings")
    return RunSettingsCommand(command_line);
  if (command == "drain")
    return SetDrain(command_line, "POST");
  if (command == "undrain")
    return SetDrain(command_line, "DELETE");
  if (command == "lookup") {
    if (command_line.args.size() != 2)
      return ReportUsageError("lookup needs one argument, SERVICE");
    return GetAndPrint(command_line,
                       "/v1/lookup?service=" + command_line.args[1]);
  }
  if (command == "new-key") {
    std::cout << NewIdempotencyKey() << "\n";
    return 0;
  }
  const bool known_command = command == "members" || command == "in-force" ||
                             command == "status" || command == "audit";
  if (!known_command || command_line.args.size() != 1)
    return ReportUsageError("unknown command or unexpected argument: " +
                            command);
  return GetAndPrint(command_line, "/v1/" + command);
}

}  // namespace jacinth::ctl
