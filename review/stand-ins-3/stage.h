// Parts of the scripted cases: child processes, plain HTTP/1.1 over blocking
// sockets, a list of upstreams, and a small deployment on loopback addresses.
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// What was sent, answered and run, one line each, with the time since the
// start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%9.3f ", (NowMs() - start_) / 1000.0);
    out_ << stamp << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::int64_t start_ = NowMs();
};

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  int status = 0;
  std::string method;
  std::string target;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    }
    return "";
  }
};

// A socket with its unread bytes.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Wire() { Close(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0)
      ::close(std::exchange(fd_, -1));
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n =
          ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads a message with a stated length. Returns nullopt at the end of the
  // stream, after an error, or at `until_ms`.
  std::optional<Message> Read(std::int64_t until_ms) {
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms))
        return std::nullopt;
    }
    Message message;
    const std::string head = input_.substr(0, end + 2);
    std::size_t at = head.find("\r\n");
    message.first_line = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const std::size_t stop = head.find("\r\n", at);
      const std::string line = head.substr(at, stop - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
          ++value;
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = stop + 2;
    }
    const std::size_t size = std::strtoul(
        message.Get("Content-Length").c_str(), nullptr, 10);
    while (input_.size() < end + 4 + size) {
      if (!Fill(until_ms))
        return std::nullopt;
    }
    message.body = input_.substr(end + 4, size);
    input_.erase(0, end + 4 + size);
    if (message.first_line.rfind("HTTP/", 0) == 0) {
      message.status = std::atoi(message.first_line.c_str() + 9);
    } else {
      const std::size_t space = message.first_line.find(' ');
      message.method = message.first_line.substr(0, space);
      message.target = message.first_line.substr(
          space + 1, message.first_line.rfind(' ') - space - 1);
    }
    return message;
  }
  // Returns true if the peer has closed or reset the connection.
  bool PeerIsGone() {
    char byte = 0;
    const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  bool Fill(std::int64_t until_ms) {
    const std::int64_t left = until_ms - NowMs();
    pollfd descriptor{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(left)) <= 0)
      return false;
    char buffer[16384];
    const ssize_t n = ::recv(fd_, buffer, sizeof(buffer), 0);
    if (n <= 0)
      return false;
    input_.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string input_;
};

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline std::unique_ptr<Wire> Connect(const std::string& ip,
                                     int port,
                                     int timeout_ms = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Address(ip, port);
  const int result = ::connect(
      fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0) {
    pollfd descriptor{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || ::poll(&descriptor, 1, timeout_ms) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      ::close(fd);
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return std::make_unique<Wire>(fd);
}

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Wire&)>;
  Server(const std::string& ip, int port, Handler handler)
      : handler_(std::move(handler)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address(ip, port);
    ok_ = ::bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0 &&
          ::listen(fd_, 512) == 0;
    if (ok_)
      std::thread([this] { Run(); }).detach();
  }
  bool ok() const { return ok_; }

 private:
  void Run() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([this, fd] {
        Wire wire(fd);
        handler_(wire);
      }).detach();
    }
  }
  int fd_ = -1;
  bool ok_ = false;
  Handler handler_;
};

inline std::string Answer(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Sends one request on a new connection. The status is 0 if there is no answer.
inline Message Call(
    const std::string& ip,
    int port,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body,
    int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  const auto wire = Connect(ip, port, std::min(timeout_ms, 1000));
  Message none;
  if (!wire)
    return none;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!wire->Write(text))
    return none;
  auto answer = wire->Read(until);
  return answer ? *answer : none;
}

// One upstream on the platform's list.
struct Listed {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  int capacity = 4;
  std::string state = "ready";
  std::int64_t born = 1;
};

// A small deployment: control and entry processes, started with the command of
// the deploy file, and the platform's list of upstreams.
class Fleet {
 public:
  Fleet(std::string root, std::string folder, Record& record)
      : root_(std::move(root)), folder_(std::move(folder)), record_(record) {
    octet_ = 40 + static_cast<int>(getpid() % 160);
    for (int& port : ports_)
      port = FreePort();
  }
  ~Fleet() {
    for (auto& [name, pid] : pids_)
      Kill(name);
  }

