#include "core/http/event_server.h"

#include <utility>

#include <asio/post.hpp>

#include "core/http/address.h"
#include "core/http/event_session.h"

namespace jacinth::http {
namespace {

using asio::ip::tcp;

constexpr int kListenBacklog = 512;

}  // namespace

EventServer::EventServer(asio::io_context& context, Handler handler)
    : context_(context), handler_(std::move(handler)) {}

EventServer::~EventServer() {
  Stop();
}

Result<void> EventServer::Listen(const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (!parsed)
    return tl::unexpected(parsed.error());
  asio::error_code error;
  const auto ip = asio::ip::make_address(parsed->host, error);
  const tcp::endpoint endpoint(ip, static_cast<unsigned short>(parsed->port));
  auto listener =
      std::make_unique<Listener>(Listener{address, tcp::acceptor(context_)});
  tcp::acceptor& acceptor = listener->acceptor;
  if (!error)
    acceptor.open(endpoint.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(kListenBacklog, error);
  if (error) {
    return Fail(ErrorKind::kInternal,
                "failed to listen on " + address + ": " + error.message());
  }
  listeners_.push_back(std::move(listener));
  Accept(*listeners_.back());
  return {};
}

void EventServer::BeginDrain(Duration grace_period) {
  draining_ = true;
  const auto sessions = sessions_;
  for (const auto& session : sessions)
    session->Drain(grace_period);
}

void EventServer::RecycleConnections(double fraction) {
  double due = 0;
  for (const auto& session : sessions_) {
    due += fraction;
    if (due < 1)
      continue;
    due -= 1;
    session->CloseAfterResponse();
  }
}

void EventServer::Finish(std::function<void()> done) {
  draining_ = true;
  finishing_ = true;
  on_finished_ = std::move(done);
  CloseAcceptors();
  const auto sessions = sessions_;
  for (const auto& session : sessions)
    session->Finish();
  NotifyIfFinished();
}

void EventServer::Stop() {
  if (stopped_)
    return;
  stopped_ = true;
  on_finished_ = nullptr;
  CloseAcceptors();
  const auto sessions = sessions_;
  for (const auto& session : sessions)
    session->Close();
}

void EventServer::Accept(Listener& listener) {
  listener.acceptor.async_accept(
      [this, &listener](asio::error_code error, tcp::socket socket) {
        if (stopped_ || finishing_)
          return;
        const bool has_capacity = sessions_.size() < limits_.max_connections;
        if (!error && has_capacity) {
          auto session = std::make_shared<EventSession>(
              std::move(socket), listener.address, *this);
          sessions_.insert(session);
          session->Start();
        }
        Accept(listener);
      });
}

void EventServer::CloseAcceptors() {
  for (const auto& listener : listeners_) {
    asio::error_code ignored;
    listener->acceptor.close(ignored);
  }
}

void EventServer::Remove(const std::shared_ptr<EventSession>& session) {
  sessions_.erase(session);
  NotifyIfFinished();
}

void EventServer::NotifyIfFinished() {
  if (!sessions_.empty() || !on_finished_)
    return;
  asio::post(context_, std::exchange(on_finished_, nullptr));
}

}  // namespace jacinth::http
