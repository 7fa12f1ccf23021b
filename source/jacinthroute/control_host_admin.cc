#include <future>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/http/problem.h"
#include "jacinthroute/control_host.h"

namespace jacinth {
namespace {

constexpr Duration kCallTimeout = 10s;

}  // namespace

http::Response ControlHost::HandleAdminRequest(const http::Request& request) {
  http::Response response;
  response.content_type = "text/plain";
  if (request.path == "/healthz") {
    response.body = "ok\n";
    return response;
  }
  if (request.path == "/metrics") {
    response.body = metrics_.ToText();
    return response;
  }
  const Time start = MonotonicNow();
  response = admin_api_->Handle(request);
  metrics_.Record("jacinth_admin_seconds", MonotonicNow() - start);
  metrics_.Count(metrics::FormatSeries("jacinth_admin_requests_total", "status",
                                       std::to_string(response.status)));
  return response;
}

admin::ControlCalls ControlHost::MakeControlCalls() {
  admin::ControlCalls calls;
  calls.change = [this](settings::OperatorSettings operator_settings,
                        protocol::ChangeSettings change) {
    return SubmitAndWait(
        [operator_settings = std::move(operator_settings),
         change = std::move(change)](
            control::AdminTicket ticket) -> control::ControlEvent {
          return control::ChangeRequested{ticket, operator_settings, change};
        });
  };
  calls.view = [this](bool allow_stale) {
    return SubmitAndWait(
        [allow_stale](control::AdminTicket ticket) -> control::ControlEvent {
          return control::ViewRequested{ticket, allow_stale};
        });
  };
  return calls;
}

control::AdminReply ControlHost::SubmitAndWait(const MakeEvent& make_event) {
  auto promise = std::make_shared<std::promise<control::AdminReply>>();
  std::future<control::AdminReply> future = promise->get_future();
  asio::post(context_, [this, promise, make_event] {
    SubmitEvent(make_event, [promise](control::AdminReply reply) {
      promise->set_value(std::move(reply));
    });
  });
  if (future.wait_for(kCallTimeout) == std::future_status::ready)
    return future.get();
  control::CallRefused refused;
  refused.error = {
      ErrorKind::kOutcomeUnknown,
      "timed out waiting for a quorum; send the same request again"};
  return {0, std::move(refused)};
}

void ControlHost::SubmitEvent(const MakeEvent& make_event,
                              ReplyHandler on_reply) {
  const control::AdminTicket ticket = ++last_ticket_;
  if (!node_) {
    control::CallRefused refused;
    refused.error = {
        ErrorKind::kStorageFailed,
        "the data folder of this replica is not open after a failed write"};
    on_reply({ticket, std::move(refused)});
    return;
  }
  reply_handlers_[ticket] = std::move(on_reply);
  Step(make_event(ticket));
}

void ControlHost::Defer(std::function<void()> work) {
  // Messages that have arrived are handled between the two.
  asio::post(context_, [this, work = std::move(work)]() mutable {
    Step(control::Tick{});
    asio::post(context_, std::move(work));
  });
}

}  // namespace jacinth
