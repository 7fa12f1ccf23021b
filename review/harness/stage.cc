#include "stage.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex record_mutex;

sockaddr_in ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

bool EqualsIgnoringCase(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Waits until the descriptor is ready for `events`; false at `deadline`.
bool WaitFor(int fd, short events, double deadline) {
  while (true) {
    const double left = deadline - Now();
    pollfd descriptor{fd, events, 0};
    const int count =
        poll(&descriptor, 1, std::max(0, static_cast<int>(left * 1000)));
    if (count > 0)
      return true;
    if (count == 0 && Now() >= deadline)
      return false;
    if (count < 0 && errno != EINTR)
      return false;
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) {
  SleepFor(time - Now());
}

void Note(const char* format, ...) {
  static FILE* record = [] {
    const char* path = std::getenv("RECORD");
    return path != nullptr ? std::fopen(path, "w") : stdout;
  }();
  const std::lock_guard lock(record_mutex);
  std::fprintf(record, "%8.3f s  ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record, format, arguments);
  va_end(arguments);
  std::fputc('\n', record);
  std::fflush(record);
}

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void Impossible(const std::string& why) {
  Note("the case couldn't run: %s", why.c_str());
  std::fprintf(stderr, "the case couldn't run: %s\n", why.c_str());
  // Children end with this process (PR_SET_PDEATHSIG).
  std::_Exit(2);
}

// ---------------------------------------------------------------- messages

int Message::status() const {
  const auto space = start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [field, value] : headers) {
    if (EqualsIgnoringCase(field, name))
      return value;
  }
  return "";
}

std::string Message::Method() const {
  return start.substr(0, start.find(' '));
}

std::string Message::Target() const {
  const auto first = start.find(' ');
  if (first == std::string::npos)
    return "";
  return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const Headers& headers,
                        const std::string& body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    out += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

std::string MakeResponse(int status,
                         const Headers& headers,
                         const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// ------------------------------------------------------------------ socket

bool Socket::Connect(const std::string& address,
                     double timeout,
                     int receive_buffer) {
  Close();
  held_.clear();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer != 0)
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  const int one = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  fcntl(fd_, F_SETFL, O_NONBLOCK);
  const sockaddr_in to = ParseAddress(address);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0)
    return true;
  if (errno != EINPROGRESS || !WaitFor(fd_, POLLOUT, Now() + timeout)) {
    Close();
    return false;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    Close();
  return error == 0;
}

bool Socket::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR)
      return false;
    if (!WaitFor(fd_, POLLOUT, Now() + 30))
      return false;
  }
  return true;
}

Message Socket::Read(double deadline, double bytes_per_second) {
  Message message;
  std::size_t head_end = std::string::npos;
  std::size_t body_size = 0;
  const double began = Now();
  double read_bytes = 0;
  std::vector<char> chunk(16 * 1024);
  while (true) {
    if (head_end == std::string::npos) {
      head_end = held_.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        std::istringstream lines(held_.substr(0, head_end));
        std::string line;
        while (std::getline(lines, line)) {
          if (!line.empty() && line.back() == '\r')
            line.pop_back();
          if (message.start.empty()) {
            message.start = line;
            continue;
          }
          const auto colon = line.find(':');
          auto value = line.substr(std::min(line.size(), colon + 1));
          value.erase(0, value.find_first_not_of(' '));
          message.headers.emplace_back(line.substr(0, colon), value);
        }
        body_size = static_cast<std::size_t>(
            std::atoll(message.Header("Content-Length").c_str()));
      }
    }
    if (head_end != std::string::npos &&
        held_.size() >= head_end + 4 + body_size) {
      message.body = held_.substr(head_end + 4, body_size);
      held_.erase(0, head_end + 4 + body_size);
      message.complete = true;
      return message;
    }
    if (bytes_per_second > 0)
      SleepUntil(began + read_bytes / bytes_per_second);
    if (!WaitFor(fd_, POLLIN, deadline)) {
      message.end = "no more bytes until the deadline";
      break;
    }
    const ssize_t count = recv(fd_, chunk.data(), chunk.size(), 0);
    if (count > 0) {
      held_.append(chunk.data(), static_cast<std::size_t>(count));
      read_bytes += static_cast<double>(count);
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    message.end = count == 0 ? "closed" : std::strerror(errno);
    break;
  }
  if (head_end != std::string::npos)
    message.body = held_.substr(head_end + 4);
  return message;
}

