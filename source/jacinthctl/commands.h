#pragma once

#include <cstdint>

#include "core/common/error.h"
#include "jacinthctl/command_line.h"

namespace jacinth::ctl {

/// Runs the command and returns the exit code.
int RunCommand(const CommandLine& command_line);

/// Prints an error and returns its exit code.
int ReportError(const Error& error);

/// Runs `settings get|set|apply|check|history` and returns the exit code.
/// `command_line.args` must start with `settings`.
int RunSettingsCommand(const CommandLine& command_line);

/// Waits until `revision` is in force on every entry instance, and returns the
/// exit code. Prints the progress if standard error is a terminal.
int WaitInForce(const CommandLine& command_line, std::uint64_t revision);

}  // namespace jacinth::ctl
