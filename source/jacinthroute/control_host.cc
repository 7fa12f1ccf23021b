#include "jacinthroute/control_host.h"

#include <algorithm>
#include <random>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/log/log.h"
#include "jacinthroute/logged_transaction.h"

namespace jacinth {
namespace {

constexpr std::size_t kIncarnationDigits = 12;
constexpr std::size_t kAdminThreads = 16;
constexpr std::size_t kMaxQueuedAdminRequests = 64;
constexpr std::size_t kMaxAdminBodyBytes = 4UL << 20U;
constexpr std::size_t kMaxOperatorConnections = 256;
/// Maximum number of idle connections to the server of the endpoint list.
constexpr std::size_t kMaxIdleConnections = 32;
/// Interval between attempts to reopen the data folder after a failed write.
constexpr Duration kReopenInterval = 500ms;
/// Time of silence after which another replica can replace a voter: longer than
/// an election, and shorter than the time within which a lost replica must be
/// replaced.
constexpr Duration kReplaceAfter = 2500ms;

std::vector<std::string> FailureDomains(
    const settings::InstanceSettings& settings) {
  std::vector<std::string> domains;
  for (const auto& [domain, region] : settings.failure_domain_regions)
    domains.push_back(domain);
  return domains;
}

}  // namespace

ControlHost::ControlHost(asio::io_context& context,
                         const settings::InstanceSettings& settings,
                         const InterfaceComponents& components,
                         net::LinkHub& hub,
                         metrics::Registry& metrics,
                         trace::SpanWriter& spans)
    : context_(context),
      settings_(settings),
      components_(components),
      hub_(hub),
      metrics_(metrics),
      spans_(spans),
      timer_(context, [this] { Step(control::Tick{}); }),
      client_(context, kMaxIdleConnections),
      endpoint_lister_(client_,
                       settings.discovery_address,
                       FailureDomains(settings),
                       components.endpoint_list.make_request,
                       components.endpoint_list.parse_page),
      endpoint_list_timer_(context),
      reopen_timer_(context),
      contacts_(settings.ControlContacts()) {}

ControlHost::~ControlHost() {
  Shutdown();
}

Result<void> ControlHost::Start() {
  if (auto opened = OpenNode(); !opened)
    return opened;
  if (auto serving = StartOperatorServer(); !serving)
    return serving;
  if (!settings_.metrics_address.empty()) {
    metrics_server_ = std::make_unique<http::EventServer>(
        context_,
        [this](const std::shared_ptr<http::Transaction>& transaction) {
          http::Response response;
          response.content_type = "text/plain";
          response.body = metrics_.ToText();
          transaction->Respond(std::move(response));
        });
    if (auto bound = metrics_server_->Listen(settings_.metrics_address); !bound)
      return bound;
  }
  log::Info(log::Category::kControl, "Replica " + node_->replica_id() +
                                         " serves the admin API on " +
                                         settings_.AdminAddress() + ".");
  Step(control::Tick{});
  if (!settings_.discovery_address.empty())
    RefreshEndpointList();
  return {};
}

Result<void> ControlHost::OpenNode() {
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
        asio::post(context_, [this, error] { OnStorageFailure(error); });
      });
  return {};
}

Result<void> ControlHost::StartOperatorServer() {
  if (components_.make_operator_interface) {
    operator_interface_ = components_.make_operator_interface(settings_, *this);
    operator_server_ = std::make_unique<http::EventServer>(
        context_,
        [this](const std::shared_ptr<http::Transaction>& transaction) {
          operator_interface_->Handle(
              std::make_shared<LoggedTransaction>(transaction, MonotonicNow()));
        });
    http::EventServerLimits limits;
    limits.max_body_bytes = kMaxAdminBodyBytes;
    limits.max_connections = kMaxOperatorConnections;
    operator_server_->SetLimits(limits);
    return operator_server_->Listen(settings_.AdminAddress());
  }
  std::map<std::string, std::string> addresses;
  for (const settings::ReplicaSettings& replica : settings_.replicas)
    addresses[replica.id] = replica.admin_address;
  admin_api_ = std::make_unique<admin::AdminApi>(settings_.operators, addresses,
                                                 MakeControlCalls());
  http::ServerOptions options;
  options.address = settings_.AdminAddress();
  options.threads = kAdminThreads;
  options.max_queued_requests = kMaxQueuedAdminRequests;
  options.max_body_bytes = kMaxAdminBodyBytes;
  admin_server_ = std::make_unique<http::Server>(
      options, [this](const http::Request& request) {
        return HandleAdminRequest(request);
      });
  return admin_server_->Start();
}

