// Stand-ins and helpers of the review's scripts: a small deployment of the
// project's own programs on loopback addresses, with a stand-in for the
// platform's list, for upstreams, clients and the operator.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Seconds since the start of the script.
double Now();
void SleepUntil(double time);
void SleepFor(double seconds);

/// Writes a line to record.txt, with the time.
void Note(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// A message that has been read from a connection.
struct Message {
  /// Request line or status line.
  std::string start;
  Headers headers;
  std::string body;
  /// True if the whole message has been read.
  bool complete = false;
  /// How the message ended if it isn't complete.
  std::string end;
  int status() const;
  std::string Header(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
};

/// A connection, as a client or a server holds it.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// `receive_buffer` limits what the kernel holds unread, if it isn't 0.
  bool Connect(const std::string& address,
               double timeout,
               int receive_buffer = 0);
  bool Send(const std::string& bytes);
  /// Reads one message. `bytes_per_second` limits the speed of reading, if it
  /// isn't 0.
  Message Read(double deadline, double bytes_per_second = 0);
  /// Returns true once the peer has closed; waits until `until` at most.
  bool WaitClosed(double until);
  bool HasInput() const;
  /// Closes with a reset.
  void Reset();
  void Close();
  int fd() const { return fd_; }

 private:
  int fd_;
  std::string held_;
};

std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const Headers& headers,
                        const std::string& body = "");
std::string MakeResponse(int status,
                         const Headers& headers,
                         const std::string& body);

/// Serves one connection a thread.
class Server {
 public:
  using Handler = std::function<void(Socket&)>;
  Server(const std::string& address, Handler handler);
  ~Server();

 private:
  int fd_ = -1;
  std::atomic<bool> stopped_{false};
  Handler handler_;
  std::thread thread_;
  std::mutex mutex_;
  std::vector<std::thread> connections_;
  std::vector<int> open_;
};

struct Run {
  std::string id;
  std::string target;
  std::string method;
  std::string body;
  double started = 0;
  double ended = 0;
  bool finished = false;
};

/// How an upstream treats a request.
struct Work {
  double seconds = 0.05;
  std::string body = "ok";
  int status = 200;
};

/// Requests that an upstream runs at once, and those that it queues beyond.
inline constexpr int kSlots = 8;
inline constexpr int kQueue = 24;

/// A sound upstream: answers 421 to a request for another instance, runs
/// kSlots requests at once and queues kQueue more, rejects those beyond, and
/// drops a request when its connection closes.
class Upstream {
 public:
  Upstream(std::string id,
           std::string service,
           std::string zone,
           std::string address,
           std::function<Work(const Message&)> work);

  std::string ListEntry() const;
  const std::string& zone() const { return zone_; }
  const std::string& id() const { return id_; }
  std::vector<Run> Runs();
  /// Ids of the requests that have arrived, whether they ran or not.
  std::vector<std::string> Arrivals();

 private:
  void Serve(Socket& socket);
  /// Waits for a slot. Returns false if the connection closes before.
  bool TakeSlot(Socket& socket);

  std::string id_;
  std::string service_;
  std::string zone_;
  std::string address_;
  std::function<Work(const Message&)> work_;
  std::int64_t born_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<std::string> arrivals_;
  int running_ = 0;
  int waiting_ = 0;
  std::unique_ptr<Server> server_;
};

struct Process {
  pid_t pid = 0;
  std::string name;
  bool running = false;
  int exit_status = 0;
  double exited = 0;
};

/// A deployment like that of the site korkotisk-ls, with fewer machines.
class Stage {
 public:
  explicit Stage(int cores = 5, int entries = 3);
  ~Stage();

  Upstream& AddUpstream(const std::string& service,
                        const std::string& zone,
                        std::function<Work(const Message&)> work);
  /// Starts everything, sends `config` as the first one and waits until all
  /// entries are ready. Ends the script with 2 if that fails.
  void Start(const std::string& config, const std::string& probe_path);

  void StartCore(int index, bool bootstrap);
  void StartEntry(int index);
  Process& core(int index) { return *cores_.at(index); }
  Process& entry(int index) { return *entries_.at(index); }
  /// Sends a signal to a process of the stage.
  void Signal(Process& process, int signal);
  /// Does what the platform does with a process that uses more memory than its
  /// limit: kills it. Watches until `done` is set. Returns the peak in MB.
  double WatchMemory(Process& process,
                     double limit_mb,
                     const std::atomic<bool>& done);
  /// Waits for the end of a process; returns false at `until`.
  bool WaitExit(Process& process, double until);

  std::string CoreAddress(int index) const;
  std::string EntryAddress(int index) const;
  std::string DirectoryAddress(int index) const;
  std::string ReadyAddress(int index) const;
  int core_count() const { return static_cast<int>(cores_.size()); }
  int entry_count() const { return static_cast<int>(entries_.size()); }
  const std::string& folder() const { return folder_; }

  /// Sends an operator's call as the pages say: to one machine after another,
  /// following a 307 twice. Returns the status of the final answer, or 0.
  Message Call(const std::string& call,
               const std::string& base,
               const std::string& body,
               double until);
  /// One attempt at one machine, without following redirects.
  Message CallOnce(const std::string& address,
                   const std::string& call,
                   const std::string& base,
                   const std::string& body,
                   double timeout);

 private:
  std::string Render(const std::string& file,
                     const std::map<std::string, std::string>& values) const;
  pid_t Launch(const std::string& name,
               const std::string& role,
               const std::map<std::string, std::string>& values);
  std::string Host(int kind, int index) const;
  void ServeList(Socket& socket);

  std::string root_;
  std::string folder_;
  int net_ = 0;
  std::map<std::string, std::map<std::string, std::string>> roles_;
  std::map<std::string, int> ports_;
  std::vector<std::unique_ptr<Process>> cores_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::unique_ptr<Server> list_;
};

/// The zones of the site, in order, and their regions.
const std::vector<std::pair<std::string, std::string>>& Zones();

/// True unless TROUBLE=0 is set.
bool Trouble();
/// Ends the script because the case couldn't run.
[[noreturn]] void Impossible(const std::string& why);

/// The configuration of the cases: a safe route /safe/ and an unsafe route
/// /unsafe/ of the host `h.example`, with the time-outs of the site's classes
/// proof-view and die-charge.
std::string MakeConfig(const std::string& version,
                       const std::string& extra_route = "");

}  // namespace review
