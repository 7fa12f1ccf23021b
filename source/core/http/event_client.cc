#include "core/http/event_client.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/http/event_connection.h"
#include "core/log/log.h"

namespace jacinth::http {
namespace {

/// Shorter responses are received even if they take too much memory together,
/// as those that are being sent leave no room for others for a while.
constexpr std::size_t kMinAbortedBytes = 16UL << 10U;

}  // namespace

EventClient::EventClient(asio::io_context& context,
                         std::size_t max_idle_per_address,
                         std::string source_address)
    : context_(context),
      max_idle_per_address_(max_idle_per_address),
      source_address_(std::move(source_address)) {}

EventClient::~EventClient() {
  Stop();
}

CallId EventClient::Start(const ClientCall& call, EndHandler on_end) {
  const CallId id = ++last_call_id_;
  ConnectionPtr connection = TakeIdle(call.address, call.max_idle);
  if (!connection) {
    ++connections_opened_;
    connection =
        std::make_shared<EventConnection>(context_, call.address, *this);
  }
  calls_.emplace(id, std::pair(connection, std::move(on_end)));
  connection->StartExchange(id, call);
  return id;
}

void EventClient::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const ConnectionPtr connection = found->second.first;
  calls_.erase(found);
  connection->Close();
}

void EventClient::CloseIdleConnections(const std::string& address) {
  const auto found = idle_connections_.find(address);
  if (found == idle_connections_.end())
    return;
  const std::vector<ConnectionPtr> connections = std::move(found->second);
  idle_connections_.erase(found);
  for (const ConnectionPtr& connection : connections)
    connection->Close();
}

void EventClient::CloseAllIdleConnections() {
  const auto idle = std::exchange(idle_connections_, {});
  for (const auto& [address, connections] : idle) {
    for (const ConnectionPtr& connection : connections)
      connection->Close();
  }
}

void EventClient::Stop() {
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls)
    call.first->Close();
  CloseAllIdleConnections();
}

void EventClient::OnExchangeEnd(CallId id,
                                const ConnectionPtr& connection,
                                ExchangeResult result) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  EndHandler on_end = std::move(found->second.second);
  calls_.erase(found);
  if (result.end == ExchangeEnd::kAnswered && result.reusable) {
    std::vector<ConnectionPtr>& idle = idle_connections_[connection->address()];
    idle.push_back(connection);
    connection->BecomeIdle(MonotonicNow());
    if (idle.size() > max_idle_per_address_) {
      const ConnectionPtr oldest = idle.front();
      idle.erase(idle.begin());
      oldest->Close();
    }
  } else {
    connection->Close();
  }
  on_end(std::move(result));
}

void EventClient::OnBufferedChange(std::size_t before, std::size_t after) {
  buffered_bytes_ += after;
  buffered_bytes_ -= before;
  budget_->Change(before, after);
  const bool is_exceeded =
      buffered_bytes_ > max_buffered_bytes_ || budget_->IsExceeded();
  if (!is_exceeded || calls_.empty())
    return;
  const auto longest = std::max_element(
      calls_.begin(), calls_.end(), [](const auto& left, const auto& right) {
        return left.second.first->buffered_bytes() <
               right.second.first->buffered_bytes();
      });
  const ConnectionPtr connection = longest->second.first;
  if (connection->buffered_bytes() >= kMinAbortedBytes)
    connection->AbortResponse();
}

void EventClient::RemoveIdle(const EventConnection* connection) {
  const auto found = idle_connections_.find(connection->address());
  if (found == idle_connections_.end())
    return;
  std::erase_if(found->second, [&](const ConnectionPtr& idle) {
    return idle.get() == connection;
  });
  if (found->second.empty())
    idle_connections_.erase(found);
}

EventClient::ConnectionPtr EventClient::TakeIdle(const std::string& address,
                                                 Duration max_idle) {
  const auto found = idle_connections_.find(address);
  if (found == idle_connections_.end() || max_idle <= Duration{0})
    return nullptr;
  std::vector<ConnectionPtr>& idle = found->second;
  const Time now = MonotonicNow();
  ConnectionPtr taken;
  while (!taken && !idle.empty()) {
    const ConnectionPtr newest = idle.back();
    // The remaining connections have been idle even longer.
    if (now > newest->idle_since() + max_idle ||
        now >= newest->reusable_until())
      break;
    idle.pop_back();
    if (newest->HasInput()) {
      newest->Close();
      log::Info(log::Category::kHttp,
                "Closing an idle connection to " + address +
                    ", which ended or has bytes of no request.");
      continue;
    }
    taken = newest;
  }
  if (idle.empty())
    idle_connections_.erase(found);
  return taken;
}

}  // namespace jacinth::http