// After a failed write, the contents of the disk are unknown. The replica does
// not vote or acknowledge entries until it has read its data folder again.
void ControlHost::OnStorageFailure(const Error& error) {
  log::Failure(log::Category::kStorage, error.detail + ".");
  Step(control::StorageFailed{});
  sync_monitor_ = {};
  reopen_timer_.expires_after(kReopenInterval);
  reopen_timer_.async_wait([this](asio::error_code timer_error) {
    if (!timer_error)
      ReopenDataFolder();
  });
}

void ControlHost::ReopenDataFolder() {
  // The new node would know nothing of a stop that was requested.
  if (stopping_)
    return;
  if (writer_)
    writer_->Stop();
  writer_.reset();
  node_.reset();
  folder_.reset();
  const auto opened = OpenNode();
  if (opened) {
    log::Info(log::Category::kStorage,
              "Reopened the data folder after a failed write.");
    Step(control::Tick{});
    return;
  }
  log::Warning(log::Category::kStorage, "Failed to reopen the data folder: " +
                                            opened.error().detail + ".");
  reopen_timer_.expires_after(kReopenInterval);
  reopen_timer_.async_wait([this](asio::error_code timer_error) {
    if (!timer_error)
      ReopenDataFolder();
  });
}

void ControlHost::ReadEndpointList() {
  endpoint_lister_.Start([this](EndpointListing listing) {
    CountListing(listing, metrics_);
    Step(control::EndpointsListed{std::move(listing.endpoints),
                                  listing.is_complete, listing.took});
  });
}

void ControlHost::RefreshEndpointList() {
  if (node_ && node_->Leads())
    ReadEndpointList();
  endpoint_list_timer_.expires_after(settings_.discovery_interval);
  endpoint_list_timer_.async_wait([this](asio::error_code error) {
    if (!error)
      RefreshEndpointList();
  });
}

void ControlHost::SetContacts(std::vector<std::string> contacts) {
  contacts_ = std::move(contacts);
  Step(control::ContactsChanged{contacts_});
}

void ControlHost::BeginStop(std::function<void()> done) {
  stopping_ = true;
  if (!node_) {
    done();
    return;
  }
  on_stopped_ = std::move(done);
  Step(control::StopRequested{});
}

void ControlHost::Shutdown() {
  // Calls that wait for a reply block threads of the server, so they are
  // answered before the server is stopped.
  const auto reply_handlers = std::exchange(reply_handlers_, {});
  for (const auto& [ticket, on_reply] : reply_handlers) {
    control::CallRefused refused;
    refused.error = {ErrorKind::kOutcomeUnknown, "the replica is stopping"};
    on_reply({ticket, std::move(refused)});
  }
  if (operator_server_)
    operator_server_->Stop();
  client_.Stop();
  if (admin_server_)
    admin_server_->Stop();
  if (writer_)
    writer_->Stop();
}

void ControlHost::OnMessage(const std::string& from,
                            protocol::Envelope envelope) {
  control::MessageReceived message{from, std::move(envelope)};
  if (std::holds_alternative<protocol::PeerMessage>(message.envelope)) {
    Step(message);
    return;
  }
  if (!entry_backlog_.Add(std::move(message), MonotonicNow())) {
    log::Warning(log::Category::kControl,
                 "Dropped a message of an entry: too many wait.");
    return;
  }
  ScheduleBacklog();
}

