#pragma once

// Stand-ins for the platform, its upstreams, its operator and its clients, on
// loopback addresses, and the processes of a small deployment. Plain sockets
// and threads; speaks only what PROTOCOL.md says.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace theatre {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// What was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", Now());
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline void Note(const std::string& text) {
  Record::Get().Line(text);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in ToAddress(const std::string& address) {
  sockaddr_in out{};
  const auto colon = address.rfind(':');
  out.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

inline bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

inline int Connect(const std::string& address,
                   double timeout = 1.0,
                   const std::string& source = "") {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!source.empty()) {
    sockaddr_in from = ToAddress(source + ":0");
    ::bind(socket, reinterpret_cast<sockaddr*>(&from), sizeof(from));
  }
  const int flags = ::fcntl(socket, F_GETFL);
  ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  sockaddr_in to = ToAddress(address);
  int result = ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd waiter{socket, POLLOUT, 0};
    int error = ETIMEDOUT;
    if (::poll(&waiter, 1, static_cast<int>(timeout * 1000)) == 1) {
      socklen_t size = sizeof(error);
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    ::close(socket);
    return -1;
  }
  ::fcntl(socket, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Status of an answer; 0 if none came, whole.
  int status = 0;
  bool complete = false;
  /// Bytes of the body that came.
  std::size_t body_bytes = 0;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    }
    return "";
  }
};

/// Reads messages with a length (or without a body) from a connection.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}

  std::optional<Message> Next(Clock::time_point until, bool is_answer) {
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return std::nullopt;
    }
    Message message;
    std::istringstream head(input_.substr(0, end));
    std::string line;
    std::getline(head, line);
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    message.first_line = line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
    input_.erase(0, end + 4);
    if (is_answer && message.first_line.size() >= 12)
      message.status = std::atoi(message.first_line.c_str() + 9);
    const std::string length = message.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (input_.size() < size) {
      if (!Fill(until))
        break;
    }
    message.body_bytes = std::min(size, input_.size());
    message.complete = input_.size() >= size;
    message.body = input_.substr(0, message.body_bytes);
    input_.erase(0, message.body_bytes);
    return message;
  }

  /// Why the last read ended.
  std::string why() const { return why_; }

 private:
  bool Fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    pollfd waiter{socket_, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&waiter, 1, static_cast<int>(left.count())) != 1) {
      why_ = "no more bytes in time";
      return false;
    }
    char buffer[65536];
    const ssize_t size = ::recv(socket_, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      why_ = size == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    input_.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  int socket_;
  std::string input_;
  std::string why_;
};

inline std::string Bytes(const std::string& first_line,
                         const std::vector<std::pair<std::string, std::string>>&
                             headers,
                         const std::string& body,
                         bool has_length = true) {
  std::string out = first_line + "\r\n";
  for (const auto& [name, value] : headers)
    out += name + ": " + value + "\r\n";
  if (has_length)
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

/// One call on a connection of its own.
inline Message Call(const std::string& address,
                    const std::string& bytes,
                    double timeout) {
  Message none;
  const auto until =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(timeout));
  const int socket = Connect(address, std::min(timeout, 1.0));
  if (socket < 0) {
    none.first_line = "not connected";
    return none;
  }
  if (!SendAll(socket, bytes)) {
    ::close(socket);
    none.first_line = "not sent";
    return none;
  }
  Reader reader(socket);
  auto answer = reader.Next(until, true);
  ::close(socket);
  if (!answer) {
    none.first_line = reader.why();
    return none;
  }
  return *answer;
}

/// Accepts connections and handles each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(int socket, const std::atomic<bool>& stop)>;

  Listener(const std::string& address, Handler handler, int receive_buffer = 0)
      : handler_(std::move(handler)) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receive_buffer != 0) {
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    sockaddr_in at = ToAddress(address);
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(socket_, 256) != 0) {
      std::fprintf(stderr, "can't listen on %s\n", address.c_str());
      std::_Exit(kCouldNotRun);
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~Listener() {
    stop_ = true;
    thread_.join();
    ::close(socket_);
    {
      const std::lock_guard lock(mutex_);
      for (const int open : open_)
        ::shutdown(open, SHUT_RDWR);
    }
    while (running_ != 0)
      Sleep(0.01);
  }

 private:
  void Run() {
    while (!stop_) {
      pollfd waiter{socket_, POLLIN, 0};
      if (::poll(&waiter, 1, 50) != 1)
        continue;
      const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0)
        continue;
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
      }
      ++running_;
      std::thread([this, socket] {
        handler_(socket, stop_);
        {
          const std::lock_guard lock(mutex_);
          open_.erase(socket);
          ::close(socket);
        }
        --running_;
      }).detach();
    }
  }

  Handler handler_;
  int socket_ = -1;
  std::atomic<bool> stop_{false};
  std::atomic<int> running_{0};
  std::mutex mutex_;
  std::set<int> open_;
  std::thread thread_;
};

