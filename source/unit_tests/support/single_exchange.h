#pragma once

#include <optional>
#include <utility>

#include <asio/io_context.hpp>

#include "core/http/event_client.h"

namespace jacinth::test {

/// Makes one call with a client of its own and waits for its end.
inline http::ExchangeResult ExchangeOnce(const http::ClientCall& call) {
  asio::io_context context;
  http::EventClient client(context, /*max_idle_per_address=*/4);
  std::optional<http::ExchangeResult> ended;
  client.Start(call, [&](http::ExchangeResult result) {
    ended = std::move(result);
    context.stop();
  });
  context.run();
  return ended.value();
}

}  // namespace jacinth::test
