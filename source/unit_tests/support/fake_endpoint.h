#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/common/time.h"
#include "core/http/server.h"
#include "core/trace/span_writer.h"

namespace jacinth::test {

/// How a fake endpoint behaves.
struct FakeEndpointOptions {
  std::string name = "endpoint";
  std::string address = "127.0.0.1:0";
  int slots = 4;
  /// Connections served at once.
  int server_threads = 64;
  Duration service_time = 5ms;
  /// Extra time of each of the first `cold_requests` requests.
  Duration cold_time{0};
  int cold_requests = 0;
  std::string trace_file;
  /// File to which the idempotency key of each executed request is appended.
  std::string journal_file;
};

/// A small stand-in for an endpoint: slots, a cold start, a load report, drain,
/// and refusals that say that nothing was run.
///
/// `GET /healthz` reports the state; `POST /control/drain` and
/// `/control/undrain` change it; any other path is work. The query of work may
/// hold `sleep_ms` for a longer service time.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(FakeEndpointOptions options);

  Result<void> Start();
  void Stop();

  int port() const { return server_.port(); }
  /// Times a request with this idempotency key was run.
  int Executions(const std::string& key) const;
  /// Requests run in all.
  int executed() const { return executed_; }
  void SetDraining(bool draining) { draining_ = draining; }

 private:
  http::Response Handle(const http::Request& request);
  http::Response Work(const http::Request& request);
  http::Response Health() const;
  void NoteExecution(const std::string& key);

  FakeEndpointOptions options_;
  http::Server server_;
  trace::SpanWriter spans_;
  std::atomic<int> running_{0};
  std::atomic<int> executed_{0};
  std::atomic<bool> draining_{false};
  mutable std::mutex mutex_;
  std::map<std::string, int> executions_;
};

}  // namespace jacinth::test