// ------------------------------------------------------------- deployment

/// Fills in a template as DEPLOY.md says, as far as the project's use it.
struct Fields {
  std::map<std::string, std::string> values;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> tables;
};

inline std::string Render(std::string text, const Fields& fields) {
  std::string out;
  std::size_t at = 0;
  while (true) {
    const auto open = text.find("{{", at);
    if (open == std::string::npos)
      return out + text.substr(at);
    out += text.substr(at, open - at);
    const auto close = text.find("}}", open);
    const std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name.empty() || name.front() != '#') {
      const auto found = fields.values.find(name);
      out += found == fields.values.end() ? "" : found->second;
      continue;
    }
    const std::string key = name.substr(1);
    const std::string end_tag = "{{/" + key + "}}";
    const auto end = text.find(end_tag, at);
    const std::string section = text.substr(at, end - at);
    at = end + end_tag.size();
    const auto table = fields.tables.find(key);
    if (table != fields.tables.end()) {
      for (const auto& [item, value] : table->second) {
        Fields inner = fields;
        inner.values["@"] = item;
        inner.values["."] = value;
        out += Render(section, inner);
      }
    } else if (fields.values.count(key) != 0) {
      out += Render(section, fields);
    }
  }
}

inline int FreePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToAddress("127.0.0.1:0");
  ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof(at));
  socklen_t size = sizeof(at);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(socket);
  return ntohs(at.sin_port);
}

struct Node {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  bool is_core = false;
  pid_t pid = 0;
};

/// Processes of the project, with the commands and templates of its deploy
/// file.
class Deployment {
 public:
  /// Zones of two regions.
  std::vector<std::pair<std::string, std::string>> zones = {
      {"suva-a", "viti-levu"},
      {"nadi-b", "viti-levu"},
      {"labasa-a", "vanua-levu"},
      {"savusavu-b", "vanua-levu"}};
  std::map<std::string, std::string> bounds = {
      {"seed_lag_s", "3"},           {"reuse_after_s", "2"},
      {"contact_ms", "3000"},        {"ack_ms", "4000"},
      {"sync_s", "4"},               {"drain_ms", "3000"},
      {"grace_s", "6"},              {"loss_slack_ms", "200"},
      {"config_propagation_ms", "2500"}, {"back_ms", "250"},
      {"max_stretch_ms", "5000"},    {"retry_budget_ratio", "0.2"},
      {"retry_window_s", "10"},      {"retry_budget_slack", "60"},
      {"warmup_overshoot", "1.5"},   {"warmup_slack", "5"},
      {"evacuate_ms", "5000"},       {"recovery_s", "15"},
      {"ttl_max_s", "5"},            {"max_region_shift", "0.15"}};

