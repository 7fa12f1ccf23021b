#include "core/trace/span_writer.h"

#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace jacinth::trace {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxQueuedSpans = 4'096;
constexpr int kSpanKindServer = 2;
constexpr int kStatusError = 2;

json MakeAttribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json ToJson(const Span& span, const std::string& instance) {
  json span_json;
  span_json["traceId"] = span.context.trace_id;
  span_json["spanId"] = span.context.span_id;
  if (!span.parent_span_id.empty())
    span_json["parentSpanId"] = span.parent_span_id;
  span_json["name"] = span.name;
  span_json["kind"] = kSpanKindServer;
  span_json["startTimeUnixNano"] = std::to_string(span.start_unix_ns);
  span_json["endTimeUnixNano"] = std::to_string(span.end_unix_ns);
  span_json["attributes"] = json::array();
  for (const auto& [key, value] : span.attributes)
    span_json["attributes"].push_back(MakeAttribute(key, value));
  if (span.failed)
    span_json["status"] = {{"code", kStatusError}};
  json resource_json;
  resource_json["attributes"] = {
      MakeAttribute("service.name", "jacinthroute"),
      MakeAttribute("service.instance.id", instance)};
  json scope_json;
  scope_json["scope"] = {{"name", "jacinthroute"}};
  scope_json["spans"] = json::array({std::move(span_json)});
  json document;
  document["resourceSpans"] =
      json::array({{{"resource", resource_json},
                    {"scopeSpans", json::array({scope_json})}}});
  return document;
}

}  // namespace

std::int64_t UnixNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

SpanWriter::SpanWriter(std::string instance) : instance_(std::move(instance)) {}

SpanWriter::~SpanWriter() {
  Stop();
}

Result<void> SpanWriter::Start(const std::string& path) {
  if (path.empty())
    return {};
  file_.open(path, std::ios::app);
  if (!file_)
    return Fail(ErrorKind::kStorageFailed, "failed to open trace file " + path);
  stopped_ = false;
  thread_ = std::thread([this] { WriteLoop(); });
  return {};
}

void SpanWriter::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    wake_up_.notify_all();
  }
  if (thread_.joinable())
    thread_.join();
}

void SpanWriter::Add(Span span) {
  if (!span.context.sampled)
    return;
  const std::lock_guard lock(mutex_);
  if (stopped_)
    return;
  if (queue_.size() >= kMaxQueuedSpans) {
    ++dropped_;
    return;
  }
  queue_.push_back(std::move(span));
  wake_up_.notify_one();
}

std::uint64_t SpanWriter::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void SpanWriter::WriteLoop() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [&] { return stopped_ || !queue_.empty(); });
    if (queue_.empty())
      return;
    const std::deque<Span> batch = std::exchange(queue_, {});
    lock.unlock();
    for (const Span& span : batch)
      file_ << ToJson(span, instance_).dump() << "\n";
    file_.flush();
    lock.lock();
  }
}

}  // namespace jacinth::trace
