#include "unit_tests/support/process_fleet.h"

#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/common/sha256.h"
#include "core/http/connection.h"

namespace jacinth::test {
namespace {

constexpr std::string_view kToken = "test-operator-token";
constexpr Duration kPollInterval = 20ms;
constexpr http::ExchangeLimits kExchangeLimits{1s, 6s, 16UL << 20U};

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

http::Response Exchange(const std::string& address,
                        const http::Request& request) {
  http::Connection connection(address);
  http::ExchangeResult result = connection.Exchange(request, kExchangeLimits);
  if (result.end == http::ExchangeEnd::kAnswered)
    return result.response;
  http::Response no_answer;
  no_answer.status = 0;
  return no_answer;
}

std::uint64_t NumberFromJson(const std::string& body, const char* key) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  return json.is_object() ? json.value(key, std::uint64_t{0}) : 0;
}

std::string DefaultServiceSettingsText() {
  return "ttl_ms = 300\n[service/s]\nprobe_interval_ms = 100\n"
         "request_timeout_ms = 4000\n"
         "[service/s/kind/read]\npath_prefix = /\nmethod = GET\n"
         "repeatable = true\nrank = urgent\n"
         "[service/s/kind/slow]\npath_prefix = /slow\nmethod = GET\n"
         "repeatable = true\nrank = urgent\nattempt_timeout_ms = 4000\n"
         "[service/s/kind/write]\npath_prefix = /\nmethod = POST\n"
         "rank = urgent\n";
}

}  // namespace

ProcessFleet::ProcessFleet(int entries,
                           int endpoints,
                           const FakeEndpointOptions& endpoint_options,
                           std::string service_settings_text)
    : entry_count_(entries),
      service_settings_text_(std::move(service_settings_text)),
      ports_(static_cast<int>(ReplicaIds().size()) * 2 + entries) {
  std::ofstream(folder_.path() / "secret") << "a-secret-of-the-tests";
  for (int i = 0; i < endpoints; ++i) {
    FakeEndpointOptions options = endpoint_options;
    options.name = "p" + std::to_string(i);
    endpoints_.push_back(std::make_unique<FakeEndpoint>(options));
    if (!endpoints_.back()->Start())
      throw std::runtime_error("fake endpoint failed to start");
  }
}

const std::vector<std::string>& ProcessFleet::ReplicaIds() {
  static const std::vector<std::string> kReplicaIds = {"c1", "c2", "c3"};
  return kReplicaIds;
}

std::string ProcessFleet::EntryId(int index) {
  return "e" + std::to_string(index + 1);
}

void ProcessFleet::StartAll() {
  for (const std::string& id : ReplicaIds())
    Start(id);
  for (int i = 0; i < entry_count_; ++i)
    Start(EntryId(i));
}

void ProcessFleet::Start(const std::string& id) {
  WriteSettingsFile(id);
  processes_[id] = std::make_unique<ChildProcess>(
      JACINTH_BINARY_ROOT "/source/jacinthroute/jacinthroute",
      std::vector<std::string>{"--settings", id + ".ini"},
      folder_.path().string(), id + ".log");
}

std::string ProcessFleet::EntryAddress(int index) const {
  return LoopbackAddress(ports_.ports()[ReplicaIds().size() * 2 + index]);
}

int ProcessFleet::PeerPort(const std::string& replica) const {
  return ports_.ports()[replica[1] - '1'];
}

std::string ProcessFleet::AdminAddress(const std::string& replica) const {
  return LoopbackAddress(
      ports_.ports()[ReplicaIds().size() + (replica[1] - '1')]);
}

std::string ProcessFleet::DataFolder(const std::string& replica) const {
  return (folder_.path() / "data" / replica).string();
}

void ProcessFleet::OverridePeerPort(const std::string& instance,
                                    const std::string& replica,
                                    int port) {
  peer_port_overrides_[{instance, replica}] = port;
}

void ProcessFleet::WriteSettingsFile(const std::string& id) {
  std::ofstream file(folder_.path() / (id + ".ini"));
  const bool is_control = id[0] == 'c';
  const bool is_west = (id[1] - '1') % 2 == 0;
  file << "[instance]\nid = " << id
       << "\nregion = " << (is_west ? "west" : "east")
       << "\nfailure_domain = " << (is_west ? "west-a" : "east-a")
       << "\nroles = " << (is_control ? "control" : "entry")
       << "\ncluster_secret_file = secret\n";
  if (is_control) {
    file << "data_folder = data/" << id
         << "\n[control]\nelection_timeout_ms = 500\nheartbeat_ms = 50\n"
            "entry_timeout_ms = 1000\nsnapshot_entries = 100\n";
  } else {
    file << "[entry]\naddress = " << EntryAddress(id[1] - '1')
         << "\nheartbeat_ms = 100\ncontrol_timeout_ms = 1000\n"
            "drain_limit_ms = 10000\n";
  }
  for (const std::string& replica : ReplicaIds()) {
    const auto port_override = peer_port_overrides_.find({id, replica});
    const int port = port_override == peer_port_overrides_.end()
                         ? PeerPort(replica)
                         : port_override->second;
    file << "[replica/" << replica
         << "]\npeer_address = " << LoopbackAddress(port)
         << "\nadmin_address = " << AdminAddress(replica) << "\n";
  }
  file << "[operator/op]\nparty = test\ntoken_sha256 = " << Sha256Hex(kToken)
       << "\n";
}