bool Socket::WaitClosed(double until) {
  while (true) {
    if (!WaitFor(fd_, POLLIN, until))
      return false;
    char byte = 0;
    const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK);
    if (count > 0)
      return false;
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    return true;
  }
}

bool Socket::HasInput() const {
  pollfd descriptor{fd_, POLLIN, 0};
  return poll(&descriptor, 1, 0) > 0;
}

void Socket::Reset() {
  const linger hard{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  Close();
}

void Socket::Close() {
  if (fd_ >= 0)
    close(fd_);
  fd_ = -1;
}

// ------------------------------------------------------------------ server

Server::Server(const std::string& address, Handler handler)
    : handler_(std::move(handler)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in at = ParseAddress(address);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd_, 512) != 0)
    Impossible("a stand-in can't listen on " + address);
  thread_ = std::thread([this] {
    while (!stopped_) {
      if (!WaitFor(fd_, POLLIN, Now() + 0.1))
        continue;
      const int accepted = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      fcntl(accepted, F_SETFL, O_NONBLOCK);
      const std::lock_guard lock(mutex_);
      open_.push_back(accepted);
      connections_.emplace_back([this, accepted] {
        Socket connection(accepted);
        handler_(connection);
        const std::lock_guard close_lock(mutex_);
        std::erase(open_, accepted);
        connection.Close();
      });
    }
  });
}

Server::~Server() {
  stopped_ = true;
  thread_.join();
  close(fd_);
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_)
      shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& connection : connections_)
    connection.join();
}

// ---------------------------------------------------------------- upstream

Upstream::Upstream(std::string id,
                   std::string service,
                   std::string zone,
                   std::string address,
                   std::function<Work(const Message&)> work)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(std::move(address)),
      work_(std::move(work)) {
  // It has run for a minute, so it is warm.
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count() -
          60'000;
  server_ = std::make_unique<Server>(
      address_, [this](Socket& socket) { Serve(socket); });
}

std::string Upstream::ListEntry() const {
  return R"({"service":")" + service_ + R"(","address":")" + address_ +
         R"(","zone":")" + zone_ +
         R"(","version":"v1","capacity":)" + std::to_string(kSlots) +
         R"(,"state":"ready","warmup_left_ms":0,"id":")" + id_ + R"(","born":)" + std::to_string(born_) + "}";
}

std::vector<Run> Upstream::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<std::string> Upstream::Arrivals() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

bool Upstream::TakeSlot(Socket& socket) {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (running_ < kSlots) {
        ++running_;
        return true;
      }
    }
    if (socket.WaitClosed(Now() + 0.005))
      return false;
  }
}

void Upstream::Serve(Socket& socket) {
  while (true) {
    const Message request = socket.Read(Now() + 10);
    if (!request.complete)
      return;
    const std::string attempt = request.Header("X-Attempt-Id");
    Headers headers{{"X-Attempt-Id", attempt}, {"Keep-Alive", "timeout=10"}};
    if (request.Target() == "/health") {
      if (!socket.Send(MakeResponse(200, {{"X-Instance-Id", id_}}, "")))
        return;
      continue;
    }
    const std::string expected = request.Header("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      headers.emplace_back("X-Not-Executed", "1");
      if (!socket.Send(MakeResponse(421, headers, "")))
        return;
      continue;
    }
    bool full = false;
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(attempt);
      full = running_ >= kSlots && waiting_ >= kQueue;
      waiting_ += full ? 0 : 1;
    }
    Note("%s reaches upstream %s", attempt.c_str(), id_.c_str());
    if (full) {
      headers.emplace_back("X-Not-Executed", "1");
      if (!socket.Send(MakeResponse(503, headers, "")))
        return;
      continue;
    }
    const bool has_slot = TakeSlot(socket);
    {
      const std::lock_guard lock(mutex_);
      --waiting_;
    }
    if (!has_slot) {
      Note("upstream %s drops %s from its queue: its connection was closed",
           id_.c_str(), attempt.c_str());
      return;
    }
    std::size_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      number = runs_.size();
      runs_.push_back({attempt, request.Target(), request.Method(),
                       request.body, Now(), 0, false});
    }
    Note("upstream %s runs %s (%s %s, X-Deadline-Ms %s)", id_.c_str(),
         attempt.c_str(), request.Method().c_str(), request.Target().c_str(),
         request.Header("X-Deadline-Ms").c_str());
    const Work work = work_(request);
    const bool dropped = socket.WaitClosed(Now() + work.seconds);
    {
      const std::lock_guard lock(mutex_);
      runs_[number].ended = Now();
      runs_[number].finished = !dropped;
      --running_;
    }
    if (dropped) {
      Note("upstream %s drops %s: its connection was closed", id_.c_str(),
           attempt.c_str());
      return;
    }
    headers.emplace_back("X-Response-Signature", "sig-" + id_ + "-" + attempt);
    headers.emplace_back("X-Server-Load", "0,0,8");
    Note("upstream %s answers %s with %d and %zu bytes", id_.c_str(),
         attempt.c_str(), work.status, work.body.size());
    if (!socket.Send(MakeResponse(work.status, headers, work.body)))
      return;
  }
}

