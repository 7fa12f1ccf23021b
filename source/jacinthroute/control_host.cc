#include "jacinthroute/control_host.h"

#include <algorithm>
#include <random>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/log/log.h"

namespace jacinth {
namespace {

constexpr std::size_t kIncarnationDigits = 12;
constexpr std::size_t kAdminThreads = 16;
constexpr std::size_t kAdminMaxWaiting = 64;
constexpr std::size_t kMaxAdminBodyBytes = 4UL << 20U;

}  // namespace

ControlHost::ControlHost(asio::io_context& context,
                         const settings::InstanceSettings& settings,
                         net::LinkHub& hub,
                         metrics::Registry& metrics,
                         trace::SpanWriter& spans)
    : context_(context),
      settings_(settings),
      hub_(hub),
      metrics_(metrics),
      spans_(spans),
      timer_(context, [this] { Step(control::Tick{}); }) {}

ControlHost::~ControlHost() {
  Join();
}

Result<void> ControlHost::Start() {
  consensus::ReplicaStart start;
  auto store = OpenStore(start);
  if (!store)
    return tl::unexpected(store.error());
  auto node = control::ControlNode::Create(MakeOptions(), std::move(start),
                                           ReadClocks());
  if (!node)
    return tl::unexpected(node.error());
  node_.emplace(std::move(*node));
  writer_ = std::make_unique<StorageWriter>(
      std::move(*store),
      [this](consensus::SyncId id) {
        asio::post(context_, [this, id] { Step(control::WritesSynced{id}); });
      },
      [this](const Error& error) {
        log::Failure(log::Category::kStorage, error.detail + ".");
        asio::post(context_, [this] { Step(control::StorageFailed{}); });
      });
  std::map<std::string, std::string> addresses;
  for (const settings::ReplicaSettings& replica : settings_.replicas)
    addresses[replica.id] = replica.admin_address;
  api_ = std::make_unique<admin::AdminApi>(settings_.operators, addresses,
                                           MakeCalls());
  http::ServerOptions options;
  options.address = settings_.OwnReplica()->admin_address;
  options.threads = kAdminThreads;
  options.max_waiting = kAdminMaxWaiting;
  options.max_body_bytes = kMaxAdminBodyBytes;
  server_ = std::make_unique<http::Server>(
      options,
      [this](const http::Request& request) { return HandleHttp(request); });
  if (auto started = server_->Start(); !started)
    return started;
  log::Info(log::Category::kControl, "Replica " + node_->replica_id() +
                                         " serves the admin API on " +
                                         options.address + ".");
  Step(control::Tick{});
  return {};
}

void ControlHost::BeginStop(std::function<void()> done) {
  on_stopped_ = std::move(done);
  Step(control::StopRequested{});
}

void ControlHost::Join() {
  // Calls that wait for the node would keep the server's threads.
  for (auto& [ticket, promise] : calls_) {
    control::CallRefused refused;
    refused.error = {ErrorKind::kOutcomeUnknown, "the replica is stopping"};
    promise->set_value({ticket, std::move(refused)});
  }
  calls_.clear();
  if (server_)
    server_->Stop();
  if (writer_)
    writer_->Stop();
}

void ControlHost::OnMessage(const std::string& from,
                            protocol::Envelope envelope) {
  Step(control::MessageReceived{from, std::move(envelope)});
}

void ControlHost::Step(const control::ControlEvent& event) {
  if (!node_)
    return;
  CarryOut(node_->Step(event, ReadClocks()));
}

void ControlHost::CarryOut(control::ControlActions actions) {
  for (consensus::WriteRequest& write : actions.writes)
    writer_->Add(std::move(write));
  for (const control::OutgoingMessage& message : actions.messages)
    hub_.Send(message.to_instance, message.envelope);
  for (control::AdminReply& reply : actions.replies) {
    const auto call = calls_.find(reply.ticket);
    if (call == calls_.end())
      continue;
    call->second->set_value(std::move(reply));
    calls_.erase(call);
  }
  for (const control::ClaimTrace& claim : actions.claim_traces) {
    metrics_.Record("jacinth_commit_seconds", claim.took);
    const auto parent = trace::ParseTraceparent(claim.traceparent);
    if (!parent)
      continue;
    trace::Span span;
    span.context = trace::NewChild(*parent);
    span.parent_span_id = parent->span_id;
    span.name = "control.claim";
    span.end_unix_ns = trace::UnixNanos();
    span.start_unix_ns =
        span.end_unix_ns - std::chrono::nanoseconds(claim.took).count();
    spans_.Add(std::move(span));
  }
  NoteLeadership();
  timer_.Schedule(actions.wake);
  if (actions.stopped && on_stopped_)
    std::exchange(on_stopped_, nullptr)();
}

Result<storage::LogStore> ControlHost::OpenStore(
    consensus::ReplicaStart& start) {
  std::string incarnation;
  std::random_device device;
  for (std::size_t i = 0; i < kIncarnationDigits; ++i)
    incarnation += "0123456789abcdef"[device() % 16];
  auto folder = storage::DataFolder::Open(settings_.data_folder, incarnation);
  if (!folder)
    return tl::unexpected(folder.error());
  folder_.emplace(std::move(*folder));
  storage::RecoveredLog recovered;
  auto store = storage::LogStore::Open(folder_->path(), recovered);
  if (!store)
    return store;
  if (recovered.torn_bytes != 0) {
    log::Warning(log::Category::kStorage,
                 "Cut off " + std::to_string(recovered.torn_bytes) +
                     " bytes of an interrupted write.");
  }
  start.hard_state = std::move(recovered.hard_state);
  if (recovered.snapshot)
    start.snapshot = std::move(*recovered.snapshot);
  start.entries = std::move(recovered.entries);
  return store;
}

control::ControlOptions ControlHost::MakeOptions() const {
  control::ControlOptions options;
  options.replica.id =
      protocol::MakeReplicaId(settings_.id, folder_->incarnation());
  options.replica.election_timeout = settings_.election_timeout;
  options.replica.heartbeat = settings_.replica_heartbeat;
  for (const settings::ReplicaSettings& replica : settings_.replicas)
    options.instances.push_back(replica.id);
  options.entry_timeout = settings_.entry_timeout;
  options.snapshot_entries =
      static_cast<std::uint64_t>(settings_.snapshot_entries);
  options.proposal_seed = std::random_device{}();
  return options;
}

void ControlHost::NoteLeadership() {
  const consensus::Replica* replica = node_->replica();
  if (replica == nullptr || replica->leader() == known_leader_)
    return;
  known_leader_ = replica->leader();
  const std::string term = std::to_string(replica->term());
  log::Info(log::Category::kConsensus,
            known_leader_.empty()
                ? "No leader is known in term " + term + "."
                : known_leader_ + " leads term " + term + ".");
}

}  // namespace jacinth
