#include "jacinthctl/command_line.h"
#include "jacinthctl/commands.h"

int main(int argc, const char** argv) {
  constexpr int kExitUsage = 1;
  jacinth::ctl::CommandLine command_line;
  if (!jacinth::ctl::ParseCommandLine(argc, argv, command_line))
    return kExitUsage;
  if (command_line.done)
    return 0;
  return jacinth::ctl::RunCommand(command_line);
}