// ------------------------------------------------------------------- stage

const std::vector<std::pair<std::string, std::string>>& Zones() {
  static const std::vector<std::pair<std::string, std::string>> kZones = {
      {"mor-znojmo", "cz-morava"},   {"cec-melnik", "cz-cechy"},
      {"vys-jihlava", "cz-vysocina"}, {"mor-mikulov", "cz-morava"},
      {"cec-litomerice", "cz-cechy"}, {"vys-trebic", "cz-vysocina"}};
  return kZones;
}

namespace {

// The bounds of the site korkotisk-ls, as its page names them.
const std::vector<std::pair<std::string, std::string>>& Bounds() {
  static const std::vector<std::pair<std::string, std::string>> kBounds = {
      {"seed_lag_s", "3"},          {"reuse_after_s", "2"},
      {"contact_ms", "4000"},       {"ack_ms", "4000"},
      {"sync_s", "4"},              {"drain_ms", "3000"},
      {"grace_s", "6"},             {"loss_slack_ms", "200"},
      {"config_propagation_ms", "2500"}, {"back_ms", "250"},
      {"max_stretch_ms", "6000"},   {"retry_budget_ratio", "0.2"},
      {"retry_window_s", "10"},     {"retry_budget_slack", "62"},
      {"warmup_overshoot", "1.5"},  {"warmup_slack", "5"},
      {"evacuate_ms", "5000"},      {"recovery_s", "15"},
      {"ttl_max_s", "5"},           {"max_region_shift", "0.15"}};
  return kBounds;
}

std::string ReplaceAll(std::string text,
                       const std::string& from,
                       const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

int FreePort(const std::vector<std::string>& hosts) {
  for (int tries = 0; tries < 200; ++tries) {
    int port = 0;
    bool all = true;
    std::vector<int> held;
    for (const std::string& host : hosts) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      held.push_back(fd);
      sockaddr_in at = ParseAddress(host + ":" + std::to_string(port));
      if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
        all = false;
        break;
      }
      socklen_t size = sizeof(at);
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
      port = ntohs(at.sin_port);
    }
    for (const int fd : held)
      close(fd);
    if (all)
      return port;
  }
  Impossible("no free port");
}

}  // namespace

Stage::Stage(int cores, int entries) {
  signal(SIGPIPE, SIG_IGN);
  const char* root = std::getenv("ROOT");
  root_ = root != nullptr ? root : std::filesystem::current_path().string();
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    Impossible("no temporary folder");
  folder_ = pattern;
  // Loopback addresses that no other stage on this machine uses.
  net_ = 64 + static_cast<int>(getpid() % 128);
  cores_.resize(static_cast<std::size_t>(cores));
  entries_.resize(static_cast<std::size_t>(entries));
  for (auto& core : cores_)
    core = std::make_unique<Process>();
  for (auto& entry : entries_)
    entry = std::make_unique<Process>();
  std::vector<std::string> hosts;
  for (int kind = 1; kind <= 4; ++kind) {
    for (int i = 0; i < 20; ++i)
      hosts.push_back(Host(kind, i));
  }
  for (const char* name : {"frontend", "readiness", "directory", "control",
                           "link", "list", "upstream"})
    ports_[name] = FreePort(hosts);
  // The commands and templates of the roles.
  std::istringstream lines(ReadWholeFile(root_ + "/deploy/system.toml"));
  std::string line;
  std::string role;
  while (std::getline(lines, line)) {
    if (line.rfind("[roles.", 0) == 0) {
      role = line.substr(7, line.find(']') - 7);
      continue;
    }
    const auto equals = line.find(" = \"");
    if (!role.empty() && equals != std::string::npos)
      roles_[role][line.substr(0, equals)] =
          line.substr(equals + 4, line.rfind('"') - equals - 4);
  }
  list_ = std::make_unique<Server>(
      Host(3, 0) + ":" + std::to_string(ports_["list"]),
      [this](Socket& socket) { ServeList(socket); });
}

