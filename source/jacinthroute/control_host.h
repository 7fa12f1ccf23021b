#pragma once

#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "core/admin/admin_api.h"
#include "core/common/error.h"
#include "core/control/control_node.h"
#include "core/http/server.h"
#include "core/metrics/registry.h"
#include "core/net/link_hub.h"
#include "core/settings/instance_settings.h"
#include "core/storage/data_folder.h"
#include "core/trace/span_writer.h"
#include "jacinthroute/storage_writer.h"
#include "jacinthroute/tick_timer.h"

namespace jacinth {

/// Carries out the actions of a ControlNode: disk, links and the HTTP API. The
/// node runs on the thread of the io_context.
class ControlHost {
 public:
  ControlHost(asio::io_context& context,
              const settings::InstanceSettings& settings,
              net::LinkHub& hub,
              metrics::Registry& metrics,
              trace::SpanWriter& spans);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  /// Opens the data folder and starts to serve.
  Result<void> Start();

  /// Hands over the leadership, then calls `done` on the io_context's thread.
  void BeginStop(std::function<void()> done);

  /// Ends all threads; call after the io_context has stopped.
  void Join();

  void OnMessage(const std::string& from, protocol::Envelope envelope);

 private:
  using ReplyPromise = std::promise<control::AdminReply>;

  void Step(const control::ControlEvent& event);
  void CarryOut(control::ControlActions actions);
  Result<storage::LogStore> OpenStore(consensus::ReplicaStart& start);
  control::ControlOptions MakeOptions() const;
  void NoteLeadership();

  // control_host_admin.cc
  http::Response HandleHttp(const http::Request& request);
  admin::ControlCalls MakeCalls();
  control::AdminReply Call(
      std::function<control::ControlEvent(control::AdminTicket)> make_event);

  asio::io_context& context_;
  const settings::InstanceSettings& settings_;
  net::LinkHub& hub_;
  metrics::Registry& metrics_;
  trace::SpanWriter& spans_;
  TickTimer timer_;
  std::optional<storage::DataFolder> folder_;
  std::optional<control::ControlNode> node_;
  std::unique_ptr<StorageWriter> writer_;
  std::unique_ptr<admin::AdminApi> api_;
  std::unique_ptr<http::Server> server_;
  std::map<control::AdminTicket, std::shared_ptr<ReplyPromise>> calls_;
  control::AdminTicket last_ticket_ = 0;
  std::string known_leader_;
  std::function<void()> on_stopped_;
};

}  // namespace jacinth