  explicit Deployment(int entries = 2, int replicas = 5) {
    char pattern[] = "/tmp/jacinth-review-XXXXXX";
    folder_ = ::mkdtemp(pattern);
    link_port = FreePort();
    control_port = FreePort();
    front_port = FreePort();
    ready_port = FreePort();
    directory_port = FreePort();
    list_port = FreePort();
    upstream_port = FreePort();
    // A net of its own for each run, so that runs don't meet.
    net_ = 16 + static_cast<int>(::getpid() % 200);
    for (int i = 0; i < replicas; ++i)
      AddNode("core-" + std::to_string(i + 1), Ip(1, i + 1), i, true);
    for (int i = 0; i < entries; ++i)
      AddNode("edge-" + std::to_string(i + 1), Ip(2, i + 1), i, false);
  }
  ~Deployment() {
    for (auto& node : nodes)
      Kill(*node);
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    } else {
      std::fprintf(stderr, "kept %s\n", folder_.c_str());
    }
  }

  std::string Ip(int group, int number) const {
    return "127." + std::to_string(net_) + "." + std::to_string(group) + "." +
           std::to_string(number);
  }
  Node& core(int index) { return *nodes.at(static_cast<std::size_t>(index)); }
  Node& edge(int index) {
    int seen = 0;
    for (auto& node : nodes) {
      if (!node->is_core && seen++ == index)
        return *node;
    }
    std::_Exit(kCouldNotRun);
  }
  std::string Front(int index) {
    return edge(index).ip + ":" + std::to_string(front_port);
  }
  std::string Control(int index) {
    return core(index).ip + ":" + std::to_string(control_port);
  }
  std::string ListAddress() const {
    return Ip(3, 1) + ":" + std::to_string(list_port);
  }
  std::string UpstreamAddress(int number) const {
    return Ip(4, number) + ":" + std::to_string(upstream_port);
  }
  int replicas() const {
    int count = 0;
    for (const auto& node : nodes)
      count += node->is_core ? 1 : 0;
    return count;
  }

  void Start(Node& node, bool bootstrap) {
    Fields fields;
    auto& values = fields.values;
    values["node_name"] = node.name;
    values["region"] = node.region;
    values["zone"] = node.zone;
    values["ip"] = node.ip;
    values["listen.frontend"] = node.ip + ":" + std::to_string(front_port);
    values["listen.directory"] = node.ip + ":" + std::to_string(directory_port);
    values["listen.readiness"] = node.ip + ":" + std::to_string(ready_port);
    values["listen.control"] = node.ip + ":" + std::to_string(control_port);
    values["internal_port_range.0"] = std::to_string(link_port);
    values["limits.link_mbps"] = "1000.0";
    values["cloud.address"] = ListAddress();
    values["bootstrap"] = bootstrap ? "true" : "false";
    values["data_dir"] = folder_ + "/data-" + node.name;
    std::string seeds;
    for (int i = 0; i < std::min(3, replicas()); ++i)
      seeds += (seeds.empty() ? "" : ",") + Control(i);
    values["seeds"] = seeds;
    for (const auto& zone : zones)
      fields.tables["zones"].push_back(zone);
    for (const auto& bound : bounds)
      fields.tables["bounds"].push_back(bound);
    std::ifstream in(node.is_core ? "deploy/control.ini" : "deploy/entry.ini");
    if (!in) {
      std::fprintf(stderr, "no template\n");
      std::_Exit(kCouldNotRun);
    }
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const std::string path = folder_ + "/" + node.name + ".ini";
    std::ofstream(path) << Render(text, fields);
    const std::string log = folder_ + "/" + node.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      // Ends with the stand-ins, however these end.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const std::string setting = "JACINTHROUTE_SETTINGS=" + path;
      const char* argv[] = {"target/jacinthroute", nullptr};
      const char* envp[] = {"PATH=/usr/bin:/bin", "LANG=C", setting.c_str(),
                            nullptr};
      const char* program = std::getenv("JACINTH_PROGRAM");
      ::execve(program != nullptr ? program : "target/jacinthroute",
               const_cast<char**>(argv), const_cast<char**>(envp));
      std::_Exit(127);
    }
    node.pid = pid;
    Note("started " + node.name);
  }
  void StartAll() {
    for (auto& node : nodes)
      Start(*node, true);
  }
  void Signal(Node& node, int signal, const std::string& word) {
    if (node.pid > 0)
      ::kill(node.pid, signal);
    Note(word + " " + node.name);
  }
  /// Returns how a process ended; nothing while it runs.
  std::optional<std::string> Ended(Node& node) {
    int status = 0;
    if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid)
      return std::nullopt;
    node.pid = 0;
    return WIFSIGNALED(status)
               ? "ended by signal " + std::to_string(WTERMSIG(status))
               : "exited with " + std::to_string(WEXITSTATUS(status));
  }
  void Kill(Node& node) {
    if (node.pid <= 0)
      return;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
    node.pid = 0;
  }

  bool IsReady(int index) {
    const auto answer =
        Call(edge(index).ip + ":" + std::to_string(ready_port),
             "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1);
    return answer.status == 200;
  }
  bool AwaitReady(int count, double seconds = 20) {
    const double until = Now() + seconds;
    for (int i = 0; i < count; ++i) {
      while (!IsReady(i)) {
        if (Now() > until)
          return false;
        Sleep(0.05);
      }
    }
    return true;
  }

  /// An operator's order: moves on from node to node until one answers it.
  int Order(const std::string& call,
            const std::string& base,
            const std::string& body,
            double seconds,
            std::string* answer_body = nullptr,
            const std::set<int>& without = {}) {
    const double until = Now() + seconds;
    int next = 0;
    double pause = 0.05;
    while (Now() < until) {
      const int index = next++ % replicas();
      if (without.count(index) != 0)
        continue;
      std::string address = Control(index);
      Message answer;
      for (int hop = 0; hop < 3; ++hop) {
        std::vector<std::pair<std::string, std::string>> headers = {
            {"Host", address}, {"Content-Type", "application/json"}};
        if (!base.empty())
          headers.emplace_back("X-Base-Version", base);
        answer = Call(address,
                      Bytes("POST /-/rpc?call=" + call + " HTTP/1.1", headers,
                            body),
                      1.0);
        if (answer.status != 307)
          break;
        const std::string location = answer.Header("Location");
        address = location.substr(7, location.find('/', 7) - 7);
      }
      if (answer.status != 0 && answer.status != 307 && answer.status < 500 &&
          answer.status != 408 && answer.status != 429) {
        Note("operator: " + call + " answered " +
             std::to_string(answer.status));
        if (answer_body != nullptr)
          *answer_body = answer.body;
        return answer.status;
      }
      Sleep(pause);
      pause = std::min(pause * 1.5, 0.4);
    }
    Note("operator: " + call + " got no clear answer");
    return 0;
  }

  const std::string& folder() const { return folder_; }

  std::vector<std::unique_ptr<Node>> nodes;
  int link_port = 0;
  int control_port = 0;
  int front_port = 0;
  int ready_port = 0;
  int directory_port = 0;
  int list_port = 0;
  int upstream_port = 0;

 private:
  void AddNode(const std::string& name,
               const std::string& ip,
               int index,
               bool is_core) {
    auto node = std::make_unique<Node>();
    const auto& zone = zones[static_cast<std::size_t>(index) % zones.size()];
    node->name = name;
    node->ip = ip;
    node->zone = zone.first;
    node->region = zone.second;
    node->is_core = is_core;
    nodes.push_back(std::move(node));
  }

  std::string folder_;
  int net_ = 0;
};