  std::string Ip(int group, int index) const {
    return "127." + std::to_string(octet_) + "." + std::to_string(group) + "." +
           std::to_string(index + 1);
  }
  std::string ControlIp(int i) const { return Ip(1, i); }
  std::string EntryIp(int i) const { return Ip(2, i); }
  std::string UpstreamIp(int i) const { return Ip(4, i); }
  int link_port() const { return ports_[0]; }
  int control_port() const { return ports_[1]; }
  int front_port() const { return ports_[2]; }
  int list_port() const { return ports_[3]; }
  int upstream_port() const { return ports_[4]; }
  int ready_port() const { return ports_[5]; }
  int directory_port() const { return ports_[6]; }

  // Where the entries find the platform's list, if not at its own address.
  void SetEntryListAddress(std::string address) {
    entry_list_address_ = std::move(address);
  }
  void SetSeeds(std::string seeds) { seeds_ = std::move(seeds); }

  bool StartPlatform() {
    platform_ = std::make_unique<Server>(
        Ip(3, 0), list_port(), [this](Wire& wire) { ServeList(wire); });
    return platform_->ok();
  }
  void SetListed(std::vector<Listed> listed) {
    const std::lock_guard lock(mutex_);
    listed_ = std::move(listed);
  }

  std::string Bounds() const {
    return "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = "
           "4000\nsync_s = 4\ndrain_ms = 3000\ngrace_s = 6\nloss_slack_ms = "
           "200\nconfig_propagation_ms = 2500\nback_ms = 250\nmax_stretch_ms = "
           "5000\nretry_budget_ratio = 0.2\nretry_window_s = "
           "10\nretry_budget_slack = 60\nwarmup_overshoot = 1.5\nwarmup_slack "
           "= 5\nevacuate_ms = 5000\nrecovery_s = 15\nttl_max_s = "
           "5\nmax_region_shift = 0.15\n";
  }
  std::string Domains() const {
    std::string text;
    for (const auto& [zone, region] : zones_)
      text += "[failure_domain/" + zone + "]\nregion = " + region + "\n";
    return text;
  }
  std::string Seeds() const {
    if (!seeds_.empty())
      return seeds_;
    std::string text;
    for (int i = 0; i < 3; ++i) {
      text += (i ? "," : "") + ControlIp(i) + ":" +
              std::to_string(control_port());
    }
    return text;
  }
  void SetZones(std::vector<std::pair<std::string, std::string>> zones) {
    zones_ = std::move(zones);
  }

  void StartControl(int i, bool bootstrap) {
    const std::string name = "control-" + std::to_string(i);
    const auto& [zone, region] = zones_[i % zones_.size()];
    const std::string text =
        "[instance]\nid = " + name + "\ninterface = platform\nregion = " +
        region + "\nfailure_domain = " + zone +
        "\nroles = control\ndata_folder = " + folder_ + "/data-" + name +
        "\n[control]\nelection_timeout_ms = 500\nheartbeat_ms = "
        "120\nentry_timeout_ms = 1500\nsnapshot_entries = 1000\n[group]\nseeds "
        "= " +
        Seeds() + "\nhost = " + ControlIp(i) +
        "\nlink_port = " + std::to_string(link_port()) +
        "\nadmin_address = " + ControlIp(i) + ":" +
        std::to_string(control_port()) +
        "\nfound = " + (bootstrap ? "true" : "false") +
        "\n[discovery]\naddress = " + Ip(3, 0) + ":" +
        std::to_string(list_port()) + "\ninterval_ms = 750\n" + Domains() +
        "[interface]\n" + Bounds();
    Start(name, text);
  }
  void StartEntry(int i) {
    const std::string name = "entry-" + std::to_string(i);
    const auto& [zone, region] = zones_[i % zones_.size()];
    const std::string list = entry_list_address_.empty()
                                 ? Ip(3, 0) + ":" + std::to_string(list_port())
                                 : entry_list_address_;
    const std::string text =
        "[instance]\nid = " + name + "\ninterface = platform\nregion = " +
        region + "\nfailure_domain = " + zone +
        "\nroles = entry\n[entry]\naddress = " + EntryIp(i) + ":" +
        std::to_string(front_port()) + "\nlookup_address = " + EntryIp(i) +
        ":" + std::to_string(directory_port()) + "\nready_address = " + EntryIp(i) + ":" +
        std::to_string(ready_port()) + extra_entry_ +
        "\nrequests = 1500\nconnections = 2500\nheartbeat_ms = "
        "300\ncontrol_timeout_ms = 2000\ndrain_limit_ms = "
        "2500\n[group]\nseeds = " +
        Seeds() + "\nlink_port = " + std::to_string(link_port()) +
        "\n[discovery]\naddress = " + list + "\n" + Domains() +
        "[interface]\n" + Bounds();
    Start(name, text);
  }
  // Further lines of the section [entry], each after a line break.
  void SetExtraEntryLines(std::string lines) { extra_entry_ = std::move(lines); }

