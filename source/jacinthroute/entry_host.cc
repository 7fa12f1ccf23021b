#include "jacinthroute/entry_host.h"

#include <algorithm>
#include <random>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/log/log.h"

namespace jacinth {
namespace {

constexpr std::size_t kMaxKeptPerEndpoint = 64;
/// Largest body that the server reads; the tree's max_body_bytes is below it.
constexpr std::size_t kMaxServerBodyBytes = 64UL << 20U;

entry::EntryOptions MakeOptions(const settings::InstanceSettings& settings) {
  entry::EntryOptions options;
  options.self.id = settings.id;
  options.self.incarnation = std::random_device{}();
  options.self.region = settings.region;
  options.self.failure_domain = settings.failure_domain;
  options.self.address = settings.entry_address;
  options.heartbeat = settings.entry_heartbeat;
  options.control_timeout = settings.control_timeout;
  options.drain_limit = settings.drain_limit;
  options.max_requests = settings.entry_threads;
  return options;
}

}  // namespace

EntryHost::EntryHost(asio::io_context& context,
                     const settings::InstanceSettings& settings,
                     net::LinkHub& hub,
                     metrics::Registry& metrics,
                     trace::SpanWriter& spans)
    : context_(context),
      settings_(settings),
      hub_(hub),
      metrics_(metrics),
      spans_(spans),
      timer_(context, [this] { Step(entry::Tick{}); }),
      node_(MakeOptions(settings)),
      forwarder_(kMaxKeptPerEndpoint, spans) {}

EntryHost::~EntryHost() {
  Join();
}

Result<void> EntryHost::Start() {
  prober_ = std::make_unique<EndpointProber>([this](entry::ProbeEnded ended) {
    asio::post(context_, [this, ended = std::move(ended)] { Step(ended); });
  });
  http::ServerOptions options;
  options.address = settings_.entry_address;
  options.threads = static_cast<std::size_t>(settings_.entry_threads);
  options.max_waiting = static_cast<std::size_t>(settings_.entry_connections -
                                                 settings_.entry_threads);
  options.max_body_bytes = kMaxServerBodyBytes;
  server_ = std::make_unique<http::Server>(
      options,
      [this](const http::Request& request) { return HandleHttp(request); });
  if (auto started = server_->Start(); !started)
    return started;
  log::Info(log::Category::kEntry,
            "Serving callers on " + options.address + ".");
  Step(entry::Tick{});
  return {};
}

void EntryHost::BeginStop(std::function<void()> done) {
  log::Info(log::Category::kEntry, "Leaving the look-ups.");
  on_stopped_ = std::move(done);
  Step(entry::StopRequested{});
}

void EntryHost::Join() {
  ended_ = true;
  for (auto& [ticket, call] : calls_) {
    entry::RefuseRequest refusal{
        {ErrorKind::kOutcomeUnknown, "the instance ended"},
        Outcome::kUnknown,
        {}};
    call->Give(entry::RequestAnswer{ticket, std::move(refusal)});
  }
  calls_.clear();
  if (server_)
    server_->Stop();
  if (prober_)
    prober_->Stop();
}

void EntryHost::OnMessage(const std::string& from,
                          protocol::Envelope envelope) {
  Step(entry::MessageReceived{from, std::move(envelope)});
}

void EntryHost::Step(const entry::EntryEvent& event) {
  CarryOut(node_.Step(event, MonotonicNow()));
}

void EntryHost::CarryOut(entry::EntryActions actions) {
  if (actions.snapshot) {
    const Snapshot before = snapshot_.load();
    const bool new_revision =
        actions.snapshot->fleet != nullptr &&
        (before == nullptr || before->fleet != actions.snapshot->fleet);
    if (new_revision) {
      log::Info(log::Category::kEntry,
                "Settings revision " +
                    std::to_string(actions.snapshot->fleet->revision) +
                    " is in force.");
    }
    snapshot_.store(std::move(actions.snapshot));
  }
  for (const entry::OutgoingMessage& message : actions.messages) {
    if (!message.to_instance.empty()) {
      hub_.Send(message.to_instance, message.envelope);
      continue;
    }
    for (const settings::ReplicaSettings& replica : settings_.replicas)
      hub_.Send(replica.id, message.envelope);
  }
  for (entry::StartAttempt& attempt : actions.attempts) {
    const auto call = calls_.find(attempt.ticket);
    if (call != calls_.end())
      call->second->Give(std::move(attempt));
  }
  for (entry::RequestAnswer& answer : actions.answers) {
    const auto call = calls_.find(answer.ticket);
    if (call == calls_.end())
      continue;
    call->second->Give(std::move(answer));
    calls_.erase(call);
  }
  for (entry::StartProbe& probe : actions.probes)
    prober_->Start(std::move(probe));
  timer_.Schedule(actions.wake);
  if (actions.stopped && on_stopped_)
    std::exchange(on_stopped_, nullptr)();
}

}  // namespace jacinth
