// Clients behind a slow link receive large answers, steadily and well within
// their deadlines.

#include "common_config.h"
#include "theatre.h"

using namespace theatre;

namespace {

constexpr std::size_t kAnswerBytes = 12'000'000;
constexpr double kSlowBytesPerSecond = 500'000;
constexpr int kDeadlineMs = 30'000;

/// Reads an answer at most as fast as the link allows. Returns the bytes of its
/// body, and how it ended.
std::size_t ReadAnswer(int socket, double bytes_per_second, std::string& how) {
  const double began = Now();
  std::string head;
  std::size_t received = 0;
  std::size_t length = 0;
  bool in_body = false;
  char buffer[32768];
  while (Now() - began < kDeadlineMs / 1000.0) {
    pollfd waiter{socket, POLLIN, 0};
    if (::poll(&waiter, 1, 100) != 1)
      continue;
    const ssize_t size = ::recv(socket, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      how = size == 0 ? "closed" : std::strerror(errno);
      return received;
    }
    std::size_t body = static_cast<std::size_t>(size);
    if (!in_body) {
      head.append(buffer, static_cast<std::size_t>(size));
      const auto end = head.find("\r\n\r\n");
      if (end == std::string::npos)
        continue;
      in_body = true;
      body = head.size() - end - 4;
      const auto at = head.find("Content-Length: ");
      length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
    }
    received += body;
    if (received >= length) {
      how = "whole";
      return received;
    }
    if (bytes_per_second > 0) {
      Sleep(began + static_cast<double>(received) / bytes_per_second - Now());
    }
  }
  how = "the deadline has passed";
  return received;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(argv[1]);
  const bool trouble = HasTrouble();
  Note(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment(2);
  Platform platform(deployment.ListAddress());
  const auto born = UnixMillis() - 60'000;
  Upstream alofa({"i-alofa", "alofa", deployment.UpstreamAddress(1), "suva-a",
                  6, "ready", born},
                 18, 0.3);
  Upstream bula({"i-bula", "bula", deployment.UpstreamAddress(2), "suva-a", 6,
                 "ready", born},
                18, 0.3);
  platform.Set(alofa.entry());
  platform.Set(bula.entry());
  deployment.StartAll();
  std::string config = FirstConfig();
  for (auto at = config.find("12000,8000"); at != std::string::npos;
       at = config.find("12000,8000"))
    config.replace(at, 10, "30000,8000");
  if (deployment.Order("config.replace", "00000000", config, 20) != 200 ||
      !deployment.AwaitReady(2))
    return kCouldNotRun;
  Sleep(4);
  const std::string front = deployment.Front(0);
  constexpr int kClients = 5;
  std::atomic<int> kept = 0;
  std::atomic<int> whole = 0;
  std::atomic<int> cut = 0;
  std::atomic<bool> go = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const int socket = Connect(front);
      if (socket < 0)
        return;
      const int window = 65536;
      ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
      const auto send = [&](const std::string& id) {
        Note("client sends " + id + " (POST /leny950/1)");
        return SendAll(socket, Bytes("POST /leny950/1 HTTP/1.1",
                                     {{"Host", "hulo84.example"},
                                      {"X-Attempt-Id", id},
                                      {"X-Deadline-Ms",
                                       std::to_string(kDeadlineMs)}},
                                     "b"));
      };
      std::string how;
      send("small-" + std::to_string(i));
      ReadAnswer(socket, 0, how);
      kept += how == "whole" ? 1 : 0;
      while (!go)
        Sleep(0.01);
      // One after the other, so that no two answers arrive at the machine at
      // the same moment.
      Sleep(0.6 * i);
      const std::string id = "large-" + std::to_string(i);
      const double began = Now();
      send(id);
      const std::size_t received =
          ReadAnswer(socket, trouble ? kSlowBytesPerSecond : 0, how);
      char text[160];
      std::snprintf(text, sizeof(text),
                    "client has %zu of %zu bytes of the answer to %s after "
                    "%.1f s: %s",
                    received, kAnswerBytes, id.c_str(), Now() - began,
                    how.c_str());
      Note(text);
      (how == "whole" ? whole : cut) += 1;
      ::close(socket);
    });
  }
  Sleep(1);
  bula.SetAnswerBytes(kAnswerBytes);
  go = true;
  for (std::thread& client : clients)
    client.join();
  int finished = 0;
  for (int i = 0; i < kClients; ++i)
    finished += bula.Finished("large-" + std::to_string(i));
  Note(std::to_string(finished) + " of " + std::to_string(kClients) +
       " requests were run to their end by a sound upstream, " +
       std::to_string(whole) + " answers came whole, " + std::to_string(cut) +
       " were cut");
  if (kept != kClients || finished != kClients) {
    Note("the stage wasn't set");
    return kCouldNotRun;
  }
  const bool broken = cut > 3;
  Note(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}
