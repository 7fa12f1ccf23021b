#include "jacinthctl/api_client.h"

#include <chrono>
#include <thread>
#include <utility>

#include "core/http/connection.h"
#include "core/http/problem.h"

namespace jacinth::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kExchangeTimeout = 12s;
constexpr Duration kRetryPause = 100ms;
constexpr std::size_t kMaxBodyBytes = 64UL << 20U;
constexpr int kTemporaryRedirect = 307;
constexpr int kFirstErrorStatus = 400;

// Returns the address in `http://address/target`, or an empty string if
// `location` has another scheme.
std::string AddressOfLocation(std::string_view location) {
  constexpr std::string_view kScheme = "http://";
  if (location.substr(0, kScheme.size()) != kScheme)
    return "";
  location.remove_prefix(kScheme.size());
  return std::string(location.substr(0, location.find('/')));
}

bool IsWorthAnotherTry(ErrorKind kind) {
  return kind == ErrorKind::kNotLeader || kind == ErrorKind::kOutcomeUnknown ||
         kind == ErrorKind::kControlUnreachable;
}

}  // namespace

ApiClient::ApiClient(std::vector<std::string> servers,
                     std::string token,
                     Duration timeout)
    : servers_(std::move(servers)),
      token_(std::move(token)),
      timeout_(timeout) {}

Result<http::Response> ApiClient::Call(http::Request request) {
  if (servers_.empty())
    return Fail(ErrorKind::kBadRequest,
                "no server address given; use --server or JACINTH_SERVER");
  if (!token_.empty())
    request.headers.emplace_back("Authorization", "Bearer " + token_);
  const http::ExchangeLimits limits{kConnectTimeout, kExchangeTimeout,
                                    kMaxBodyBytes};
  const auto deadline = Clock::now() + timeout_;
  Error last{ErrorKind::kControlUnreachable, "could not connect to any server"};
  std::size_t next = 0;
  std::string address = servers_[0];
  while (true) {
    http::Connection connection(address);
    http::ExchangeResult result = connection.Exchange(request, limits);
    address = servers_[++next % servers_.size()];
    if (result.end == http::ExchangeEnd::kAnswered) {
      const http::Response& response = result.response;
      const std::string leader =
          AddressOfLocation(http::HeaderValue(response.headers, "Location"));
      if (response.status == kTemporaryRedirect && !leader.empty()) {
        address = leader;
        last = {ErrorKind::kNotLeader, "redirected to " + leader};
      } else if (response.status < kFirstErrorStatus) {
        return std::move(result.response);
      } else {
        last = http::ErrorFromProblem(response);
        if (!IsWorthAnotherTry(last.kind))
          return tl::unexpected(last);
      }
    } else if (result.end != http::ExchangeEnd::kNotConnected) {
      last = {ErrorKind::kOutcomeUnknown,
              "no complete response arrived on the connection"};
    }
    if (Clock::now() >= deadline)
      return tl::unexpected(last);
    std::this_thread::sleep_for(kRetryPause);
  }
}

}  // namespace jacinth::ctl
