#include "jacinthctl/command_line.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <popt.h>
#include <string_view>

#include "core/common/split.h"

namespace jacinth::ctl {
namespace {

constexpr int kDefaultTimeoutMs = 10'000;
constexpr int kHelpOption = 'h';

constexpr std::string_view kHelpText =
    "Usage: jacinthctl [OPTIONS] COMMAND\n"
    "\n"
    "Commands:\n"
    "  lookup SERVICE              entry instances to send requests to;\n"
    "                              asks an entry instance\n"
    "  settings get [BRANCH]       settings of a branch or the whole tree\n"
    "  settings set BRANCH K=V...  change values; K= removes one\n"
    "  settings apply FILE         replace the whole tree\n"
    "  settings check FILE         check a tree without a server\n"
    "  settings history            accepted changes\n"
    "  drain KIND/NAME             stop new requests, e.g. entry/e1,\n"
    "                              endpoint/SERVICE/NAME, region/west,\n"
    "                              failure_domain/west/a\n"
    "  undrain KIND/NAME           allow new requests again\n"
    "  members                     replicas and entry instances\n"
    "  in-force                    revision in force on each entry\n"
    "  status                      state of the replica that answers\n"
    "  audit                       accepted changes: operator, time, branches\n"
    "  new-key                     print a new idempotency key\n"
    "\n"
    "Options:\n"
    "  -s, --server=IP:PORT[,...]  servers to try (or JACINTH_SERVER)\n"
    "  -t, --token-file=FILE       operator's token (or JACINTH_TOKEN)\n"
    "  -o, --output=text|json      output format\n"
    "      --if-match=REVISION     apply a change only to this revision\n"
    "      --idempotency-key=KEY   key of an earlier change to resend\n"
    "      --effective             show inherited values and their source\n"
    "  -w, --wait                  wait until the change is in force\n"
    "      --timeout-ms=N          time limit, 10000 by default\n"
    "      --version               print the version\n"
    "  -h, --help                  print this help\n"
    "\n"
    "Exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 unreachable,\n"
    "5 failed, 6 outcome unknown.\n";

struct RawOptions {
  char* servers = nullptr;
  char* token_file = nullptr;
  char* output = nullptr;
  char* if_match = nullptr;
  char* key = nullptr;
  int effective = 0;
  int wait = 0;
  int timeout_ms = kDefaultTimeoutMs;
  int version = 0;
};

std::string OptionOrEnvironment(const char* text,
                                const char* environment_variable = nullptr) {
  if (text != nullptr)
    return text;
  const char* environment_value = environment_variable == nullptr
                                      ? nullptr
                                      : std::getenv(environment_variable);
  return environment_value == nullptr ? "" : environment_value;
}

bool ReadToken(const RawOptions& raw, CommandLine& command_line) {
  if (raw.token_file == nullptr) {
    command_line.token = OptionOrEnvironment(nullptr, "JACINTH_TOKEN");
    return true;
  }
  std::ifstream file(raw.token_file);
  if (!file) {
    std::cerr << "jacinthctl: can't read token file " << raw.token_file << "\n";
    return false;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  command_line.token = Trim(text);
  return true;
}

bool ApplyOptions(const RawOptions& raw, CommandLine& command_line) {
  const std::string output = OptionOrEnvironment(raw.output);
  if (output == "json") {
    command_line.output = OutputFormat::kJson;
  } else if (!output.empty() && output != "text") {
    std::cerr << "jacinthctl: --output must be text or json\n";
    return false;
  }
  command_line.servers =
      SplitList(OptionOrEnvironment(raw.servers, "JACINTH_SERVER"));
  command_line.if_match = OptionOrEnvironment(raw.if_match);
  command_line.idempotency_key = OptionOrEnvironment(raw.key);
  command_line.effective = raw.effective != 0;
  command_line.wait = raw.wait != 0;
  command_line.timeout = std::chrono::milliseconds(raw.timeout_ms);
  return ReadToken(raw, command_line);
}

}  // namespace

bool ParseCommandLine(int argc, const char** argv, CommandLine& command_line) {
  RawOptions raw;
  const poptOption options[] = {
      {"server", 's', POPT_ARG_STRING, &raw.servers, 0, nullptr, nullptr},
      {"token-file", 't', POPT_ARG_STRING, &raw.token_file, 0, nullptr,
       nullptr},
      {"output", 'o', POPT_ARG_STRING, &raw.output, 0, nullptr, nullptr},
      {"if-match", 0, POPT_ARG_STRING, &raw.if_match, 0, nullptr, nullptr},
      {"idempotency-key", 0, POPT_ARG_STRING, &raw.key, 0, nullptr, nullptr},
      {"effective", 0, POPT_ARG_NONE, &raw.effective, 0, nullptr, nullptr},
      {"wait", 'w', POPT_ARG_NONE, &raw.wait, 0, nullptr, nullptr},
      {"timeout-ms", 0, POPT_ARG_INT, &raw.timeout_ms, 0, nullptr, nullptr},
      {"version", 0, POPT_ARG_NONE, &raw.version, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, nullptr, nullptr},
      POPT_TABLEEND};
  poptContext context = poptGetContext("jacinthctl", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << "jacinthctl: " << poptBadOption(context, 0) << ": "
              << poptStrerror(result) << "\n";
  }
  while (const char* arg = poptGetArg(context))
    command_line.args.emplace_back(arg);
  poptFreeContext(context);
  if (result < -1)
    return false;
  command_line.done = result == kHelpOption || raw.version != 0;
  if (result == kHelpOption)
    std::cout << kHelpText;
  else if (raw.version != 0)
    std::cout << "jacinthctl " << JACINTH_VERSION << "\n";
  if (command_line.done)
    return true;
  if (command_line.args.empty()) {
    std::cerr << "jacinthctl: no command given; see --help\n";
    return false;
  }
  return ApplyOptions(raw, command_line);
}

}  // namespace jacinth::ctl
