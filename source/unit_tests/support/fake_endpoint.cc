#include "unit_tests/support/fake_endpoint.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

namespace jacinth::test {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::size_t kMaxBodyBytes = 16UL << 20U;

http::ServerOptions MakeServerOptions(const FakeEndpointOptions& options) {
  http::ServerOptions server;
  server.address = options.address;
  server.threads = static_cast<std::size_t>(options.server_threads);
  server.idle_timeout = 2s;
  server.max_body_bytes = kMaxBodyBytes;
  return server;
}

http::Response TextResponse(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = std::move(body);
  return response;
}

}  // namespace

FakeEndpoint::FakeEndpoint(FakeEndpointOptions options)
    : options_(std::move(options)),
      server_(MakeServerOptions(options_),
              [this](const http::Request& request) {
                return HandleRequest(request);
              }),
      span_writer_(options_.name) {}

Result<void> FakeEndpoint::Start() {
  if (auto started = span_writer_.Start(options_.trace_file); !started)
    return started;
  return server_.Start();
}

void FakeEndpoint::Stop() {
  server_.Stop();
  span_writer_.Stop();
}

int FakeEndpoint::ExecutionCount(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = executions_by_key_.find(key);
  return found == executions_by_key_.end() ? 0 : found->second;
}

http::Response FakeEndpoint::HandleRequest(const http::Request& request) {
  if (request.path == "/healthz")
    return HandleHealthCheck();
  if (request.path == "/control/drain" || request.path == "/control/undrain") {
    draining_ = request.path == "/control/drain";
    return TextResponse(200, "ok\n");
  }
  return ExecuteRequest(request);
}

http::Response FakeEndpoint::HandleHealthCheck() const {
  http::Response response =
      TextResponse(draining_ ? kServiceUnavailable : 200, "");
  response.headers.emplace_back("Endpoint-State",
                                draining_ ? "draining" : "serving");
  response.headers.emplace_back(
      "Endpoint-Load",
      std::to_string(running_requests_) + "/" + std::to_string(options_.slots));
  return response;
}

http::Response FakeEndpoint::ExecuteRequest(const http::Request& request) {
  if (++running_requests_ > options_.slots) {
    --running_requests_;
    http::Response refusal =
        TextResponse(kServiceUnavailable, "no free slot\n");
    refusal.headers.emplace_back("Jacinth-Outcome", "not-run");
    return refusal;
  }
  trace::Span span;
  span.start_unix_ns = trace::UnixNanos();
  const std::string key(http::HeaderValue(request.headers, "Idempotency-Key"));
  RecordExecution(key);
  Duration duration = options_.service_time;
  if (total_executions_++ < options_.cold_requests)
    duration += options_.cold_time;
  const auto sleep_parameter = request.query.find("sleep_ms");
  if (sleep_parameter != request.query.end())
    duration =
        std::chrono::milliseconds(std::atoi(sleep_parameter->second.c_str()));
  std::this_thread::sleep_for(duration);
  const auto parent = trace::ParseTraceparent(
      http::HeaderValue(request.headers, "traceparent"));
  if (parent) {
    span.context = trace::NewChild(*parent);
    span.parent_span_id = parent->span_id;
    span.name = "endpoint.work";
    span.end_unix_ns = trace::UnixNanos();
    span_writer_.Add(std::move(span));
  }
  --running_requests_;
  return TextResponse(200, options_.name + " ran " + request.method + " " +
                               request.target + " key=" + key +
                               " body=" + request.body + "\n");
}

void FakeEndpoint::RecordExecution(const std::string& key) {
  if (key.empty())
    return;
  const std::lock_guard lock(mutex_);
  ++executions_by_key_[key];
  if (!options_.journal_file.empty())
    std::ofstream(options_.journal_file, std::ios::app) << key << "\n";
}

}  // namespace jacinth::test