// ----------------------------------------------------- platform, upstreams

struct Listed {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  int capacity = 1;
  std::string state = "ready";
  std::int64_t born = 0;
};

inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The platform's list of upstreams, on one page.
class Platform {
 public:
  explicit Platform(const std::string& address)
      : listener_(address, [this](int socket, const std::atomic<bool>& stop) {
          Serve(socket, stop);
        }) {}

  void Set(const Listed& entry) {
    const std::lock_guard lock(mutex_);
    entries_[entry.id] = entry;
  }
  /// Adds an entry of another writer to a zone, as it was written.
  void SetForeign(const std::string& zone, const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    foreign_ = {zone, bytes};
  }

 private:
  void Serve(int socket, const std::atomic<bool>& stop) {
    Reader reader(socket);
    while (!stop) {
      const auto request = reader.Next(Clock::now() + 30s, false);
      if (!request)
        return;
      const auto at = request->first_line.find("zone=");
      std::string zone;
      if (at != std::string::npos) {
        zone = request->first_line.substr(at + 5);
        zone = zone.substr(0, zone.find_first_of("& "));
      }
      if (!SendAll(socket,
                   Bytes("HTTP/1.1 200 OK",
                         {{"Content-Type", "application/json"}}, Body(zone))))
        return;
    }
  }

  std::string Body(const std::string& zone) {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> rows;
    for (const auto& [id, entry] : entries_) {
      if (!zone.empty() && entry.zone != zone)
        continue;
      std::string& row = rows[entry.zone];
      row += (row.empty() ? "" : ",") + std::string("{\"service\":\"") +
             entry.service + "\",\"address\":\"" + entry.address +
             "\",\"version\":\"v1\",\"capacity\":" +
             std::to_string(entry.capacity) + ",\"state\":\"" + entry.state +
             "\",\"warmup_left_ms\":0,\"id\":\"" + entry.id +
             "\",\"born\":" + std::to_string(entry.born) + "}";
    }
    if (!foreign_.second.empty() && (zone.empty() || zone == foreign_.first)) {
      std::string& row = rows[foreign_.first];
      row += (row.empty() ? "" : ",") + foreign_.second;
    }
    std::string out = "{\"instances\":{";
    bool first = true;
    for (const auto& [name, row] : rows) {
      out += (first ? "\"" : ",\"") + name + "\":[" + row + "]";
      first = false;
    }
    return out + "},\"next_page_token\":null}";
  }

  std::mutex mutex_;
  std::map<std::string, Listed> entries_;
  std::pair<std::string, std::string> foreign_;
  Listener listener_;
};

/// A sound upstream: runs `capacity` requests at once, queues `queue` more,
/// turns others away, and drops a request whose connection closes.
class Upstream {
 public:
  Upstream(Listed entry, int queue, double work_s)
      : entry_(std::move(entry)),
        queue_(queue),
        work_s_(work_s),
        listener_(entry_.address,
                  [this](int socket, const std::atomic<bool>& stop) {
                    Serve(socket, stop);
                  }) {}