  void Signal(const std::string& name, int signal) {
    record_.Line("signal " + std::to_string(signal) + " to " + name);
    ::kill(pids_.at(name), signal);
  }
  void Kill(const std::string& name) {
    pid_t& pid = pids_.at(name);
    if (pid <= 0)
      return;
    ::kill(pid, SIGKILL);
    ::kill(pid, SIGCONT);
    ::waitpid(pid, nullptr, 0);
    pid = 0;
  }
  bool HasEnded(const std::string& name) {
    pid_t& pid = pids_.at(name);
    if (pid <= 0)
      return true;
    if (::waitpid(pid, nullptr, WNOHANG) != pid)
      return false;
    pid = 0;
    return true;
  }
  const std::string& folder() const { return folder_; }

  // Sends an order as the operator does: to one node after the other, with up
  // to two redirects, until it gets a clear answer.
  Message Order(const std::string& call,
                const std::string& body,
                const std::string& base,
                int controls,
                std::int64_t until_ms) {
    std::vector<int> all;
    for (int i = 0; i < controls; ++i)
      all.push_back(i);
    return Order(call, body, base, all, until_ms);
  }
  // The same with the nodes on the operator's list.
  Message Order(const std::string& call,
                const std::string& body,
                const std::string& base,
                const std::vector<int>& controls,
                std::int64_t until_ms) {
    Message answer;
    std::size_t next = 0;
    std::int64_t pause = 100;
    while (NowMs() < until_ms) {
      std::string ip = ControlIp(controls[next++ % controls.size()]);
      int port = control_port();
      std::string target = "/-/rpc?call=" + call;
      for (int hop = 0; hop <= 2; ++hop) {
        std::vector<std::pair<std::string, std::string>> headers = {
            {"Host", ip}, {"Content-Type", "application/json"}};
        if (!base.empty())
          headers.emplace_back("X-Base-Version", base);
        answer = Call(ip, port, "POST", target, headers, body, 1000);
        record_.Line("order " + call + (base.empty() ? "" : " on " + base) +
                     " to " + ip + ": " + std::to_string(answer.status));
        if (answer.status != 307)
          break;
        const std::string location = answer.Get("Location").substr(7);
        const std::size_t colon = location.find(':');
        const std::size_t slash = location.find('/');
        ip = location.substr(0, colon);
        port = std::atoi(location.c_str() + colon + 1);
        target = location.substr(slash);
      }
      const bool clear = answer.status != 0 && answer.status != 307 &&
                         answer.status < 500 && answer.status != 408 &&
                         answer.status != 429;
      if (clear)
        return answer;
      SleepMs(pause);
      pause = std::min<std::int64_t>(pause * 2, 800);
    }
    return answer;
  }

  bool WaitReady(int entry, std::int64_t until_ms) {
    while (NowMs() < until_ms) {
      const Message answer = Call(EntryIp(entry), ready_port(), "GET",
                                  "/-/ready", {{"Host", "x"}}, "", 1000);
      if (answer.status == 200)
        return true;
      SleepMs(100);
    }
    return false;
  }