Stage::~Stage() {
  for (auto* group : {&entries_, &cores_}) {
    for (auto& process : *group) {
      if (!process->running)
        continue;
      kill(process->pid, SIGCONT);
      kill(process->pid, SIGKILL);
      waitpid(process->pid, nullptr, 0);
    }
  }
  list_.reset();
  upstreams_.clear();
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(folder_);
}

std::string Stage::Host(int kind, int index) const {
  return "127." + std::to_string(net_) + "." + std::to_string(kind) + "." +
         std::to_string(index + 1);
}

std::string Stage::CoreAddress(int index) const {
  return Host(1, index) + ":" + std::to_string(ports_.at("control"));
}

std::string Stage::EntryAddress(int index) const {
  return Host(2, index) + ":" + std::to_string(ports_.at("frontend"));
}

std::string Stage::DirectoryAddress(int index) const {
  return Host(2, index) + ":" + std::to_string(ports_.at("directory"));
}

std::string Stage::ReadyAddress(int index) const {
  return Host(2, index) + ":" + std::to_string(ports_.at("readiness"));
}

Upstream& Stage::AddUpstream(const std::string& service,
                             const std::string& zone,
                             std::function<Work(const Message&)> work) {
  const std::lock_guard lock(mutex_);
  const auto number = static_cast<int>(upstreams_.size());
  upstreams_.push_back(std::make_unique<Upstream>(
      "i-" + std::to_string(number), service, zone,
      Host(4, number) + ":" + std::to_string(ports_.at("upstream")),
      std::move(work)));
  return *upstreams_.back();
}

void Stage::ServeList(Socket& socket) {
  while (true) {
    const Message request = socket.Read(Now() + 10);
    if (!request.complete)
      return;
    std::string zone;
    const std::string target = request.Target();
    const auto at = target.find("zone=");
    if (at != std::string::npos)
      zone = target.substr(at + 5, target.find('&', at) - at - 5);
    std::string body = "{\"instances\":{";
    {
      const std::lock_guard lock(mutex_);
      bool first_zone = true;
      for (const auto& [name, region] : Zones()) {
        if (!zone.empty() && zone != name)
          continue;
        body += (first_zone ? "\"" : ",\"") + name + "\":[";
        first_zone = false;
        bool first = true;
        for (const auto& upstream : upstreams_) {
          if (upstream->zone() != name)
            continue;
          body += (first ? "" : ",") + upstream->ListEntry();
          first = false;
        }
        body += "]";
      }
    }
    body += "},\"next_page_token\":null}";
    if (!socket.Send(
            MakeResponse(200, {{"Content-Type", "application/json"}}, body)))
      return;
  }
}

// Renders a template as the pages say, as far as the project's templates use
// the language: values, and sections over a table or a value.
std::string Stage::Render(
    const std::string& file,
    const std::map<std::string, std::string>& values) const {
  std::string text = ReadWholeFile(root_ + "/" + file);
  const auto expand =
      [&](const std::string& name,
          const std::vector<std::pair<std::string, std::string>>& items) {
        const std::string open = "{{#" + name + "}}";
        const std::string close = "{{/" + name + "}}";
        const auto begin = text.find(open);
        const auto end = text.find(close);
        if (begin == std::string::npos || end == std::string::npos)
          return;
        const std::string inner =
            text.substr(begin + open.size(), end - begin - open.size());
        std::string out;
        for (const auto& [key, value] : items)
          out += ReplaceAll(ReplaceAll(inner, "{{@}}", key), "{{.}}", value);
        text.replace(begin, end + close.size() - begin, out);
      };
  expand("zones", Zones());
  expand("bounds", Bounds());
  expand("limits.link_mbps", {{"", ""}});
  for (const auto& [name, value] : values)
    text = ReplaceAll(text, "{{" + name + "}}", value);
  if (text.find("{{") != std::string::npos)
    Impossible("a placeholder of " + file + " is unknown to this script");
  return text;
}

