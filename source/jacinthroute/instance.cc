#include "jacinthroute/instance.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>
#include <variant>

#include "core/common/split.h"
#include "core/log/log.h"
#include "jacinthroute/handled_signals.h"

namespace jacinth {
namespace {

constexpr std::size_t kMinSecretLength = 16;
/// Interval at which the settings file is checked for changes.
constexpr Duration kSettingsPollInterval = 5s;

// Returns true if the message is a reply to the entry role. All other messages
// are for the control role.
bool IsReplyToEntry(const protocol::Envelope& envelope) {
  return std::holds_alternative<protocol::HeartbeatReply>(envelope) ||
         std::holds_alternative<protocol::ClaimReply>(envelope) ||
         std::holds_alternative<protocol::FinishReply>(envelope);
}

}  // namespace

Instance::Instance(settings::InstanceSettings settings,
                   InterfaceComponents components,
                   ReadSettings read_settings)
    : settings_(std::move(settings)),
      components_(std::move(components)),
      read_settings_(std::move(read_settings)),
      spans_(settings_.id) {}

Result<void> Instance::Run() {
  if (auto started = Start(); !started)
    return started;
  LogStart();
  context_.run();
  if (entry_)
    entry_->Shutdown();
  if (control_)
    control_->Shutdown();
  spans_.Stop();
  log::Write(
      log::Record{log::Level::kInfo, log::Category::kMain, "stopped", {}});
  return {};
}

void Instance::LogStart() const {
  std::vector<std::string> roles;
  for (const InstanceRole role : settings_.roles)
    roles.emplace_back(InstanceRoleName(role));
  log::Record record{log::Level::kInfo, log::Category::kMain, "started", {}};
  record.With("version", JACINTH_VERSION)
      .With("roles", JoinList(roles))
      .With("region", settings_.region)
      .With("failure_domain", settings_.failure_domain)
      .With("contacts", JoinList(settings_.ControlContacts()));
  log::Write(record);
}

Result<void> Instance::Start() {
  if (auto started = spans_.Start(settings_.trace_file); !started)
    return started;
  auto secret = ReadClusterSecret();
  if (!secret)
    return tl::unexpected(secret.error());
  hub_ = std::make_unique<net::LinkHub>(
      context_, MakeLinkOptions(std::move(*secret)),
      [this](const std::string& from, protocol::Envelope envelope) {
        OnMessage(from, std::move(envelope));
      });
  if (settings_.HasRole(InstanceRole::kControl)) {
    control_ = std::make_unique<ControlHost>(context_, settings_, components_,
                                             *hub_, metrics_, spans_);
    ++hosts_running_;
    if (auto started = control_->Start(); !started)
      return started;
  }
  if (settings_.HasRole(InstanceRole::kEntry)) {
    entry_ = components_.make_entry_host(context_, settings_, *hub_, metrics_,
                                         spans_);
    ++hosts_running_;
    if (auto started = entry_->Start(); !started)
      return started;
  }
  if (auto started = hub_->Start(); !started)
    return started;
  for (const int signal : kHandledSignals)
    signals_.add(signal);
  UnblockHandledSignals();
  WaitForSignal();
  PollSettingsFile();
  return {};
}

Result<std::string> Instance::ReadClusterSecret() const {
  if (settings_.cluster_secret_file.empty()) {
    log::Warning(log::Category::kNet,
                 "Links between instances are not authenticated: "
                 "cluster_secret_file is not set.");
    return std::string();
  }
  std::ifstream file(settings_.cluster_secret_file);
  if (!file) {
    return Fail(
        ErrorKind::kInvalidSettings,
        "can't read the cluster secret file " + settings_.cluster_secret_file);
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  std::string secret(Trim(text));
  if (secret.size() < kMinSecretLength) {
    return Fail(ErrorKind::kInvalidSettings,
                "the cluster secret in " + settings_.cluster_secret_file +
                    " is shorter than 16 characters");
  }
  return secret;
}

net::LinkHubOptions Instance::MakeLinkOptions(std::string secret) const {
  net::LinkHubOptions options;
  options.self = settings_.LinkName();
  options.secret = std::move(secret);
  const bool control = settings_.HasRole(InstanceRole::kControl);
  if (control)
    options.listen_address = settings_.LinkAddress();
  for (const settings::ReplicaSettings& replica : settings_.replicas) {
    if (replica.id != settings_.id)
      options.dial[replica.id] = replica.peer_address;
  }
  return options;
}

void Instance::OnMessage(const std::string& from, protocol::Envelope envelope) {
  if (IsReplyToEntry(envelope)) {
    if (entry_)
      entry_->OnMessage(from, std::move(envelope));
    return;
  }
  if (control_)
    control_->OnMessage(from, std::move(envelope));
}

void Instance::WaitForSignal() {
  signals_.async_wait([this](asio::error_code error, int signal) {
    if (error)
      return;
    if (signal == SIGHUP) {
      ReloadSettings();
      WaitForSignal();
      return;
    }
    if (stopping_ && signal == SIGTERM) {
      log::Info(log::Category::kMain,
                "Received SIGTERM again; the stop goes on in order.");
      WaitForSignal();
      return;
    }
    if (stopping_) {
      log::Warning(log::Category::kMain,
                   "Received SIGINT during a stop; exiting immediately.");
      context_.stop();
      return;
    }
    BeginStop();
    WaitForSignal();
  });
}

// Applies the only settings that can change at run time: the instances to
// contact for the control group. Other changes take effect at the next start.
void Instance::ReloadSettings() {
  const settings::ParsedInstanceSettings parsed = read_settings_();
  if (!parsed.faults.empty()) {
    log::Warning(log::Category::kSettings,
                 "The settings file is invalid and was not reloaded: " +
                     settings::FormatFaults("", parsed.faults));
    return;
  }
  const std::vector<std::string> contacts = parsed.settings.ControlContacts();
  if (contacts == settings_.ControlContacts())
    return;
  settings_.group.seeds = parsed.settings.group.seeds;
  settings_.replicas = parsed.settings.replicas;
  log::Record record{
      log::Level::kInfo, log::Category::kSettings, "reloaded", {}};
  record.With("contacts", JoinList(contacts));
  log::Write(record);
  if (entry_)
    entry_->SetContacts(contacts);
  if (control_)
    control_->SetContacts(contacts);
}

// Reloads the file periodically, as it can change without a SIGHUP.
void Instance::PollSettingsFile() {
  settings_poll_timer_.expires_after(kSettingsPollInterval);
  settings_poll_timer_.async_wait([this](asio::error_code error) {
    if (error)
      return;
    ReloadSettings();
    PollSettingsFile();
  });
}

void Instance::BeginStop() {
  stopping_ = true;
  log::Write(
      log::Record{log::Level::kInfo, log::Category::kMain, "stopping", {}});
  const auto done = [this] { OnHostStopped(); };
  // The entry role stops first, because finishing its claims can require the
  // control replica of this instance.
  if (entry_) {
    entry_->BeginStop([this, done] {
      if (control_)
        control_->BeginStop(done);
      done();
    });
    return;
  }
  control_->BeginStop(done);
}

void Instance::OnHostStopped() {
  if (--hosts_running_ > 0)
    return;
  hub_->Stop();
  context_.stop();
}

}  // namespace jacinth
