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
constexpr Duration kRetryInterval = 100ms;
constexpr std::size_t kMaxBodyBytes = 64UL << 20U;
constexpr int kTemporaryRedirect = 307;
constexpr int kFirstErrorStatus = 400;

// Returns the address in `http://address/target`, or an empty string if
// `location` has another scheme.
std::string AddressFromLocation(std::string_view location) {
  constexpr std::string_view kScheme = "http://";
  if (location.substr(0, kScheme.size()) != kScheme)
    return "";
  location.remove_prefix(kScheme.size());
  return std::string(location.substr(0, location.find('/')));
}

bool IsRetryable(ErrorKind kind) {
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
  Error last_error{ErrorKind::kControlUnreachable,
                   "could not connect to any server"};
  std::size_t server_index = 0;
  std::string address = servers_[0];
  while (true) {
    const std::string server = address;
    http::Connection connection(server);
    http::ExchangeResult result = connection.Exchange(request, limits);
    address = servers_[++server_index % servers_.size()];
    if (result.end == http::ExchangeEnd::kAnswered) {
      const http::Response& response = result.response;
      const std::string leader =
          AddressFromLocation(http::HeaderValue(response.headers, "Location"));
      if (response.status == kTemporaryRedirect && !leader.empty()) {
        address = leader;
        last_error = {ErrorKind::kNotLeader, "redirected to " + leader};
      } else if (response.status < kFirstErrorStatus) {
        return std::move(result.response);
      } else {
        last_error = http::ErrorFromProblem(response);
        if (!IsRetryable(last_error.kind))
          return tl::unexpected(last_error);
      }
    } else if (result.end != http::ExchangeEnd::kNotConnected) {
      last_error = {ErrorKind::kOutcomeUnknown,
                    "no whole and valid response came from " + server};
    }
    if (Clock::now() >= deadline)
      return tl::unexpected(last_error);
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace jacinth::ctl
