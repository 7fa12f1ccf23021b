#include "unit_tests/support/fake_endpoint.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

namespace jacinth::test {
namespace {

constexpr int kUnavailable = 503;

http::ServerOptions MakeServerOptions(const FakeEndpointOptions& options) {
  http::ServerOptions server;
  server.address = options.address;
  server.threads = static_cast<std::size_t>(options.server_threads);
  server.idle_timeout = 2s;
  return server;
}

http::Response Text(int status, std::string body) {
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
              [this](const http::Request& request) { return Handle(request); }),
      spans_(options_.name) {}

Result<void> FakeEndpoint::Start() {
  if (auto started = spans_.Start(options_.trace_file); !started)
    return started;
  return server_.Start();
}

void FakeEndpoint::Stop() {
  server_.Stop();
  spans_.Stop();
}

int FakeEndpoint::Executions(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = executions_.find(key);
  return found == executions_.end() ? 0 : found->second;
}

http::Response FakeEndpoint::Handle(const http::Request& request) {
  if (request.path == "/healthz")
    return Health();
  if (request.path == "/control/drain" || request.path == "/control/undrain") {
    draining_ = request.path == "/control/drain";
    return Text(200, "ok\n");
  }
  return Work(request);
}

http::Response FakeEndpoint::Health() const {
  http::Response response = Text(draining_ ? kUnavailable : 200, "");
  response.headers.emplace_back("Endpoint-State",
                                draining_ ? "draining" : "serving");
  response.headers.emplace_back(
      "Endpoint-Load",
      std::to_string(running_) + "/" + std::to_string(options_.slots));
  return response;
}

http::Response FakeEndpoint::Work(const http::Request& request) {
  if (++running_ > options_.slots) {
    --running_;
    http::Response refusal = Text(kUnavailable, "no free slot\n");
    refusal.headers.emplace_back("Jacinth-Outcome", "not-run");
    return refusal;
  }
  trace::Span span;
  span.start_unix_ns = trace::UnixNanos();
  const std::string key(http::HeaderValue(request.headers, "Idempotency-Key"));
  NoteExecution(key);
  Duration time = options_.service_time;
  if (executed_++ < options_.cold_requests)
    time += options_.cold_time;
  const auto sleep = request.query.find("sleep_ms");
  if (sleep != request.query.end())
    time = std::chrono::milliseconds(std::atoi(sleep->second.c_str()));
  std::this_thread::sleep_for(time);
  const auto parent = trace::ParseTraceparent(
      http::HeaderValue(request.headers, "traceparent"));
  if (parent) {
    span.context = trace::NewChild(*parent);
    span.parent_span_id = parent->span_id;
    span.name = "endpoint.work";
    span.end_unix_ns = trace::UnixNanos();
    spans_.Add(std::move(span));
  }
  --running_;
  return Text(200, options_.name + " ran " + request.method + " " +
                       request.target + " key=" + key +
                       " body=" + request.body + "\n");
}

void FakeEndpoint::NoteExecution(const std::string& key) {
  if (key.empty())
    return;
  const std::lock_guard lock(mutex_);
  ++executions_[key];
  if (!options_.journal_file.empty())
    std::ofstream(options_.journal_file, std::ios::app) << key << "\n";
}

}  // namespace jacinth::test
