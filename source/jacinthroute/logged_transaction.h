#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "core/common/time.h"
#include "core/http/transaction.h"

namespace jacinth {

/// An operator's call that is logged with its answer, or with the fact that it
/// got none.
class LoggedTransaction : public http::Transaction {
 public:
  /// `received` is the time at which the call had arrived whole.
  LoggedTransaction(std::shared_ptr<http::Transaction> transaction,
                    Time received);
  ~LoggedTransaction() override;
  LoggedTransaction(const LoggedTransaction&) = delete;
  LoggedTransaction& operator=(const LoggedTransaction&) = delete;

  const http::Request& request() const override;
  std::string_view listen_address() const override;
  void Respond(http::Response response) override;
  void OnDisconnect(std::function<void()> on_disconnect) override;

 private:
  std::shared_ptr<http::Transaction> transaction_;
  Time received_;
  bool has_response_ = false;
};

}  // namespace jacinth