 private:
  int FreePort() {
    while (true) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = Address(Ip(9, 0), 0);
      socklen_t size = sizeof(address);
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), size);
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
      ::close(fd);
      const int port = ntohs(address.sin_port);
      if (std::find(std::begin(ports_), std::end(ports_), port) ==
          std::end(ports_))
        return port;
    }
  }
  void Start(const std::string& name, const std::string& text) {
    const std::string file = folder_ + "/" + name + ".ini";
    std::ofstream(file) << text;
    const std::string log = folder_ + "/" + name + ".log";
    const std::string variable = "JACINTHROUTE_SETTINGS=" + file;
    const pid_t pid = ::fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (::chdir(root_.c_str()) != 0)
        ::_exit(127);
      char program[] = "target/jacinthroute";
      char* arguments[] = {program, nullptr};
      const char* path = std::getenv("PATH");
      std::string path_variable = std::string("PATH=") + (path ? path : "");
      char* environment[] = {const_cast<char*>(variable.c_str()),
                             path_variable.data(), nullptr};
      ::execve(program, arguments, environment);
      ::_exit(127);
    }
    pids_[name] = pid;
    record_.Line("started " + name);
  }
  void ServeList(Wire& wire) {
    while (auto request = wire.Read(NowMs() + 30000)) {
      std::string zone;
      const std::size_t at = request->target.find("zone=");
      if (at != std::string::npos) {
        zone = request->target.substr(at + 5);
        zone = zone.substr(0, zone.find('&'));
      }
      std::map<std::string, std::string> by_zone;
      {
        const std::lock_guard lock(mutex_);
        for (const Listed& item : listed_) {
          if (!zone.empty() && item.zone != zone)
            continue;
          std::string& text = by_zone[item.zone];
          text += std::string(text.empty() ? "" : ",") + "{\"service\":\"" +
                  item.service + "\",\"address\":\"" + item.address +
                  "\",\"zone\":\"" + item.zone +
                  "\",\"version\":\"v1\",\"capacity\":" +
                  std::to_string(item.capacity) + ",\"state\":\"" + item.state +
                  "\",\"warmup_left_ms\":0,\"born\":" +
                  std::to_string(item.born) + ",\"id\":\"" + item.id + "\"}";
        }
      }
      std::string body = "{\"instances\":{";
      bool first = true;
      for (const auto& [name, text] : by_zone) {
        body += std::string(first ? "" : ",") + "\"" + name + "\":[" + text + "]";
        first = false;
      }
      body += "},\"next_page_token\":null}";
      if (!wire.Write(Answer(200, {{"Content-Type", "application/json"}}, body)))
        return;
    }
  }

  std::string root_;
  std::string folder_;
  Record& record_;
  int octet_ = 0;
  int ports_[7] = {0, 0, 0, 0, 0, 0, 0};
  std::string entry_list_address_;
  std::string seeds_;
  std::string extra_entry_;
  std::vector<std::pair<std::string, std::string>> zones_ = {
      {"zone-a", "region-a"}, {"zone-b", "region-a"}, {"zone-c", "region-b"},
      {"zone-d", "region-b"}, {"zone-e", "region-c"}};
  std::mutex mutex_;
  std::vector<Listed> listed_;
  std::unique_ptr<Server> platform_;
  std::map<std::string, pid_t> pids_;
};

// A configuration with one route for each of `services`, all of host "h.example"
// and with the prefix "/SERVICE/".
struct RouteLine {
  std::string name;
  std::string prefix;
  std::string type;
  std::string service;
  int max_attempts = 2;
  int timeout_ms = 6000;
  std::string host = "h.example";
  // JSON of the split; the service doesn't count then.
  std::string split = "null";
};
inline std::string Config(const std::string& version,
                          const std::vector<RouteLine>& routes,
                          const std::set<std::string>& services) {
  std::string text =
      "{\"version\":\"" + version +
      "\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"route_"
      "type\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_"
      "split\",\"max_attempts\",\"session_affinity\",\"allowed_regions\","
      "\"service\"],\"rows\":[";
  bool first = true;
  for (const RouteLine& route : routes) {
    text += std::string(first ? "" : ",") + "[\"" + route.name +
            "\",\"" + route.host + "\",\"" + route.prefix + "\",\"" + route.type +
            "\"," + std::to_string(route.timeout_ms) +
            ",800,1," + route.split + "," + std::to_string(route.max_attempts) +
            ",false,[]," +
            (route.split == "null" ? "\"" + route.service + "\"" : "null") + "]";
    first = false;
  }
  text += "]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_"
          "connections\",\"protocol\",\"tls\",\"warmup_s\",\"warmup_per_s\"],"
          "\"rows\":[";
  first = true;
  for (const std::string& service : services) {
    text += std::string(first ? "" : ",") + "[\"" + service +
            "\",\"/health\",360,\"h1\",false,0.0,50.0]";
    first = false;
  }
  return text +
         "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

}  // namespace stage
