#include "core/http/event_client.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/http/event_connection.h"

namespace jacinth::http {

EventClient::EventClient(asio::io_context& context, std::size_t max_kept)
    : context_(context), max_kept_(max_kept) {}

EventClient::~EventClient() {
  Stop();
}

CallId EventClient::Start(const ClientCall& call, EndHandler on_end) {
  const CallId id = ++last_call_;
  ConnectionPtr connection = TakeKept(call.address, call.max_idle);
  if (!connection) {
    ++connects_;
    connection =
        std::make_shared<EventConnection>(context_, call.address, *this);
  }
  calls_.emplace(id, std::pair(connection, std::move(on_end)));
  connection->Run(id, call);
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

void EventClient::Forget(const std::string& address) {
  const auto found = kept_.find(address);
  if (found == kept_.end())
    return;
  const std::vector<ConnectionPtr> connections = std::move(found->second);
  kept_.erase(found);
  for (const ConnectionPtr& connection : connections)
    connection->Close();
}

void EventClient::Stop() {
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls)
    call.first->Close();
  const auto kept = std::exchange(kept_, {});
  for (const auto& [address, connections] : kept) {
    for (const ConnectionPtr& connection : connections)
      connection->Close();
  }
}

void EventClient::OnEnd(CallId id,
                        const ConnectionPtr& connection,
                        ExchangeResult result) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  EndHandler on_end = std::move(found->second.second);
  calls_.erase(found);
  if (result.end == ExchangeEnd::kAnswered && result.reusable) {
    std::vector<ConnectionPtr>& kept = kept_[connection->address()];
    kept.push_back(connection);
    connection->Park(MonotonicNow());
    if (kept.size() > max_kept_) {
      const ConnectionPtr oldest = kept.front();
      kept.erase(kept.begin());
      oldest->Close();
    }
  } else {
    connection->Close();
  }
  on_end(std::move(result));
}

void EventClient::Drop(const EventConnection* connection) {
  const auto found = kept_.find(connection->address());
  if (found == kept_.end())
    return;
  std::erase_if(found->second, [&](const ConnectionPtr& kept) {
    return kept.get() == connection;
  });
  if (found->second.empty())
    kept_.erase(found);
}

EventClient::ConnectionPtr EventClient::TakeKept(const std::string& address,
                                                 Duration max_idle) {
  const auto found = kept_.find(address);
  if (found == kept_.end() || max_idle <= Duration{0})
    return nullptr;
  ConnectionPtr last = found->second.back();
  const Time now = MonotonicNow();
  if (now > last->idle_since() + max_idle || now >= last->kept_until())
    return nullptr;
  found->second.pop_back();
  if (found->second.empty())
    kept_.erase(found);
  return last;
}

}  // namespace jacinth::http
