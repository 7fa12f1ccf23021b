#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "core/common/error.h"
#include "core/entry/entry_node.h"
#include "core/http/server.h"
#include "core/metrics/registry.h"
#include "core/net/link_hub.h"
#include "core/settings/instance_settings.h"
#include "core/trace/span_writer.h"
#include "jacinthroute/endpoint_prober.h"
#include "jacinthroute/forwarder.h"
#include "jacinthroute/pending_call.h"
#include "jacinthroute/tick_timer.h"

namespace jacinth {

/// Carries out the actions of an EntryNode: callers' HTTP, endpoints' HTTP and
/// the links to the control role. The node runs on the thread of the
/// io_context; each request has a traffic thread.
class EntryHost {
 public:
  EntryHost(asio::io_context& context,
            const settings::InstanceSettings& settings,
            net::LinkHub& hub,
            metrics::Registry& metrics,
            trace::SpanWriter& spans);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  Result<void> Start();

  /// Leaves the look-ups and lets requests end, then calls `done` on the
  /// io_context's thread.
  void BeginStop(std::function<void()> done);

  /// Ends all threads; call after the io_context has stopped.
  void Join();

  void OnMessage(const std::string& from, protocol::Envelope envelope);

 private:
  using Snapshot = std::shared_ptr<const steering::SteeringSnapshot>;

  void Step(const entry::EntryEvent& event);
  void CarryOut(entry::EntryActions actions);

  // entry_api.cc, on traffic threads
  http::Response HandleHttp(const http::Request& request);
  http::Response HandleLookup(const http::Request& request);
  http::Response HandleReady() const;
  http::Response HandleStatus() const;
  http::Response HandleForward(const http::Request& request);
  http::Response RunRequest(const http::Request& request,
                            entry::RequestArrived arrival,
                            const trace::SpanContext& context);
  http::Response MakeAnswer(const entry::RequestAnswer& answer,
                            http::Response last) const;

  asio::io_context& context_;
  const settings::InstanceSettings& settings_;
  net::LinkHub& hub_;
  metrics::Registry& metrics_;
  trace::SpanWriter& spans_;
  TickTimer timer_;
  entry::EntryNode node_;
  std::atomic<Snapshot> snapshot_;
  std::atomic<entry::RequestTicket> last_ticket_{0};
  std::atomic<std::uint64_t> lookups_{0};
  /// The control thread has ended: nobody answers waiting calls any more.
  std::atomic<bool> ended_{false};
  std::map<entry::RequestTicket, std::shared_ptr<PendingCall>> calls_;
  Forwarder forwarder_;
  std::unique_ptr<EndpointProber> prober_;
  std::unique_ptr<http::Server> server_;
  std::function<void()> on_stopped_;
};

}  // namespace jacinth
