#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <malloc.h>
#include <popt.h>
#include <string>

#include "core/log/log.h"
#include "core/settings/instance_settings.h"
#include "core/settings/settings_page.h"
#include "jacinthroute/handled_signals.h"
#include "jacinthroute/instance.h"
#include "jacinthroute/interface_components.h"
#include "platform/platform_components.h"

namespace {

constexpr int kExitUsage = 1;
constexpr int kExitInvalidSettings = 2;
/// Environment variable with the path of the settings file; used if the command
/// line gives none.
constexpr const char* kSettingsVariable = "JACINTHROUTE_SETTINGS";

struct CommandLine {
  char* settings_file = nullptr;
  int check = 0;
  int version = 0;
  int settings_page = 0;
};

// Returns false after printing an error message.
bool ParseCommandLine(int argc, const char** argv, CommandLine& command_line) {
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &command_line.settings_file, 0,
       "Path of the settings file of this instance", "FILE"},
      {"check", 'c', POPT_ARG_NONE, &command_line.check, 0,
       "Check the settings and exit", nullptr},
      {"version", 'v', POPT_ARG_NONE, &command_line.version, 0,
       "Print the version and exit", nullptr},
      {"settings-page", 0, POPT_ARG_NONE, &command_line.settings_page, 0,
       "Print docs/SETTINGS.md and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("jacinthroute", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << "jacinthroute: " << poptBadOption(context, 0) << ": "
              << poptStrerror(result) << "\n";
  }
  const bool has_extra_argument =
      result == -1 && poptPeekArg(context) != nullptr;
  if (has_extra_argument)
    std::cerr << "jacinthroute: unexpected positional argument\n";
  poptFreeContext(context);
  return result == -1 && !has_extra_argument;
}

jacinth::settings::ParsedInstanceSettings ReadSettings(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    jacinth::settings::ParsedInstanceSettings unreadable;
    unreadable.faults.push_back(
        {"", "", 0, "the settings file can't be opened"});
    return unreadable;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return jacinth::settings::ParseInstanceSettings(text);
}

jacinth::InterfaceComponents MakeComponents(jacinth::InterfaceKind interface) {
  if (interface == jacinth::InterfaceKind::kPlatform)
    return jacinth::platform::MakePlatformComponents();
  return jacinth::MakeNativeComponents();
}

int RunInstance(const std::string& path, bool check_only) {
  jacinth::settings::ParsedInstanceSettings parsed = ReadSettings(path);
  if (!parsed.faults.empty()) {
    std::cerr << jacinth::settings::FormatFaults(path, parsed.faults);
    return kExitInvalidSettings;
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    return EXIT_SUCCESS;
  }
  jacinth::log::Start(parsed.settings.log_level, parsed.settings.id);
  const jacinth::InterfaceKind interface = parsed.settings.interface;
  jacinth::Instance instance(std::move(parsed.settings),
                             MakeComponents(interface),
                             [path] { return ReadSettings(path); });
  const auto result = instance.Run();
  if (!result) {
    jacinth::log::Failure(jacinth::log::Category::kMain,
                          result.error().detail + ".");
    jacinth::log::Stop();
    // Exits without joining the threads of a partially started instance.
    std::_Exit(jacinth::GetErrorKindInfo(result.error().kind).exit_code);
  }
  jacinth::log::Stop();
  return EXIT_SUCCESS;
}

// Gives the memory of large messages back to the system as soon as they end. By
// default the allocator keeps ever larger ones once the first was freed.
void ReturnLargeBuffers() {
  constexpr int kLargeBytes = 128 * 1'024;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBytes);
}

}  // namespace

int main(int argc, const char** argv) {
  // The default action of these signals would end the process. They stay
  // pending until the instance handles them.
  jacinth::BlockHandledSignals();
  ReturnLargeBuffers();
  CommandLine command_line;
  if (!ParseCommandLine(argc, argv, command_line))
    return kExitUsage;
  if (command_line.version != 0) {
    std::cout << "jacinthroute " << JACINTH_VERSION << "\n";
    return EXIT_SUCCESS;
  }
  if (command_line.settings_page != 0) {
    std::cout << jacinth::settings::GenerateSettingsPage();
    return EXIT_SUCCESS;
  }
  const char* environment_path = std::getenv(kSettingsVariable);
  const char* path = command_line.settings_file != nullptr
                         ? command_line.settings_file
                         : environment_path;
  if (path == nullptr) {
    std::cerr << "jacinthroute: no settings file; pass --settings FILE or set "
                 "JACINTHROUTE_SETTINGS\n";
    return kExitUsage;
  }
  return RunInstance(path, command_line.check != 0);
}
