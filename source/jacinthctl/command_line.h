#pragma once

#include <string>
#include <vector>

#include "core/common/time.h"

namespace jacinth::ctl {

/// Output format of results.
enum class OutputFormat {
  kText,
  kJson,
};

/// The parsed command line.
struct CommandLine {
  /// Addresses of the servers to try in turn, each `ip:port`.
  std::vector<std::string> servers;
  std::string token;
  OutputFormat output = OutputFormat::kText;
  /// Revision that must be current for a change to apply; empty for whichever
  /// is current.
  std::string if_match;
  std::string idempotency_key;
  /// True to print inherited values and their source.
  bool effective = false;
  /// True to wait until a change is in force on every entry instance.
  bool wait = false;
  Duration timeout{0};
  /// The command, followed by its arguments.
  std::vector<std::string> args;
  /// True if the help or the version was printed, so that no command is run.
  bool done = false;
};

/// Parses the command line. Returns false after printing an error message.
bool ParseCommandLine(int argc, const char** argv, CommandLine& command_line);

}  // namespace jacinth::ctl
