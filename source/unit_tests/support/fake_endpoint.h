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

/// Configures the behavior of a FakeEndpoint.
struct FakeEndpointOptions {
  std::string name = "endpoint";
  std::string address = "127.0.0.1:0";
  int slots = 4;
  /// Number of requests that the HTTP server handles concurrently.
  int server_threads = 64;
  Duration service_time = 5ms;
  /// Time added to each of the first `cold_requests` requests, as during a
  /// warm-up.
  Duration cold_time{0};
  int cold_requests = 0;
  std::string trace_file;
  /// File to which the idempotency key of each executed request is appended.
  std::string journal_file;
};

/// An HTTP endpoint for tests with a fixed number of slots, a warm-up, a load
/// report and a draining state. Its refusals state that the request was not
/// run.
///
/// `GET /healthz` reports the state; `POST /control/drain` and
/// `/control/undrain` change it. A request for any other path is executed. Its
/// query parameter `sleep_ms` overrides the service time.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(FakeEndpointOptions options);

  Result<void> Start();
  void Stop();

  int port() const { return server_.port(); }
  /// Returns the number of executed requests with this idempotency key.
  int ExecutionCount(const std::string& key) const;
  /// Returns the number of executed requests.
  int total_executions() const { return total_executions_; }
  void SetDraining(bool draining) { draining_ = draining; }

 private:
  http::Response HandleRequest(const http::Request& request);
  http::Response ExecuteRequest(const http::Request& request);
  http::Response HandleHealthCheck() const;
  void RecordExecution(const std::string& key);

  FakeEndpointOptions options_;
  http::Server server_;
  trace::SpanWriter span_writer_;
  std::atomic<int> running_requests_{0};
  std::atomic<int> total_executions_{0};
  std::atomic<bool> draining_{false};
  mutable std::mutex mutex_;
  std::map<std::string, int> executions_by_key_;
};

}  // namespace jacinth::test
