#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "core/admin/admin_api.h"
#include "core/common/error.h"
#include "core/control/control_node.h"
#include "core/control/entry_backlog.h"
#include "core/http/event_client.h"
#include "core/http/event_server.h"
#include "core/http/server.h"
#include "core/metrics/registry.h"
#include "core/net/link_hub.h"
#include "core/settings/instance_settings.h"
#include "core/storage/data_folder.h"
#include "core/trace/span_writer.h"
#include "jacinthroute/endpoint_lister.h"
#include "jacinthroute/interface_components.h"
#include "jacinthroute/step_monitor.h"
#include "jacinthroute/storage_writer.h"
#include "jacinthroute/sync_monitor.h"
#include "jacinthroute/tick_timer.h"

namespace jacinth {

/// Runs a ControlNode: writes its log to disk, exchanges messages with other
/// instances and serves the HTTP API. The node runs on the thread of the
/// io_context.
class ControlHost : public ControlEventSink {
 public:
  ControlHost(asio::io_context& context,
              const settings::InstanceSettings& settings,
              const InterfaceComponents& components,
              net::LinkHub& hub,
              metrics::Registry& metrics,
              trace::SpanWriter& spans);
  ~ControlHost() override;
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  /// Opens the data folder and starts serving.
  Result<void> Start();

  /// Transfers the leadership if this replica holds it, then calls `done` on
  /// the thread of the io_context.
  void BeginStop(std::function<void()> done);

  /// Stops all servers and threads. Must be called after the io_context has
  /// stopped.
  void Shutdown();

  void OnMessage(const std::string& from, protocol::Envelope envelope);

  /// Replaces the instances to contact for the control group.
  void SetContacts(std::vector<std::string> contacts);

  void SubmitEvent(const MakeEvent& make_event, ReplyHandler on_reply) override;
  void Defer(std::function<void()> work) override;

 private:
  Result<void> OpenNode();
  Result<void> StartOperatorServer();
  void OnStorageFailure(const Error& error);
  void ReopenDataFolder();
  void ReadEndpointList();
  void RefreshEndpointList();
  void Step(const control::ControlEvent& event);
  void ScheduleBacklog();
  // Moves the writes and replies out of `actions`.
  void CarryOut(control::ControlActions& actions);
  // Opens the data folder and the log store, and loads the stored state into
  // `start`.
  Result<storage::LogStore> OpenStore(consensus::ReplicaStart& start);
  control::ControlOptions MakeOptions() const;

  // Defined in control_host_admin.cc.
  http::Response HandleAdminRequest(const http::Request& request);
  admin::ControlCalls MakeControlCalls();
  // Submits an event from a thread of the admin server and waits for the reply.
  control::AdminReply SubmitAndWait(const MakeEvent& make_event);

  asio::io_context& context_;
  const settings::InstanceSettings& settings_;
  const InterfaceComponents& components_;
  net::LinkHub& hub_;
  metrics::Registry& metrics_;
  trace::SpanWriter& spans_;
  TickTimer timer_;
  StepMonitor monitor_;
  SyncMonitor sync_monitor_;
  /// Time at which the next tick is due.
  Time tick_due_ = Time::max();
  std::optional<storage::DataFolder> folder_;
  std::optional<control::ControlNode> node_;
  control::EntryBacklog entry_backlog_;
  /// True while a slice of the backlog is due.
  bool backlog_scheduled_ = false;
  std::unique_ptr<StorageWriter> writer_;
  std::unique_ptr<admin::AdminApi> admin_api_;
  std::unique_ptr<http::Server> admin_server_;
  std::unique_ptr<OperatorInterface> operator_interface_;
  std::unique_ptr<http::EventServer> operator_server_;
  std::unique_ptr<http::EventServer> metrics_server_;
  http::EventClient client_;
  EndpointLister endpoint_lister_;
  asio::steady_timer endpoint_list_timer_;
  asio::steady_timer reopen_timer_;
  std::vector<std::string> contacts_;
  std::map<control::AdminTicket, ReplyHandler> reply_handlers_;
  control::AdminTicket last_ticket_ = 0;
  std::function<void()> on_stopped_;
  bool stopping_ = false;
};

}  // namespace jacinth
