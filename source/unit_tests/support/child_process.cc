#include "unit_tests/support/child_process.h"

#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <unistd.h>

#include <sys/wait.h>

namespace jacinth::test {
namespace {

/// A signal that no program of the tests handles.
constexpr int kUnhandledSignal = SIGUSR1;

// Parses the set of signals in a line of /proc/PID/status.
std::uint64_t ParseSignalSet(const std::string& line) {
  return std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
}

bool HasSignal(std::uint64_t signals, int signal) {
  return (signals >> static_cast<unsigned>(signal - 1) & 1U) != 0;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& folder,
                           const std::string& log_file) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addchdir_np(&actions, folder.c_str());
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> command_line = {program};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(command_line.size() + 1);
  for (std::string& argument : command_line)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::runtime_error("failed to start program " + program);
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Signal(int signal) {
  if (pid_ > 0)
    kill(pid_, signal);
}

bool ChildProcess::Handles(int signal) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::uint64_t blocked = 0;
  std::uint64_t caught = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("SigBlk:"))
      blocked = ParseSignalSet(line);
    else if (line.starts_with("SigCgt:"))
      caught = ParseSignalSet(line);
  }
  // OpenSSL blocks all signals for a moment when it is loaded.
  const bool blocks_all = HasSignal(blocked, kUnhandledSignal);
  return HasSignal(caught, signal) ||
         (HasSignal(blocked, signal) && !blocks_all);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Wait();
}

bool ChildProcess::HasEnded() const {
  siginfo_t info{};
  return pid_ > 0 &&
         waitid(P_PID, static_cast<id_t>(pid_), &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == pid_;
}

int ChildProcess::Wait() {
  if (pid_ <= 0)
    return kNotRunning;
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace jacinth::test