pid_t Stage::Launch(const std::string& name,
                    const std::string& role,
                    const std::map<std::string, std::string>& values) {
  const std::string settings = folder_ + "/" + name + ".settings";
  std::ofstream(settings) << Render(roles_.at(role).at("template"), values);
  const std::string log = folder_ + "/" + name + ".log";
  const std::string command = roles_.at(role).at("run");
  const pid_t pid = fork();
  if (pid != 0)
    return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(fd, 1);
  dup2(fd, 2);
  if (chdir(root_.c_str()) != 0)
    _exit(127);
  setenv("JACINTHROUTE_SETTINGS", settings.c_str(), 1);
  signal(SIGPIPE, SIG_DFL);
  std::istringstream words(command);
  std::vector<std::string> arguments{std::istream_iterator<std::string>(words),
                                     {}};
  std::vector<char*> argv;
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(127);
}

void Stage::StartCore(int index, bool bootstrap) {
  const auto& [zone, region] = Zones()[static_cast<std::size_t>(index) % 5];
  const std::string host = Host(1, index);
  const std::string name = "core-" + std::to_string(index);
  std::string seeds;
  for (int i = 0; i < 3; ++i)
    seeds += (i == 0 ? "" : ",") + CoreAddress(i);
  Process& process = core(index);
  process.name = name;
  process.pid = Launch(
      name, "control",
      {{"node_name", name},
       {"region", region},
       {"zone", zone},
       {"data_dir", folder_ + "/data-" + name},
       {"ip", host},
       {"seeds", seeds},
       {"internal_port_range.0", std::to_string(ports_["link"])},
       {"listen.control", CoreAddress(index)},
       {"bootstrap", bootstrap ? "true" : "false"},
       {"cloud.address", Host(3, 0) + ":" + std::to_string(ports_["list"])}});
  process.running = true;
}

void Stage::StartEntry(int index) {
  const auto& [zone, region] = Zones()[static_cast<std::size_t>(index) % 6];
  const std::string host = Host(2, index);
  const std::string name = "edge-" + std::to_string(index);
  std::string seeds;
  for (int i = 0; i < 3; ++i)
    seeds += (i == 0 ? "" : ",") + CoreAddress(i);
  Process& process = entry(index);
  process.name = name;
  process.pid = Launch(
      name, "entry",
      {{"node_name", name},
       {"region", region},
       {"zone", zone},
       {"ip", host},
       {"seeds", seeds},
       {"internal_port_range.0", std::to_string(ports_["link"])},
       {"listen.frontend", EntryAddress(index)},
       {"listen.directory", DirectoryAddress(index)},
       {"listen.readiness", ReadyAddress(index)},
       {"limits.link_mbps", "1000.0"},
       {"cloud.address", Host(3, 0) + ":" + std::to_string(ports_["list"])}});
  process.running = true;
}

void Stage::Signal(Process& process, int signal) {
  kill(process.pid, signal);
  Note("%s gets %s", process.name.c_str(), strsignal(signal));
}

double Stage::WatchMemory(Process& process,
                          double limit_mb,
                          const std::atomic<bool>& done) {
  const std::string path = "/proc/" + std::to_string(process.pid) + "/statm";
  const double page_mb = static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
  double peak = 0;
  while (!done) {
    std::ifstream file(path);
    double pages = 0;
    double resident = 0;
    if (!(file >> pages >> resident))
      break;
    peak = std::max(peak, resident * page_mb);
    if (peak > limit_mb) {
      Note("%s uses %.0f MB of memory, its limit is %.0f MB",
           process.name.c_str(), peak, limit_mb);
      Signal(process, SIGKILL);
      WaitExit(process, Now() + 2);
      break;
    }
    SleepFor(0.002);
  }
  return peak;
}

