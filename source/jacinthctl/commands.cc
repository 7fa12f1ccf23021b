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

int Usage(const std::string& text) {
  std::cerr << "jacinthctl: " << text << "; see --help\n";
  return kExitUsage;
}

std::string Cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints objects as `key: value` lines, and arrays of objects as a line of
// `key=value` pairs for each object.
void PrintText(const json& body, const std::string& indent = "") {
  if (body.is_array()) {
    for (const json& row : body) {
      std::string text = indent;
      for (const auto& [key, value] : row.items())
        text += key + "=" + Cell(value) + " ";
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
    std::cout << indent << key << ": " << Cell(value) << "\n";
  }
}

int Print(const CommandLine& line, const http::Response& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (line.output == OutputFormat::kJson || body.is_discarded())
    std::cout << response.body;
  else
    PrintText(body);
  return 0;
}

int Get(const CommandLine& line, const std::string& target) {
  ApiClient client(line.servers, line.token, line.timeout);
  http::Request request;
  request.method = "GET";
  request.target = target;
  const auto response = client.Call(std::move(request));
  return response ? Print(line, *response) : ReportError(response.error());
}

int SetDrain(const CommandLine& line, const std::string& method) {
  if (line.words.size() != 2)
    return Usage("drain and undrain need one argument, KIND/NAME");
  ApiClient client(line.servers, line.token, line.timeout);
  http::Request request;
  request.method = method;
  request.target = "/v1/drains/" + line.words[1];
  const auto response = client.Call(std::move(request));
  if (!response)
    return ReportError(response.error());
  Print(line, *response);
  if (!line.wait)
    return 0;
  const json body = json::parse(response->body, nullptr, false);
  return WaitInForce(line, body.value("revision", std::uint64_t{0}));
}

// Number of entry instances on which a revision is in force, out of all.
struct InForceCount {
  std::size_t reached = 0;
  std::size_t all = 0;
};

std::optional<InForceCount> CountInForce(const http::Response& response,
                                         std::uint64_t revision) {
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("entries"))
    return std::nullopt;
  InForceCount count;
  for (const json& entry : body["entries"]) {
    ++count.all;
    if (entry.value("revision", std::uint64_t{0}) >= revision)
      ++count.reached;
  }
  return count;
}

}  // namespace

int ReportError(const Error& error) {
  const ErrorKindInfo& row = GetErrorKindInfo(error.kind);
  std::cerr << "jacinthctl: " << row.name << ": " << error.detail;
  if (error.detail.empty() || error.detail.back() != '\n')
    std::cerr << "\n";
  return row.exit_code;
}

int WaitInForce(const CommandLine& line, std::uint64_t revision) {
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto deadline = std::chrono::steady_clock::now() + line.timeout;
  while (true) {
    ApiClient client(line.servers, line.token, line.timeout);
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
      std::cerr << "\rin force on " << count->reached << " of " << count->all
                << " entries ";
    }
    const bool done = count->all > 0 && count->reached == count->all;
    const bool late = std::chrono::steady_clock::now() >= deadline;
    if (terminal && (done || late))
      std::cerr << "\n";
    if (done)
      return 0;
    if (late) {
      return ReportError({ErrorKind::kTimeout,
                          "the change is accepted but not yet in force on " +
                              std::to_string(count->all - count->reached) +
                              " entries"});
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int RunCommand(const CommandLine& line) {
  const std::string& command = line.words[0];
  if (command == "settings")
    return RunSettingsCommand(line);
  if (command == "drain")
    return SetDrain(line, "POST");
  if (command == "undrain")
    return SetDrain(line, "DELETE");
  if (command == "lookup") {
    if (line.words.size() != 2)
      return Usage("lookup needs one argument, SERVICE");
    return Get(line, "/v1/lookup?service=" + line.words[1]);
  }
  if (command == "new-key") {
    std::cout << NewIdempotencyKey() << "\n";
    return 0;
  }
  const bool known = command == "members" || command == "in-force" ||
                     command == "status" || command == "audit";
  if (!known || line.words.size() != 1)
    return Usage("unknown command or unexpected argument: " + command);
  return Get(line, "/v1/" + command);
}

}  // namespace jacinth::ctl
