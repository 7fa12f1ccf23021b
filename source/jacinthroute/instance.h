#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/error.h"
#include "core/metrics/registry.h"
#include "core/net/link_hub.h"
#include "core/settings/instance_settings.h"
#include "core/trace/span_writer.h"
#include "jacinthroute/control_host.h"
#include "jacinthroute/entry_host.h"
#include "jacinthroute/interface_components.h"

namespace jacinth {

/// One process of the system, with the roles given in its settings.
class Instance {
 public:
  using ReadSettings = std::function<settings::ParsedInstanceSettings()>;

  /// `read_settings` is called to read the settings file again.
  Instance(settings::InstanceSettings settings,
           InterfaceComponents components,
           ReadSettings read_settings);

  /// Runs until SIGTERM or SIGINT, then stops gracefully; SIGINT during the
  /// stop ends the instance immediately. Returns an error if the instance can't
  /// start.
  Result<void> Run();

 private:
  Result<void> Start();
  void LogStart() const;
  Result<std::string> ReadClusterSecret() const;
  net::LinkHubOptions MakeLinkOptions(std::string secret) const;
  void OnMessage(const std::string& from, protocol::Envelope envelope);
  void WaitForSignal();
  void ReloadSettings();
  void PollSettingsFile();
  void BeginStop();
  void OnHostStopped();

  settings::InstanceSettings settings_;
  InterfaceComponents components_;
  ReadSettings read_settings_;
  asio::io_context context_{1};
  asio::signal_set signals_{context_};
  asio::steady_timer settings_poll_timer_{context_};
  metrics::Registry metrics_;
  trace::SpanWriter spans_;
  std::unique_ptr<net::LinkHub> hub_;
  std::unique_ptr<EntryHost> entry_;
  std::unique_ptr<ControlHost> control_;
  int hosts_running_ = 0;
  bool stopping_ = false;
};

}  // namespace jacinth