bool Stage::WaitExit(Process& process, double until) {
  while (true) {
    int status = 0;
    if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
      process.running = false;
      process.exit_status = status;
      process.exited = Now();
      Note("%s has ended (status %d)", process.name.c_str(), status);
      return true;
    }
    if (Now() >= until)
      return false;
    SleepFor(0.005);
  }
}

Message Stage::CallOnce(const std::string& address,
                        const std::string& call,
                        const std::string& base,
                        const std::string& body,
                        double timeout) {
  Socket socket;
  const double deadline = Now() + timeout;
  Message message;
  if (!socket.Connect(address, timeout)) {
    message.end = "not connected";
    return message;
  }
  Headers headers{{"Host", address}, {"Content-Type", "application/json"}};
  if (!base.empty())
    headers.emplace_back("X-Base-Version", base);
  socket.Send(MakeRequest("POST", "/-/rpc?call=" + call, headers, body));
  return socket.Read(deadline);
}

Message Stage::Call(const std::string& call,
                    const std::string& base,
                    const std::string& body,
                    double until) {
  Message message;
  int next = 0;
  while (Now() < until) {
    std::string address = CoreAddress(next++ % core_count());
    for (int hops = 0; hops < 3; ++hops) {
      message = CallOnce(address, call, base, body, 1);
      if (!message.complete || message.status() != 307)
        break;
      const std::string location = message.Header("Location");
      address = location.substr(7, location.find('/', 7) - 7);
    }
    if (message.complete && message.status() < 500 && message.status() != 307 &&
        message.status() != 408 && message.status() != 429)
      return message;
    SleepFor(0.1);
  }
  message.complete = false;
  return message;
}

void Stage::Start(const std::string& config, const std::string& probe_path) {
  if (!std::filesystem::exists(root_ + "/target/jacinthroute"))
    Impossible("target/jacinthroute is missing; run the build of the deploy "
               "file first");
  for (int i = 0; i < core_count(); ++i)
    StartCore(i, /*bootstrap=*/true);
  for (int i = 0; i < entry_count(); ++i)
    StartEntry(i);
  const Message accepted =
      Call("config.replace", "00000000", config, Now() + 20);
  if (accepted.status() != 200)
    Impossible("the first configuration wasn't accepted: " + accepted.start);
  Note("the first configuration is acknowledged");
  for (int i = 0; i < entry_count(); ++i) {
    const double until = Now() + 20;
    int served = 0;
    for (int number = 0; served < 2; ++number) {
      if (Now() > until)
        Impossible("an entry doesn't serve");
      Socket socket;
      if (socket.Connect(EntryAddress(i), 1)) {
        socket.Send(MakeRequest("GET", probe_path,
                                {{"Host", "h.example"},
                                 {"X-Attempt-Id", "start-" + std::to_string(i) +
                                                      "-" +
                                                      std::to_string(number)},
                                 {"X-Deadline-Ms", "2000"}}));
        if (socket.Read(Now() + 2).status() == 200)
          ++served;
      }
      SleepFor(0.1);
    }
  }
  Note("all entries serve");
  // Steady state: as in the pages, traffic starts 8 s after the machines do.
  SleepUntil(8);
}

std::string MakeConfig(const std::string& version,
                       const std::string& extra_route) {
  return R"({"version":")" + version +
         R"(","routes":{"columns":["name","host","path_prefix","route_type",)"
         R"("timeout_ms","target_latency_ms","priority","traffic_split",)"
         R"("max_attempts","session_affinity","allowed_regions","service"],)"
         R"("rows":[["r-proof","h.example","/safe/","safe",8000,5000,2,null,2,)"
         R"(true,[],"nahledy"],["r-charge","h.example","/unsafe/","unsafe",)"
         R"(3000,800,1,null,2,true,[],"razidla"])" +
         extra_route +
         R"(]},"services":{"columns":["name","health_check_path",)"
         R"("max_connections","protocol","tls","warmup_s","warmup_per_s"],)"
         R"("rows":[["nahledy","/health",390,"h1",false,3.0,6.0],)"
         R"(["razidla","/health",390,"h1",false,3.0,6.0]]},)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace review