std::string ProcessFleet::SettingsTreeText() const {
  std::string text = service_settings_text_.empty()
                         ? DefaultServiceSettingsText()
                         : service_settings_text_;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    text += "[service/s/endpoint/p" + std::to_string(i) +
            "]\naddress = " + LoopbackAddress(endpoints_[i]->port()) +
            (i % 2 == 0 ? "\nregion = west\nfailure_domain = west-a\n"
                        : "\nregion = east\nfailure_domain = east-a\n");
  }
  return text;
}

void ProcessFleet::ApplySettingsTree() {
  const bool applied = WaitFor(
      [&] {
        for (const std::string& replica : ReplicaIds()) {
          if (PutSettings(replica, "", SettingsTreeText(), 0, "first").status ==
              200)
            return true;
        }
        return false;
      },
      kInForceTarget);
  const auto ready = [&] {
    for (int i = 0; i < entry_count_; ++i) {
      http::Request request;
      request.method = "GET";
      request.target = "/readyz";
      if (Exchange(EntryAddress(i), request).status != 200)
        return false;
    }
    return true;
  };
  if (!applied || !WaitFor(ready, kInForceTarget))
    throw std::runtime_error(
        "settings were not applied or entries did not become ready in time");
}

http::Response ProcessFleet::PutSettings(const std::string& replica,
                                         const std::string& branch,
                                         const std::string& body,
                                         std::uint64_t if_revision,
                                         const std::string& key) {
  http::Request request;
  request.method = "PUT";
  request.target = "/v1/settings" + (branch.empty() ? "" : "/" + branch);
  request.headers = {{"Authorization", "Bearer " + std::string(kToken)},
                     {"If-Match", std::to_string(if_revision)},
                     {"Idempotency-Key", key}};
  request.body = body;
  return Exchange(AdminAddress(replica), request);
}

std::uint64_t ProcessFleet::SetTtl(int ttl_ms, const std::string& key) {
  std::uint64_t new_revision = 0;
  std::optional<std::uint64_t> base_revision;
  WaitFor(
      [&] {
        if (!base_revision)
          base_revision = CurrentRevision();
        if (!base_revision)
          return false;
        for (const std::string& replica : ReplicaIds()) {
          const http::Response response = PutSettings(
              replica, "service/s/region/west",
              "ttl_ms = " + std::to_string(ttl_ms) + "\n", *base_revision, key);
          if (response.status == 200) {
            new_revision = NumberFromJson(response.body, "revision");
            return true;
          }
        }
        return false;
      },
      kInForceTarget);
  return new_revision;
}

std::optional<std::uint64_t> ProcessFleet::CurrentRevision() {
  for (const std::string& replica : ReplicaIds()) {
    const http::Response response = AdminGet(replica, "/v1/in-force");
    if (response.status == 200)
      return NumberFromJson(response.body, "revision");
  }
  return std::nullopt;
}

std::optional<std::string> ProcessFleet::FindLeader() {
  for (const std::string& replica : ReplicaIds()) {
    if (AdminGet(replica, "/v1/in-force").status == 200)
      return replica;
  }
  return std::nullopt;
}

http::Response ProcessFleet::AdminGet(const std::string& replica,
                                      const std::string& path) {
  http::Request request;
  request.method = "GET";
  request.target = path;
  request.headers = {{"Authorization", "Bearer " + std::string(kToken)}};
  return Exchange(AdminAddress(replica), request);
}

std::uint64_t ProcessFleet::EntryRevision(int index) {
  http::Request request;
  request.method = "GET";
  request.target = "/v1/status";
  return NumberFromJson(Exchange(EntryAddress(index), request).body,
                        "revision");
}

CallerAnswer ProcessFleet::Get(int entry, const std::string& path) {
  http::Request request;
  request.method = "GET";
  request.target = "/v1/services/s" + path;
  return SendToEntry(entry, request);
}

CallerAnswer ProcessFleet::Post(int entry,
                                const std::string& path,
                                const std::string& key) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/services/s" + path;
  request.headers = {{"Idempotency-Key", key}};
  request.body = "body of " + key;
  return SendToEntry(entry, request);
}

CallerAnswer ProcessFleet::SendToEntry(int entry,
                                       const http::Request& request) {
  const http::Response response = Exchange(EntryAddress(entry), request);
  CallerAnswer answer;
  answer.status = response.status;
  answer.outcome = http::HeaderValue(response.headers, "Jacinth-Outcome");
  answer.body = response.body;
  answer.replayed =
      !http::HeaderValue(response.headers, "Jacinth-Replayed").empty();
  return answer;
}

bool ProcessFleet::HasLogged(const std::string& id,
                             const std::string& text) const {
  std::ifstream log(folder_.path() / (id + ".log"));
  std::string line;
  while (std::getline(log, line)) {
    if (line.find(text) != std::string::npos)
      return true;
  }
  return false;
}

int ProcessFleet::ExecutionCount(const std::string& key) const {
  int count = 0;
  for (const auto& endpoint : endpoints_)
    count += endpoint->ExecutionCount(key);
  return count;
}

bool ProcessFleet::WaitFor(const std::function<bool()>& condition,
                           Duration limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace jacinth::test