  const Listed& entry() const { return entry_; }
  /// Seconds that it asks a caller to wait that it turns away; empty for none.
  void SetRetryAfter(const std::string& text) {
    const std::lock_guard lock(mutex_);
    retry_after_ = text;
  }
  void SetAnswerBytes(std::size_t bytes) { answer_bytes_ = bytes; }
  /// Makes it tell its load in its answers.
  void TellLoad() { tells_load_ = true; }
  int Runs(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return runs_[id];
  }
  int Finished(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return finished_[id];
  }
  int running() {
    const std::lock_guard lock(mutex_);
    return running_;
  }

 private:
  static bool IsClosed(int socket) {
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void Serve(int socket, const std::atomic<bool>& stop) {
    Reader reader(socket);
    while (!stop) {
      const auto request = reader.Next(Clock::now() + 10s, false);
      if (!request || !request->complete)
        return;
      if (!Answer(socket, *request, stop))
        return;
    }
  }

  bool Answer(int socket, const Message& request, const std::atomic<bool>& stop) {
    if (request.first_line.rfind("GET /health ", 0) == 0) {
      return SendAll(socket, Bytes("HTTP/1.1 200 OK",
                                   {{"X-Instance-Id", entry_.id}}, ""));
    }
    const std::string id = request.Header("X-Attempt-Id");
    std::vector<std::pair<std::string, std::string>> headers = {
        {"X-Attempt-Id", id}};
    if (request.Header("X-Expect-Instance") != entry_.id)
      return SendAll(socket,
                     Bytes("HTTP/1.1 421 Misdirected Request", headers, ""));
    std::unique_lock lock(mutex_);
    if (running_ + waiting_ >= entry_.capacity + queue_) {
      headers.emplace_back("X-Not-Executed", "full");
      if (!retry_after_.empty())
        headers.emplace_back("Retry-After", retry_after_);
      lock.unlock();
      Note("upstream " + entry_.id + " is full and turns away " + id);
      return SendAll(socket,
                     Bytes("HTTP/1.1 503 Service Unavailable", headers, ""));
    }
    ++waiting_;
    while (running_ >= entry_.capacity) {
      lock.unlock();
      Sleep(0.005);
      const bool gone = stop || IsClosed(socket);
      lock.lock();
      if (gone) {
        --waiting_;
        return false;
      }
    }
    --waiting_;
    ++running_;
    ++runs_[id];
    lock.unlock();
    Note("upstream " + entry_.id + " runs " + id);
    const auto end = Clock::now() +
                     std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(work_s_));
    bool gone = false;
    while (Clock::now() < end && !gone) {
      Sleep(0.005);
      gone = stop || IsClosed(socket);
    }
    lock.lock();
    --running_;
    if (!gone)
      ++finished_[id];
    if (tells_load_) {
      headers.emplace_back("X-Server-Load",
                           std::to_string(running_) + "," +
                               std::to_string(waiting_) + "," +
                               std::to_string(entry_.capacity));
    }
    lock.unlock();
    if (gone) {
      Note("upstream " + entry_.id + " drops " + id +
           ", as its connection has closed");
      return false;
    }
    headers.emplace_back("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
    const bool sent =
        SendAll(socket, Bytes("HTTP/1.1 200 OK", headers,
                              answer_bytes_ == 0
                                  ? "done " + id + " at " + entry_.id
                                  : std::string(answer_bytes_, 'x')));
    Note("upstream " + entry_.id + " answered " + id);
    return sent;
  }

  Listed entry_;
  int queue_;
  double work_s_;
  std::atomic<std::size_t> answer_bytes_ = 0;
  std::atomic<bool> tells_load_ = false;
  std::mutex mutex_;
  std::string retry_after_;
  int running_ = 0;
  int waiting_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, int> finished_;
  Listener listener_;
};

/// A client's request on a connection of its own.
inline Message Request(const std::string& front,
                       const std::string& method,
                       const std::string& host,
                       const std::string& path,
                       const std::string& id,
                       int deadline_ms,
                       const std::string& body = "") {
  Note("client sends " + id + " (" + method + " " + path + ")");
  const auto answer = Call(
      front,
      Bytes(method + " " + path + " HTTP/1.1",
            {{"Host", host},
             {"X-Attempt-Id", id},
             {"X-Deadline-Ms", std::to_string(deadline_ms)}},
            body, method != "GET"),
      deadline_ms / 1000.0);
  Note("client got " +
       (answer.status != 0 ? std::to_string(answer.status)
                           : "no answer (" + answer.first_line + ")") +
       " to " + id +
       (answer.Header("Retry-After").empty()
            ? ""
            : ", Retry-After " + answer.Header("Retry-After")));
  return answer;
}

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace theatre
