#include "jacinthroute/logged_transaction.h"

#include <string>
#include <utility>

#include "core/common/process_clock.h"
#include "core/http/headers.h"
#include "core/log/log.h"

namespace jacinth {
namespace {

log::Record MakeRecord(const http::Request& request, Time received) {
  log::Record record{
      log::Level::kInfo, log::Category::kAdmin, "operator_call", {}};
  record.With("target", request.target)
      .With("body_bytes", request.body.size())
      .With("took_ms", ToMillis(MonotonicNow() - received));
  return record;
}

}  // namespace

LoggedTransaction::LoggedTransaction(
    std::shared_ptr<http::Transaction> transaction,
    Time received)
    : transaction_(std::move(transaction)), received_(received) {}

LoggedTransaction::~LoggedTransaction() {
  if (!has_response_)
    log::Write(MakeRecord(request(), received_).With("status", 0));
}

const http::Request& LoggedTransaction::request() const {
  return transaction_->request();
}

std::string_view LoggedTransaction::listen_address() const {
  return transaction_->listen_address();
}

void LoggedTransaction::Respond(http::Response response) {
  has_response_ = true;
  log::Record record = MakeRecord(request(), received_);
  record.With("status", response.status);
  const std::string_view location =
      http::HeaderValue(response.headers, "Location");
  if (!location.empty())
    record.With("location", std::string(location));
  log::Write(record);
  transaction_->Respond(std::move(response));
}

void LoggedTransaction::OnDisconnect(std::function<void()> on_disconnect) {
  transaction_->OnDisconnect(std::move(on_disconnect));
}

}  // namespace jacinth