void ControlHost::ScheduleBacklog() {
  if (entry_backlog_.empty() || std::exchange(backlog_scheduled_, true))
    return;
  asio::post(context_, [this] {
    backlog_scheduled_ = false;
    if (const auto record = monitor_.OnBacklog(
            entry_backlog_.oldest(), entry_backlog_.size(), MonotonicNow()))
      log::Write(*record);
    entry_backlog_.ServeSlice(
        [this](const control::MessageReceived& message) { Step(message); },
        MonotonicNow);
    ScheduleBacklog();
  });
}

void ControlHost::Step(const control::ControlEvent& event) {
  if (!node_)
    return;
  const ClockReading clock = ReadClocks();
  if (std::holds_alternative<control::Tick>(event)) {
    if (const auto record = monitor_.OnTick(tick_due_, clock.now))
      log::Write(*record);
    if (const auto record = sync_monitor_.OnTick(clock.now))
      log::Write(*record);
  }
  if (const auto* synced = std::get_if<control::WritesSynced>(&event)) {
    if (const auto record = sync_monitor_.OnSynced(synced->id, clock.now))
      log::Write(*record);
  }
  control::ControlActions actions = node_->Step(event, clock);
  const Time decided = MonotonicNow();
  tick_due_ = actions.next_tick;
  CarryOut(actions);
  const auto record =
      monitor_.OnStep(event, actions, clock.now, decided, MonotonicNow());
  if (record)
    log::Write(*record);
}

void ControlHost::CarryOut(control::ControlActions& actions) {
  for (consensus::WriteRequest& write : actions.writes) {
    sync_monitor_.OnWrite(write.id, MonotonicNow());
    writer_->Add(std::move(write));
  }
  for (const control::OutgoingMessage& message : actions.messages)
    hub_.Send(message.to_instance, message.envelope);
  for (const control::Broadcast& broadcast : actions.broadcasts)
    hub_.SendToAll(broadcast.to_instances, broadcast.envelope);
  for (control::AdminReply& reply : actions.replies) {
    const auto handler = reply_handlers_.find(reply.ticket);
    if (handler == reply_handlers_.end())
      continue;
    const ReplyHandler on_reply = std::move(handler->second);
    reply_handlers_.erase(handler);
    on_reply(std::move(reply));
  }
  for (const control::ClaimTrace& claim : actions.claim_traces) {
    metrics_.Record("jacinth_commit_seconds", claim.commit_latency);
    const auto parent = trace::ParseTraceparent(claim.traceparent);
    if (!parent)
      continue;
    trace::Span span;
    span.context = trace::NewChild(*parent);
    span.parent_span_id = parent->span_id;
    span.name = "control.claim";
    span.end_unix_ns = trace::UnixNanos();
    span.start_unix_ns = span.end_unix_ns -
                         std::chrono::nanoseconds(claim.commit_latency).count();
    spans_.Add(std::move(span));
  }
  for (const log::Record& record : actions.log_records)
    log::Write(record);
  if (actions.list_endpoints && !settings_.discovery_address.empty())
    ReadEndpointList();
  timer_.Schedule(actions.next_tick);
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
                 "Truncated " + std::to_string(recovered.torn_bytes) +
                     " bytes of an interrupted write at the end of the log.");
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
      protocol::MakeReplicaId(settings_.LinkName(), folder_->incarnation());
  options.replica.location = {settings_.region, settings_.failure_domain};
  options.replica.election_timeout = settings_.election_timeout;
  options.replica.heartbeat = settings_.replica_heartbeat;
  options.contacts = contacts_;
  options.failure_domain_regions = settings_.failure_domain_regions;
  const settings::GroupSettings& group = settings_.group;
  if (!group.seeds.empty()) {
    options.may_create_group = group.found;
    options.open_membership = true;
    options.replica.target_voters =
        static_cast<std::size_t>(group.target_voters);
    options.replica.replace_after = kReplaceAfter;
  }
  options.entry_timeout = settings_.entry_timeout;
  options.listing_interval = settings_.discovery_interval;
  options.snapshot_entries =
      static_cast<std::uint64_t>(settings_.snapshot_entries);
  options.proposal_seed = std::random_device{}();
  return options;
}

}  // namespace jacinth
